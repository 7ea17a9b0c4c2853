#include "scheduling_pass.hpp"

#include "job_transitions.hpp"

#include <algorithm>
#include <utility>

/// One pass over the queue: tries free capacity, preemption and reservations for each job in order.
namespace chicorylift::sched
{

namespace
{

constexpr std::size_t max_placement_attempts_per_pass = 64;

bool exceeds_limit(const cell_state& cell, const job_entry& job)
{
    const organisation_state& owner = cell.organisations[job.organisation];
    return cell.policy->enforces_guarantees && owner.limit.has_value() &&
           !core::fits(owner.used + job.spec.total(), *owner.limit);
}

/// Properties that decide whether a gang fits. When a job does not fit, later jobs with equal
/// properties are not tried in the same pass.
struct placement_request
{
    organisation_index organisation{};
    core::resources per_task;
    std::int64_t tasks{};
    quota::topology_level within = quota::topology_level::zone;
    bool is_preemptible{};
    bool urgent{};

    friend bool operator==(const placement_request&, const placement_request&) = default;
};

placement_request placement_request_of(const job_entry& job)
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

/// @return 0 for a job within its organisation's guarantee, 1 for other urgent jobs, else 2; always
/// 0 when the policy does not put urgent work first.
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
    const bool urgent_first = cell.policy->urgent_first;
    const auto before = [urgent_first](const ordered_job& left, const ordered_job& right)
    {
        if (left.rank != right.rank)
        {
            return left.rank < right.rank;
        }
        if (urgent_first && left.urgent != right.urgent)
        {
            return left.urgent;
        }
        if (urgent_first && left.urgent && left.job->spec.deadline != right.job->spec.deadline)
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

/// Places the job and stops the plan's victims; the job starts once they have stopped.
/// @return false when the plan is empty.
bool apply_plan(cell_state& cell, job_entry& job, preemption_plan plan)
{
    if (plan.parts.empty())
    {
        return false;
    }
    place_job(cell, job, std::move(plan.parts));
    if (plan.victims.empty())
    {
        emit_decision(cell, decision_kind::start, job, stop_reason::none,
                      "free capacity within the organisation's guarantee");
        return true;
    }
    job.phase = job_phase::waiting_for_reclaim;
    job.reason = wait_reason::preemption_in_progress;
    job.remaining_victims = static_cast<std::int64_t>(plan.victims.size());
    for (job_entry* victim : plan.victims)
    {
        job.displaced.push_back(victim->spec.id);
        victim->preemptor = job.spec.id;
        stop_job(cell, *victim, stop_reason::preempted, "preempted for job " + job.spec.id.str());
    }
    return true;
}

bool try_preempt(cell_state& cell, job_entry& job, core::instant now)
{
    if (!cell.policy->enforces_guarantees || !cell.preemption_allowed)
    {
        return false;
    }
    if (apply_plan(cell, job, plan_reclaim(cell, job, now)))
    {
        return true;
    }
    const bool may_consolidate = cell.policy->may_consolidate != nullptr &&
                                 cell.policy->may_consolidate(make_queued_job_view(cell, job, now));
    if (!may_consolidate)
    {
        return false;
    }
    preemption_plan plan = plan_consolidation(cell, job, now);
    for (job_entry* victim : plan.victims)
    {
        ++victim->consolidation_count;
    }
    return apply_plan(cell, job, std::move(plan));
}

/// State of one scheduling pass.
class scheduling_pass
{
public:
    scheduling_pass(cell_state& cell, core::instant now) : cell(cell), now(now) {}

    void run()
    {
        for (const ordered_job& next : queue_order(this->cell, this->now))
        {
            const bool handled = this->try_place(*next.job);
            if ((!handled && this->cell.policy->strict_order) ||
                this->attempts == max_placement_attempts_per_pass)
            {
                return;
            }
        }
    }

private:
    /// Tries to place the job and records why it waits.
    /// @return whether the job was placed or exceeds its organisation's limit; false means that it
    /// lacks capacity.
    bool try_place(job_entry& job)
    {
        if (exceeds_limit(this->cell, job))
        {
            job.reason = wait_reason::organisation_limit;
            return true;
        }
        const placement_request request = placement_request_of(job);
        if (std::find(this->unplaceable.begin(), this->unplaceable.end(), request) !=
            this->unplaceable.end())
        {
            job.reason = wait_reason::insufficient_capacity;
            return false;
        }
        ++this->attempts;
        bool blocked_by_reservation = false;
        std::vector<part> parts =
            find_placement(this->cell, job, this->reservations, this->now, blocked_by_reservation);
        if (!parts.empty())
        {
            place_job(this->cell, job, std::move(parts));
            emit_decision(this->cell, decision_kind::start, job, stop_reason::none,
                          "free capacity");
            return true;
        }
        if (try_preempt(this->cell, job, this->now))
        {
            return true;
        }
        job.reason = blocked_by_reservation ? wait_reason::blocked_by_reservation
                                            : wait_reason::insufficient_capacity;
        if (!blocked_by_reservation)
        {
            this->unplaceable.push_back(request);
        }
        this->try_reserve(job);
        return false;
    }

    void try_reserve(job_entry& job)
    {
        const auto reservation_count = static_cast<std::int64_t>(this->reservations.size());
        if (reservation_count >= this->cell.policy->max_reservations ||
            !this->cell.policy->may_reserve(make_queued_job_view(this->cell, job, this->now)))
        {
            return;
        }
        std::optional<reservation> reserved = make_reservation(this->cell, job, this->now);
        if (reserved.has_value())
        {
            this->reservations.push_back(*std::move(reserved));
        }
    }

    cell_state& cell;
    core::instant now;
    std::vector<reservation> reservations;
    std::vector<placement_request> unplaceable;
    std::size_t attempts = 0;
};

} // namespace

void run_scheduling_pass(cell_state& cell, core::instant now)
{
    scheduling_pass(cell, now).run();
}

} // namespace chicorylift::sched
