#include "batch/packing.hpp"
#include "batch/scheduler_impl.hpp"

#include <algorithm>

/// Placement and preemption where workers are kept whole
/// (`scheduler_settings::keep_whole_workers`): the candidates' packing properties, the workers that
/// small units leave alone for a while, and the runs that work beyond its guarantee does not stop.
namespace chicorylift::batch
{

namespace
{

// A small unit waits no longer than this beside kept workers. With the start it stays well below
// the 3 s for which a job may stand still, and below the time after which waits are logged.
constexpr core::milliseconds max_wait_beside_kept{1000};
// Stopping a run takes up to this time, so a run that is expected to end sooner is not stopped.
constexpr core::milliseconds max_stop_time{900};

} // namespace

void site_scheduler::implementation::prepare_packing(const std::vector<placement_group>& groups,
                                                     core::instant now)
{
    if (!this->settings.keep_whole_workers)
    {
        return;
    }
    this->busy_until.assign(this->workers.size(), now);
    for (const auto& [number, run] : this->runs)
    {
        const core::instant end = this->expected_end(run, now);
        for (const run_member_state& member : run.members)
        {
            core::instant& until = this->busy_until[member.worker];
            until = member.ended ? until : std::max(until, end);
        }
    }
    std::map<core::service_id, resource_amount> largest;
    for (const auto& [id, worker] : this->workers)
    {
        resource_amount& capacity = largest[worker.info.service];
        capacity = worker.info.capacity.accelerators > capacity.accelerators ? worker.info.capacity
                                                                             : capacity;
    }
    for (const placement_group& group : groups)
    {
        // Each unit counts in the first pass that sees it.
        if (group.idle_since == now && this->demand_counted_at < now &&
            needs_whole_worker(this->spec_of(group).resource_request(),
                               largest[group.job->policy.service]))
        {
            this->whole_demand[group.job->policy.service].record(
                static_cast<std::int64_t>(group.units.size()), now);
        }
    }
    this->demand_counted_at = now;
}

bool site_scheduler::implementation::leaves_workers_whole(const placement_group& group,
                                                          core::instant now) const
{
    return this->settings.keep_whole_workers && group.job->policy.priority > 0 &&
           !group.guaranteed && !group.room_promised &&
           now - group.idle_since < max_wait_beside_kept;
}

int site_scheduler::implementation::wait_stage(const placement_group& group,
                                               core::instant now) const
{
    return (this->is_within_locality_wait(group, now) ? 1 : 0) +
           (this->leaves_workers_whole(group, now) ? 2 : 0);
}

void site_scheduler::implementation::add_packing(const placement_group& group,
                                                 std::vector<candidate_worker>& candidates,
                                                 core::instant now) const
{
    if (!this->settings.keep_whole_workers)
    {
        return;
    }
    const step_spec& step = this->spec_of(group);
    bool is_small = true;
    for (candidate_worker& candidate : candidates)
    {
        candidate.capacity = this->workers.at(candidate.agent).info.capacity;
        const core::milliseconds busy_for = candidate.index < this->busy_until.size()
                                                ? this->busy_until[candidate.index] - now
                                                : core::milliseconds{0};
        candidate.added_quarters = added_quarters(step.estimate, busy_for);
        is_small = is_small && !needs_whole_worker(step.resource_request(), candidate.capacity);
    }
    const auto demand = this->whole_demand.find(group.job->policy.service);
    if (is_small && demand != this->whole_demand.end() && this->leaves_workers_whole(group, now))
    {
        remove_kept_workers(candidates, demand->second.workers_to_keep(
                                            static_cast<std::int64_t>(candidates.size()), now));
    }
}

void site_scheduler::implementation::note_busy(const placement_group& group, std::size_t worker,
                                               core::instant now)
{
    if (worker < this->busy_until.size())
    {
        core::instant& until = this->busy_until[worker];
        until = std::max(until, now + this->spec_of(group).estimate);
    }
}

bool site_scheduler::implementation::waits_for_ending_runs(const placement_group& group,
                                                           core::instant now) const
{
    // Guaranteed groups cannot wait for runs that may take longer than expected. A wide gang would
    // wait without end, since some runs always end soon.
    return this->settings.keep_whole_workers && !group.guaranteed &&
           now - group.idle_since < max_stop_time;
}

bool site_scheduler::implementation::ends_soon(const run_state& run, core::instant now) const
{
    return this->expected_end(run, now) - now <= max_stop_time;
}

} // namespace chicorylift::batch
