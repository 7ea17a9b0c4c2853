#include "cell_state.hpp"

#include <algorithm>
#include <limits>

/// Finds the work to stop so that an organisation gets its guaranteed room.
namespace chicorylift::sched
{

namespace
{

// A checkpoint costs about this much running time of the whole gang.
constexpr core::milliseconds checkpoint_cost = std::chrono::seconds{30};

/// @return accelerator-milliseconds that stopping the job throws away.
double lost_work(const job_entry& job, core::instant now)
{
    const core::milliseconds ran = now - std::max(job.started, job.last_checkpoint);
    const core::milliseconds lost = job.spec.checkpointable ? std::min(ran, checkpoint_cost) : ran;
    const std::int64_t size = std::max<std::int64_t>(job.spec.total().accelerators, 1);
    return static_cast<double>(lost.count()) * static_cast<double>(size);
}

bool can_be_stopped(const job_entry& job) noexcept
{
    return job.spec.preemptible() &&
           (job.phase == job_phase::running || job.phase == job_phase::starting);
}

core::resources use_on(const job_entry& job, worker_index index)
{
    core::resources used;
    for (const part& placed : job.placement)
    {
        if (placed.worker == index)
        {
            used += job.spec.per_task * placed.tasks;
        }
    }
    return used;
}

bool outranks(const job_entry& job, const job_entry& other) noexcept
{
    return job.spec.priority == priority_class::urgent &&
           other.spec.priority != priority_class::urgent;
}

/// Work on one worker that the job may displace, and the job's entitlement there.
struct worker_claim
{
    worker_index worker{};
    core::resources entitled;
    std::vector<job_entry*> victims;
    std::int64_t fitting{};
    double lost{};
};

/// @return whether the other job's organisation uses more here than is set aside for it.
bool is_borrowing(const worker_state& worker, const job_entry& other)
{
    const organisation_allocation theirs = allocation_or_empty(worker, other.organisation);
    return !core::fits(theirs.used, theirs.guaranteed);
}

/// What a job may claim on a worker, and whose work it may displace there.
struct claim_rule
{
    core::resources (*entitled)(const worker_state& worker, const job_entry& job);
    bool (*may_displace)(const worker_state& worker, const job_entry& job, const job_entry& other,
                         core::instant now);
    /// Whether displaced work of the job's own organisation adds to the claim.
    bool own_work_counts = false;
};

core::resources unused_footprint(const worker_state& worker, const job_entry& job)
{
    const organisation_allocation own = allocation_or_empty(worker, job.organisation);
    return own.guaranteed - own.used;
}

bool may_reclaim(const worker_state& worker, const job_entry& job, const job_entry& other,
                 core::instant)
{
    return other.organisation != job.organisation ? is_borrowing(worker, other)
                                                  : outranks(job, other);
}

/// Keeps firm work outside others' footprints; work that can be stopped may go anywhere.
core::resources room_clear_of_footprints(const worker_state& worker, const job_entry& job)
{
    if (job.spec.preemptible())
    {
        return worker.info.capacity;
    }
    const organisation_allocation own = allocation_or_empty(worker, job.organisation);
    const core::resources held = core::elementwise_max(own.non_preemptible, own.guaranteed);
    return worker.info.capacity - worker.committed + held - own.non_preemptible;
}

/// Only smaller or lower work that loses little makes way, and not again and again.
bool may_move(const worker_state& worker, const job_entry& job, const job_entry& other,
              core::instant now)
{
    constexpr core::milliseconds least_run = std::chrono::minutes{5};
    // What is thrown away stays small beside what the gang has waited already.
    constexpr double share_of_wait = 0.1;
    constexpr std::int64_t times_smaller = 2;
    constexpr std::int64_t most_moves = 3;
    const core::milliseconds ran = now - other.started;
    const double waited = static_cast<double>((now - job.submitted).count()) *
                          static_cast<double>(job.spec.total().accelerators);
    const bool cheap = other.spec.checkpointable ? ran >= least_run
                                                 : lost_work(other, now) <= share_of_wait * waited;
    const bool smaller =
        other.spec.total().accelerators * times_smaller <= job.spec.total().accelerators;
    const bool lower_class =
        other.spec.priority == priority_class::batch && job.spec.priority != priority_class::batch;
    return cheap && (smaller || lower_class) && other.spec.priority != priority_class::urgent &&
           other.consolidation_count < most_moves && is_borrowing(worker, other);
}

constexpr claim_rule guarantee_rule{
    .entitled = unused_footprint, .may_displace = may_reclaim, .own_work_counts = true};
constexpr claim_rule consolidation_rule{.entitled = room_clear_of_footprints,
                                        .may_displace = may_move};

/// Finds what the job may displace on a worker, work that loses least first.
worker_claim claim_on(const cell_state& cell, const job_entry& job, const claim_rule& rule,
                      worker_index index, core::instant now)
{
    const worker_state& worker = cell.workers[index];
    worker_claim claim{.worker = index,
                       .entitled = rule.entitled(worker, job),
                       .victims = {},
                       .fitting = 0,
                       .lost = 0};
    for (job_entry* other : worker.jobs)
    {
        if (!can_be_stopped(*other) || !rule.may_displace(worker, job, *other, now))
        {
            continue;
        }
        claim.victims.push_back(other);
        if (rule.own_work_counts && other->organisation == job.organisation)
        {
            claim.entitled += use_on(*other, index);
        }
    }
    std::sort(claim.victims.begin(), claim.victims.end(),
              [now](const job_entry* left, const job_entry* right)
              {
                  const double left_lost = lost_work(*left, now);
                  const double right_lost = lost_work(*right, now);
                  return left_lost != right_lost ? left_lost < right_lost
                                                 : left->spec.id < right->spec.id;
              });
    claim.fitting = std::min(job.spec.tasks, core::fit_count(job.spec.per_task, claim.entitled));
    return claim;
}

/// Keeps only the victims needed for @p tasks tasks.
/// @return whether that many tasks fit once the victims are gone.
bool trim_victims(const cell_state& cell, const job_entry& job, worker_claim& claim,
                  std::int64_t tasks, const std::vector<job_entry*>& already, core::instant now)
{
    const core::resources need = job.spec.per_task * tasks;
    core::resources free = cell.workers[claim.worker].free();
    for (const job_entry* gone : already)
    {
        free += use_on(*gone, claim.worker);
    }
    std::vector<job_entry*> needed;
    claim.lost = 0;
    for (job_entry* victim : claim.victims)
    {
        if (core::fits(need, free))
        {
            break;
        }
        if (std::find(already.begin(), already.end(), victim) == already.end())
        {
            free += use_on(*victim, claim.worker);
            needed.push_back(victim);
            claim.lost += lost_work(*victim, now);
        }
    }
    claim.victims = std::move(needed);
    return core::fits(need, free);
}

/// Claims room in one group of workers.
/// @return the plan, empty when the group lacks room, and its loss through @p lost.
preemption_plan plan_in_group(const cell_state& cell, const job_entry& job, const claim_rule& rule,
                              const std::vector<worker_index>& group, core::instant now,
                              double& lost)
{
    std::vector<worker_claim> claims;
    std::int64_t fitting = 0;
    for (const worker_index index : group)
    {
        const worker_state& worker = cell.workers[index];
        if (!worker.present || worker.draining || worker.health != worker_health::healthy)
        {
            continue;
        }
        worker_claim claim = claim_on(cell, job, rule, index, now);
        worker_claim trimmed = claim;
        while (claim.fitting > 0 && !trim_victims(cell, job, trimmed, claim.fitting, {}, now))
        {
            --claim.fitting;
            trimmed = claim;
        }
        if (claim.fitting > 0)
        {
            claim.lost = trimmed.lost;
            fitting += claim.fitting;
            claims.push_back(std::move(claim));
        }
    }
    if (fitting < job.spec.tasks)
    {
        return {};
    }
    std::sort(claims.begin(), claims.end(),
              [](const worker_claim& left, const worker_claim& right)
              {
                  const double left_each = left.lost / static_cast<double>(left.fitting);
                  const double right_each = right.lost / static_cast<double>(right.fitting);
                  return left_each != right_each ? left_each < right_each
                                                 : left.worker < right.worker;
              });
    preemption_plan plan;
    std::int64_t missing = job.spec.tasks;
    lost = 0;
    for (worker_claim& claim : claims)
    {
        const std::int64_t taken = std::min(missing, claim.fitting);
        trim_victims(cell, job, claim, taken, plan.victims, now);
        plan.parts.push_back({claim.worker, taken});
        plan.victims.insert(plan.victims.end(), claim.victims.begin(), claim.victims.end());
        lost += claim.lost;
        missing -= taken;
        if (missing == 0)
        {
            break;
        }
    }
    return plan;
}

preemption_plan plan_by(const claim_rule& rule, const cell_state& cell, const job_entry& job,
                        core::instant now)
{
    preemption_plan best;
    double least_lost = std::numeric_limits<double>::infinity();
    const auto consider = [&](const std::vector<worker_index>& group)
    {
        double lost = 0;
        preemption_plan plan = plan_in_group(cell, job, rule, group, now, lost);
        if (!plan.parts.empty() && lost < least_lost)
        {
            least_lost = lost;
            best = std::move(plan);
        }
    };
    for_each_worker_group(cell, job.spec.within, consider);
    return best;
}

} // namespace

preemption_plan plan_reclaim(const cell_state& cell, const job_entry& job, core::instant now)
{
    return plan_by(guarantee_rule, cell, job, now);
}

preemption_plan plan_consolidation(const cell_state& cell, const job_entry& job, core::instant now)
{
    return plan_by(consolidation_rule, cell, job, now);
}

} // namespace chicorylift::sched
