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

/// Name of an agent, and so of the place that its worker has.
using agent_id = core::text_id<struct agent_tag>;

/// What an agent knows of its worker.
struct worker_info
{
    core::worker_id id;
    /// Start of the worker's present life; another value means that it forgot everything.
    unix_time started_at{};
    core::service_id service;
    resource_amount capacity;
    std::vector<std::string> labels;
    core::rack_id rack;
    core::zone_id zone;
    /// The worker is leaving and gets nothing new.
    bool draining = false;
    /// The worker has announced itself, so that the fields above hold.
    bool announced = false;
    /// The worker does not answer its agent.
    bool unresponsive = false;
};

/// Phase of one unit's run on a worker.
enum class run_phase
{
    /// Ordered and not confirmed; it may begin at any moment.
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
    /// Share of the work that is done, in percent.
    std::int64_t progress_percent{};
};

/// How a run ended.
enum class run_outcome
{
    succeeded,
    failed,
    stopped,
    lease_expired,
    /// Another member of the gang ended.
    gang_aborted,
    /// The other members of the gang did not come in time.
    gang_start_timeout,
    /// The worker refused it, or a stop came first.
    never_started,
};

/// @return the kind's name.
[[nodiscard]] std::string_view to_text(run_outcome kind) noexcept;

/// End of a run as an agent reports it.
struct reported_end
{
    /// Position in the worker's list; 0 for a run that never started.
    std::uint64_t number{};
    unit_key unit;
    run_number run{};
    run_outcome outcome = run_outcome::stopped;
    std::string checkpoint;
    /// Why a start was refused.
    std::string reason;
};

/// One report of an agent.
struct worker_report
{
    agent_id agent;
    worker_info worker;
    /// The lists were read from the worker under the scheduler's epoch, and are complete.
    bool lists_valid = false;
    /// Time since they were read.
    core::milliseconds lists_age{};
    std::vector<reported_run> runs;
    std::vector<reported_end> ends;
    /// The agent's process is about to end; its worker goes on.
    bool agent_stopping = false;
};

/// State of a job as it is written.
enum class job_outcome
{
    unfinished,
    completed,
    failed,
};

/// Units of one step of one occurrence that have ended well; all of them when empty.
struct completed_units
{
    std::int64_t occurrence{};
    std::int64_t step{};
    std::vector<std::int64_t> units;
};

/// Run that counts against a unit's or gang's attempts.
struct failed_run
{
    std::int64_t occurrence{};
    std::int64_t step{};
    /// The first unit stands for a gang.
    std::int64_t unit{};
    run_number run{};
};

/// State that a unit, or any member of a gang, has saved and would resume from.
struct unit_checkpoint
{
    std::int64_t occurrence{};
    std::int64_t step{};
    /// The first unit stands for a gang.
    std::int64_t unit{};
    std::string checkpoint;
};

/// What must survive the scheduler's process.
struct job_progress
{
    job_outcome outcome = job_outcome::unfinished;
    std::vector<completed_units> completed;
    std::vector<failed_run> failed;
    /// Checkpoints of units that have not ended well.
    std::vector<unit_checkpoint> checkpoints;
    /// Agents whose workers may have run a unit of the job.
    std::set<agent_id> agents;
};

/// Order for one agent.
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
    /// Payload and checkpoint of a start.
    std::string payload;
    std::string checkpoint;
};

/// Decision, for the log.
struct decision_record
{
    /// Name from the list of events in docs/OPERATIONS.md.
    std::string_view event;
    core::job_id job;
    std::string detail;
    /// Set when units were placed: whose they are and how long they waited.
    std::optional<core::milliseconds> waited;
    core::organisation_id organisation;
    queue_id queue;
};

/// What the placing of work weighs; the users' two weightings differ here.
struct placement_weights
{
    /// Urgent work beyond its guarantee may cost others so many core-seconds of lost work ...
    double preemption_cost_base = 190;
    /// ... and this many times its own work more.
    double preemption_cost_factor = 0.9;
    /// Orders a queue's jobs by size, small ones first; else by arrival.
    bool smallest_job_first = false;
    /// Work that has used this share of its waiting time keeps room for itself; above 1, never.
    double reservation_threshold = 0;
};

