#pragma once

#include "chicorylift/batch/scheduler.hpp"

#include <memory>

namespace chicorylift::batch
{

/// What run times are learned for: from the most specific to the most general.
struct run_kind
{
    core::organisation_id organisation;
    queue_id queue;
    core::service_id service;
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
};

/// Learns run times and worker speeds from progress and finished runs.
///
/// Answers load whose declared run times are wrong, whose tail is long, and workers of unequal
/// speed. Owns no clock. Without samples, run times are as declared and all speeds are 1.
class run_time_model
{
public:
    run_time_model();
    ~run_time_model();
    run_time_model(const run_time_model&) = delete;
    run_time_model& operator=(const run_time_model&) = delete;

    /// Records a run that succeeded without being restored from a checkpoint.
    void record_finished(const run_kind& kind, const agent_id& worker, core::milliseconds declared,
                         core::milliseconds run_time);
    /// Records that a run has gained @p percent of its work in @p time.
    void record_progress(const run_kind& kind, const agent_id& worker, core::milliseconds declared,
                         std::int64_t percent, core::milliseconds time);
    /// Forgets a worker's speed, since its process has restarted.
    void reset_worker(const agent_id& worker);

    /// @return the worker's speed relative to the typical worker of its service; 1 when unknown.
    [[nodiscard]] double speed_of(const agent_id& worker) const;
    /// @return the expected run time of a unit on a worker of the given speed.
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
