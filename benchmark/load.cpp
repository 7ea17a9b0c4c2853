#include "decisions.hpp"
#include "support/virtual_site.hpp"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <cmath>
#include <iomanip>
#include <iostream>
#include <numeric>

/// Plays the users' mixes through the shipped scheduler in virtual time and compares weightings.
namespace chicorylift::benchmark
{

namespace
{

using core::milliseconds;
using testing::job_truth;
using testing::virtual_site;

constexpr double thousand = 1000.0;

/// One kind of job of a mix.
struct job_kind
{
    const char* name;
    std::int64_t priority;
    std::int64_t attempts;
    double a_second;
    double worth;
    double late_worth;
    double mean_units;
    int most_units;
    milliseconds duration;
    batch::resource_amount need;
    std::vector<std::int64_t> accelerators;
    double slowdown;
    milliseconds target;
    double gang;
    double rack_local;
    double checkpointing;
    double cancelled;
    double poison;
};

/// Weighting to compare.
struct contestant
{
    const char* name;
    batch::placement_weights weights;
};

struct outcome
{
    double owed{};
    double earned{};
    double wasted{};
    int jobs{};
    int in_time{};
    int late{};
    int violations{};
    std::vector<double> urgent_waits;
    std::vector<double> large_waits;
};

std::vector<job_kind> mix()
{
    return {
        {"tagging",
         1,
         4,
         0.30,
         3,
         0.9,
         1.5,
         9,
         milliseconds{11000},
         {13000, 53000, 0},
         {1, 2, 4, 8, 8},
         3.0,
         milliseconds{1500},
         0.5,
         0.6,
         0.45,
         0.05,
         0.01},
        {"matching",
         0,
         2,
         0.37,
         4,
         0.8,
         3.4,
         21,
         milliseconds{2500},
         {3700, 11000, 0},
         {1, 2, 4, 8, 8},
         1.5,
         milliseconds{600},
         1.0,
         0.8,
         0.0,
         0.0,
         0.0},
        {"cleanup",
         2,
         2,
         0.20,
         1,
         0.3,
         9.2,
         55,
         milliseconds{7600},
         {2800, 8200, 0},
         {1},
         3.0,
         milliseconds{3000},
         0.0,
         0.0,
         0.45,
         0.15,
         0.01},
    };
}

double work_of(const batch::step_spec& step, milliseconds duration)
{
    constexpr double cores_an_accelerator = 8;
    return static_cast<double>(step.units) * static_cast<double>(duration.count()) / thousand *
           (static_cast<double>(step.per_unit.millicores) / thousand +
            static_cast<double>(step.per_unit.accelerators) * cores_an_accelerator);
}

struct sent_job
{
    const job_kind* kind;
    double work;
    milliseconds objective;
    bool counts;
};

class day
{
public:
    day(std::uint32_t seed, double load, const batch::placement_weights& weights)
        : kinds(mix()), random(seed), site(seed, shape_with(weights))
    {
        this->site.set_terms({}, {{core::organisation_id("o0"), 24},
                                  {core::organisation_id("o1"), 16},
                                  {core::organisation_id("o2"), 8}});
        for (const job_kind& kind : this->kinds)
        {
            this->arrive(kind, load);
        }
    }