/// Bounds of a scheduler.
struct scheduler_settings
{
    /// Epoch of the lead; run numbers begin with it, so that later leads' are higher.
    std::uint64_t epoch = 1;
    /// Time from an agent's report until its worker has dropped everything at the latest, counted
    /// from the lead's last answer; covers clocks that are slow.
    core::milliseconds lease_timeout = std::chrono::milliseconds{6200};
    /// An order without an answer is sent again after this long.
    core::milliseconds command_retry_interval = std::chrono::milliseconds{800};
    /// Factor on the duration of work away from its rack.
    double remote_factor = 3;
    /// Time that resumed work takes to come back to its checkpoint; what stopping it costs.
    core::milliseconds restore_time = std::chrono::milliseconds{600};
    placement_weights weights;
    /// Checkpoints of running work are written so often; when all workers lose power at once, work
    /// goes back by this much more than the workers' own interval.
    core::milliseconds checkpoint_write_interval = std::chrono::milliseconds{1000};
    /// Longest wait for the rack that holds the data or the gang.
    core::milliseconds rack_locality_wait = std::chrono::milliseconds{2000};
};

/// Places the jobs of one site on its workers; owns no thread, socket or clock.
///
/// Answers bursts of small and large gangs, reclaims of guarantees, workers that vanish, fail or
/// stall, and cancellations.
class site_scheduler
{
public:
    /// @param takeover when this lead took over; silent agents' work counts as alive until
    ///        a lapse later.
    site_scheduler(scheduler_settings settings, core::instant takeover);
    ~site_scheduler();
    site_scheduler(const site_scheduler&) = delete;
    site_scheduler& operator=(const site_scheduler&) = delete;

    /// Sets the terms of all queues and the accelerators guaranteed to organisations.
    void set_policies(std::map<queue_id, queue_policy> queues,
                      std::map<core::organisation_id, std::int64_t> guaranteed);
    /// Takes in an accepted job with what is already known of it.
    void add_job(job_spec job, const job_progress& progress, bool cancelled, core::instant now);
    /// Stops a job's units and starts no more.
    void cancel_job(const core::job_id& job);
    /// Forgets an ended job.
    void remove_job(const core::job_id& job);
    /// Makes an agent known that has not reported yet.
    void add_agent(const agent_id& agent);
    /// Takes every job as possibly running on every agent that has not reported; for a takeover
    /// from a lead that started work without writing where.
    void assume_runs_on_unreported_agents();

    /// Takes in an agent's report.
    void on_report(const worker_report& report, core::instant now);
    /// Notes that a lease renewal was sent to an agent.
    void on_renewal_sent(const agent_id& agent, core::instant now);

    /// Decides what to do now.
    /// @param unwritten starts do not wait until their agents are written; see takeover_guard.
    [[nodiscard]] std::vector<agent_command> schedule(core::instant now, unix_time today,
                                                      bool unwritten);

    /// Number of a job's latest change that must be written; 0 when there is none.
    [[nodiscard]] std::uint64_t unpersisted_version(const core::job_id& job) const;
    /// @return jobs with changes that are not written, final outcomes first.
    [[nodiscard]] std::vector<core::job_id> unpersisted_jobs() const;
    /// @return what to write for a job.
    [[nodiscard]] job_progress progress_of(const core::job_id& job) const;
    /// @return whether the job's final outcome or its next start waits for the write.
    [[nodiscard]] bool is_write_urgent(const core::job_id& job) const;
    /// Notes that a job's changes up to @p change are written.
    void on_persisted(const core::job_id& job, std::uint64_t change);
    /// @return the end up to which a worker may forget, with the worker's life.
    [[nodiscard]] std::pair<unix_time, std::uint64_t> acknowledged_end(const agent_id& agent) const;

    /// @return the present state; cancelled jobs count as open until their units are gone.
    [[nodiscard]] std::optional<job_outcome> outcome_of(const core::job_id& job) const;
    /// @return jobs that have ended, of which nothing runs and nothing is left to write.
    [[nodiscard]] std::vector<core::job_id> removable_jobs() const;
    /// @return runs that hold room, over all workers.
    [[nodiscard]] std::size_t active_runs() const noexcept;
    /// @return units that could run now and do not.
    [[nodiscard]] std::size_t pending_units() const noexcept;
    /// @return how often a place was looked for in the last decide(); its cost goes with that.
    [[nodiscard]] std::size_t placement_attempts() const noexcept;
    /// Takes the decisions since the last call, for the log.
    [[nodiscard]] std::vector<decision_record> take_records();

private:
    struct implementation;
    std::unique_ptr<implementation> inner;
};

} // namespace chicorylift::batch
