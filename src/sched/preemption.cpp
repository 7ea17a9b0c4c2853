#include "cell_state.hpp"

#include <algorithm>
#include <limits>

/// Chooses the jobs to preempt for a guarantee or for a large gang.
namespace chicorylift::sched
{

namespace
{

// Approximate run time of the whole gang that taking a checkpoint costs.
constexpr core::milliseconds checkpoint_cost = std::chrono::seconds{30};

/// @return accelerator-milliseconds of work lost by stopping the job.
double lost_work(const job_entry& job, core::instant now)
{
    const core::milliseconds ran = now - std::max(job.started, job.last_checkpoint);
    const core::milliseconds lost = job.spec.checkpointable ? std::min(ran, checkpoint_cost) : ran;
    const std::int64_t size = std::max<std::int64_t>(job.spec.total().accelerators, 1);
    return static_cast<double>(lost.count()) * static_cast<double>(size);
}

bool is_preemptible(const job_entry& job) noexcept
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

/// Jobs on one worker that a job may preempt, and the resources that it may claim there.
struct worker_claim
{
    worker_index worker{};
    core::resources entitled;
    std::vector<job_entry*> victims;
    std::int64_t fitting{};
    double lost{};
};

/// @return whether the other job's organisation uses more on this worker than is reserved for it.
bool exceeds_guarantee(const worker_state& worker, const job_entry& other)
{
    const organisation_allocation other_allocation =
        allocation_or_empty(worker, other.organisation);
    return !core::fits(other_allocation.used, other_allocation.guaranteed);
}

/// Rule for the resources that a job may claim on a worker and the jobs it may preempt there.
struct claim_rule
{
    core::resources (*entitled)(const worker_state& worker, const job_entry& job);
    bool (*may_preempt)(const worker_state& worker, const job_entry& job, const job_entry& other,
                        core::instant now);
    /// Whether resources of preempted jobs of the same organisation add to the claim.
    bool counts_own_victims = false;
};

core::resources unused_guarantee(const worker_state& worker, const job_entry& job)
{
    const organisation_allocation own = allocation_or_empty(worker, job.organisation);
    return own.guaranteed - own.used;
}

bool may_reclaim(const worker_state& worker, const job_entry& job, const job_entry& other,
                 core::instant)
{
    return other.organisation != job.organisation ? exceeds_guarantee(worker, other)
                                                  : outranks(job, other);
}

/// @return capacity that the job may claim: the whole worker for a preemptible job, otherwise the
/// part not committed to other organisations.
core::resources capacity_outside_other_guarantees(const worker_state& worker, const job_entry& job)
{
    if (job.spec.preemptible())
    {
        return worker.info.capacity;
    }
    const organisation_allocation own = allocation_or_empty(worker, job.organisation);
    const core::resources own_committed =
        core::elementwise_max(own.non_preemptible, own.guaranteed);
    return worker.info.capacity - worker.committed + own_committed - own.non_preemptible;
}

/// @return whether @p other may be preempted to consolidate capacity for @p job. It must not be
/// urgent, must run outside its organisation's guarantee, be at most half as large or of lower
/// priority, lose little work, and have been preempted this way fewer than three times.
bool may_preempt_to_consolidate(const worker_state& worker, const job_entry& job,
                                const job_entry& other, core::instant now)
{
    constexpr core::milliseconds min_run_time = std::chrono::minutes{5};
    // Bounds the lost work by a share of the accelerator time that the gang has waited.
    constexpr double max_lost_share = 0.1;
    constexpr std::int64_t min_size_ratio = 2;
    constexpr std::int64_t max_consolidations = 3;
    const core::milliseconds ran = now - other.started;
    const double waited = static_cast<double>((now - job.submitted).count()) *
                          static_cast<double>(job.spec.total().accelerators);
    const bool loses_little = other.spec.checkpointable
                                  ? ran >= min_run_time
                                  : lost_work(other, now) <= max_lost_share * waited;
    const bool smaller =
        other.spec.total().accelerators * min_size_ratio <= job.spec.total().accelerators;
    const bool lower_class =
        other.spec.priority == priority_class::batch && job.spec.priority != priority_class::batch;
    return loses_little && (smaller || lower_class) &&
           other.spec.priority != priority_class::urgent &&
           other.consolidation_count < max_consolidations && exceeds_guarantee(worker, other);
}

constexpr claim_rule guarantee_rule{
    .entitled = unused_guarantee, .may_preempt = may_reclaim, .counts_own_victims = true};
constexpr claim_rule consolidation_rule{.entitled = capacity_outside_other_guarantees,
                                        .may_preempt = may_preempt_to_consolidate};

/// Collects the jobs that the job may preempt on a worker, least lost work first.
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
        if (!is_preemptible(*other) || !rule.may_preempt(worker, job, *other, now))
        {
            continue;
        }
        claim.victims.push_back(other);
        if (rule.counts_own_victims && other->organisation == job.organisation)
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

/// Keeps only the victims needed to fit @p tasks tasks, besides those in @p selected.
/// @return whether that many tasks fit once the victims have stopped.
bool trim_victims(const cell_state& cell, const job_entry& job, worker_claim& claim,
                  std::int64_t tasks, const std::vector<job_entry*>& selected, core::instant now)
{
    const core::resources need = job.spec.per_task * tasks;
    core::resources free = cell.workers[claim.worker].free();
    for (const job_entry* stopping : selected)
    {
        free += use_on(*stopping, claim.worker);
    }
    std::vector<job_entry*> needed;
    claim.lost = 0;
    for (job_entry* victim : claim.victims)
    {
        if (core::fits(need, free))
        {
            break;
        }
        if (std::find(selected.begin(), selected.end(), victim) == selected.end())
        {
            free += use_on(*victim, claim.worker);
            needed.push_back(victim);
            claim.lost += lost_work(*victim, now);
        }
    }
    claim.victims = std::move(needed);
    return core::fits(need, free);
}

/// Plans preemption in one group of workers.
/// @param[out] lost accelerator-milliseconds of work that the plan loses.
/// @return the plan, empty when the gang does not fit in the group.
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

preemption_plan plan_preemption(const claim_rule& rule, const cell_state& cell,
                                const job_entry& job, core::instant now)
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
    return plan_preemption(guarantee_rule, cell, job, now);
}

preemption_plan plan_consolidation(const cell_state& cell, const job_entry& job, core::instant now)
{
    return plan_preemption(consolidation_rule, cell, job, now);
}

} // namespace chicorylift::sched