    outcome play()
    {
        constexpr milliseconds length = std::chrono::seconds{160};
        this->site.play(length);
        outcome result;
        std::map<const job_kind*, std::pair<double, int>> means;
        for (const auto& [id, sent] : this->sent)
        {
            means[sent.kind].first += sent.work;
            ++means[sent.kind].second;
        }
        for (const auto& [id, sent] : this->sent)
        {
            const testing::job_result& seen = this->site.results().at(id);
            if (!sent.counts || seen.cancelled)
            {
                continue;
            }
            constexpr double base = 0.3;
            constexpr double largest = 4;
            const double mean = means[sent.kind].first / means[sent.kind].second;
            const double share = std::min(largest, base + (1 - base) * sent.work / mean);
            result.owed += sent.kind->worth * share;
            ++result.jobs;
            const double waited =
                static_cast<double>(
                    (seen.all_started.value_or(core::instant_at(length)) - seen.accepted).count()) /
                thousand;
            (sent.kind->priority == 0 ? result.urgent_waits : result.large_waits).push_back(waited);
            if (!seen.completed)
            {
                continue;
            }
            const milliseconds took = *seen.ended - seen.accepted;
            constexpr int late_factor = 3;
            if (took <= sent.objective)
            {
                ++result.in_time;
                result.earned += sent.kind->worth * share;
            }
            else if (took <= sent.objective * late_factor)
            {
                ++result.late;
                result.earned += sent.kind->late_worth * share;
            }
        }
        result.wasted = this->site.wasted();
        result.violations = static_cast<int>(this->site.violations().size());
        return result;
    }

private:
    static testing::site_shape shape_with(const batch::placement_weights& weights)
    {
        testing::site_shape shape;
        shape.racks = 4;
        shape.workers_a_rack = 3;
        shape.weights = weights;
        return shape;
    }

    double chance() { return std::uniform_real_distribution<double>(0, 1)(this->random); }

    void arrive(const job_kind& kind, double load)
    {
        constexpr double length = 40;
        constexpr double burst_begin = 12;
        constexpr double burst_end = 18;
        constexpr double burst = 2.2;
        double now = 2;
        while (now < length)
        {
            const bool bursting = kind.priority == 0 && now > burst_begin && now < burst_end;
            const double rate = kind.a_second * load * (bursting ? burst : 1);
            now += std::exponential_distribution<double>(rate)(this->random);
            this->send(kind, milliseconds{static_cast<std::int64_t>(now * thousand)});
        }
    }

    void send(const job_kind& kind, milliseconds when)
    {
        constexpr double spread = 0.8;
        const double mean_log = std::log(kind.mean_units) - spread * spread / 2;
        batch::step_spec step;
        step.units =
            std::clamp(static_cast<std::int64_t>(std::lround(
                           std::lognormal_distribution<double>(mean_log, spread)(this->random))),
                       std::int64_t{1}, static_cast<std::int64_t>(kind.most_units));
        step.per_unit = kind.need;
        step.per_unit.accelerators = kind.accelerators[this->random() % kind.accelerators.size()];
        step.gang = step.units > 1 && this->chance() < kind.gang;
        step.rack_local = step.gang && this->chance() < kind.rack_local;
        step.checkpointing = this->chance() < kind.checkpointing;
        constexpr double duration_spread = 0.3;
        const double factor = std::lognormal_distribution<double>(0, duration_spread)(this->random);
        const milliseconds duration{static_cast<std::int64_t>(
            std::min(1.0, factor) * static_cast<double>(kind.duration.count()))};
        step.estimate = milliseconds{static_cast<std::int64_t>(
            static_cast<double>(duration.count()) * (0.8 + 0.4 * this->chance()))};
        batch::queue_policy terms;
        terms.queue = batch::queue_id(kind.name);
        terms.service = core::service_id("service");
        terms.priority = kind.priority;
        terms.max_attempts = kind.attempts;
        terms.max_slowdown = kind.slowdown;
        terms.latency_allowance = kind.target;
        const std::string id = std::string(kind.name) + std::to_string(this->sent.size());
        const std::string owner = "o" + std::to_string(this->random() % 4);
        const bool poison = this->chance() < kind.poison;
        const bool cancelled = this->chance() < kind.cancelled;
        const double work = work_of(step, duration);
        const milliseconds objective = milliseconds{static_cast<std::int64_t>(
                                           static_cast<double>(duration.count()) * kind.slowdown)} +
                                       kind.target;
        // A gang that no site of this size can hold is not owed.
        const bool fits = step.units * step.per_unit.accelerators <= 96;
        this->sent[core::job_id(id)] = {&kind, work, objective, !poison && fits};
        this->site.submit(when, testing::one_step_job(id, owner, terms, step),
                          job_truth{{duration}, poison});
        if (cancelled)
        {
            this->site.cancel(when + milliseconds{3000}, core::job_id(id));
        }
    }

