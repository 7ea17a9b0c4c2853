#include "batch/scheduler_impl.hpp"

#include <algorithm>

/// Decides which workers may get work, and follows the evacuation of availability zones.
namespace chicorylift::batch
{

namespace
{

// Workers of a zone that was restored to service may be cold; others are preferred for this long.
constexpr core::milliseconds restored_zone_time{15'000};
// Over this time the share of a restored zone's capacity that may be filled rises to all of it.
// Shorter than the 3 s for which capacity may stand idle while work waits.
constexpr core::milliseconds gradual_fill_time{2500};

/// @return the share @p part / @p whole of the amount.
resource_amount share_of(const resource_amount& amount, core::milliseconds part,
                         core::milliseconds whole)
{
    return {amount.millicores * part.count() / whole.count(),
            amount.memory_mb * part.count() / whole.count(),
            amount.accelerators * part.count() / whole.count()};
}

} // namespace

site_scheduler::implementation::placement_obstacle
site_scheduler::implementation::obstacle_on(const worker_state& worker, const job_state& job,
                                            const step_spec& step, core::instant now) const
{
    if (!worker.reconciled || worker.lost || worker.agent_stopping || !worker.info.announced ||
        worker.info.unresponsive || worker.info.draining ||
        worker.info.service != job.policy.service)
    {
        return placement_obstacle::worker;
    }
    // Without a recent report, the worker's lease may have lapsed when the start command arrives.
    constexpr core::milliseconds max_report_age{2500};
    if (now - worker.last_report_at > max_report_age)
    {
        return placement_obstacle::worker;
    }
    const auto& labels = worker.info.labels;
    if (!step.required_label.empty() &&
        std::find(labels.begin(), labels.end(), step.required_label) == labels.end())
    {
        return placement_obstacle::worker;
    }
    return worker.zone_evacuated ? placement_obstacle::zone_evacuated : placement_obstacle::none;
}

bool site_scheduler::implementation::may_place_on(const worker_state& worker, const job_state& job,
                                                  const step_spec& step, core::instant now) const
{
    return this->obstacle_on(worker, job, step, now) == placement_obstacle::none;
}

void site_scheduler::implementation::set_evacuated_zones(std::set<core::zone_id> zones,
                                                         core::instant now)
{
    for (const core::zone_id& zone : this->evacuated_zones)
    {
        if (!zones.contains(zone))
        {
            this->restored_zones[zone] = now;
        }
    }
    for (const core::zone_id& zone : zones)
    {
        this->restored_zones.erase(zone);
    }
    this->evacuated_zones = std::move(zones);
    std::set<std::size_t> evacuated;
    for (auto& [id, worker] : this->workers)
    {
        this->update_zone_state(worker);
        if (worker.zone_evacuated)
        {
            evacuated.insert(worker.index);
        }
    }
    // The room is given up, and the groups plan anew on other workers.
    std::erase_if(this->preemption_reservations,
                  [&evacuated](const auto& each)
                  {
                      const auto& resources = each.second.resources;
                      return std::any_of(resources.begin(), resources.end(),
                                         [&evacuated](const auto& part)
                                         { return evacuated.contains(part.first); });
                  });
    std::erase_if(this->backfill_reservations,
                  [&evacuated](const auto& each) { return evacuated.contains(each.first); });
}

void site_scheduler::implementation::update_zone_state(worker_state& worker)
{
    worker.zone_evacuated = this->evacuated_zones.contains(worker.info.zone);
    const auto restored = this->restored_zones.find(worker.info.zone);
    worker.zone_restored_at =
        restored == this->restored_zones.end() ? std::nullopt : std::optional(restored->second);
    if (worker.zone_evacuated)
    {
        this->stop_unconfirmed_runs(worker);
    }
}

void site_scheduler::implementation::stop_unconfirmed_runs(const worker_state& worker)
{
    for (const run_number number : worker.runs)
    {
        run_state& run = this->runs.at(number);
        // A gang starts as a whole, so one unconfirmed member stops it.
        const bool unconfirmed = std::any_of(run.members.begin(), run.members.end(),
                                             [&worker](const run_member_state& member) {
                                                 return member.agent == worker.agent &&
                                                        !member.ended && !member.confirmed;
                                             });
        if (unconfirmed)
        {
            this->stop_run(run, "its worker's zone is evacuated and has not confirmed the start");
        }
    }
}

bool site_scheduler::implementation::is_warming_up(const worker_state& worker,
                                                   core::instant now) const
{
    return worker.zone_restored_at.has_value() &&
           now - *worker.zone_restored_at < restored_zone_time;
}

resource_amount site_scheduler::implementation::fillable(const worker_state& worker,
                                                         const resource_amount& free,
                                                         core::instant now) const
{
    if (!worker.zone_restored_at.has_value() || now - *worker.zone_restored_at >= gradual_fill_time)
    {
        return free;
    }
    const resource_amount& capacity = worker.info.capacity;
    resource_amount room = share_of(capacity, now - *worker.zone_restored_at, gradual_fill_time);
    room -= capacity;
    room += free;
    return {std::min(free.millicores, room.millicores), std::min(free.memory_mb, room.memory_mb),
            std::min(free.accelerators, room.accelerators)};
}

zone_use site_scheduler::implementation::use_of_zone(const core::zone_id& zone,
                                                     core::instant now) const
{
    zone_use use;
    for (const auto& [id, worker] : this->workers)
    {
        if (!worker.info.announced || worker.info.zone != zone)
        {
            // The zone of a worker is not known before its agent has reported its announcement.
            use.unknown_workers += !worker.info.announced && !worker.lost ? 1 : 0;
            continue;
        }
        ++use.workers;
        use.unread_workers += !worker.reconciled && !worker.lost ? 1 : 0;
        for (const auto& [number, change] : worker.pending_ends)
        {
            const auto job = this->jobs.find(change.first);
            use.unpersisted_ends += job != this->jobs.end() && !job->second.cancelled &&
                                            job->second.persisted_version < change.second
                                        ? 1
                                        : 0;
        }
        for (const run_number number : worker.runs)
        {
            const run_state& run = this->runs.at(number);
            for (const run_member_state& member : run.members)
            {
                if (member.agent == id && !member.ended)
                {
                    ++(member.confirmed ? use.running_units : use.unconfirmed_starts);
                    use.last_end = std::max(use.last_end, this->expected_end(run, now));
                }
            }
        }
    }
    return use;
}

void site_scheduler::set_evacuated_zones(std::set<core::zone_id> zones, core::instant now)
{
    this->inner->set_evacuated_zones(std::move(zones), now);
}

void site_scheduler::hold_starts(bool held)
{
    this->inner->starts_held = held;
}

zone_use site_scheduler::use_of_zone(const core::zone_id& zone, core::instant now) const
{
    return this->inner->use_of_zone(zone, now);
}

} // namespace chicorylift::batch
