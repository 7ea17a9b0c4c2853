#include "workload.hpp"

#include <algorithm>
#include <cmath>
#include <random>

namespace chicorylift::benchmark
{

namespace
{

using core::milliseconds;

constexpr std::size_t workers_today = 11;
constexpr std::size_t workers_per_rack = 3;
constexpr double minute_ms = 60'000.0;
constexpr double hour_ms = 60.0 * minute_ms;
constexpr double day_ms = 24.0 * hour_ms;
constexpr int days = 4;

/// Recurring work of one organisation.
struct job_kind
{
    std::string organisation;
    std::string kind;
    sched::priority_class urgency = sched::priority_class::standard;
    std::int64_t tasks = 1;
    std::int64_t accelerators = 1;
    quota::topology_level within = quota::topology_level::zone;
    bool idempotent = true;
    bool checkpointable = false;
    double median_minutes = 10.0;
    /// Standard deviation of the logarithm of run times: 1.0 gives a heavy tail.
    double spread = 1.0;
    double per_day = 10.0;
    /// Share of the day's jobs that arrive within the burst.
    double burst_share = 0.0;
    double burst_at_hour = 0.0;
    double burst_hours = 1.0;
};

class generator
{
public:
    generator(std::uint32_t seed, double load) : random(seed), load(load) {}

    void add(workload& all, const job_kind& kind)
    {
        std::poisson_distribution<int> count(kind.per_day * this->load);
        for (int day = 0; day < days; ++day)
        {
            const int jobs = count(this->random);
            for (int job = 0; job < jobs; ++job)
            {
                all.jobs.push_back(this->make(kind, day));
            }
        }
    }

    void finish(workload& all) const
    {
        std::stable_sort(all.jobs.begin(), all.jobs.end(),
                         [](const arriving_job& left, const arriving_job& right)
                         { return left.arrives < right.arrives; });
        for (std::size_t index = 0; index < all.jobs.size(); ++index)
        {
            all.jobs[index].spec.id = core::job_id("j" + std::to_string(index));
        }
        all.window = milliseconds{static_cast<std::int64_t>(days * day_ms)};
    }

private:
    arriving_job make(const job_kind& kind, int day)
    {
        std::uniform_real_distribution<double> share(0.0, 1.0);
        std::lognormal_distribution<double> run(std::log(kind.median_minutes), kind.spread);
        // Declared run times are off by up to ten times either way.
        std::uniform_real_distribution<double> exponent(-1.0, 1.0);
        const bool in_burst = share(this->random) < kind.burst_share;
        const double hour = in_burst ? kind.burst_at_hour + share(this->random) * kind.burst_hours
                                     : share(this->random) * 24.0;
        constexpr double shortest_minutes = 0.2;
        constexpr double longest_minutes = 36.0 * 60.0;
        const double minutes = std::clamp(run(this->random), shortest_minutes, longest_minutes);
        arriving_job job;
        job.arrives = milliseconds{static_cast<std::int64_t>(day * day_ms + hour * hour_ms)};
        job.runs = milliseconds{static_cast<std::int64_t>(minutes * minute_ms)};
        job.spec.organisation = core::organisation_id(kind.organisation);
        job.spec.kind = kind.kind;
        job.spec.priority = kind.urgency;
        job.spec.tasks = kind.tasks;
        job.spec.per_task = {kind.accelerators, kind.accelerators * 3, kind.accelerators * 12};
        job.spec.within = kind.within;
        job.spec.idempotent = kind.idempotent;
        job.spec.checkpointable = kind.checkpointable;
        job.spec.declared_run_time = milliseconds{static_cast<std::int64_t>(
            minutes * minute_ms * std::pow(10.0, exponent(this->random)))};
        return job;
    }

