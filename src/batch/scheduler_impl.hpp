#pragma once

#include "batch/packing.hpp"
#include "batch/placement.hpp"
#include "batch/site_state.hpp"
#include "chicorylift/batch/fair_share.hpp"
#include "chicorylift/batch/group_order.hpp"
#include "chicorylift/batch/run_time_model.hpp"

#include <limits>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <utility>
#include <vector>

/// Private implementation of site_scheduler. Its members are defined in the scheduler_*.cpp files.
namespace chicorylift::batch
{

/// Distance between the rank ranges of two priorities. Guaranteed groups rank before all others.
inline constexpr double priority_band = 1e9;

/// @return key of the group's preemption reservation: its first unit.
[[nodiscard]] unit_key reservation_key(const placement_group& group);

struct site_scheduler::implementation
{
    implementation(scheduler_settings settings, core::instant takeover)
        : settings(settings), takeover(takeover), leases_counted_from(takeover),
          run_times(settings.learn_run_times ? std::make_unique<run_time_model>() : nullptr)
    {
    }

    /// Resources that preemption frees for a group, reserved until the group starts.
    struct preemption_reservation
    {
        /// By worker_state::index.
        std::vector<std::pair<std::size_t, resource_amount>> resources;
        bool guaranteed = false;
        /// The resources lie outside the racks that the group prefers.
        bool any_rack = false;
    };

    // Agents' reports (scheduler_reports.cpp).
    void on_report(const worker_report& report, core::instant now);
    void update_worker_info(worker_state& worker, const worker_report& report, core::instant now);
    void on_run_end(worker_state& worker, const reported_end& end, core::instant now);
    void on_known_run_end(run_state& run, run_member_state& member, const reported_end& end,
                          core::instant now);
    void on_unknown_run_end(worker_state& worker, job_state& job, const reported_end& end);
    void on_reported_run(worker_state& worker, const reported_run& reported, core::instant now);
    void adopt_run(worker_state& worker, const reported_run& reported, core::instant now);
    void handle_missing_runs(worker_state& worker,
                             const std::set<std::pair<run_number, std::int64_t>>& listed,
                             bool restarted, core::instant now);
    /// Stops the runs that a worker has not started and will not start, since it drains or its
    /// agent stops, so that they are placed elsewhere.
    void stop_unstarted_runs(const worker_state& worker,
                             const std::set<std::pair<run_number, std::int64_t>>& listed);
    void mark_reconciled(worker_state& worker);
    /// Assumes that the job may be running on every agent that has not reported.
    void assume_runs_of(job_state& job);
    void mark_worker_lost(worker_state& worker, std::string_view reason, core::instant now);

    // Ended runs (scheduler_runs.cpp).
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
    void stop_run(run_state& run, std::string_view reason,
                  loss_reason cause = loss_reason::stopped);
    void stop_job(const core::job_id& job, std::string_view reason, loss_reason cause);
    void check_completed(job_state& job);
    /// Records that the job has changed and must be persisted.
    void mark_changed(job_state& job);
    /// Stores a unit's checkpoint unless it has the same or a newer one.
    /// @return whether the checkpoint was stored.
    static bool update_checkpoint(unit_table& units, std::size_t index,
                                  const std::string& checkpoint);

