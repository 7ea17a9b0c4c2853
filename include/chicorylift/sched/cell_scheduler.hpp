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

/// Pure scheduling decisions for one cell: state, event and time in, decisions out.
namespace chicorylift::sched
{

struct cell_state;

/// Worker as it announced itself.
struct worker_info
{
    core::worker_id id;
    core::rack_id rack;
    core::resources capacity;
};

/// Kind of step that the caller must carry out.
enum class decision_kind
{
    /// Start the gang at the given placement.
    start,
    /// Stop all parts of the gang, after a checkpoint if it can be checkpointed.
    stop,
    /// Tell the owner that the job will never run.
    refuse,
    /// Tell the owner that the job may have run and will not run again.
    report_outcome_unknown,
};

/// @return the kind's name.
[[nodiscard]] std::string_view to_text(decision_kind kind) noexcept;

/// Why a gang is stopped.
enum class stop_reason
{
    none,
    preempted,
    worker_lost,
    cancelled,
};

/// @return the reason's name.
[[nodiscard]] std::string_view to_text(stop_reason reason) noexcept;

/// One step to carry out.
struct decision
{
    decision_kind kind = decision_kind::start;
    core::job_id job;
    std::vector<task_placement> placement;
    stop_reason reason = stop_reason::none;
    std::string detail;
};

/// How a gang ended by itself.
enum class job_outcome
{
    succeeded,
    failed,
};

/// Guaranteed shape that has no footprint at the moment.
struct guarantee_shortfall
{
    core::organisation_id organisation;
    std::string shape;
    core::instant since;
};

/// Figures about the cell as a whole, all in accelerators.
struct cell_stats
{
    std::int64_t capacity{};
    std::int64_t used{};
    std::int64_t free{};
    /// Free accelerators on wholly or partly free workers that form the largest placeable gang.
    std::int64_t largest_gang{};
    std::size_t queued{};
    std::size_t running{};

    /// @return one minus the largest placeable gang's share of the free accelerators.
    [[nodiscard]] double fragmentation() const noexcept;
};

/// Places gangs in one cell under guarantees; owns no thread, socket or clock.
class cell_scheduler
{
public:
    explicit cell_scheduler(const scheduling_policy& policy);
    ~cell_scheduler();
    cell_scheduler(cell_scheduler&&) noexcept;
    cell_scheduler& operator=(cell_scheduler&&) noexcept;
    cell_scheduler(const cell_scheduler&) = delete;
    cell_scheduler& operator=(const cell_scheduler&) = delete;

    /// Takes a worker in, or takes in its changed capacity.
    void worker_joined(const worker_info& worker);
    /// Gives the worker no further tasks.
    void worker_draining(const core::worker_id& worker);
    /// Drops the worker; gangs with a part on it are stopped whole.
    void worker_lost(const core::worker_id& worker);
    /// Applies a configuration version, with the policy that its preset names.
    void apply_config(const quota::resolved_config& terms, const scheduling_policy& policy);
    /// Allows or forbids stopping work to make room, as when the configuration is stale.
    void set_preemption_allowed(bool allowed);

    /// Queues a job.
    void submit(const job_spec& spec, core::instant now);
    /// Takes in a gang that already runs, after a change of lead.
    void restore(const job_spec& spec, const std::vector<task_placement>& placement,
                 core::instant started);
    /// Drops a queued job at once; a placed one is stopped.
    void cancel(const core::job_id& job);

    /// Reports that all parts of the gang run.
    void job_started(const core::job_id& job, core::instant now);
    /// Reports that @p worker refused its part and that no part has started.
    void start_refused(const core::job_id& job, const core::worker_id& worker, core::instant now);
    /// Reports a saved checkpoint.
    void job_checkpointed(const core::job_id& job, core::instant now);
    /// Reports the gang's end; @p culprit is the worker where a task failed, if one did.
    void job_finished(const core::job_id& job, job_outcome end,
                      const std::optional<core::worker_id>& culprit, core::instant now);
    /// Reports that no part of a gang runs any more, whether it was told to stop or not.
    void job_stopped(const core::job_id& job, core::instant now);

    /// Decides all that can be decided now.
    [[nodiscard]] std::vector<decision> decide(core::instant now);

    /// @return what an operator should know about the job, or nothing when it isn't here.
    [[nodiscard]] std::optional<explanation> explain(const core::job_id& job,
                                                     core::instant now) const;
    /// @return the guaranteed shapes without a footprint.
    [[nodiscard]] std::vector<guarantee_shortfall> shortfalls() const;
    /// @return figures about capacity, use and fragmentation.
    [[nodiscard]] cell_stats stats() const;
    /// @return an organisation's accelerators in use.
    [[nodiscard]] std::int64_t used_accelerators(const core::organisation_id& organisation) const;
    /// @return accelerators guaranteed to the organisation and not in its use.
    [[nodiscard]] std::int64_t unused_guarantee(const core::organisation_id& organisation) const;
    /// @return bytes that the state takes, counted over its containers.
    [[nodiscard]] std::size_t state_bytes() const;

    /// Checks that every guaranteed shape can be reclaimed and that the accounts add up.
    /// @return an error that names the worker or the shape at fault.
    [[nodiscard]] absl::Status check_invariants() const;

private:
    std::unique_ptr<cell_state> state;
};

/// Checks that all guaranteed shapes of @p terms fit @p workers at once.
/// @return an error that names the organisation, the shape and what is missing.
[[nodiscard]] absl::Status check_placeable(const quota::resolved_config& terms,
                                           const std::vector<worker_info>& workers);

/// Checks that a job could run on @p workers if they were empty, within its limit.
/// @return an error that names what the job asks for and what there is.
[[nodiscard]] absl::Status check_runnable(const job_spec& spec, const quota::resolved_config& terms,
                                          const std::vector<worker_info>& workers);

} // namespace chicorylift::sched