    std::mt19937 random;
    double load;
};

quota::organisation_quota organisation(const std::string& name,
                                       std::vector<quota::resolved_shape> guarantees)
{
    constexpr std::int64_t no_limit = 1'000'000;
    return {core::organisation_id(name), std::move(guarantees), {no_limit, no_limit, no_limit}, 0};
}

quota::resolved_shape shape(const std::string& name, std::int64_t tasks, std::int64_t accelerators,
                            quota::topology_level within)
{
    return {name, tasks, {accelerators, accelerators * 3, accelerators * 12}, within};
}

} // namespace

std::vector<sched::worker_info> site_workers(std::size_t count)
{
    std::vector<sched::worker_info> workers;
    workers.reserve(count);
    for (std::size_t index = 0; index < count; ++index)
    {
        workers.push_back({core::worker_id("w" + std::to_string(index)),
                           core::rack_id("r" + std::to_string(index / workers_per_rack)),
                           {8, 32, 128}});
    }
    return workers;
}

workload menhely_mix(std::uint32_t seed, double load)
{
    using quota::topology_level;
    using sched::priority_class;
    workload all;
    all.name = "menhely";
    all.workers = site_workers(workers_today);
    all.terms.preset_name = "ordinary";
    all.terms.organisations = {
        organisation("intake", {shape("tagging", 2, 4, topology_level::rack)}),
        organisation("matching", {shape("quick", 4, 2, topology_level::zone)}),
        organisation("cleanup", {shape("night", 1, 8, topology_level::worker)}),
        organisation("research", {})};
    generator jobs(seed, load);
    // Weekend uploads come in bursts; matches must be quick; clean-up runs at night.
    jobs.add(all, {"intake", "photo-tagging", priority_class::standard, 1, 2,
                   topology_level::worker, true, false, 12, 1.0, 420, 0.5, 17, 3});
    jobs.add(all, {"intake", "retag-shelter", priority_class::standard, 2, 4, topology_level::rack,
                   true, true, 60, 0.8, 14, 0.3, 9, 2});
    jobs.add(all, {"matching", "quick-match", priority_class::urgent, 1, 2, topology_level::worker,
                   false, false, 2, 0.6, 300, 0.3, 18, 3});
    jobs.add(all, {"cleanup", "descriptions", priority_class::batch, 1, 4, topology_level::worker,
                   true, true, 90, 1.0, 40, 0.8, 22, 2});
    jobs.add(all, {"research", "train", priority_class::batch, 2, 8, topology_level::rack, true,
                   true, 240, 1.0, 7, 0.0, 0, 1});
    jobs.add(all, {"research", "probe", priority_class::standard, 1, 1, topology_level::worker,
                   true, false, 20, 1.4, 120, 0.0, 0, 1});
    jobs.finish(all);
    return all;
}

workload shabdajaal_mix(std::uint32_t seed, double load)
{
    using quota::topology_level;
    using sched::priority_class;
    workload all;
    all.name = "shabdajaal";
    all.workers = site_workers(workers_today);
    all.terms.preset_name = "ordinary";
    all.terms.organisations = {
        organisation("press", {shape("sunday-proof", 2, 8, topology_level::rack)}),
        organisation("setters", {shape("checks", 4, 2, topology_level::zone)}),
        organisation("scoring", {shape("clues", 1, 8, topology_level::worker)}),
        organisation("archive", {})};
    generator jobs(seed, load);
    // Editors pull proofs each evening; small checks come all day and scatter the free room.
    jobs.add(all, {"press", "proof", priority_class::urgent, 2, 8, topology_level::rack, true, true,
                   25, 0.6, 16, 0.6, 16, 3});
    jobs.add(all, {"press", "full-edition", priority_class::standard, 3, 8, topology_level::rack,
                   true, true, 50, 0.6, 6, 0.7, 15, 3});
    jobs.add(all, {"setters", "grid-check", priority_class::standard, 1, 1, topology_level::worker,
                   false, false, 15, 1.0, 380, 0.3, 10, 4});
    jobs.add(all, {"scoring", "clue-score", priority_class::standard, 1, 4, topology_level::worker,
                   true, true, 45, 1.1, 70, 0.2, 13, 3});
    jobs.add(all, {"archive", "layout-model", priority_class::batch, 4, 4, topology_level::rack,
                   true, true, 120, 1.0, 10, 0.0, 0, 1});
    jobs.add(all, {"archive", "reindex", priority_class::batch, 1, 2, topology_level::worker, true,
                   false, 60, 1.3, 90, 0.0, 0, 1});
    jobs.finish(all);
    return all;
}

} // namespace chicorylift::benchmark