    // Workers that may get work, evacuated zones (scheduler_eligibility.cpp).
    /// Why a worker gets no units of a step; the quarantine is weighed separately.
    enum class placement_obstacle
    {
        none,
        /// The worker, its agent, or what the step requires.
        worker,
        zone_evacuated,
    };
    [[nodiscard]] placement_obstacle obstacle_on(const worker_state& worker, const job_state& job,
                                                 const step_spec& step, core::instant now) const;
    [[nodiscard]] bool may_place_on(const worker_state& worker, const job_state& job,
                                    const step_spec& step, core::instant now) const;
    void set_evacuated_zones(std::set<core::zone_id> zones, core::instant now);
    /// Applies the evacuations to a worker after either has changed.
    void update_zone_state(worker_state& worker);
    /// Stops the runs whose start the worker's agent has not confirmed.
    void stop_unconfirmed_runs(const worker_state& worker);
    [[nodiscard]] bool is_warming_up(const worker_state& worker, core::instant now) const;
    /// @return the part of @p free that may be filled now; less than all of it only while the
    ///         worker's zone has just been restored to service.
    [[nodiscard]] resource_amount fillable(const worker_state& worker, const resource_amount& free,
                                           core::instant now) const;
    [[nodiscard]] zone_use use_of_zone(const core::zone_id& zone, core::instant now) const;
    // Work thrown away (scheduler_losses.cpp).
    /// Notes a member's checkpoint, up to which no work is lost.
    static void note_checkpoint(run_state& run, const std::string& checkpoint, core::instant now);
    /// @return core-seconds of the member's work since the run's last checkpoint.
    [[nodiscard]] double unsaved_work(const run_state& run, const run_member_state& member,
                                      core::instant now) const;
    /// Records the end of a member, with the work lost unless it succeeded.
    void record_run_end(run_state& run, const run_member_state& member, run_outcome kind,
                        std::string_view reason, const std::string& checkpoint, core::instant now);

    // Scheduling pass (scheduler_pass.cpp, scheduler_place.cpp, scheduler_preemption.cpp).
    std::vector<agent_command> schedule(core::instant now, unix_time wall_time,
                                        bool allow_unpersisted_starts);
    /// Marks jobs with new checkpoints as changed, once per `checkpoint_write_interval`.
    void mark_dirty_checkpoints(core::instant now);
    void expire_worker_leases(core::instant now);
    void stop_stalled_runs(core::instant now);
    void stop_incomplete_gangs(core::instant now);
    void create_due_occurrences(job_state& job, unix_time wall_time);
    std::vector<placement_group> ready_groups(core::instant now, unix_time wall_time);
    /// Capacity of the workers of one service, whatever runs on them.
    struct service_room
    {
        resource_amount total;
        /// Of each resource, the most that any worker has.
        resource_amount largest;

        /// @return a bound on the units that fit, at most @p wanted.
        [[nodiscard]] std::size_t most_units(const resource_amount& request,
                                             std::size_t wanted) const noexcept;
    };
    [[nodiscard]] std::map<core::service_id, service_room> rooms_by_service() const;
    /// Adds groups of the urgent or the other jobs, beginning with the job at which the last pass
    /// stopped.
    /// @param limit steps looked at and groups made after which the rest is left to the next pass.
    /// @return the number of steps looked at and groups made.
    std::size_t collect_jobs(bool urgent, std::size_t limit,
                             const std::map<core::service_id, service_room>& rooms,
                             std::vector<placement_group>& groups, core::instant now,
                             unix_time wall_time);
    /// @return the number of steps looked at and groups made.
    std::size_t collect_groups(job_state& job, const service_room& room,
                               std::vector<placement_group>& groups, core::instant now);
    /// Adds a gang, or the first units that could run, at most @p limit.
    void collect_step(job_state& job, std::int64_t occurrence, std::size_t number,
                      const service_room& room, std::size_t limit,
                      std::vector<placement_group>& groups, core::instant now);
    void compute_rank(placement_group& group, core::instant now) const;
    void place_groups(std::vector<placement_group>& groups, core::instant now);

    // Order of groups by value (scheduler_order.cpp).
    /// Replaces the ranks of groups that are not guaranteed.
    void rank_by_value(std::vector<placement_group>& groups, core::instant now,
                       unix_time wall_time);
    /// Organisations share the capacity of a service within a priority.
    using share_scope = std::pair<core::service_id, std::int64_t>;
    [[nodiscard]] std::map<share_scope, organisation_shares>
    shares_held(const std::vector<placement_group>& groups,
                const std::map<core::service_id, resource_amount>& capacities) const;
    /// Within each range of ranks, moves groups of organisations that hold more than their share
    /// behind others; keeps the order otherwise.
    void order_by_share(std::vector<placement_group>& groups) const;
    /// @return the capacity of the workers that take work.
    [[nodiscard]] std::map<core::service_id, resource_amount> capacity_by_service() const;
    /// @return time since the job was accepted, or since its occurrence was due.
    static core::milliseconds age_of(job_state& job, std::int64_t occurrence, core::instant now,
                                     unix_time wall_time);
    [[nodiscard]] std::map<queue_id, queue_service> service_by_queue(core::instant now,
                                                                     unix_time wall_time);

