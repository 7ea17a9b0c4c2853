#pragma once

#include "chicorylift/gang/gang_driver.hpp"
#include "chicorylift/sched/cell_scheduler.hpp"
#include "daemon/config_replica.hpp"
#include "daemon/settings.hpp"
#include "store/table.hpp"
#include "support/executor.hpp"
#include "support/metrics.hpp"
#include "wire/wire.pb.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace chicorylift::daemon
{

/// Dependencies that the hosting agent process passes to its cell leader.
struct leader_context
{
    const settings& values;
    store::table& table;
    support::metrics& metrics;
    /// Queues a message to the process at the given address.
    std::function<void(const std::string&, wire::envelope)> send;
    /// Called at most once, on the leader's thread, when the leader steps down: another leader
    /// holds the cell, a member reported a higher epoch, a job write could not be queued, or the
    /// outcome of a job write is unknown.
    std::function<void()> superseded;
};

/// Leads one cell for one epoch: tracks its members, places jobs and drives gangs.
///
/// Leadership is the cell's leader row in the table, which holds the epoch. Each job write is
/// conditional on the version of that row, and agents reject messages of lower epochs.
class cell_leader
{
public:
    cell_leader(leader_context context, std::uint32_t epoch, std::uint32_t leader_row_version);
    ~cell_leader();
    cell_leader(const cell_leader&) = delete;
    cell_leader& operator=(const cell_leader&) = delete;

    /// Queues @p message for the leader's thread; drops it when the queue is full.
    void deliver(wire::envelope message);
    /// Notifies the members that this process stops, so that another agent campaigns for leadership
    /// without waiting for the failure-detection timeout.
    void resign();
    /// @return the epoch of this leader.
    [[nodiscard]] std::uint32_t epoch() const noexcept { return this->my_epoch; }

private:
    enum class member_phase
    {
        live,
        leaving,
        lost,
    };

    struct member
    {
        wire::member_row row;
        member_phase phase = member_phase::live;
        bool full_report_received = false;
        bool request_full_report = true;
        /// Parts missing from the next full report are marked stopped.
        bool verify_parts = false;
        std::uint32_t config_version{};
        core::instant last_heard{};
        /// An announced restart gets a longer timeout before the member counts as lost.
        bool returning = false;
        /// Set while an indirect probe of this member through other members is pending.
        std::optional<core::instant> probe_deadline;
    };

    struct tracked_job
    {
        wire::job_row row;
        std::uint32_t row_version{};
        core::instant accepted{};
        std::unique_ptr<gang::gang_driver> driver;
        std::vector<sched::task_placement> placement;
        bool write_in_flight = false;
        bool resuming = false;
    };

    struct pending_write
    {
        std::string job;
        wire::job_row row;
        std::function<void(bool applied)> then;
    };

    // Takeover and recovery.
    void load();
    void apply_members(const wire::table_rows& listed);
    void apply_jobs(const wire::table_rows& listed);
    void apply_job_row(const wire::table_row& row);
    void apply_config(const wire::config_delta& delta);
    void finish_fencing();
    void resume_job(tracked_job& job);

    // Message handlers.
    void on_message(const wire::envelope& message);
    void on_heartbeat(const std::string& from, const std::string& incarnation,
                      const wire::heartbeat& beat);
    void mark_missing_parts_stopped(const core::worker_id& worker, const wire::heartbeat& beat);
    void on_held_part(const core::worker_id& worker, const wire::held_part& part);
    void on_report(const wire::part_report& report);
    void on_probe_answer(const wire::probe& probe);
    void on_leaving(const wire::leaving_notice& notice);
    void on_subscription(const std::string& from, const wire::subscribe& subscription);
    void on_explain(const std::string& from, const wire::explain_request& question);

    // Scheduling, gang control and table writes.
    void tick();
    /// @return whether this leader may act; false after a process suspension until the leader row
    /// has been read again and still names this epoch.
    bool ensure_epoch_current();
    void verify_epoch();
    void resume_after_confirmation();
    void check_members(core::instant now);
    /// Asks other members to probe a member whose heartbeats are overdue.
    void send_indirect_probes(const core::worker_id& silent, const member& known);
    void mark_member_lost(const core::worker_id& id, member& known, core::instant now);
    void schedule();
    void apply_decision(const sched::decision& step);
    void start_job(tracked_job& job, const sched::decision& step);
    void run_driver_actions(const std::string& id);
    void apply_action(tracked_job& job, const gang::gang_action& action);
    void commit_gang(tracked_job& job);
    void on_attempt_result(tracked_job& job, const gang::report_result& result);
    void end_job(tracked_job& job, const std::string& state, const std::string& detail);
    void write_job(const pending_write& write);
    void write_done(const pending_write& write, const store::commit_result& result);
    void refresh_jobs();
    void refresh_config();
    void step_down(const std::string& why);

    // Outgoing messages and summaries.
    void send_to(const core::worker_id& worker, wire::envelope message);
    void send_fence(member& to);
    void send_config_notice(const member& to);
    [[nodiscard]] wire::cell_document summary() const;
    [[nodiscard]] gang::gang_settings make_gang_settings() const;
    [[nodiscard]] static bool lists_part(const wire::heartbeat& beat, const wire::job_row& job);
    [[nodiscard]] std::string job_key(const std::string& id) const;

    leader_context context;
    std::uint32_t my_epoch;
    std::uint32_t leader_row_version;
    std::string cell;
    std::string leader_key;
    std::string job_prefix;
    config_replica config;
    sched::cell_scheduler scheduler;
    std::map<core::worker_id, member> members;
    std::map<std::string, tracked_job> jobs;
    std::set<std::string> ended_jobs;
    std::uint32_t jobs_version{};
    bool loaded = false;
    bool fencing = true;
    bool refreshing_jobs = false;
    bool refreshing_config = false;
    bool epoch_verified = true;
    bool verification_in_flight = false;
    core::instant last_active{};
    core::instant next_verification{};
    std::atomic<bool> stopped = false;
    core::instant fence_deadline{};
    core::instant next_jobs_refresh{};
    core::instant next_config_refresh{};
    core::instant config_confirmed_at{};
    support::thread_pool store_pool;
    support::serial_executor thread;
};

} // namespace chicorylift::daemon
