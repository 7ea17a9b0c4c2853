#pragma once

#include "chicorylift/batch/job.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace chicorylift::batch
{

/// Name of an agent. It stays the same when the agent or its worker restarts.
using agent_id = core::text_id<struct agent_tag>;

/// Properties of a worker, as its agent reports them.
struct worker_info
{
    core::worker_id id;
    /// Start time of the worker process. A changed value means that the worker restarted and lost
    /// all its state.
    unix_time started_at{};
    core::service_id service;
    resource_amount capacity;
    std::vector<std::string> labels;
    core::rack_id rack;
    core::zone_id zone;
    /// The worker is being drained and gets no new units.
    bool draining = false;
    /// The worker has registered with its agent; the fields above are valid only then.
    bool announced = false;
    /// The worker does not answer its agent.
    bool unresponsive = false;
};

/// Phase of one unit's run on a worker.
enum class run_phase
{
    /// The start command was sent but not confirmed; the unit may start at any moment.
    starting,
    running,
    stopping,
};

/// One unit's run as an agent reports it.
struct reported_run
{
    unit_key unit;
    run_number run{};
    run_phase phase = run_phase::starting;
    std::string checkpoint;
    /// Completed share of the work, in percent.
    std::int64_t progress_percent{};
};

/// How a run ended.
enum class run_outcome
{
    succeeded,
    failed,
    stopped,
    lease_expired,
    /// Another member of the gang ended first.
    gang_aborted,
    /// The other members of the gang did not start in time.
    gang_start_timeout,
    /// The worker refused the start, or a stop command arrived before it.
    never_started,
};

/// @return the outcome's text in logs and messages.
[[nodiscard]] std::string_view to_text(run_outcome kind) noexcept;

/// End of a run as an agent reports it.
struct reported_end
{
    /// Sequence number in the worker's list of ended runs; 0 for a run that never started.
    std::uint64_t number{};
    unit_key unit;
    run_number run{};
    run_outcome outcome = run_outcome::stopped;
    std::string checkpoint;
    /// Why the worker refused the start; empty otherwise.
    std::string reason;
};

/// Periodic report of an agent: the state of its worker and of the worker's runs.
struct worker_report
{
    agent_id agent;
    worker_info worker;
    /// `runs` and `ends` were read from the worker in the scheduler's epoch.
    bool lists_valid = false;
    /// Further runs may have ended on the worker that are in neither list.
    bool lists_incomplete = false;
    /// Time since `runs` and `ends` were read.
    core::milliseconds lists_age{};
    std::vector<reported_run> runs;
    std::vector<reported_end> ends;
    /// The agent's process is shutting down; its worker keeps running.
    bool agent_stopping = false;
};

/// Persisted state of a job.
enum class job_outcome
{
    unfinished,
    completed,
    failed,
};

/// Units of one step of one occurrence that have succeeded.
struct completed_units
{
    std::int64_t occurrence{};
    std::int64_t step{};
    /// Indices of the units; empty means all units of the step.
    std::vector<std::int64_t> units;
};

/// Failed run, which counts towards the attempt limit of its unit or gang.
struct failed_run
{
    std::int64_t occurrence{};
    std::int64_t step{};
    /// Index of the unit; 0 for a gang.
    std::int64_t unit{};
    run_number run{};
};

/// Newest checkpoint of a unit or gang; the next run resumes from it. Any member's checkpoint is
/// valid for its whole gang.
struct unit_checkpoint
{
    std::int64_t occurrence{};
    std::int64_t step{};
    /// Index of the unit; 0 for a gang.
    std::int64_t unit{};
    std::string checkpoint;
};

/// Persisted progress of a job; a new leader restores the job from it.
struct job_progress
{
    job_outcome outcome = job_outcome::unfinished;
    /// Number of steps in each occurrence.
    std::int64_t steps{};
    std::vector<completed_units> completed;
    std::vector<failed_run> failed;
    /// Checkpoints of units that have not succeeded yet.
    std::vector<unit_checkpoint> checkpoints;
    /// Agents whose workers may have run a unit of the job.
    std::set<agent_id> agents;
};

/// Command for one agent: start or stop one unit.
struct agent_command
{
    enum class action
    {
        start,
        stop,
    };
    action what = action::start;
    agent_id agent;
    unit_key unit;
    run_number run{};
    /// Payload and checkpoint; set only for a start.
    std::string payload;
    std::string checkpoint;
};

/// Why work of a run was thrown away.
enum class loss_reason
{
    /// Stopped for a reason without a value of its own.
    stopped,
    preempted,
    stalled,
    worker_lost,
    worker_drained,
    /// The run was missing from its worker's reports.
    run_missing,
    cancelled,
    /// The job failed because of another unit.
    job_failed,
    /// The unit was done or had another run.
    superseded,
    gang_member_ended,
    /// Not all members of the gang started.
    gang_incomplete,
    /// The unit itself failed.
    failed,
};

/// @return the reason's text in logs and metrics.
[[nodiscard]] std::string_view to_text(loss_reason reason) noexcept;

/// Work of a run since its last checkpoint.
struct lost_work
{
    /// An accelerator counts as 8 cores.
    double core_seconds{};
    loss_reason reason = loss_reason::stopped;
    /// The run has ended, so the loss is final. Otherwise it is what the stop is expected to lose.
    bool is_final = false;
};

/// Scheduling decision, for the log.
struct decision_record
{
    /// Event name; docs/OPERATIONS.md lists them.
    std::string_view event;
    core::job_id job;
    std::string detail;
    /// Time that the placed units waited. It and the two fields below are set only for placements.
    std::optional<core::milliseconds> waited;
    core::organisation_id organisation;
    queue_id queue;
    /// Why the job waits, one of few fixed texts; set only for `job_waiting`.
    std::string_view reason{};
    /// Set only for `run_stopped` and for a `run_ended` without success.
    std::optional<lost_work> lost = std::nullopt;
};

/// Expected and actual run time of a unit or gang that succeeded, for the metrics.
struct run_time_sample
{
    queue_id queue;
    core::milliseconds expected{};
    core::milliseconds actual{};
};

/// Tunable weights of placement and preemption; the two weightings that users can choose differ in
/// these values only.
struct placement_weights
{
    /// Urgent work beyond its organisation's guarantee may preempt runs whose lost work, in
    /// core-seconds, is at most preemption_cost_base + preemption_cost_factor * (its own work).
    double preemption_cost_base = 190;
    double preemption_cost_factor = 0.9;
    /// Orders jobs of equal priority by size, smallest first; otherwise by waiting time.
    bool smallest_job_first = false;
    /// A job gets a backfill reservation after this fraction of its allowed waiting time; values
    /// above 1 disable reservations.
    double reservation_threshold = 0;
};

/// Which leaders may have started units of a job.
enum class job_origin
{
    earlier_leader,
    /// The job was accepted after this leader's row was written. An earlier leader that still reads
    /// the store finds that row, and its end, no later than the job.
    this_leader,
};

/// Settings of a site's scheduler.
struct scheduler_settings
{
    /// Epoch of the leader. It forms the high bits of run numbers, so that a later leader's run
    /// numbers are always higher.
    std::uint64_t epoch = 1;
    /// Time after the leader's last answer to an agent by which the agent's worker has stopped all
    /// its runs. Includes a margin for slow clocks.
    core::milliseconds lease_timeout = std::chrono::milliseconds{6200};
    /// An unacknowledged command is sent again after this time.
    core::milliseconds command_retry_interval = std::chrono::milliseconds{800};
    /// Factor by which a unit takes longer outside the rack that holds its data or gang.
    double remote_factor = 3;
    /// Time that a resumed run takes to restore its checkpoint; the cost of preempting it.
    core::milliseconds restore_time = std::chrono::milliseconds{600};
    placement_weights weights;
    /// Interval at which checkpoints of running units are persisted. When all workers lose power at
    /// once, up to this much work is lost on top of the workers' own checkpoint interval.
    core::milliseconds checkpoint_write_interval = std::chrono::milliseconds{1000};
    /// Longest wait for room in the rack that holds the data, or in one rack for a whole gang.
    core::milliseconds rack_locality_wait = std::chrono::milliseconds{2000};
    /// Expects run times and worker speeds as learned from finished runs, not as declared.
    bool learn_run_times = false;
    /// Orders jobs of equal priority by the value that their callers can still get.
    bool order_by_value = false;
    /// Orders jobs of equal priority by what their organisations hold already.
    bool fair_shares = false;
    /// Keeps workers whole for units that need a whole worker.
    bool keep_whole_workers = false;
};

/// What still keeps an availability zone from being switched off.
struct zone_use
{
    std::size_t workers{};
    /// Units that run on workers of the zone.
    std::size_t running_units{};
    /// Units whose start or stop their agents have not confirmed.
    std::size_t unconfirmed_starts{};
    /// Ended runs that only the zone's workers know until they are persisted.
    std::size_t unpersisted_ends{};
    /// Workers of the zone whose run lists this leader has not read.
    std::size_t unread_workers{};
    /// Workers that may be in the zone: they have not announced themselves to this leader.
    std::size_t unknown_workers{};
    /// When the last run is expected to end; the latest time for long-running units.
    core::instant last_end{};

    /// @return whether no work would be lost.
    [[nodiscard]] bool is_idle() const noexcept
    {
        return this->running_units + this->unconfirmed_starts + this->unpersisted_ends +
                   this->unread_workers + this->unknown_workers ==
               0;
    }
};

/// Places the jobs of one site on its workers; owns no thread, socket or clock.
///
/// Handles bursts of small and large gangs, preemption for guaranteed work, workers that are lost,
/// fail or stall, and cancellations. Not thread-safe.
class site_scheduler
{
public:
    /// @param takeover when this leader took over. Units on agents that do not report count as
    ///        running until `lease_timeout` after it.
    site_scheduler(scheduler_settings settings, core::instant takeover);
    ~site_scheduler();
    site_scheduler(const site_scheduler&) = delete;
    site_scheduler& operator=(const site_scheduler&) = delete;

    /// Sets the policies of all queues and the number of accelerators guaranteed to each
    /// organisation.
    void set_policies(std::map<queue_id, queue_policy> queues,
                      std::map<core::organisation_id, std::int64_t> guaranteed);
    /// Adds an accepted job with its persisted progress; no effect when the job is present.
    /// @param accepted_version version of the store at which the job was accepted, or a later one;
    ///        see confirm_version().
    void add_job(job_spec job, const job_progress& progress, bool cancelled, core::instant now,
                 job_origin origin = job_origin::earlier_leader,
                 std::uint64_t accepted_version = 0);
    /// Stops a job's units and starts no more.
    void cancel_job(const core::job_id& job);
    /// Removes an ended job.
    void remove_job(const core::job_id& job);
    /// Sets the zones whose workers get no further work. Runs whose start a worker of such a zone
    /// has not confirmed are stopped, and reservations there are dropped; other runs continue.
    /// Workers of a zone that is no longer in the set are filled gradually.
    void set_evacuated_zones(std::set<core::zone_id> zones, core::instant now);
    /// Holds all placements and starts, or ends that; stops and ends are processed all the same.
    void hold_starts(bool held);
    [[nodiscard]] zone_use use_of_zone(const core::zone_id& zone, core::instant now) const;
    /// Registers an agent that has not reported yet; no effect when it is registered.
    void add_agent(const agent_id& agent);
    /// Assumes that every job may be running on every agent that has not reported. Needed after a
    /// takeover from a leader that started units before their agents were persisted. Holds for jobs
    /// and agents that are added later too, but not for jobs that no earlier leader knew.
    void assume_runs_on_unreported_agents();

    /// Sets the time from which the leases of agents that do not report are counted, if it is later
    /// than the takeover; see takeover_guard::followed_since().
    void count_leases_from(core::instant start);

    /// Sets the time until which no later leader can have renewed a lease. A lease counts as lapsed
    /// only if it had by then, or by the agent's last report. Without a call that is always now.
    void confirm_leadership(core::instant until);

    /// Sets the version of the store up to which no later leader's row was written. Units of jobs
    /// that were accepted in a later version start only once their agents are persisted: a later
    /// leader does not expect an earlier one to know these jobs. Without a call that holds for
    /// none.
    void confirm_version(std::uint64_t version);

    /// Applies an agent's report.
    void on_report(const worker_report& report, core::instant now);
    /// Records that a lease renewal was sent to an agent.
    void on_renewal_sent(const agent_id& agent, core::instant now);

    /// Runs one scheduling pass.
    /// @param wall_time wall-clock time, which decides which scheduled occurrences are due.
    /// @param allow_unpersisted_starts starts units before their agents are persisted; see
    /// takeover_guard.
    /// @return commands to send to agents.
    [[nodiscard]] std::vector<agent_command> schedule(core::instant now, unix_time wall_time,
                                                      bool allow_unpersisted_starts);

    /// Returns the commands that are due without placing further units: those of runs whose agents
    /// have been persisted since the last pass. Much cheaper than schedule().
    [[nodiscard]] std::vector<agent_command> due_commands(core::instant now,
                                                          bool allow_unpersisted_starts);

    /// @return version of a job's latest unpersisted change; 0 when all changes are persisted.
    [[nodiscard]] std::uint64_t unpersisted_version(const core::job_id& job) const;
    /// @return jobs with unpersisted changes, urgent writes first; see is_write_urgent().
    [[nodiscard]] std::vector<core::job_id> unpersisted_jobs() const;
    /// @return the progress to persist for a job, which must be present.
    [[nodiscard]] job_progress progress_of(const core::job_id& job) const;
    /// @return whether the job's final outcome or a start waits for the write.
    [[nodiscard]] bool is_write_urgent(const core::job_id& job) const;
    /// Records that a job's changes up to @p version are persisted.
    void on_persisted(const core::job_id& job, std::uint64_t version);
    /// @return the worker's start time, and the number of the last ended run that it may remove
    ///         from its list.
    [[nodiscard]] std::pair<unix_time, std::uint64_t> acknowledged_end(const agent_id& agent);

    /// @return the job's outcome; empty when the job is not present. A job that is cancelled before
    ///         it ends stays unfinished until it is removed.
    [[nodiscard]] std::optional<job_outcome> outcome_of(const core::job_id& job) const;
    /// @return ended or cancelled jobs without runs and without changes left to persist.
    [[nodiscard]] std::vector<core::job_id> removable_jobs() const;
    /// @return number of runs that hold resources, over all workers.
    [[nodiscard]] std::size_t active_runs() const noexcept;
    /// @return number of units that were ready to run at the start of the last schedule().
    [[nodiscard]] std::size_t pending_units() const noexcept;
    /// @return placement searches of the last schedule(); its cost grows with them.
    [[nodiscard]] std::size_t placement_attempts() const noexcept;
    /// @return the decisions since the last call, for the log; clears them.
    [[nodiscard]] std::vector<decision_record> take_records();
    /// @return the run times learned since the last call; clears them. Empty unless
    ///         `learn_run_times` is set.
    [[nodiscard]] std::vector<run_time_sample> take_run_times();

private:
    struct implementation;
    std::unique_ptr<implementation> inner;
};

} // namespace chicorylift::batch