    /// Places the group and begins its run, if all its units fit.
    /// @return whether the group was placed.
    bool place_group(const placement_group& group, resources_by_worker& available,
                     placement_constraints rules, core::instant now);
    /// Places groups of one unit of the same step, in their order, until one does not fit.
    /// @return the number of groups placed.
    std::size_t place_units_of_step(std::span<const placement_group> groups,
                                    resources_by_worker& available, core::instant now);
    /// @return how many of the first groups place_units_of_step() may place together.
    [[nodiscard]] std::size_t count_units_of_step(std::span<const placement_group> groups,
                                                  core::instant now) const;
    /// @return @p available plus the resources of runs that are stopping, so that no more runs are
    ///         preempted than needed.
    [[nodiscard]] resources_by_worker available_after_stops(resources_by_worker available) const;
    /// Stops runs to make room for the group, and reserves the room.
    /// @return whether room was reserved.
    bool preempt_for(const placement_group& group, resources_by_worker& available,
                     core::instant now);
    /// Deducts the preemption reservations of earlier passes from @p available, and drops those of
    /// groups that no longer wait.
    void deduct_preemption_reservations(const std::vector<placement_group>& groups,
                                        resources_by_worker& available);
    /// Drops a group's preemption reservation and returns its resources to @p available.
    /// @return the reservation, if the group had one.
    std::optional<preemption_reservation>
    release_preemption_reservation(const placement_group& group, resources_by_worker& available);
    /// Drops the preemption reservations of groups that are not guaranteed and returns their
    /// resources to @p available.
    void release_unguaranteed_reservations(resources_by_worker& available);
    /// Creates backfill reservations for a group that cannot be placed yet, on the workers that are
    /// expected to have room for it first.
    void reserve_for(const placement_group& group, const resources_by_worker& available,
                     core::instant now);
    /// Reduces the free resources in @p candidates by other jobs' backfill reservations, unless the
    /// group is guaranteed, was promised room, is expected to end before the reservation starts, or
    /// waits on a service with spare capacity.
    void apply_reservations(const placement_group& group, std::vector<candidate_worker>& candidates,
                            core::instant now) const;
    /// @return when the run is expected to end, by its estimate and progress; `now` when it is
    ///         stopping.
    [[nodiscard]] core::instant expected_end(const run_state& run, core::instant now) const;
    /// Deducts the placed units from @p available and from the backfill reservations they overlap.
    void occupy(const placement_group& group, const std::vector<unit_placement>& placements,
                resources_by_worker& available, core::instant now);
    void begin_run(const placement_group& group, const std::vector<unit_placement>& placements,
                   core::instant now);
    /// Records that an agent's worker may run a unit of the job.
    void add_job_agent(job_state& job, const agent_id& agent);
    /// @return whether the job's units may start before their agents are persisted.
    [[nodiscard]] bool may_start_unpersisted(const job_state& job,
                                             bool allow_unpersisted_starts) const noexcept;
    void issue_commands(std::vector<agent_command>& commands, core::instant now,
                        bool allow_unpersisted_starts);
    [[nodiscard]] std::vector<candidate_worker>
    candidate_workers(const placement_group& group, const resources_by_worker& available,
                      core::instant now) const;
    /// Selects the runs that a group may preempt.
    struct victim_filter
    {
        /// The group's priority. Runs of a higher number may be preempted.
        std::int64_t priority{};
        /// Leaves out runs that end soon; see ends_soon().
        bool spare_ending = false;
        /// Includes urgent runs of organisations that use more than they are guaranteed.
        bool beyond_guarantee = false;

