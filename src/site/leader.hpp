#pragma once

#include "chicorylift/batch/call_backoff.hpp"
#include "chicorylift/batch/leadership_confirmation.hpp"
#include "chicorylift/batch/message_order.hpp"
#include "chicorylift/batch/pass_pacing.hpp"
#include "chicorylift/batch/scheduler.hpp"
#include "chicorylift/batch/site_config.hpp"
#include "chicorylift/batch/store_health.hpp"
#include "chicorylift/batch/takeover_guard.hpp"
#include "chicorylift/batch/zone_evacuations.hpp"
#include "net/event_loop.hpp"
#include "net/transport.hpp"
#include "ports/table_service.hpp"
#include "site/message_inbox.hpp"
#include "site/mirrored_table.hpp"
#include "site/settings.hpp"
#include "site/withdrawal_trimmer.hpp"
#include "support/metrics.hpp"
#include "wire/wire.pb.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace chicorylift::site
{

/// Messages of the hosting process.
struct message_load
{
    inbox_load inbox;
    /// Totals since the process started.
    net::transport_counters totals;
};

/// Work of a leader since its last `lead_load` line.
struct leader_work
{
    std::uint64_t reports{};
    std::chrono::microseconds report_time{};
    std::uint64_t answers{};
    std::chrono::microseconds answer_time{};
    std::uint64_t passes{};
    std::uint64_t placement_attempts{};
    std::chrono::microseconds pass_time{};
    std::chrono::microseconds max_pass_time{};
    std::uint64_t writes{};
    core::milliseconds max_write_time{};
    core::milliseconds max_tick_delay{};
};

/// Services that the hosting agent provides to the leader.
struct leader_context
{
    net::event_loop& loop;
    const settings& values;
    ports::table_service& store;
    support::metrics& metrics;
    /// Sends a message to the agent at @p address, which may be the hosting one.
    std::function<void(const std::string& address, wire::envelope message)> send;
    /// Called at most once, on the event loop's thread, when another leader has taken over.
    std::function<void(const std::string& reason)> on_superseded;
    /// @return the process's messages; resets the inbox's longest delay.
    std::function<message_load()> take_message_load;
};

/// Leader of the site for one epoch: processes agents' reports, schedules jobs, persists progress.
///
/// Every write is conditional on the leader row's version, and agents reject lower epochs.
class leader
{
public:
    leader(leader_context services, std::uint64_t epoch, ports::revision row_version);
    ~leader();
    leader(const leader&) = delete;
    leader& operator=(const leader&) = delete;

    /// Handles an agent's report and replies with orders.
    void on_report(const wire::envelope& message);
    /// Steps down if @p epoch is higher than this leader's.
    void on_observed_epoch(std::uint64_t epoch);
    /// Announces the end of this leadership, so that another agent campaigns at once.
    void resign();

    [[nodiscard]] std::uint64_t epoch() const noexcept { return this->my_epoch; }
    /// @return whether this leader has had neither the store nor a quorum of agents for longer than
    ///         an election takes.
    [[nodiscard]] bool is_powerless(core::instant now) const;

private:
    struct agent_state
    {
        std::string address;
        core::instant last_heard{};
        batch::report_sequence reports;
        batch::call_backoff calls;
        std::uint64_t known_members_version{};
        /// Sequence of the latest report without an answer; 0 when there is none.
        std::uint64_t unanswered_report{};
        /// The agent has removed its member row. It counts on towards a quorum: a process that
        /// starts again under its name may follow a later leader before this one knows of it.
        bool left = false;
        /// Runs reported as ended without a start; acknowledged with the next orders.
        std::vector<std::pair<std::string, std::uint64_t>> acknowledged_runs;
    };

    void on_job_row(const ports::row& row);
    void on_accepted_row(const ports::row& row);
    void on_config_row(const ports::row& row);
    void on_config_confirmed();
    void on_leader_row(const ports::row& row);
    void on_member_row(const ports::row& row);
    void on_member_left(const std::string& name);
    void on_members_confirmed();
    void load_jobs_if_ready();
    /// Loads jobs for a while, and goes on in a later turn of the loop if some are left.
    void load_some_jobs();
    void load_job(const core::job_id& id, const wire::batch_job& stored);
    /// Adds a job to the scheduler, or sets it aside if there is no memory for it and it cannot
    /// have run.
    void add_job(batch::job_spec job, const batch::job_progress& progress, bool cancelled,
                 batch::job_origin origin, ports::revision accepted_version);
    /// Reads a job that was set aside if there is memory for it now.
    void load_set_aside_job();
    void on_set_aside_rows(const core::job_id& id, const absl::StatusOr<ports::row_page>& page);
    void forget_job(const core::job_id& id);
    void on_jobs_loaded();
    void schedule_pass();
    void run_pass();
    /// Sends the starts and stops that need no scheduling pass.
    void send_due_commands();
    void tick();
    void detect_process_pause();
    void verify_leadership();
    void send_orders(const std::vector<batch::agent_command>& orders);
    /// Adds the answer to the agent's latest report, if it is still due.
    void add_answer(const std::string& agent, agent_state& state, wire::batch_orders& orders);
    void schedule_answers();
    void send_answers();
    /// Sends orders to all agents.
    void send_to_all_agents();
    /// Sends orders to agents whose reports are overdue; see batch::call_backoff.
    void call_silent_agents();
    [[nodiscard]] wire::envelope build_orders(const std::string& agent, agent_state& state);
    /// Adds the members that the agent asks before it campaigns.
    void add_probe_targets(const std::string& agent, wire::batch_orders& orders) const;
    void write_progress();
    /// Sends a write without effect, so that a store that takes writes again is noticed although
    /// this leader has nothing to write.
    void check_writable();
    void note_write(ports::commit_state result, const std::string& message);
    void on_progress_commit(const std::map<core::job_id, std::uint64_t>& changes,
                            const ports::commit_outcome& outcome);
    void apply_conflicting_rows(const std::vector<ports::row>& present);
    /// Removes the rows of jobs that ended before the retention period, and of agents that have not
    /// reported for ten minutes.
    void trim();
    /// Removes the rows of jobs that were cancelled before they were stored, after the retention
    /// period.
    void trim_withdrawals();
    // Evacuations (leader_evacuations.cpp).
    void on_evacuation_row(const ports::row& row);
    void on_evacuation_removed(const core::zone_id& zone, const ports::row& row, core::instant now);
    void apply_evacuations(core::instant now);
    /// Demands a new confirmation of the evacuations after a pause of the process.
    void detect_view_pause(core::instant now);
    /// @return whether the view of the evacuations is recent enough to start work.
    [[nodiscard]] bool may_start_by_evacuations(core::instant now) const;
    void update_start_hold(core::instant now);
    /// Logs and measures what still runs in evacuated zones, at most once a second.
    void log_evacuations(core::instant now);
    void forget_evacuation_metrics();
    void log_records();
    /// Logs the stop or end of a run with the work that it lost, and counts the work.
    void log_lost_work(const batch::decision_record& record, const batch::lost_work& lost);
    /// Logs what the leader's time went to and what waits for it, once a second.
    void log_load();
    /// Logs when this leader begins or ceases to hold all scheduling, and why.
    void log_scheduling_hold();
    /// @return why this leader may not schedule now; empty if it may.
    [[nodiscard]] std::string_view scheduling_hold_reason() const;
    void step_down(const std::string& reason);
    [[nodiscard]] bool may_issue_orders() const;
    /// @return whether this leader may start and stop runs now.
    [[nodiscard]] bool may_schedule() const;
    /// @return whether runs may start before their agents are persisted.
    [[nodiscard]] bool may_start_unpersisted() const;
    [[nodiscard]] bool has_quorum(core::instant now) const;
    /// @return whether the store has lately confirmed that no later leader has been elected.
    [[nodiscard]] bool is_confirmed_by_store(core::instant now) const;

    /// What the last `evacuation_state` line of a zone said.
    struct evacuation_line
    {
        std::string content;
        core::instant repeat_at{};
        bool reported_unknown = false;
    };

    leader_context context;
    std::uint64_t my_epoch;
    ports::revision row_version;
    batch::site_scheduler scheduler;
    std::optional<batch::site_config> config;
    std::map<std::string, agent_state> agents;
    std::uint64_t members_version = 1;
    /// Rows that were read before the jobs could be loaded, by job.
    std::map<core::job_id, wire::batch_progress> progress_rows;
    std::map<core::job_id, bool> cancel_rows;
    std::map<core::job_id, wire::batch_job> pending_job_rows;
    bool loading = false;
    bool loaded = false;
    std::uint64_t loaded_jobs{};
    std::uint64_t loaded_open_jobs{};
    /// Memory that the scheduler needs for each job, see batch::state_bytes(), and in total.
    std::map<core::job_id, std::size_t> job_bytes;
    std::size_t total_job_bytes{};
    /// Jobs that wait for memory, with what they need.
    std::map<core::job_id, std::size_t> set_aside_jobs;
    bool set_aside_read_in_flight = false;
    bool stepped_down = false;
    bool pass_scheduled = false;
    bool answers_scheduled = false;
    bool write_in_flight = false;
    batch::takeover_guard guard;
    batch::leadership_confirmation confirmation;
    batch::zone_evacuations evacuations;
    std::map<core::zone_id, evacuation_line> evacuation_lines;
    core::instant next_evacuation_line{};
    bool starts_held = false;
    bool leadership_verified = true;
    bool verification_in_flight = false;
    batch::store_health store_health;
    core::instant began;
    core::instant last_tick;
    /// When this process was last seen to work.
    core::instant active_at;
    core::instant resumed_at{};
    core::instant next_lazy_write{};
    core::instant write_failing_since{};
    /// When this leader was last able to issue orders, as its tick saw it.
    core::instant able_at;
    batch::pass_pacing passes;
    core::instant next_trim{};
    core::instant next_load_line{};
    core::instant tick_due{};
    core::instant write_sent_at{};
    leader_work work;
    /// Lost work that is not counted yet, under one core-second a reason.
    std::map<std::string_view, double> uncounted_loss;
    /// Reason that was logged last; empty while this leader schedules.
    std::string_view hold_reason;
    core::instant held_since{};
    net::transport_counters logged_totals;
    bool trim_in_flight = false;
    bool withdrawal_trim_in_flight = false;
    /// Time at which this leader first found each job removable.
    std::map<core::job_id, core::instant> ended_since;
    std::shared_ptr<bool> lifetime_token = std::make_shared<bool>(true);
    std::unique_ptr<mirrored_table> config_rows;
    std::unique_ptr<mirrored_table> job_rows;
    std::unique_ptr<mirrored_table> leader_rows;
    std::unique_ptr<mirrored_table> member_rows;
    std::unique_ptr<withdrawal_trimmer> withdrawals;
};

/// @return duration of the lease that one reply of the leader grants.
[[nodiscard]] core::milliseconds lease_duration(const settings& values) noexcept;
/// @return time after the last renewal when the leader treats a silent worker's runs as stopped.
[[nodiscard]] core::milliseconds lease_timeout(const settings& values) noexcept;

} // namespace chicorylift::site
