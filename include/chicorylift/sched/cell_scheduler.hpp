#pragma once

#include "chicorylift/core/ids.hpp"
#include "chicorylift/core/resources.hpp"
#include "chicorylift/core/time.hpp"
#include "chicorylift/quota/quota.hpp"
#include "chicorylift/sched/job.hpp"
#include "chicorylift/sched/scheduling_policy.hpp"

#include <absl/status/status.h>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// Deterministic scheduler for one cell. Events and the current time are its only inputs; its
/// decisions are its only output.
namespace chicorylift::sched
{

struct cell_state;

/// Identity, rack and capacity that a worker registered with.
struct worker_info
{
    core::worker_id id;
    core::rack_id rack;
    core::resources capacity;
};

/// Action that the caller must carry out.
enum class decision_kind
{
    /// Start the gang at the given placement.
    start,
    /// Stop all parts of the gang, after a checkpoint if it can be checkpointed.
    stop,
    /// Report to the job's owner that the job will never run.
    refuse,
    /// Report to the job's owner that the job may have run and will not be run again.
    report_outcome_unknown,
};

/// @return the kind's external name, which may differ from the enumerator's.
[[nodiscard]] std::string_view to_text(decision_kind kind) noexcept;

/// Why a gang is stopped.
enum class stop_reason
{
    none,
    preempted,
    worker_lost,
    cancelled,
};

/// @return the reason's external name, which may differ from the enumerator's.
[[nodiscard]] std::string_view to_text(stop_reason reason) noexcept;

/// One scheduling decision about one job.
struct decision
{
    decision_kind kind = decision_kind::start;
    core::job_id job;
    std::vector<task_placement> placement;
    stop_reason reason = stop_reason::none;
    std::string detail;
};

/// Outcome of a gang that ended without being stopped.
enum class job_outcome
{
    succeeded,
    failed,
};

/// Guaranteed shape for which no worker capacity is reserved at the moment.
struct guarantee_shortfall
{
    core::organisation_id organisation;
    std::string shape;
    core::instant since;
};

/// Cell-wide statistics; capacities are in accelerators.
struct cell_stats
{
    std::int64_t capacity{};
    std::int64_t used{};
    std::int64_t free{};
    /// Accelerators of the largest gang that could start now: the most free accelerators on the
    /// completely free workers of one rack, or on a single worker.
    std::int64_t largest_gang{};
    std::size_t queued{};
    std::size_t running{};

    /// @return 1 - largest_gang / free, or 0 when nothing is free.
    [[nodiscard]] double fragmentation() const noexcept;
};

/// Places the gangs of one cell so that every guarantee can be honoured. Uses no threads, I/O or
/// clock; not thread-safe.
class cell_scheduler
{
public:
    explicit cell_scheduler(const scheduling_policy& policy);
    ~cell_scheduler();
    cell_scheduler(cell_scheduler&&) noexcept;
    cell_scheduler& operator=(cell_scheduler&&) noexcept;
    cell_scheduler(const cell_scheduler&) = delete;
    cell_scheduler& operator=(const cell_scheduler&) = delete;

    /// Adds a worker, or updates the capacity of a registered one.
    void worker_joined(const worker_info& worker);
    /// Stops placing tasks on the worker; its running tasks continue.
    void worker_draining(const core::worker_id& worker);
    /// Marks the worker as lost and stops every gang that has tasks on it.
    void worker_lost(const core::worker_id& worker);
    /// Applies a configuration version and the scheduling policy that its preset selects.
    void apply_config(const quota::resolved_config& config, const scheduling_policy& policy);
    /// Enables or disables preemption. Callers disable it while the configuration is stale.
    void set_preemption_allowed(bool allowed);

    /// Queues a job; ignored when a job with that id is already present.
    void submit(const job_spec& spec, core::instant now);
    /// Restores a gang that is already running, after a change of leader.
    void restore(const job_spec& spec, const std::vector<task_placement>& placement,
                 core::instant started);
    /// Removes a queued job at once; stops a placed one.
    void cancel(const core::job_id& job);

    /// Reports that all parts of the gang are running.
    void job_started(const core::job_id& job, core::instant now);
    /// Reports that @p worker refused its part and that no part has started.
    void start_refused(const core::job_id& job, const core::worker_id& worker, core::instant now);
    /// Reports that the job has saved a checkpoint.
    void job_checkpointed(const core::job_id& job, core::instant now);
    /// Reports the gang's outcome; @p failed_worker is the worker where a task failed, if any.
    void job_finished(const core::job_id& job, job_outcome outcome,
                      const std::optional<core::worker_id>& failed_worker, core::instant now);
    /// Reports that no part of the gang is running any more, on request or otherwise.
    void job_stopped(const core::job_id& job, core::instant now);

    /// Runs one scheduling pass.
    /// @return the decisions made since the last call.
    [[nodiscard]] std::vector<decision> decide(core::instant now);

    /// @return the job's phase, placement and reason for waiting, or nothing when it is unknown.
    [[nodiscard]] std::optional<explanation> explain(const core::job_id& job,
                                                     core::instant now) const;
    /// @return the guaranteed shapes for which no capacity is reserved.
    [[nodiscard]] std::vector<guarantee_shortfall> shortfalls() const;
    /// @return capacity, usage and fragmentation of the cell.
    [[nodiscard]] cell_stats stats() const;
    /// @return an organisation's accelerators in use.
    [[nodiscard]] std::int64_t used_accelerators(const core::organisation_id& organisation) const;
    /// @return accelerators reserved for the organisation's guarantees that it does not use.
    [[nodiscard]] std::int64_t unused_guarantee(const core::organisation_id& organisation) const;
    /// @return approximate size of the state in bytes, summed over its containers.
    [[nodiscard]] std::size_t state_bytes() const;

    /// Checks that every guaranteed shape can be reclaimed and that the resource accounting is
    /// consistent.
    /// @return an error that names the worker or shape that violates an invariant.
    [[nodiscard]] absl::Status check_invariants() const;

private:
    std::unique_ptr<cell_state> state;
};

/// Checks that all guaranteed shapes of @p config fit on @p workers at the same time.
/// @return an error that names the organisation and the first shape that does not fit.
[[nodiscard]] absl::Status check_placeable(const quota::resolved_config& config,
                                           const std::vector<worker_info>& workers);

/// Checks that a job fits on @p workers when they are empty, and within its organisation's limit.
/// @return an error that names the requested and the available resources.
[[nodiscard]] absl::Status check_runnable(const job_spec& spec,
                                          const quota::resolved_config& config,
                                          const std::vector<worker_info>& workers);

} // namespace chicorylift::sched