        friend bool operator==(const victim_filter&, const victim_filter&) = default;
    };
    /// @return the runs that may be preempted. Valid until a run starts or stops.
    [[nodiscard]] const victim_pool& preemption_candidates(const victim_filter& filter,
                                                           core::instant now);
    /// @return core-seconds of work that stopping the run would lose.
    [[nodiscard]] double preemption_cost(const run_state& run, const step_spec& step,
                                         core::instant now) const;
    // Whole workers (scheduler_packing.cpp); no effect without keep_whole_workers.
    /// Counts the demand for whole workers, and finds until when each worker is in use.
    void prepare_packing(const std::vector<placement_group>& groups, core::instant now);
    /// @return whether the group leaves the workers alone that are kept whole.
    [[nodiscard]] bool leaves_workers_whole(const placement_group& group, core::instant now) const;
    /// Sets the candidates' packing properties, and removes those that the group leaves alone.
    void add_packing(const placement_group& group, std::vector<candidate_worker>& candidates,
                     core::instant now) const;
    /// Notes that a unit of the group starts on the worker.
    void note_busy(const placement_group& group, std::size_t worker, core::instant now);
    /// @return whether the group waits for runs that end soon rather than having them stopped.
    [[nodiscard]] bool waits_for_ending_runs(const placement_group& group, core::instant now) const;
    /// @return whether the run is expected to end by itself as soon as it could be stopped.
    [[nodiscard]] bool ends_soon(const run_state& run, core::instant now) const;

    [[nodiscard]] resources_by_worker available_resources() const;
    /// Finds the services of which less than half of the capacity is in use; once per pass.
    void find_services_with_spare(const resources_by_worker& available);
    /// @return whether the group has waited so long on a service with spare capacity that whatever
    ///         room there is may be used.
    [[nodiscard]] bool waits_beside_spare(const placement_group& group, core::instant now) const;
    /// @return a number that differs for units of a step that may not use the same room.
    [[nodiscard]] int wait_stage(const placement_group& group, core::instant now) const;
    /// @return whether the group still waits for room near its data or in one rack.
    [[nodiscard]] bool is_within_locality_wait(const placement_group& group,
                                               core::instant now) const;
    [[nodiscard]] placement_constraints constraints_for(const placement_group& group,
                                                        core::instant now) const;
    [[nodiscard]] bool fits_one_rack(const placement_group& group) const;
    /// Sums the accelerators that each organisation's urgent jobs need; called once per pass.
    void sum_urgent_demand();
    [[nodiscard]] bool is_guaranteed(const job_state& job) const;

    // Learned run times and worker speeds (scheduler_run_times.cpp).
    [[nodiscard]] run_kind kind_of(const job_state& job, std::int64_t step) const;
    /// @return whether the run is away from its data, or a rack-local gang spans racks.
    [[nodiscard]] bool is_remote(const run_state& run, const step_spec& step) const;
    /// @return the speed of the run's slowest worker; 1 unless run times are learned.
    [[nodiscard]] double slowest_speed(const run_state& run) const;
    /// @return the expected run time of the group's units on a typical worker: as learned, else as
    ///         declared.
    [[nodiscard]] core::milliseconds expected_total(const placement_group& group) const;
    /// @return the expected remaining time of a run of the job: as learned, else as declared.
    [[nodiscard]] core::milliseconds expected_remaining(const run_state& run, const job_state& job,
                                                        core::instant now) const;
    /// @return the remaining time of a run by its declared estimate and progress.
    [[nodiscard]] static core::milliseconds
    declared_remaining(const run_state& run, const step_spec& step, core::instant now);
    /// @return the speed below which a worker is avoided for the group: infinite for urgent units
    ///         and gangs, and on a service with spare capacity; for others, which leave fast
    ///         workers to these, the speed at which their job is just on time.
    [[nodiscard]] double needed_speed(const placement_group& group, core::instant now) const;
    void learn_from_progress(worker_state& worker, const run_state& run, run_member_state& member,
                             const reported_run& reported, core::instant now);
    void learn_from_end(worker_state& worker, run_state& run, const run_member_state& member,
                        const reported_end& end, core::instant now);
    void update_speed(worker_state& worker);
    void forget_speed(worker_state& worker);
    /// Records a reported value that is not plausible, at most once a second.
    void record_ignored_value(const worker_state& worker, const run_state& run,
                              const std::string& value, core::instant now);

    // Waiting jobs (scheduler_waits.cpp).
    /// What a job waits for: agents that have not reported, a group without room, or a run that
    /// does not start or stop or is not seen, in this order.
    struct wait_cause
    {
        bool agents = false;
        const placement_group* group{};
        const run_state* run{};