    std::vector<job_kind> kinds;
    std::mt19937 random;
    virtual_site site;
    std::map<core::job_id, sent_job> sent;
};

double percentile(std::vector<double> values, double share)
{
    if (values.empty())
    {
        return 0;
    }
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
}

} // namespace

int run_load(int argument_count, char** arguments)
{
    std::uint32_t first_seed = 1;
    std::uint32_t seeds = 20;
    std::vector<double> loads{0.7, 1.0, 1.3};
    CLI::App app("bench load: the users' mixes through the shipped scheduler, in virtual time");
    app.add_option("--first-seed", first_seed, "first seed")->capture_default_str();
    app.add_option("--seeds", seeds, "number of days")->capture_default_str();
    app.add_option("--load", loads, "arrival rates against today's")->delimiter(',');
    CLI11_PARSE(app, argument_count, arguments);
    const std::vector<contestant> contestants{
        {"shipped", {}},
        {"never-hold", {190, 0.9, false, 9}},
        {"hold-late", {190, 0.9, false, 0.7}},
        {"small-first", {190, 0.9, true, 0}},
        {"small-no-hold", {190, 0.9, true, 9}},
        {"never-reclaim", {0, 0, false, 0}},
        {"eager-reclaim", {1e9, 0, false, 0}},
    };
    constexpr double price_a_core_second = 3.9e-3;
    std::cout << std::left << std::setw(16) << "WEIGHTING" << std::right << std::setw(6) << "LOAD"
              << std::setw(8) << "JOBS" << std::setw(9) << "IN TIME" << std::setw(7) << "LATE"
              << std::setw(9) << "EARNED" << std::setw(9) << "WASTED" << std::setw(8) << "NET"
              << std::setw(12) << "URGENT P95" << std::setw(11) << "OTHER P95" << '\n';
    for (const double load : loads)
    {
        for (const contestant& each : contestants)
        {
            outcome sum;
            for (std::uint32_t seed = first_seed; seed < first_seed + seeds; ++seed)
            {
                const outcome one = day(seed, load, each.weights).play();
                sum.owed += one.owed;
                sum.earned += one.earned;
                sum.wasted += one.wasted;
                sum.jobs += one.jobs;
                sum.in_time += one.in_time;
                sum.late += one.late;
                sum.violations += one.violations;
                sum.urgent_waits.insert(sum.urgent_waits.end(), one.urgent_waits.begin(),
                                        one.urgent_waits.end());
                sum.large_waits.insert(sum.large_waits.end(), one.large_waits.begin(),
                                       one.large_waits.end());
            }
            const double earned = sum.earned / sum.owed;
            const double net = earned - sum.wasted * price_a_core_second / sum.owed;
            constexpr double tail = 0.95;
            std::cout << std::left << std::setw(16) << each.name << std::right << std::fixed
                      << std::setprecision(2) << std::setw(6) << load << std::setw(8) << sum.jobs
                      << std::setw(9) << sum.in_time << std::setw(7) << sum.late
                      << std::setprecision(3) << std::setw(9) << earned << std::setprecision(0)
                      << std::setw(9) << sum.wasted << std::setprecision(3) << std::setw(8) << net
                      << std::setprecision(1) << std::setw(12) << percentile(sum.urgent_waits, tail)
                      << std::setw(11) << percentile(sum.large_waits, tail) << '\n';
            std::cerr << R"({"weighting":")" << each.name << R"(","load":)" << load << R"(,"jobs":)"
                      << sum.jobs << R"(,"in_time":)" << sum.in_time << R"(,"late":)" << sum.late
                      << R"(,"earned":)" << earned << R"(,"wasted":)" << sum.wasted
                      << R"(,"violations":)" << sum.violations << "}\n";
        }
    }
    return 0;
}

} // namespace chicorylift::benchmark
