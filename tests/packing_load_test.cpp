#include "support/virtual_site.hpp"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <doctest/doctest.h>
#include <functional>
#include <numeric>
#include <sstream>

/// Gangs of up to 32 units of up to 8 accelerators beside small units, with and without workers
/// that are kept whole. `CHICORYLIFT_SEEDS=FIRST,COUNT` plays more seeds and prints the comparison;
/// `CHICORYLIFT_LOAD` sets the load in percent of the capacity.
namespace
{

using namespace chicorylift;
using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::virtual_site;

constexpr double thousand = 1000.0;
constexpr milliseconds load_begin{2000};
constexpr milliseconds load_end{42000};
constexpr milliseconds play_end{150'000};

struct job_kind
{
    const char* name;
    std::int64_t priority;
    double jobs_per_second;
    double mean_units;
    std::int64_t most_units;
    double gang;
    double checkpointing;
    milliseconds duration;
    batch::resource_amount per_unit;
    std::vector<std::int64_t> accelerators;
    double slowdown;
    milliseconds allowance;
};

/// Each kind needs about a third of 51 workers with 8 accelerators.
const std::vector<job_kind>& kinds()
{
    static const std::vector<job_kind> all{
        {"gang",
         0,
         3.6,
         3.4,
         32,
         1,
         0,
         milliseconds{2500},
         {3700, 11000, 0},
         {1, 2, 4, 8, 8},
         1.5,
         milliseconds{600}},
        {"single",
         1,
         1.9,
         1.5,
         9,
         0.5,
         0.45,
         milliseconds{11000},
         {3700, 16000, 0},
         {1, 2, 4, 8, 8},
         3,
         milliseconds{1500}},
        {"filler",
         2,
         0.5,
         39,
         39,
         0,
         0.45,
         milliseconds{7600},
         {2800, 8200, 0},
         {1},
         3,
         milliseconds{3000}},
    };
    return all;
}

struct sent_job
{
    const job_kind* kind;
    std::int64_t units;
    milliseconds objective;
};

struct outcome
{
    std::map<std::string, std::vector<double>> waits;
    std::map<std::string, std::pair<int, int>> in_time;
    double wasted{};
    std::map<std::string, double> thrown_away;
    int preempted{};
    int preemptions{};
    int urgent_starts{};
    int runs{};
    int violations{};
    std::size_t trace{};

    void add(const outcome& other)
    {
        for (const auto& [name, values] : other.waits)
        {
            this->waits[name].insert(this->waits[name].end(), values.begin(), values.end());
        }
        for (const auto& [name, counts] : other.in_time)
        {
            this->in_time[name].first += counts.first;
            this->in_time[name].second += counts.second;
        }
        for (const auto& [name, core_seconds] : other.thrown_away)
        {
            this->thrown_away[name] += core_seconds;
        }
        this->wasted += other.wasted;
        this->preempted += other.preempted;
        this->preemptions += other.preemptions;
        this->urgent_starts += other.urgent_starts;
        this->runs += other.runs;
        this->violations += other.violations;
        this->trace ^= other.trace * 31;
    }
};

std::string size_name(std::int64_t units)
{
    return units == 1 ? "1" : units <= 4 ? "2-4" : units <= 12 ? "5-12" : "13-32";
}

class mixed_day
{
public:
    mixed_day(std::uint32_t seed, double load, bool keep_whole_workers)
        : random(seed), site(seed, shape_with(keep_whole_workers))
    {
        this->site.set_terms(
            {}, {{core::organisation_id("o0"), 64}, {core::organisation_id("o1"), 32}});
        for (const job_kind& kind : kinds())
        {
            double now = static_cast<double>(load_begin.count()) / thousand;
            while (now * thousand < static_cast<double>(load_end.count()))
            {
                now += std::exponential_distribution<double>(kind.jobs_per_second *
                                                             load)(this->random);
                this->send(kind, milliseconds{static_cast<std::int64_t>(now * thousand)});
            }
        }
    }

    outcome play()
    {
        this->site.play(play_end);
        outcome result;
        for (const auto& [id, sent] : this->sent)
        {
            const testing::job_result& seen = this->site.results().at(id);
            const double waited =
                static_cast<double>(
                    (seen.all_started.value_or(core::instant_at(play_end)) - seen.accepted)
                        .count()) /
                thousand;
            const std::string name = sent.kind->name;
            result.waits[name].push_back(waited);
            if (sent.kind->priority == 0)
            {
                result.waits[name + " " + size_name(sent.units)].push_back(waited);
            }
            ++result.in_time[name].second;
            result.in_time[name].first +=
                seen.completed && *seen.ended - seen.accepted <= sent.objective ? 1 : 0;
        }
        result.wasted = this->site.wasted();
        result.thrown_away = this->site.thrown_away();
        result.violations = static_cast<int>(this->site.violations().size());
        result.runs = this->site.decisions("run_placed");
        std::string all;
        for (const batch::decision_record& record : this->site.records())
        {
            result.preempted += record.event == "run_stopped" && record.lost.has_value() &&
                                        record.lost->reason == batch::loss_reason::preempted
                                    ? 1
                                    : 0;
            result.preemptions += record.event == "work_reclaimed" ? 1 : 0;
            result.urgent_starts +=
                record.event == "run_placed" && record.queue.str() == "gang" ? 1 : 0;
            all += record.event == "run_placed" || record.event == "run_stopped" ? record.detail
                                                                                 : std::string();
        }
        result.trace = std::hash<std::string>{}(all);
        return result;
    }

    [[nodiscard]] const virtual_site& played() const { return this->site; }

private:
    static testing::site_shape shape_with(bool keep_whole_workers)
    {
        testing::site_shape shape;
        shape.racks = 17;
        shape.workers_a_rack = 3;
        shape.keep_whole_workers = keep_whole_workers;
        return shape;
    }

    double chance() { return std::uniform_real_distribution<double>(0, 1)(this->random); }

    void send(const job_kind& kind, milliseconds when)
    {
        constexpr double spread = 0.8;
        const double mean_log = std::log(kind.mean_units) - spread * spread / 2;
        batch::step_spec step;
        const double units = std::lognormal_distribution<double>(mean_log, spread)(this->random);
        step.units = kind.mean_units >= static_cast<double>(kind.most_units)
                         ? kind.most_units
                         : std::clamp(static_cast<std::int64_t>(std::lround(units)),
                                      std::int64_t{1}, kind.most_units);
        step.per_unit = kind.per_unit;
        step.per_unit.accelerators = kind.accelerators[this->random() % kind.accelerators.size()];
        step.gang = step.units > 1 && this->chance() < kind.gang;
        step.rack_local =
            step.gang && step.units * step.per_unit.accelerators <= 24 && this->chance() < 0.5;
        step.checkpointing = this->chance() < kind.checkpointing;
        const double factor = std::lognormal_distribution<double>(0, 0.3)(this->random);
        const milliseconds normal{static_cast<std::int64_t>(
            std::min(1.5, factor) * static_cast<double>(kind.duration.count()))};
        // Declared estimates are off by up to half, and 3 % of the jobs take seven times as long.
        step.estimate = milliseconds{static_cast<std::int64_t>(static_cast<double>(normal.count()) *
                                                               (0.5 + this->chance()))};
        const milliseconds duration = this->chance() < 0.03 ? 7 * normal : normal;
        batch::queue_policy policy;
        policy.queue = batch::queue_id(kind.name);
        policy.service = core::service_id("service");
        policy.priority = kind.priority;
        policy.max_attempts = 3;
        policy.max_slowdown = kind.slowdown;
        policy.latency_allowance = kind.allowance;
        const std::string id = std::string(kind.name) + std::to_string(this->sent.size());
        const milliseconds objective{
            static_cast<std::int64_t>(static_cast<double>(duration.count()) * kind.slowdown) +
            kind.allowance.count()};
        const std::string owner = "o" + std::to_string(this->random() % 4);
        this->sent[core::job_id(id)] = {&kind, step.units, objective};
        this->site.submit(when, testing::one_step_job(id, owner, policy, step), {{duration}});
    }

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

void print(const char* title, const outcome& result)
{
    std::ostringstream out;
    out << title << ": runs " << result.runs << ", preempted " << result.preempted << " in "
        << result.preemptions << " preemptions for " << result.urgent_starts << " urgent starts"
        << ", lost " << std::lround(result.wasted) << " core-s, violations " << result.violations
        << ", trace " << result.trace << "\n  thrown away:";
    for (const auto& [reason, core_seconds] : result.thrown_away)
    {
        out << " " << reason << " " << std::lround(core_seconds) << ";";
    }
    for (const auto& [name, counts] : result.in_time)
    {
        out << "\n  " << name << " in time " << counts.first << " of " << counts.second;
    }
    for (const auto& [name, values] : result.waits)
    {
        out << "\n  " << name << " wait p50 " << percentile(values, 0.5) << " s, p95 "
            << percentile(values, 0.95) << " s (" << values.size() << ")";
    }
    MESSAGE(out.str());
}

TEST_CASE("large gangs beside small units keep the invariants with and without whole workers")
{
    const char* const wanted = std::getenv("CHICORYLIFT_SEEDS");
    unsigned first = 1;
    unsigned count = 1;
    if (wanted != nullptr)
    {
        REQUIRE(std::sscanf(wanted, "%u,%u", &first, &count) == 2);
    }
    const char* const percent = std::getenv("CHICORYLIFT_LOAD");
    const double load = percent == nullptr ? 1 : std::atof(percent) / 100;
    for (const bool keep_whole_workers : {false, true})
    {
        outcome sum;
        for (unsigned seed = first; seed < first + count; ++seed)
        {
            CAPTURE(seed);
            mixed_day day(seed, load, keep_whole_workers);
            sum.add(day.play());
            for (const std::string& violation : day.played().violations())
            {
                FAIL_CHECK(violation);
            }
        }
        if (wanted != nullptr)
        {
            print(keep_whole_workers ? "whole workers kept" : "as before", sum);
        }
        CHECK(sum.runs > 0);
        // No cycle: work of lower priority, once stopped, does not stop other work in turn, and a
        // group stops work once for each of its starts.
        CHECK(sum.preemptions > 0);
        CHECK(sum.preemptions <= sum.urgent_starts);
    }
}

} // namespace