        [[nodiscard]] job_wait::object waits_for() const noexcept
        {
            return this->agents             ? job_wait::object::agents
                   : this->group != nullptr ? job_wait::object::room
                                            : job_wait::object::run;
        }
    };
    using wait_causes = std::map<const job_state*, wait_cause>;
    [[nodiscard]] wait_causes find_wait_causes(const std::vector<placement_group>& groups,
                                               core::instant now) const;
    /// Records why jobs wait that have had a unit ready for a second.
    void record_waits(const std::vector<placement_group>& groups, core::instant now,
                      bool allow_unpersisted_starts);
    void record_wait(const job_state& job, const wait_cause& cause, core::instant now,
                     bool allow_unpersisted_starts);
    /// @return whether the member's worker was lately seen to run it.
    [[nodiscard]] bool is_seen_running(const run_member_state& member, core::instant now) const;
    [[nodiscard]] std::string_view explain_run(const run_state& run, const job_state& job,
                                               bool allow_unpersisted_starts) const;
    [[nodiscard]] std::string_view explain_group(const placement_group& group,
                                                 core::instant now) const;
    [[nodiscard]] std::string describe_agents(const job_state& job, core::instant now) const;
    [[nodiscard]] std::string describe_workers(const placement_group& group,
                                               core::instant now) const;

    [[nodiscard]] const step_spec& spec_of(const placement_group& group) const;
    void record_decision(std::string_view event, const core::job_id& job, std::string detail);

    scheduler_settings settings;
    core::instant takeover;
    /// Leases of agents that have not reported are counted from here.
    core::instant leases_counted_from;
    /// See site_scheduler::confirm_leadership().
    std::optional<core::instant> confirmed_until;
    /// See site_scheduler::confirm_version().
    std::uint64_t confirmed_version = std::numeric_limits<std::uint64_t>::max();
    std::uint64_t next_run = 1;
    /// Time of the last report or pass.
    core::instant latest{};
    bool assume_unreported_runs = false;
    std::map<queue_id, queue_policy> queues;
    std::map<core::organisation_id, std::int64_t> guaranteed;
    std::map<core::job_id, job_state> jobs;
    std::map<run_number, run_state> runs;
    /// @return the agent's worker, which is created if it is not known.
    worker_state& get_or_create_worker(const agent_id& agent);

    std::map<agent_id, worker_state> workers;
    std::set<core::zone_id> evacuated_zones;
    /// When each zone was last restored to service.
    std::map<core::zone_id, core::instant> restored_zones;
    /// See site_scheduler::hold_starts().
    bool starts_held = false;
    std::map<core::organisation_id, std::int64_t> urgent_demand;
    std::set<core::job_id> unpersisted;
    core::instant next_checkpoint_write{};
    /// Resources of a worker that are reserved for a waiting group until its expected start.
    struct backfill_reservation
    {
        core::job_id job;
        resource_amount reserved;
        core::instant until{};
        /// Resources that other runs may still hold after `until`.
        resource_amount spare;
    };
    /// By worker_state::index.
    std::map<std::size_t, backfill_reservation> backfill_reservations;
    std::set<core::service_id> services_with_spare;
    std::map<unit_key, preemption_reservation> preemption_reservations;
    /// Result of preemption_candidates() in this pass, with its filter.
    std::optional<std::pair<victim_filter, victim_pool>> victims;
    /// When the last run of each worker is expected to end, by worker_state::index.
    std::vector<core::instant> busy_until;
    std::map<core::service_id, whole_worker_demand> whole_demand;
    core::instant demand_counted_at{};
    std::size_t pending_units{};
    /// Jobs with which the next pass begins, if the last one left some out.
    core::job_id next_urgent_job;
    core::job_id next_other_job;
    std::size_t placement_attempts{};
    core::instant next_wait_check{};
    std::vector<decision_record> records;
    /// Unless run times are learned, null.
    std::unique_ptr<run_time_model> run_times;
    std::vector<run_time_sample> samples;
    std::size_t ignored_values{};
    core::instant next_ignored_line{};
};

} // namespace chicorylift::batch
