#include "batch/scheduler_impl.hpp"
#include "batch/work_rate.hpp"

#include <algorithm>
#include <cmath>
#include <set>
#include <span>

/// Second half of a scheduling pass: places ready groups on workers, reserves room for groups that
/// must wait, and issues start and stop commands.
namespace chicorylift::batch
{

namespace
{

constexpr std::uint64_t runs_per_epoch = 1U << 20U;
// Bounds the length of a pass; the next one goes on.
constexpr run_number max_starts_per_pass = 1024;
// On a service with spare capacity, a group waits no longer than this for better room than there
// is. With the start it must stay below the 3 s for which a job may stand still.
constexpr core::milliseconds max_wait_beside_spare{1500};

/// @return a typical worker's time on a worker of the given speed.
core::milliseconds at_speed(core::milliseconds time, double speed)
{
    return speed == 1 ? time
                      : core::milliseconds{
                            static_cast<std::int64_t>(static_cast<double>(time.count()) / speed)};
}

/// @return resources as cores, accelerators included.
double core_equivalents(const resource_amount& amount)
{
    step_spec step;
    step.per_unit = amount;
    return work_rate(step);
}

} // namespace

worker_state& site_scheduler::implementation::get_or_create_worker(const agent_id& agent)
{
    const auto [found, inserted] = this->workers.try_emplace(agent);
    if (inserted)
    {
        found->second.agent = agent;
        found->second.index = this->workers.size() - 1;
        if (this->assume_unreported_runs)
        {
            for (auto& [id, job] : this->jobs)
            {
                if (job.origin == job_origin::earlier_leader)
                {
                    job.unreconciled_agents.insert(agent);
                }
            }
        }
    }
    return found->second;
}

resources_by_worker site_scheduler::implementation::available_resources() const
{
    resources_by_worker available(this->workers.size());
    for (const auto& [id, worker] : this->workers)
    {
        available[worker.index] = worker.info.capacity;
    }
    for (const auto& [number, run] : this->runs)
    {
        for (const run_member_state& member : run.members)
        {
            if (!member.ended)
            {
                available[member.worker] -= run.per_unit;
            }
        }
    }
    return available;
}

std::vector<candidate_worker> site_scheduler::implementation::candidate_workers(
    const placement_group& group, const resources_by_worker& available, core::instant now) const
{
    const step_spec& step = this->spec_of(group);
    std::vector<std::int64_t> units_per_worker(step.max_per_worker == 0 ? 0 : available.size());
    for (const auto& [number, run] : this->runs)
    {
        if (step.max_per_worker == 0)
        {
            break;
        }
        if (run.job != group.job->spec.id || run.step != group.step ||
            run.occurrence != group.occurrence)
        {
            continue;
        }
        for (const run_member_state& member : run.members)
        {
            units_per_worker[member.worker] += member.ended ? 0 : 1;
        }
    }
    const step_state& state = group.job->occurrences.at(group.occurrence)[to_index(group.step)];
    std::set<agent_id> failed_on;
    for (const std::int64_t unit : group.units)
    {
        const std::set<agent_id>& failed = state.units[to_index(unit)].failed_on;
        failed_on.insert(failed.begin(), failed.end());
    }
    const bool any_room = this->waits_beside_spare(group, now);
    std::optional<double> needed_speed;
    std::vector<candidate_worker> candidates;
    candidates.reserve(this->workers.size());
    for (const auto& [id, worker] : this->workers)
    {
        if (!this->may_place_on(worker, *group.job, step, now) ||
            (worker.failure_history.quarantined_until > now && !any_room))
        {
            continue;
        }
        candidate_worker& candidate = candidates.emplace_back();
        candidate.agent = id;
        candidate.rack = worker.info.rack;
        // Urgent work is not delayed for the sake of workers that may be cold.
        const bool gradually = !any_room && group.job->policy.priority > 0;
        candidate.free = gradually ? this->fillable(worker, available[worker.index], now)
                                   : available[worker.index];
        candidate.index = worker.index;
        candidate.step_units = units_per_worker.empty() ? 0 : units_per_worker[worker.index];
        candidate.speed = worker.speed;
        if (worker.speed != 1)
        {
            needed_speed = needed_speed.value_or(this->needed_speed(group, now));
            const bool slow_first = worker.speed >= *needed_speed;
            candidate.speed_order = (worker.speed < 1) == slow_first ? -1 : 1;
        }
        candidate.has_recent_failures = worker.failure_history.failures > 0 ||
                                        worker.failure_history.quarantined_until > now ||
                                        (!failed_on.empty() && failed_on.contains(id));
        candidate.warming_up = this->is_warming_up(worker, now);
    }
    this->add_packing(group, candidates, now);
    return candidates;
}

bool site_scheduler::implementation::fits_one_rack(const placement_group& group) const
{
    const step_spec& step = this->spec_of(group);
    std::map<core::rack_id, std::int64_t> units_per_rack;
    for (const auto& [id, worker] : this->workers)
    {
        if (!worker.lost && !worker.info.unresponsive && !worker.zone_evacuated &&
            worker.info.service == group.job->policy.service)
        {
            units_per_rack[worker.info.rack] +=
                fit_count(step.resource_request(), worker.info.capacity, step.units);
        }
    }
    return std::any_of(units_per_rack.begin(), units_per_rack.end(),
                       [&step](const auto& rack) { return rack.second >= step.units; });
}

void site_scheduler::implementation::find_services_with_spare(const resources_by_worker& available)
{
    std::map<core::service_id, std::pair<double, double>> free_and_capacity;
    for (const auto& [id, worker] : this->workers)
    {
        if (!worker.lost && worker.info.announced && !worker.info.draining &&
            !worker.info.unresponsive && !worker.zone_evacuated)
        {
            auto& [free, capacity] = free_and_capacity[worker.info.service];
            free += core_equivalents(available[worker.index]);
            capacity += core_equivalents(worker.info.capacity);
        }
    }
    this->services_with_spare.clear();
    for (const auto& [service, amounts] : free_and_capacity)
    {
        if (2 * amounts.first > amounts.second)
        {
            this->services_with_spare.insert(service);
        }
    }
}

bool site_scheduler::implementation::waits_beside_spare(const placement_group& group,
                                                        core::instant now) const
{
    return now - group.idle_since >= max_wait_beside_spare &&
           this->services_with_spare.contains(group.job->policy.service);
}

bool site_scheduler::implementation::is_within_locality_wait(const placement_group& group,
                                                             core::instant now) const
{
    return now - group.idle_since < this->settings.rack_locality_wait;
}

placement_constraints site_scheduler::implementation::constraints_for(const placement_group& group,
                                                                      core::instant now) const
{
    const step_spec& step = this->spec_of(group);
    const bool within_locality_wait = this->is_within_locality_wait(group, now);
    placement_constraints rules;
    rules.one_rack = step.rack_local && step.gang && this->fits_one_rack(group) &&
                     (within_locality_wait || group.guaranteed);
    if (!step.data_rack.empty() && within_locality_wait)
    {
        rules.data_rack_only =
            std::any_of(this->workers.begin(), this->workers.end(),
                        [&step](const auto& each)
                        {
                            return each.second.info.rack.str() == step.data_rack &&
                                   !each.second.lost && !each.second.info.draining &&
                                   !each.second.zone_evacuated;
                        });
    }
    return rules;
}

void site_scheduler::implementation::place_groups(std::vector<placement_group>& groups,
                                                  core::instant now)
{
    resources_by_worker available = this->available_resources();
    this->backfill_reservations.clear();
    this->victims.reset();
    this->placement_attempts = 0;
    this->find_services_with_spare(available);
    this->deduct_preemption_reservations(groups, available);
    this->prepare_packing(groups, now);
    std::pair<const step_spec*, int> full_step{};
    const run_number first_run = this->next_run;
    for (std::size_t next = 0;
         next < groups.size() && this->next_run - first_run < max_starts_per_pass; ++next)
    {
        if (groups[next].exceeds_room)
        {
            continue;
        }
        const std::span rest = std::span<const placement_group>(groups).subspan(next);
        // All units of a step request the same resources: when one cannot be placed, neither can
        // the others, except those with a preemption reservation or without a wait for a rack.
        const std::pair step(&this->spec_of(rest.front()), this->wait_stage(rest.front(), now));
        const std::size_t alike = step == full_step ? 0 : this->count_units_of_step(rest, now);
        if (alike > 1)
        {
            const std::size_t placed = this->place_units_of_step(rest.first(alike), available, now);
            if (placed > 0)
            {
                next += placed - 1;
                continue;
            }
        }
        placement_group& group = groups[next];
        const auto reservation = this->release_preemption_reservation(group, available);
        group.room_promised = reservation.has_value();
        if ((step == full_step && !reservation.has_value()) ||
            (alike <= 1 &&
             this->place_group(group, available, this->constraints_for(group, now), now)))
        {
            continue;
        }
        // The group's own rack has no room, and the plan for this room has no use for a rack.
        if (reservation.has_value() && reservation->any_rack &&
            this->place_group(group, available, {}, now))
        {
            continue;
        }
        if (group.job->policy.priority == 0 && this->preempt_for(group, available, now))
        {
            continue;
        }
        full_step = step;
        if (group.reservation_due && this->backfill_reservations.empty())
        {
            this->reserve_for(group, available, now);
        }
    }
}

std::size_t
site_scheduler::implementation::count_units_of_step(std::span<const placement_group> groups,
                                                    core::instant now) const
{
    const step_spec& step = this->spec_of(groups.front());
    const step_state& state = groups.front().job->occurrences.at(
        groups.front().occurrence)[to_index(groups.front().step)];
    std::size_t count = 0;
    while (!step.gang && count < groups.size() && &this->spec_of(groups[count]) == &step &&
           groups[count].occurrence == groups.front().occurrence &&
           this->wait_stage(groups[count], now) == this->wait_stage(groups.front(), now) &&
           state.units[to_index(groups[count].units.front())].failed_on.empty() &&
           !this->preemption_reservations.contains(reservation_key(groups[count])))
    {
        ++count;
    }
    return count;
}

std::size_t site_scheduler::implementation::place_units_of_step(
    std::span<const placement_group> groups, resources_by_worker& available, core::instant now)
{
    const placement_group& first = groups.front();
    std::vector<std::int64_t> units;
    for (const placement_group& group : groups)
    {
        units.push_back(group.units.front());
    }
    ++this->placement_attempts;
    std::vector<candidate_worker> candidates = this->candidate_workers(first, available, now);
    this->apply_reservations(first, candidates, now);
    const std::vector<unit_placement> placed = place_units_that_fit(
        this->spec_of(first), units, candidates, this->constraints_for(first, now));
    for (std::size_t index = 0; index < placed.size(); ++index)
    {
        this->occupy(first, {placed[index]}, available, now);
        this->begin_run(groups[index], {placed[index]}, now);
    }
    return placed.size();
}

void site_scheduler::implementation::reserve_for(const placement_group& group,
                                                 const resources_by_worker& available,
                                                 core::instant now)
{
    const step_spec& step = this->spec_of(group);
    std::vector<std::pair<core::instant, const run_state*>> ends;
    ends.reserve(this->runs.size());
    for (const auto& [number, run] : this->runs)
    {
        ends.emplace_back(this->expected_end(run, now), &run);
    }
    // Runs with the same expected end stay in the order of their numbers. The order of their
    // addresses would differ from one process to the next.
    std::stable_sort(ends.begin(), ends.end(),
                     [](const auto& left, const auto& right) { return left.first < right.first; });
    const placement_constraints rules = this->constraints_for(group, now);
    std::vector<candidate_worker> candidates = this->candidate_workers(group, available, now);
    const auto free_after = [&](std::size_t count)
    {
        resources_by_worker later = available;
        for (std::size_t index = 0; index < count; ++index)
        {
            for (const run_member_state& member : ends[index].second->members)
            {
                if (!member.ended)
                {
                    later[member.worker] += ends[index].second->per_unit;
                }
            }
        }
        return later;
    };
    const auto placed_after = [&](std::size_t count)
    {
        const resources_by_worker later = free_after(count);
        for (candidate_worker& candidate : candidates)
        {
            candidate.free = later[candidate.index];
        }
        return place_units(step, group.units, candidates, rules);
    };
    if (ends.empty() || !placed_after(ends.size()).has_value())
    {
        return;
    }
    // Each ended run only adds free resources, so a binary search finds the smallest number of
    // ended runs that makes room for the group.
    std::size_t low = 0;
    std::size_t high = ends.size();
    while (low + 1 < high)
    {
        const std::size_t middle = (low + high) / 2;
        (placed_after(middle).has_value() ? high : low) = middle;
    }
    const core::instant when = ends[high - 1].first;
    const auto placed = placed_after(high);
    for (const unit_placement& placement : placed.value())
    {
        backfill_reservation& reservation = this->backfill_reservations[placement.worker];
        reservation.job = group.job->spec.id;
        reservation.reserved += step.resource_request();
        reservation.until = when;
    }
    const auto first_later = std::find_if(ends.begin(), ends.end(),
                                          [when](const auto& end) { return end.first > when; });
    const resources_by_worker spare =
        free_after(static_cast<std::size_t>(std::distance(ends.begin(), first_later)));
    for (auto& [worker, reservation] : this->backfill_reservations)
    {
        reservation.spare = spare[worker];
        reservation.spare -= reservation.reserved;
    }
}

void site_scheduler::implementation::apply_reservations(const placement_group& group,
                                                        std::vector<candidate_worker>& candidates,
                                                        core::instant now) const
{
    if (this->backfill_reservations.empty() || group.guaranteed || group.room_promised ||
        this->waits_beside_spare(group, now))
    {
        return;
    }
    const core::milliseconds expected = this->expected_total(group);
    for (candidate_worker& candidate : candidates)
    {
        const auto reservation = this->backfill_reservations.find(candidate.index);
        if (reservation == this->backfill_reservations.end() ||
            reservation->second.job == group.job->spec.id ||
            now + at_speed(expected, candidate.speed) <= reservation->second.until)
        {
            continue;
        }
        // The run would overlap the reservation, so it may use only what the reservation spares.
        const resource_amount& spare = reservation->second.spare;
        candidate.free.accelerators = std::min(candidate.free.accelerators, spare.accelerators);
        candidate.free.millicores = std::min(candidate.free.millicores, spare.millicores);
        candidate.free.memory_mb = std::min(candidate.free.memory_mb, spare.memory_mb);
    }
}

bool site_scheduler::implementation::place_group(const placement_group& group,
                                                 resources_by_worker& available,
                                                 placement_constraints rules, core::instant now)
{
    ++this->placement_attempts;
    std::vector<candidate_worker> candidates = this->candidate_workers(group, available, now);
    this->apply_reservations(group, candidates, now);
    const auto placed = place_units(this->spec_of(group), group.units, candidates, rules);
    if (!placed.has_value())
    {
        return false;
    }
    this->occupy(group, *placed, available, now);
    this->begin_run(group, *placed, now);
    return true;
}

void site_scheduler::implementation::occupy(const placement_group& group,
                                            const std::vector<unit_placement>& placements,
                                            resources_by_worker& available, core::instant now)
{
    const resource_amount request = this->spec_of(group).resource_request();
    const core::milliseconds expected =
        this->backfill_reservations.empty() ? core::milliseconds{} : this->expected_total(group);
    for (const unit_placement& placement : placements)
    {
        available[placement.worker] -= request;
        this->note_busy(group, placement.worker, now);
        const auto reservation = this->backfill_reservations.find(placement.worker);
        if (reservation != this->backfill_reservations.end() &&
            now + at_speed(expected, this->workers[placement.agent].speed) >
                reservation->second.until)
        {
            reservation->second.spare -= request;
        }
    }
}

void site_scheduler::implementation::add_job_agent(job_state& job, const agent_id& agent)
{
    if (job.agents.insert(agent).second)
    {
        this->mark_changed(job);
        job.agents_version = job.version;
    }
}

void site_scheduler::implementation::begin_run(const placement_group& group,
                                               const std::vector<unit_placement>& placements,
                                               core::instant now)
{
    const run_number number = this->settings.epoch * runs_per_epoch + this->next_run++;
    run_state run;
    run.number = number;
    run.job = group.job->spec.id;
    run.occurrence = group.occurrence;
    run.step = group.step;
    run.per_unit = this->spec_of(group).resource_request();
    run.gang = this->spec_of(group).gang;
    run.started_at = now;
    step_state& state = group.job->occurrences.at(group.occurrence)[to_index(group.step)];
    if (run.gang)
    {
        // Any member's checkpoint is valid for the gang, and all must carry the same one.
        std::string newest;
        for (const auto& [index, unit] : state.units.touched())
        {
            newest = std::max(newest, unit.checkpoint);
        }
        for (const unit_placement& placement : placements)
        {
            state.units.touch(to_index(placement.index)).checkpoint = newest;
        }
    }
    std::string agent_names;
    for (const unit_placement& placement : placements)
    {
        run_member_state member;
        member.index = placement.index;
        member.agent = placement.agent;
        member.worker = placement.worker;
        member.last_progress_at = now;
        run.members.push_back(member);
        this->workers[placement.agent].runs.insert(number);
        state.units.touch(to_index(placement.index)).run = number;
        agent_names += (agent_names.empty() ? "" : ",") + placement.agent.str();
        this->add_job_agent(*group.job, placement.agent);
    }
    ++group.job->active_runs;
    this->record_decision(
        "run_placed", run.job,
        "step " + std::to_string(run.occurrence) + "." + std::to_string(run.step) + " units " +
            std::to_string(placements.size()) + " run " + std::to_string(number) + " on " +
            agent_names + " after waiting " + std::to_string((now - group.waiting_since).count()) +
            " ms; each " + std::to_string(run.per_unit.accelerators) + " accelerators, " +
            std::to_string(run.per_unit.millicores) + " millicores, " +
            std::to_string(this->spec_of(group).estimate.count()) + " ms" +
            (this->spec_of(group).checkpointing ? ", checkpointing" : "") + "; priority " +
            std::to_string(group.job->policy.priority) + (group.guaranteed ? ", guaranteed" : ""));
    decision_record& placed = this->records.back();
    placed.waited = now - group.waiting_since;
    placed.organisation = group.job->spec.organisation;
    placed.queue = group.job->policy.queue;
    this->runs.emplace(number, std::move(run));
}

bool site_scheduler::implementation::may_start_unpersisted(
    const job_state& job, bool allow_unpersisted_starts) const noexcept
{
    return allow_unpersisted_starts && job.accepted_version <= this->confirmed_version;
}

void site_scheduler::implementation::issue_commands(std::vector<agent_command>& commands,
                                                    core::instant now,
                                                    bool allow_unpersisted_starts)
{
    for (auto& [number, run] : this->runs)
    {
        const bool needs_command =
            run.stopping || std::any_of(run.members.begin(), run.members.end(),
                                        [](const run_member_state& member)
                                        { return !member.ended && !member.confirmed; });
        if (!needs_command || (this->starts_held && !run.stopping))
        {
            continue;
        }
        const auto job = this->jobs.find(run.job);
        if (!run.stopping && job != this->jobs.end() &&
            !this->may_start_unpersisted(job->second, allow_unpersisted_starts))
        {
            const auto& persisted = job->second.persisted_agents;
            // A start waits until the agents of all members are persisted: a later leader must
            // find every worker that may run a member.
            const bool all_persisted = std::all_of(run.members.begin(), run.members.end(),
                                                   [&persisted](const run_member_state& member)
                                                   { return persisted.contains(member.agent); });
            if (!all_persisted)
            {
                continue;
            }
        }
        for (run_member_state& member : run.members)
        {
            const bool due = !member.command_sent ||
                             now - member.last_command_at > this->settings.command_retry_interval;
            const bool needed = run.stopping || !member.confirmed;
            if (member.ended || !due || !needed)
            {
                continue;
            }
            agent_command command;
            command.what =
                run.stopping ? agent_command::action::stop : agent_command::action::start;
            command.agent = member.agent;
            command.unit = {run.job, run.occurrence, run.step, member.index};
            command.run = number;
            if (!run.stopping && job != this->jobs.end())
            {
                const unit_state& unit =
                    job->second.occurrences.at(run.occurrence)[to_index(run.step)]
                        .units[to_index(member.index)];
                command.payload = job->second.spec.payload;
                command.checkpoint = unit.checkpoint;
            }
            if (!run.stopping && !member.command_sent && command.checkpoint.empty())
            {
                member.whole_since = now;
            }
            member.command_sent = true;
            member.last_command_at = now;
            commands.push_back(std::move(command));
        }
    }
}

} // namespace chicorylift::batch
