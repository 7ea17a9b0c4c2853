#pragma once

#include "batch/placement.hpp"
#include "batch/site_state.hpp"

#include <map>
#include <set>
#include <vector>

/// The scheduler's parts: news, ends of runs, and the pass that places.
namespace chicorylift::batch
{

struct site_scheduler::implementation
{
    implementation(scheduler_settings settings, core::instant takeover)
        : settings(settings), takeover(takeover)
    {
    }

    // News from agents (scheduler_reports.cpp).
    void on_report(const worker_report& report, core::instant now);
    void update_worker_info(worker_state& worker, const worker_report& report, core::instant now);
    void on_run_end(worker_state& worker, const reported_end& end, core::instant now);
    void on_known_run_end(run_state& run, run_member_state& member, const reported_end& end,
                          core::instant now);
    void on_unknown_run_end(worker_state& worker, job_state& job, const reported_end& end);
    void on_reported_run(worker_state& worker, const reported_run& reported, core::instant now);
    void adopt_run(worker_state& worker, const reported_run& reported, core::instant now);
    void handle_missing_runs(worker_state& worker,
                             const std::set<std::pair<run_number, std::int64_t>>&, bool reborn,
                             core::instant now);
    void mark_reconciled(worker_state& worker);
    void mark_worker_lost(worker_state& worker, std::string_view why, core::instant now);

    // Ends of runs (scheduler_runs.cpp).
    void end_member(run_state& run, run_member_state& member, run_outcome kind,
                    const std::string& checkpoint, const agent_id& agent, core::instant now);
    void mark_done(job_state& job, run_state& run, run_member_state& member);
    void mark_unit_done(job_state& job, std::int64_t occurrence, std::int64_t step,
                        std::int64_t index);
    void mark_failed(job_state& job, std::int64_t occurrence, std::int64_t step, std::int64_t index,
                     run_number run, const agent_id& agent);
    void record_success(const agent_id& agent);
    void record_failure(const agent_id& agent, core::instant now);
    void remove_run_if_ended(run_number run, core::instant now);
    void stop_run(run_state& run, std::string_view why);
    void stop_job(const core::job_id& job, std::string_view why);
    void check_completed(job_state& job);
    /// Notes that the job has changed and must be written.
    void mark_changed(job_state& job);
    /// Takes in a unit's checkpoint unless a newer one is known.
    /// @return whether it is newer.
    static bool update_checkpoint(unit_state& unit, const std::string& checkpoint);

    // The pass (scheduling in scheduler_pass.cpp).
    std::vector<agent_command> schedule(core::instant now, unix_time today, bool start_unwritten);
    /// Has the checkpoints that came since the last time written.
    void mark_dirty_checkpoints(core::instant now);
    void expire_worker_leases(core::instant now);
    void stop_stalled_runs(core::instant now);
    void stop_incomplete_gangs(core::instant now);
    void create_due_occurrences(job_state& job, unix_time today);
    std::vector<placement_group> ready_groups(core::instant now, unix_time today);
    void compute_rank(placement_group& group, core::instant now) const;
    void place_groups(std::vector<placement_group>& groups, core::instant now);
    bool place_group(const placement_group& group, std::map<agent_id, resource_amount>& available,
                     core::instant now);
    /// @return the room with what is being freed, so that no more is stopped than is needed.
    [[nodiscard]] std::map<agent_id, resource_amount>
    available_after_stops(std::map<agent_id, resource_amount> available) const;
    /// @return whether room is being made for the group.
    bool preempt_for(const placement_group& group, std::map<agent_id, resource_amount>& available,
                     core::instant now);
    /// Takes the rooms that earlier passes have promised out of @p available, and drops the
    /// promises to groups that wait no more.
    void deduct_preemption_reservations(const std::vector<placement_group>& groups,
                                        std::map<agent_id, resource_amount>& available);
    /// Gives a group's promised rooms back to @p available.
    /// @return whether there were any.
    bool release_preemption_reservation(const placement_group& group,
                                        std::map<agent_id, resource_amount>& available);
    /// Gives back what was promised to groups that are not guaranteed.
    void release_unguaranteed_reservations(std::map<agent_id, resource_amount>& available);
    /// Keeps room for a group that cannot be placed yet, where it will be free first.
    void reserve_for(const placement_group& group, core::instant now);
    /// Withdraws held room from those that would not be gone in time.
    void apply_reservations(const placement_group& group, std::vector<candidate_worker>& rooms,
                            core::instant now) const;
    /// @return room of a worker that runs will still take at @p until.
    [[nodiscard]] resource_amount allocated_after(const agent_id& agent, core::instant until,
                                                  core::instant now) const;
    [[nodiscard]] core::instant expected_end(const run_state& run, core::instant now) const;
    void begin_run(const placement_group& group, const std::vector<unit_placement>& placements,
                   core::instant now);
    /// Notes that an agent's worker may run a unit of the job.
    void add_job_agent(job_state& job, const agent_id& agent);
    void issue_commands(std::vector<agent_command>& orders, core::instant now,
                        bool start_unwritten);
    [[nodiscard]] std::vector<candidate_worker>
    candidate_workers(const placement_group& group,
                      const std::map<agent_id, resource_amount>& available,
                      core::instant now) const;
    [[nodiscard]] std::vector<victim> preemption_candidates(const placement_group& group,
                                                            core::instant now) const;
    /// @return core-seconds of work that stopping the run would lose.
    [[nodiscard]] double preemption_cost(const run_state& run, const step_spec& step,
                                         core::instant now) const;
    [[nodiscard]] std::map<agent_id, resource_amount> available_resources() const;
    [[nodiscard]] bool may_place_on(const worker_state& worker, const job_state& job,
                                    const step_spec& step, core::instant now) const;
    [[nodiscard]] placement_constraints constraints_for(const placement_group& group,
                                                        core::instant now) const;
    [[nodiscard]] bool fits_one_rack(const placement_group& group) const;
    /// Adds up what each organisation's urgent jobs need, once a pass.
    void sum_urgent_needs();
    [[nodiscard]] bool is_guaranteed(const job_state& job) const;

    [[nodiscard]] const step_spec& spec_of(const placement_group& group) const;
    void record_decision(std::string_view event, const core::job_id& job, std::string detail);

    scheduler_settings settings;
    core::instant takeover;
    std::uint64_t next_run = 1;
    bool assume_unreported_runs = false;
    std::map<queue_id, queue_policy> queues;
    std::map<core::organisation_id, std::int64_t> guaranteed;
    std::map<core::job_id, job_state> jobs;
    std::map<run_number, run_state> runs;
    std::map<agent_id, worker_state> workers;
    std::map<core::organisation_id, std::int64_t> urgent_needs;
    std::set<core::job_id> unpersisted;
    core::instant next_save{};
    /// Room that is kept for a waiting group on a worker, until when it is expected to start.
    struct backfill_reservation
    {
        core::job_id job;
        resource_amount reserved;
        core::instant until{};
        /// What others may use beyond that time.
        resource_amount spare;
    };
    std::map<agent_id, backfill_reservation> backfill_reservations;
    /// Rooms that are being made free for a group, from the stop until its start.
    struct preemption_reservation
    {
        std::vector<std::pair<agent_id, resource_amount>> rooms;
        bool guaranteed = false;
    };
    std::map<unit_key, preemption_reservation> preemption_reservations;
    std::size_t pending_units{};
    std::size_t placement_attempts{};
    std::vector<decision_record> records;
};

} // namespace chicorylift::batch
