#pragma once

#include "chicorylift/quota/quota.hpp"
#include "chicorylift/sched/cell_scheduler.hpp"
#include "chicorylift/sched/job.hpp"

#include <cstdint>
#include <string>
#include <vector>

/// Workloads and the event loop that replays them over the shipped decisions.
namespace chicorylift::benchmark
{

/// One job of a workload, with the run time that only the replay knows.
struct arriving_job
{
    sched::job_spec spec;
    core::milliseconds arrives{};
    core::milliseconds runs{};
};

/// Jobs, workers and contracts of one user.
struct workload
{
    std::string name;
    std::vector<sched::worker_info> workers;
    quota::resolved_config terms;
    std::vector<arriving_job> jobs;
    /// End of the arrivals; figures of use are taken up to here.
    core::milliseconds window{};
};

/// Accelerators from which a gang counts as large.
inline constexpr std::int64_t large_gang_accelerators = 16;

/// @return @p count workers of 8 accelerators, three to a rack.
[[nodiscard]] std::vector<sched::worker_info> site_workers(std::size_t count);

/// Both mixes take the number of jobs a day times @p load.

/// Many short taggings in bursts, quick matches, long clean-ups at night.
[[nodiscard]] workload menhely_mix(std::uint32_t seed, double load = 1.0);
/// Grid checks, clue scoring, and large adjacent proof gangs towards each evening.
[[nodiscard]] workload shabdajaal_mix(std::uint32_t seed, double load = 1.0);

} // namespace chicorylift::benchmark
