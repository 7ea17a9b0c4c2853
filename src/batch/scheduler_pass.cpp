#include "batch/scheduler_impl.hpp"
#include "batch/work_rate.hpp"

#include <algorithm>

/// First half of a scheduling pass: expires leases, stops stalled runs, and collects and ranks the
/// groups that are ready to run.
namespace chicorylift::batch
{

namespace
{

// A run has stalled when its progress has not changed for the larger of this time and this fraction
// of its estimate. Progress has a resolution of 1 %: a run that is 20 times slower than declared
// gains 1 % per fifth of its estimate. Restoring a checkpoint shows no progress for up to 0.6 s.
constexpr core::milliseconds min_stall_timeout{1500};
constexpr double stall_timeout_fraction = 0.45;
// Quarantine of a worker on which a run with a single member has stalled.
constexpr core::milliseconds stall_quarantine{8000};
// A gang started by an earlier leader is stopped when not all of its members are reported in this
// time.
constexpr core::milliseconds gang_adoption_timeout{2000};
// Each stall doubles the stall timeout of the unit, at most this many times. Thus a unit whose
// worker reports no progress at all can still finish.
constexpr int max_timeout_doublings = 6;
// Bounds the length of a pass: steps that it looks at and groups that it makes. The next one goes
// on with the jobs that are left.
constexpr std::size_t max_visits = 8192;
constexpr std::size_t max_urgent_visits = 6144;
constexpr std::size_t min_other_visits = 2048;
constexpr std::size_t max_visits_per_job = 4096;
// Groups that one job adds to a pass, besides one for each of its ready steps.
constexpr std::size_t max_groups_per_job = 1024;
// Occurrences of one job that exist and are not known to be done.
constexpr std::int64_t max_open_occurrences = 1024;

/// @param speed speed of the run's slowest worker. A slow one is given more time; a fast one not
///        less, since nothing is lost by it.
/// @return how long a run may go without progress; doubles with each earlier stall of its unit.
core::milliseconds stall_timeout(const step_spec& step, double speed, int stall_count)
{
    const core::milliseconds estimate_share{
        static_cast<std::int64_t>(static_cast<double>(step.estimate.count()) *
                                  stall_timeout_fraction / std::min(speed, 1.0))};
    return std::max(min_stall_timeout, estimate_share) *
           (1 << std::min(stall_count, max_timeout_doublings));
}

} // namespace

std::vector<agent_command> site_scheduler::implementation::schedule(core::instant now,
                                                                    unix_time wall_time,
                                                                    bool allow_unpersisted_starts)
{
    this->latest = now;
    this->expire_worker_leases(now);
    this->stop_stalled_runs(now);
    this->stop_incomplete_gangs(now);
    this->mark_dirty_checkpoints(now);
    std::vector<run_number> ended;
    for (const auto& [number, run] : this->runs)
    {
        if (run.has_ended())
        {
            ended.push_back(number);
        }
    }
    for (const run_number number : ended)
    {
        this->remove_run_if_ended(number, now);
    }
    std::vector<placement_group> groups = this->ready_groups(now, wall_time);
    if (!this->starts_held)
    {
        this->place_groups(groups, now);
    }
    std::vector<agent_command> commands;
    this->issue_commands(commands, now, allow_unpersisted_starts);
    this->record_waits(groups, now, allow_unpersisted_starts);
    return commands;
}

void site_scheduler::implementation::mark_dirty_checkpoints(core::instant now)
{
    if (now < this->next_checkpoint_write)
    {
        return;
    }
    this->next_checkpoint_write = now + this->settings.checkpoint_write_interval;
    for (auto& [id, job] : this->jobs)
    {
        if (job.checkpoint_dirty && job.is_active())
        {
            this->mark_changed(job);
        }
        job.checkpoint_dirty = false;
    }
}

void site_scheduler::implementation::expire_worker_leases(core::instant now)
{
    for (auto& [id, worker] : this->workers)
    {
        const core::instant since = std::max(worker.last_renewal_at, this->leases_counted_from);
        // An agent that reports to this leader follows no other. One that does not may follow a
        // later leader, which renews its lease.
        const core::instant known_until =
            std::max(this->confirmed_until.value_or(now), worker.last_report_at);
        if (!worker.lost && known_until - since > this->settings.lease_timeout)
        {
            this->mark_worker_lost(worker, "its lease has lapsed", now);
        }
    }
}

void site_scheduler::implementation::stop_stalled_runs(core::instant now)
{
    for (auto& [number, run] : this->runs)
    {
        // Cheaper than to find the run's job, and true of few runs.
        const bool may_have_stalled =
            !run.stopping &&
            std::all_of(run.members.begin(), run.members.end(),
                        [now](const run_member_state& member)
                        { return now - member.last_progress_at > min_stall_timeout; });
        const auto job = may_have_stalled ? this->jobs.find(run.job) : this->jobs.end();
        if (job == this->jobs.end())
        {
            continue;
        }
        const step_spec& step = job->second.spec.steps[to_index(run.step)];
        unit_table& units =
            get_or_create_occurrence(job->second, run.occurrence)[to_index(run.step)].units;
        const core::milliseconds allowed = stall_timeout(
            step, this->slowest_speed(run), units[to_index(run.members.front().index)].stall_count);
        bool stalled = !step.long_running;
        for (const run_member_state& member : run.members)
        {
            stalled = stalled && member.confirmed && !member.ended &&
                      member.phase == run_phase::running &&
                      this->workers[member.agent].lists_read_at - member.last_progress_at > allowed;
        }
        if (!stalled)
        {
            continue;
        }
        for (const run_member_state& member : run.members)
        {
            worker_state& worker = this->workers[member.agent];
            if (run.members.size() == 1)
            {
                worker.failure_history.quarantined_until = now + stall_quarantine;
            }
            unit_state& unit = units.touch(to_index(member.index));
            unit.failed_on.insert(member.agent);
            ++unit.stall_count;
        }
        this->stop_run(run, "no progress within the stall timeout", loss_reason::stalled);
    }
}

void site_scheduler::implementation::stop_incomplete_gangs(core::instant now)
{
    for (auto& [number, run] : this->runs)
    {
        if (run.gang_complete || run.stopping)
        {
            continue;
        }
        const auto job = this->jobs.find(run.job);
        if (job != this->jobs.end() && job->second.unreconciled_agents.empty() &&
            now - run.started_at > gang_adoption_timeout)
        {
            this->stop_run(run, "not all members of the adopted gang were reported in time",
                           loss_reason::gang_incomplete);
        }
    }
}

void site_scheduler::implementation::create_due_occurrences(job_state& job, unix_time wall_time)
{
    while (job.next_occurrence < job.spec.occurrence_count() &&
           job.next_occurrence - job.first_open_occurrence < max_open_occurrences)
    {
        if (job.spec.occurrences > 0 && !job.occurrences.contains(job.next_occurrence))
        {
            const unix_time due = job.spec.first_due + job.spec.interval * job.next_occurrence;
            if (due > wall_time)
            {
                return;
            }
        }
        get_or_create_occurrence(job, job.next_occurrence);
        ++job.next_occurrence;
    }
}

const step_spec& site_scheduler::implementation::spec_of(const placement_group& group) const
{
    return group.job->spec.steps[to_index(group.step)];
}

std::vector<placement_group> site_scheduler::implementation::ready_groups(core::instant now,
                                                                          unix_time wall_time)
{
    std::vector<placement_group> groups;
    this->pending_units = 0;
    this->sum_urgent_demand();
    const std::map<core::service_id, service_room> rooms = this->rooms_by_service();
    // Urgent jobs come first, and leave a part of the pass to the others.
    const std::size_t visits =
        this->collect_jobs(/*urgent=*/true, max_urgent_visits, rooms, groups, now, wall_time);
    this->collect_jobs(/*urgent=*/false, std::max(max_visits, visits + min_other_visits) - visits,
                       rooms, groups, now, wall_time);
    if (this->settings.order_by_value)
    {
        this->rank_by_value(groups, now, wall_time);
    }
    std::stable_sort(groups.begin(), groups.end(),
                     [](const placement_group& left, const placement_group& right)
                     { return left.rank < right.rank; });
    if (this->settings.fair_shares)
    {
        this->order_by_share(groups);
    }
    return groups;
}

std::map<core::service_id, site_scheduler::implementation::service_room>
site_scheduler::implementation::rooms_by_service() const
{
    std::map<core::service_id, service_room> rooms;
    for (const auto& [id, worker] : this->workers)
    {
        service_room& room = rooms[worker.info.service];
        const resource_amount& capacity = worker.info.capacity;
        room.total += capacity;
        room.largest.millicores = std::max(room.largest.millicores, capacity.millicores);
        room.largest.memory_mb = std::max(room.largest.memory_mb, capacity.memory_mb);
        room.largest.accelerators = std::max(room.largest.accelerators, capacity.accelerators);
    }
    return rooms;
}

std::size_t site_scheduler::implementation::collect_jobs(
    bool urgent, std::size_t limit, const std::map<core::service_id, service_room>& rooms,
    std::vector<placement_group>& groups, core::instant now, unix_time wall_time)
{
    core::job_id& next = urgent ? this->next_urgent_job : this->next_other_job;
    auto each = this->jobs.lower_bound(next);
    next = core::job_id{};
    std::size_t visits = 0;
    for (std::size_t count = 0; count < this->jobs.size(); ++count, ++each)
    {
        each = each == this->jobs.end() ? this->jobs.begin() : each;
        job_state& job = each->second;
        if (!job.is_active() || (job.policy.priority == 0) != urgent)
        {
            continue;
        }
        if (visits >= limit)
        {
            next = each->first;
            break;
        }
        this->create_due_occurrences(job, wall_time);
        if (job.unreconciled_agents.empty())
        {
            const auto room = rooms.find(job.policy.service);
            visits += this->collect_groups(job, room == rooms.end() ? service_room{} : room->second,
                                           groups, now);
        }
    }
    return visits;
}

std::size_t site_scheduler::implementation::collect_groups(job_state& job, const service_room& room,
                                                           std::vector<placement_group>& groups,
                                                           core::instant now)
{
    const std::size_t first_group = groups.size();
    std::size_t visits = 0;
    for (auto each = job.occurrences.lower_bound(job.first_open_occurrence);
         each != job.occurrences.end() && visits < max_visits_per_job; ++each)
    {
        const std::int64_t occurrence = each->first;
        std::vector<step_state>& steps = each->second;
        bool is_done = true;
        for (std::size_t number = 0; number < steps.size(); ++number)
        {
            ++visits;
            step_state& step = steps[number];
            if (step.is_done())
            {
                continue;
            }
            is_done = false;
            if (has_met_dependencies(steps, job.spec.steps[number], step))
            {
                // Each ready step has a group, so that no step waits behind another one's units.
                const std::size_t taken = groups.size() - first_group;
                const std::size_t limit =
                    taken < max_groups_per_job ? max_groups_per_job - taken : 1;
                this->collect_step(job, occurrence, number, room, limit, groups, now);
            }
        }
        if (is_done && occurrence == job.first_open_occurrence)
        {
            ++job.first_open_occurrence;
        }
    }
    return visits + groups.size() - first_group;
}

void site_scheduler::implementation::collect_step(job_state& job, std::int64_t occurrence,
                                                  std::size_t number, const service_room& room,
                                                  std::size_t limit,
                                                  std::vector<placement_group>& groups,
                                                  core::instant now)
{
    step_state& step = job.occurrences.at(occurrence)[number];
    const step_spec& spec = job.spec.steps[number];
    step.ready_since = step.ready_since.value_or(now);
    const std::size_t idle = step.units.idle_count(now);
    if (idle == 0 || (spec.gang && idle < step.units.size()))
    {
        return;
    }
    this->pending_units += idle;
    const std::size_t most = room.most_units(spec.resource_request(), step.units.size());
    const bool exceeds_room = most < (spec.gang ? step.units.size() : 1);
    const auto add = [&](std::vector<std::int64_t> units)
    {
        placement_group group;
        group.job = &job;
        group.occurrence = occurrence;
        group.step = static_cast<std::int64_t>(number);
        group.waiting_since = *step.ready_since;
        group.units = std::move(units);
        for (const std::int64_t unit : group.units)
        {
            step.units.note_idle(to_index(unit), now);
        }
        group.idle_since = step.units.note_idle(to_index(group.units.front()), now);
        group.exceeds_room = exceeds_room;
        this->compute_rank(group, now);
        groups.push_back(std::move(group));
    };
    if (spec.gang)
    {
        add(step.units.first_idle(now, exceeds_room ? 1 : step.units.size()));
        return;
    }
    // More than one beyond what the workers can hold would wait in any case.
    for (const std::int64_t unit :
         step.units.first_idle(now, exceeds_room ? 1 : std::min(limit, most + 1)))
    {
        add({unit});
    }
}

std::size_t
site_scheduler::implementation::service_room::most_units(const resource_amount& request,
                                                         std::size_t wanted) const noexcept
{
    return fits(request, this->largest)
               ? static_cast<std::size_t>(
                     fit_count(request, this->total, static_cast<std::int64_t>(wanted)))
               : 0;
}

void site_scheduler::implementation::sum_urgent_demand()
{
    this->urgent_demand.clear();
    for (const auto& [id, job] : this->jobs)
    {
        if (job.is_active() && job.policy.priority == 0)
        {
            this->urgent_demand[job.spec.organisation] += job.initial_accelerators;
        }
    }
}

bool site_scheduler::implementation::is_guaranteed(const job_state& job) const
{
    const auto guarantee = this->guaranteed.find(job.spec.organisation);
    const auto demand = this->urgent_demand.find(job.spec.organisation);
    return job.policy.priority == 0 && guarantee != this->guaranteed.end() &&
           demand != this->urgent_demand.end() && demand->second <= guarantee->second;
}

void site_scheduler::implementation::compute_rank(placement_group& group, core::instant now) const
{
    // Within a priority, groups that missed their objective rank last, and groups that are due a
    // reservation rank before those that are not.
    const job_state& job = *group.job;
    group.guaranteed = this->is_guaranteed(job);
    const double waited = static_cast<double>((group.waiting_since - this->takeover).count());
    if (group.guaranteed)
    {
        group.rank = -priority_band + waited;
        return;
    }
    const core::milliseconds critical_path = job.critical_path;
    const auto objective =
        core::milliseconds{static_cast<std::int64_t>(static_cast<double>(critical_path.count()) *
                                                     job.policy.max_slowdown)} +
        job.policy.latency_allowance;
    group.objective_missed =
        job.spec.occurrences == 0 && now - job.arrived + critical_path > objective;
    const core::milliseconds slack = objective - critical_path;
    group.reservation_due =
        !group.objective_missed && job.spec.occurrences == 0 &&
        static_cast<double>((now - job.arrived).count()) >
            this->settings.weights.reservation_threshold * static_cast<double>(slack.count());
    const step_spec& step = this->spec_of(group);
    const double size =
        work_core_seconds(step, static_cast<std::size_t>(step.units), step.estimate);
    group.rank = static_cast<double>(job.policy.priority) * priority_band +
                 (group.objective_missed ? priority_band / 2 : 0) +
                 (group.reservation_due ? 0 : priority_band / 4) +
                 (this->settings.weights.smallest_job_first ? size : waited);
}

} // namespace chicorylift::batch
