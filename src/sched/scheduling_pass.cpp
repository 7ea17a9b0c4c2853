#include "scheduling_pass.hpp"

#include "job_transitions.hpp"

#include <algorithm>
#include <utility>

/// One pass over the queue: order, free room, reclaiming, reservations.
namespace chicorylift::sched
{

namespace
{

constexpr std::size_t placements_tried_per_pass = 64;

bool over_limit(const cell_state& cell, const job_entry& job)
{
    const organisation_state& owner = cell.organisations[job.organisation];
    return cell.policy->enforces_guarantees && owner.limit.has_value() &&
           !core::fits(owner.used + job.spec.total(), *owner.limit);
}

/// What two queued jobs share when one's lack of room answers for the other.
struct tried_shape
{
    organisation_index organisation{};
    core::resources per_task;
    std::int64_t tasks{};
    quota::topology_level within = quota::topology_level::zone;
    bool reclaimable{};
    bool urgent{};

    friend bool operator==(const tried_shape&, const tried_shape&) = default;
};

tried_shape shape_tried_by(const job_entry& job)
{
    return {job.organisation, job.spec.per_task,      job.spec.tasks,
            job.spec.within,  job.spec.preemptible(), job.spec.priority == priority_class::urgent};
}

struct ordered_job
{
    job_entry* job = nullptr;
    int rank{};
    bool urgent = false;
    double key{};
};

/// @return 0 for work inside its organisation's guarantee, 1 for other urgent work, else 2.
int rank_of(const cell_state& cell, const job_entry& job)
{
    if (!cell.policy->urgent_first)
    {
        return 0;
    }
    const organisation_state& owner = cell.organisations[job.organisation];
    if (core::fits(owner.used + job.spec.total(), owner.guaranteed))
    {
        return 0;
    }
    return job.spec.priority == priority_class::urgent ? 1 : 2;
}

/// @return the queue in the policy's order.
std::vector<ordered_job> queue_order(const cell_state& cell, core::instant now)
{
    std::vector<ordered_job> order;
    order.reserve(cell.queue.size());
    for (job_entry* job : cell.queue)
    {
        order.push_back({job, rank_of(cell, *job), job->spec.priority == priority_class::urgent,
                         cell.policy->queue_key(make_queued_job_view(cell, *job, now))});
    }
    const bool heeds_urgency = cell.policy->urgent_first;
    const auto before = [heeds_urgency](const ordered_job& left, const ordered_job& right)
    {
        if (left.rank != right.rank)
        {
            return left.rank < right.rank;
        }
        if (heeds_urgency && left.urgent != right.urgent)
        {
            return left.urgent;
        }
        if (heeds_urgency && left.urgent && left.job->spec.deadline != right.job->spec.deadline)
        {
            return left.job->spec.deadline.value_or(core::instant::max()) <
                   right.job->spec.deadline.value_or(core::instant::max());
        }
        return left.key != right.key ? left.key < right.key
                                     : left.job->spec.id < right.job->spec.id;
    };
    std::sort(order.begin(), order.end(), before);
    return order;
}

/// Places the job once the plan's victims have stopped.
bool place_by_plan(cell_state& cell, job_entry& job, preemption_plan plan)
{
    if (plan.parts.empty())
    {
        return false;
    }
    place_job(cell, job, std::move(plan.parts));
    if (plan.victims.empty())
    {
        emit_decision(cell, decision_kind::start, job, stop_reason::none,
                      "inside its own guarantee");
        return true;
    }
    job.phase = job_phase::waiting_for_reclaim;
    job.reason = wait_reason::preemption_in_progress;
    job.remaining_victims = static_cast<std::int64_t>(plan.victims.size());
    for (job_entry* victim : plan.victims)
    {
        job.displaced.push_back(victim->spec.id);
        victim->preemptor = job.spec.id;
        stop_job(cell, *victim, stop_reason::preempted, "for job " + job.spec.id.str());
    }
    return true;
}

bool place_by_reclaim(cell_state& cell, job_entry& job, core::instant now)
{
    if (!cell.policy->enforces_guarantees || !cell.preemption_allowed)
    {
        return false;
    }
    if (place_by_plan(cell, job, plan_reclaim(cell, job, now)))
    {
        return true;
    }
    const bool may_move = cell.policy->may_consolidate != nullptr &&
                          cell.policy->may_consolidate(make_queued_job_view(cell, job, now));
    if (!may_move)
    {
        return false;
    }
    preemption_plan plan = plan_consolidation(cell, job, now);
    for (job_entry* victim : plan.victims)
    {
        ++victim->consolidation_count;
    }
    return place_by_plan(cell, job, std::move(plan));
}

/// One pass over the queue.
class scheduling_pass
{
public:
    scheduling_pass(cell_state& cell, core::instant now) : cell(cell), now(now) {}

    void run()
    {
        for (const ordered_job& next : queue_order(this->cell, this->now))
        {
            const bool settled = this->settle(*next.job);
            if ((!settled && this->cell.policy->strict_order) ||
                this->tried == placements_tried_per_pass)
            {
                return;
            }
        }
    }

private:
    /// @return whether the job was placed or is held back by its own organisation's limit.
    bool settle(job_entry& job)
    {
        if (over_limit(this->cell, job))
        {
            job.reason = wait_reason::organisation_limit;
            return true;
        }
        const tried_shape shape = shape_tried_by(job);
        if (std::find(this->failed.begin(), this->failed.end(), shape) != this->failed.end())
        {
            job.reason = wait_reason::insufficient_capacity;
            return false;
        }
        ++this->tried;
        bool behind_reservation = false;
        std::vector<part> parts =
            find_placement(this->cell, job, this->reservations, this->now, behind_reservation);
        if (!parts.empty())
        {
            place_job(this->cell, job, std::move(parts));
            emit_decision(this->cell, decision_kind::start, job, stop_reason::none, "free room");
            return true;
        }
        if (place_by_reclaim(this->cell, job, this->now))
        {
            return true;
        }
        job.reason = behind_reservation ? wait_reason::blocked_by_reservation
                                        : wait_reason::insufficient_capacity;
        if (!behind_reservation)
        {
            this->failed.push_back(shape);
        }
        this->keep_room(job);
        return false;
    }

    void keep_room(job_entry& job)
    {
        const auto held = static_cast<std::int64_t>(this->reservations.size());
        if (held >= this->cell.policy->max_reservations ||
            !this->cell.policy->may_reserve(make_queued_job_view(this->cell, job, this->now)))
        {
            return;
        }
        std::optional<reservation> kept = make_reservation(this->cell, job, this->now);
        if (kept.has_value())
        {
            this->reservations.push_back(*std::move(kept));
        }
    }

    cell_state& cell;
    core::instant now;
    std::vector<reservation> reservations;
    std::vector<tried_shape> failed;
    std::size_t tried = 0;
};

} // namespace

void run_scheduling_pass(cell_state& cell, core::instant now)
{
    scheduling_pass(cell, now).run();
}

} // namespace chicorylift::sched
