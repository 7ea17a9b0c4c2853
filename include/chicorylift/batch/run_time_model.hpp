#pragma once

#include "chicorylift/batch/scheduler.hpp"

#include <memory>
#include <string>

namespace chicorylift::batch
{

/// What run times are learned for: from the most specific to the most general.
struct run_kind
{
    core::organisation_id organisation;
    queue_id queue;
    core::service_id service;
    /// The run is a gang, which ends with its slowest member. Gangs have distributions of their
    /// own, which thus hold the longest of the members' times.
    bool gang = false;
    /// Runs with the same text are of one step, so that their workers' speeds can be compared
    /// whatever the step declares. Empty if unknown.
    std::string step;
};

/// A run whose remaining time is asked for.
struct run_progress
{
    /// Estimate that the caller declared.
    core::milliseconds declared{};
    /// Time since the run started.
    core::milliseconds elapsed{};
    /// Completed share of the work, in percent; 0 when nothing was reported.
    std::int64_t percent{};
    /// Share of the work that was observed being done, in percent, and the time that it took.
    std::int64_t gained{};
    core::milliseconds gained_in{};
    /// Share of the work that was done before the run started, in percent.
    std::int64_t restored{};
};

/// Learns run times and worker speeds from progress and finished runs.
///
/// Answers load whose declared run times are wrong, whose tail is long, and workers of unequal
/// speed. Owns no clock: samples are decayed by newer samples. Memory is bounded. Without samples,
/// run times are as declared and all speeds are 1.
class run_time_model
{
public:
    run_time_model();
    ~run_time_model();
    run_time_model(const run_time_model&) = delete;
    run_time_model& operator=(const run_time_model&) = delete;

    /// Records a run that succeeded without being restored from a checkpoint.
    /// @param worker the run's worker; the slowest one of a gang.
    /// @param reported share of the work that record_progress() has received, in percent.
    /// @return false if the values are not plausible and were ignored.
    bool record_finished(const run_kind& kind, const agent_id& worker, core::milliseconds declared,
                         core::milliseconds run_time, std::int64_t reported = 0);
    /// Records that a run has gained @p percent of its work in @p time.
    /// @return false if the values are not plausible and were ignored.
    bool record_progress(const run_kind& kind, const agent_id& worker, core::milliseconds declared,
                         std::int64_t percent, core::milliseconds time);
    /// Forgets a worker's speed, since its process has restarted.
    void reset_worker(const agent_id& worker);

    /// @return the worker's speed relative to the typical worker of its service; 1 when it is
    ///         unknown or does not clearly differ.
    [[nodiscard]] double speed_of(const agent_id& worker) const;
    /// @return whether enough runs have finished for the kind, its queue or its service.
    [[nodiscard]] bool has_run_times(const run_kind& kind) const;
    /// @return the expected run time of a unit or gang on a worker of the given speed: the median.
    [[nodiscard]] core::milliseconds
    expected_total(const run_kind& kind, core::milliseconds declared, double speed = 1) const;
    /// @return the expected remaining time, given how long the run has lasted already.
    [[nodiscard]] core::milliseconds
    expected_remaining(const run_kind& kind, const run_progress& progress, double speed = 1) const;

private:
    struct implementation;
    std::unique_ptr<implementation> inner;
};

} // namespace chicorylift::batch
