#include "chicorylift/sched/cell_scheduler.hpp"

#include "cell_state.hpp"
#include "chicorylift/core/error.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace chicorylift::sched
{

namespace
{

constexpr std::array<std::string_view, 4> decision_names{"start", "stop", "refuse", "give_up"};
constexpr std::array<std::string_view, 4> stop_names{"none", "reclaimed", "worker_lost",
                                                     "cancelled"};

constexpr std::int64_t failures_to_quarantine = 3;
constexpr core::milliseconds first_quarantine = std::chrono::seconds{30};
constexpr std::int64_t most_quarantine_doublings = 6;
constexpr std::int64_t most_failed_runs = 3;
constexpr std::size_t placements_tried_per_pass = 64;

job_entry* find_job(cell_state& cell, const core::job_id& id)
{
    const auto found = cell.jobs.find(id);
    return found == cell.jobs.end() ? nullptr : found->second.get();
}

worker_state* find_worker(cell_state& cell, const core::worker_id& id)
{
    const auto found = cell.worker_by_id.find(id);
    return found == cell.worker_by_id.end() ? nullptr : &cell.workers[found->second];
}

void emit(cell_state& cell, decision_kind kind, const job_entry& job, stop_reason reason,
          std::string detail)
{
    cell.pending.push_back({.kind = kind,
                            .job = job.spec.id,
                            .placement = placement_of(cell, job.placement),
                            .reason = reason,
                            .detail = std::move(detail)});
}

void stop_job(cell_state& cell, job_entry& job, stop_reason reason, std::string detail)
{
    job.phase = job_phase::stopping;
    job.stopping_for = reason;
    emit(cell, decision_kind::stop, job, reason, std::move(detail));
}

/// Starts the claimant once the last job that it displaced is gone.
void victim_gone(cell_state& cell, job_entry& victim)
{
    job_entry* claimant = find_job(cell, std::exchange(victim.claimant, {}));
    if (claimant == nullptr || claimant->phase != job_phase::waiting_for_reclaim)
    {
        return;
    }
    --claimant->victims_left;
    if (claimant->victims_left == 0)
    {
        claimant->phase = job_phase::starting;
        emit(cell, decision_kind::start, *claimant, stop_reason::none, "room reclaimed");
    }
}

void remove_job(cell_state& cell, job_entry& job)
{
    victim_gone(cell, job);
    cell.jobs.erase(core::job_id(job.spec.id));
}

void worker_failed(worker_state& worker, core::instant now)
{
    ++worker.failures_in_row;
    if (worker.failures_in_row < failures_to_quarantine)
    {
        return;
    }
    const std::int64_t doublings =
        std::min(worker.failures_in_row - failures_to_quarantine, most_quarantine_doublings);
    worker.health = worker_health::quarantined;
    worker.retry_at = now + first_quarantine * (std::int64_t{1} << doublings);
}

void worker_succeeded(worker_state& worker)
{
    worker.failures_in_row = 0;
    worker.health = worker_health::healthy;
}

/// Forgets the jobs that were to stop for this one, so that their end starts nothing.
void abandon_claim(cell_state& cell, job_entry& job)
{
    for (const core::job_id& displaced : job.displaced)
    {
        job_entry* victim = find_job(cell, displaced);
        if (victim != nullptr && victim->claimant == job.spec.id)
        {
            victim->claimant = {};
        }
    }
    job.victims_left = 0;
}

void requeue(cell_state& cell, job_entry& job)
{
    abandon_claim(cell, job);
    job.stopping_for = stop_reason::none;
    job.displaced.clear();
    job.reason = wait_reason::not_considered;
    enqueue(cell, job);
}

void end_quarantines(cell_state& cell, core::instant now)
{
    for (worker_state& worker : cell.workers)
    {
        if (worker.health == worker_health::quarantined && worker.retry_at <= now)
        {
            worker.health = worker_health::probing;
        }
    }
}

bool over_limit(const cell_state& cell, const job_entry& job)
{
    const organisation_state& owner = cell.organisations[job.organisation];
    return cell.policy->honours_guarantees && owner.limit.has_value() &&
           !core::fits(owner.used + job.spec.total(), *owner.limit);
}

/// What two queued jobs share when one's lack of room answers for the other.
struct tried_shape
{
    organisation_index organisation{};
    core::resources per_task;
    std::int64_t tasks{};
    terms::adjacency within = terms::adjacency::zone;
    bool reclaimable{};
    bool urgent{};

    friend bool operator==(const tried_shape&, const tried_shape&) = default;
};

tried_shape shape_tried_by(const job_entry& job)
{
    return {job.organisation, job.spec.per_task,      job.spec.tasks,
            job.spec.within,  job.spec.reclaimable(), job.spec.urgency == job_class::urgent};
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
    return job.spec.urgency == job_class::urgent ? 1 : 2;
}

/// @return the queue in the policy's order.
std::vector<ordered_job> queue_order(const cell_state& cell, core::instant now)
{
    std::vector<ordered_job> order;
    order.reserve(cell.queue.size());
    for (job_entry* job : cell.queue)
    {
        order.push_back({job, rank_of(cell, *job), job->spec.urgency == job_class::urgent,
                         cell.policy->queue_key(view_of(cell, *job, now))});
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

void place(cell_state& cell, job_entry& job, std::vector<part> parts)
{
    dequeue(cell, job);
    job.placement = std::move(parts);
    job.kept_group.clear();
    job.reason = wait_reason::none;
    job.phase = job_phase::starting;
    allocate(cell, job);
}

/// Places the job once the plan's victims have stopped.
bool place_by_plan(cell_state& cell, job_entry& job, reclaim_plan plan)
{
    if (plan.parts.empty())
    {
        return false;
    }
    place(cell, job, std::move(plan.parts));
    if (plan.victims.empty())
    {
        emit(cell, decision_kind::start, job, stop_reason::none, "inside its own guarantee");
        return true;
    }
    job.phase = job_phase::waiting_for_reclaim;
    job.reason = wait_reason::reclaim_in_progress;
    job.victims_left = static_cast<std::int64_t>(plan.victims.size());
    for (job_entry* victim : plan.victims)
    {
        job.displaced.push_back(victim->spec.id);
        victim->claimant = job.spec.id;
        stop_job(cell, *victim, stop_reason::reclaimed, "for job " + job.spec.id.str());
    }
    return true;
}

bool place_by_reclaim(cell_state& cell, job_entry& job, core::instant now)
{
    if (!cell.policy->honours_guarantees || !cell.reclaim_allowed)
    {
        return false;
    }
    if (place_by_plan(cell, job, plan_reclaim(cell, job, now)))
    {
        return true;
    }
    const bool may_move = cell.policy->may_consolidate != nullptr &&
                          cell.policy->may_consolidate(view_of(cell, job, now));
    if (!may_move)
    {
        return false;
    }
    reclaim_plan plan = plan_consolidation(cell, job, now);
    for (job_entry* victim : plan.victims)
    {
        ++victim->moves;
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
            job.reason = wait_reason::no_room;
            return false;
        }
        ++this->tried;
        bool behind_reservation = false;
        std::vector<part> parts =
            find_room(this->cell, job, this->reservations, this->now, behind_reservation);
        if (!parts.empty())
        {
            place(this->cell, job, std::move(parts));
            emit(this->cell, decision_kind::start, job, stop_reason::none, "free room");
            return true;
        }
        if (place_by_reclaim(this->cell, job, this->now))
        {
            return true;
        }
        job.reason = behind_reservation ? wait_reason::behind_reservation : wait_reason::no_room;
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
        if (held >= this->cell.policy->reservations ||
            !this->cell.policy->may_reserve(view_of(this->cell, job, this->now)))
        {
            return;
        }
        std::optional<reservation> kept = reserve_room(this->cell, job, this->now);
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

std::string_view to_text(decision_kind kind) noexcept
{
    return decision_names[static_cast<std::size_t>(kind)];
}

std::string_view to_text(stop_reason reason) noexcept
{
    return stop_names[static_cast<std::size_t>(reason)];
}

cell_scheduler::cell_scheduler(const placement_policy& policy)
    : state(std::make_unique<cell_state>())
{
    this->state->policy = &policy;
}

cell_scheduler::~cell_scheduler() = default;
cell_scheduler::cell_scheduler(cell_scheduler&&) noexcept = default;
cell_scheduler& cell_scheduler::operator=(cell_scheduler&&) noexcept = default;

void cell_scheduler::worker_joined(const worker_info& worker)
{
    cell_state& cell = *this->state;
    const auto [found, added] =
        cell.worker_by_id.try_emplace(worker.id, static_cast<worker_index>(cell.workers.size()));
    if (added)
    {
        cell.workers.emplace_back();
        cell.all_workers.push_back(found->second);
        cell.racks[worker.rack].push_back(found->second);
    }
    worker_state& known = cell.workers[found->second];
    known.info = worker;
    known.present = true;
    known.leaving = false;
    cell.footprints_dirty = true;
}

void cell_scheduler::worker_leaving(const core::worker_id& worker)
{
    worker_state* known = find_worker(*this->state, worker);
    if (known != nullptr && !known->leaving)
    {
        known->leaving = true;
        this->state->footprints_dirty = true;
    }
}

void cell_scheduler::worker_lost(const core::worker_id& worker)
{
    worker_state* known = find_worker(*this->state, worker);
    if (known == nullptr || !known->present)
    {
        return;
    }
    known->present = false;
    this->state->footprints_dirty = true;
    const std::vector<job_entry*> affected = known->jobs;
    for (job_entry* job : affected)
    {
        if (job->phase == job_phase::waiting_for_reclaim)
        {
            release(*this->state, *job);
            requeue(*this->state, *job);
        }
        else if (job->phase != job_phase::stopping)
        {
            stop_job(*this->state, *job, stop_reason::worker_lost, "worker " + worker.str());
        }
    }
}

void cell_scheduler::apply_terms(const terms::terms_in_force& terms, const placement_policy& policy)
{
    cell_state& cell = *this->state;
    cell.policy = &policy;
    for (organisation_index index = 0; index < cell.organisations.size(); ++index)
    {
        organisation_state& owner = cell.organisations[index];
        for (footprint& held : owner.footprints)
        {
            drop_footprint(cell, index, held);
        }
        owner.footprints.clear();
        owner.guaranteed = {};
        owner.limit.reset();
    }
    for (const terms::organisation_terms& owner : terms.organisations)
    {
        organisation_state& known = cell.organisations[organisation_of(cell, owner.organisation)];
        known.limit = owner.limit;
        for (const terms::shape_terms& shape : owner.guarantees)
        {
            known.guaranteed += shape.per_task * shape.tasks;
            if (policy.honours_guarantees)
            {
                known.footprints.push_back({.shape = shape, .parts = {}, .short_since = {}});
            }
        }
    }
    cell.footprints_dirty = true;
}

void cell_scheduler::allow_reclaim(bool allowed)
{
    this->state->reclaim_allowed = allowed;
}

void cell_scheduler::submit(const job_spec& spec, core::instant now)
{
    cell_state& cell = *this->state;
    if (cell.jobs.contains(spec.id))
    {
        return;
    }
    auto job = std::make_unique<job_entry>();
    job->spec = spec;
    job->organisation = organisation_of(cell, spec.organisation);
    job->submitted = now;
    enqueue(cell, *job);
    cell.jobs.emplace(spec.id, std::move(job));
}

void cell_scheduler::restore(const job_spec& spec, const std::vector<task_placement>& placement,
                             core::instant started)
{
    cell_state& cell = *this->state;
    this->submit(spec, started);
    job_entry& job = *cell.jobs.at(spec.id);
    if (job.phase != job_phase::queued)
    {
        return;
    }
    std::vector<part> parts;
    for (const task_placement& placed : placement)
    {
        const auto found = cell.worker_by_id.find(placed.worker);
        if (found != cell.worker_by_id.end())
        {
            parts.push_back({found->second, placed.tasks});
        }
    }
    place(cell, job, std::move(parts));
    job.phase = job_phase::running;
    job.started = started;
    job.saved = started;
    cell.footprints_dirty = true;
}

void cell_scheduler::cancel(const core::job_id& id)
{
    cell_state& cell = *this->state;
    job_entry* job = find_job(cell, id);
    if (job == nullptr)
    {
        return;
    }
    if (job->phase == job_phase::queued)
    {
        dequeue(cell, *job);
        remove_job(cell, *job);
        return;
    }
    if (job->phase == job_phase::waiting_for_reclaim)
    {
        release(cell, *job);
        remove_job(cell, *job);
        return;
    }
    if (job->phase == job_phase::stopping)
    {
        job->stopping_for = stop_reason::cancelled;
        return;
    }
    stop_job(cell, *job, stop_reason::cancelled, "cancelled by its owner");
}

void cell_scheduler::job_started(const core::job_id& id, core::instant now)
{
    job_entry* job = find_job(*this->state, id);
    if (job != nullptr && job->phase == job_phase::starting)
    {
        job->phase = job_phase::running;
        job->started = now;
        job->saved = now;
    }
}

void cell_scheduler::start_refused(const core::job_id& id, const core::worker_id& worker,
                                   core::instant now)
{
    cell_state& cell = *this->state;
    job_entry* job = find_job(cell, id);
    if (job == nullptr || job->placement.empty())
    {
        return;
    }
    worker_state* refusing = find_worker(cell, worker);
    if (refusing != nullptr)
    {
        worker_failed(*refusing, now);
    }
    release(cell, *job);
    if (job->stopping_for == stop_reason::cancelled)
    {
        remove_job(cell, *job);
        return;
    }
    victim_gone(cell, *job);
    requeue(cell, *job);
}

void cell_scheduler::job_checkpointed(const core::job_id& id, core::instant now)
{
    job_entry* job = find_job(*this->state, id);
    if (job != nullptr)
    {
        job->saved = now;
    }
}

void cell_scheduler::job_finished(const core::job_id& id, job_end end,
                                  const std::optional<core::worker_id>& culprit, core::instant now)
{
    cell_state& cell = *this->state;
    job_entry* job = find_job(cell, id);
    if (job == nullptr)
    {
        return;
    }
    if (end == job_end::succeeded)
    {
        cell.run_times.learn(job->spec.organisation, job->spec.kind, now - job->started);
        for (const part& placed : job->placement)
        {
            worker_succeeded(cell.workers[placed.worker]);
        }
    }
    worker_state* failing = culprit.has_value() ? find_worker(cell, *culprit) : nullptr;
    if (end == job_end::failed && failing != nullptr)
    {
        worker_failed(*failing, now);
    }
    if (!job->placement.empty())
    {
        release(cell, *job);
    }
    ++job->failed_runs;
    const bool again = end == job_end::failed && job->spec.idempotent &&
                       job->failed_runs < most_failed_runs &&
                       job->stopping_for != stop_reason::cancelled;
    if (again)
    {
        victim_gone(cell, *job);
        requeue(cell, *job);
        return;
    }
    remove_job(cell, *job);
}

void cell_scheduler::job_stopped(const core::job_id& id, core::instant now)
{
    cell_state& cell = *this->state;
    job_entry* job = find_job(cell, id);
    if (job == nullptr || job->phase == job_phase::queued)
    {
        return;
    }
    if (job->phase != job_phase::stopping)
    {
        // Its agents stopped it alone, as after a lapsed lease.
        job->stopping_for = stop_reason::worker_lost;
    }
    if (!job->placement.empty())
    {
        release(cell, *job);
    }
    if (job->stopping_for == stop_reason::cancelled)
    {
        remove_job(cell, *job);
        return;
    }
    if (!job->spec.reclaimable())
    {
        emit(cell, decision_kind::give_up, *job, job->stopping_for,
             "it may have run and is not idempotent");
        remove_job(cell, *job);
        return;
    }
    victim_gone(cell, *job);
    job->saved = now;
    requeue(cell, *job);
}

std::vector<decision> cell_scheduler::decide(core::instant now)
{
    cell_state& cell = *this->state;
    end_quarantines(cell, now);
    if (cell.footprints_dirty)
    {
        place_footprints(cell, now);
    }
    if (!cell.queue.empty())
    {
        scheduling_pass(cell, now).run();
    }
    return std::exchange(cell.pending, {});
}

} // namespace chicorylift::sched
