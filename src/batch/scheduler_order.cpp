#include "batch/scheduler_impl.hpp"
#include "batch/work_rate.hpp"
#include "chicorylift/batch/fair_share.hpp"
#include "chicorylift/batch/group_order.hpp"

#include <algorithm>
#include <cmath>

/// Order of waiting groups by value: derives the terms of the order from jobs, runs and workers.
namespace chicorylift::batch
{

namespace
{

// Jobs older than this say nothing about how a queue is served now. Not longer than ended jobs are
// kept, so that served jobs are not forgotten before waiting ones.
constexpr core::milliseconds service_window = std::chrono::minutes{2};
// A step that is wider than this share of its service's capacity runs in waves.
constexpr double wave_share = 0.25;

core::milliseconds duration_of(const step_spec& step, std::int64_t units,
                               const resource_amount& capacity) noexcept
{
    // A gang runs at once or not at all.
    const double share =
        static_cast<double>(units) * dominant_share(step.resource_request(), capacity);
    const double waves =
        step.gang ? 1.0
                  : std::clamp(std::ceil(share / wave_share), 1.0, static_cast<double>(units));
    return core::milliseconds{
        static_cast<std::int64_t>(static_cast<double>(step.estimate.count()) * waves)};
}

double total_work(const job_spec& job) noexcept
{
    double work = 0;
    for (const step_spec& step : job.steps)
    {
        work += work_core_seconds(step, to_index(step.units), step.estimate);
    }
    return work;
}

/// What remains of one occurrence of a job.
struct remaining_work
{
    /// Longest chain of all steps, and of those that are not done.
    core::milliseconds chain{};
    core::milliseconds remaining{};
    /// Capacity-seconds of the units that neither run nor are done.
    double demand{};
    bool endless = false;
};

remaining_work remaining_of(const job_state& job, const std::vector<step_state>& states,
                            const resource_amount& capacity)
{
    constexpr double milliseconds_per_second = 1000;
    remaining_work result;
    std::vector<std::pair<core::milliseconds, core::milliseconds>> ends(states.size());
    for (std::size_t number = 0; number < states.size(); ++number)
    {
        const step_spec& step = job.spec.steps[number];
        const step_state& state = states[number];
        std::pair<core::milliseconds, core::milliseconds> start{};
        for (const std::int64_t earlier : step.depends_on)
        {
            start.first = std::max(start.first, ends[to_index(earlier)].first);
            start.second = std::max(start.second, ends[to_index(earlier)].second);
        }
        const auto open = static_cast<std::int64_t>(state.units.size() - state.units.done_count());
        ends[number].first = start.first + duration_of(step, step.units, capacity);
        ends[number].second =
            start.second + (open == 0 ? core::milliseconds{0} : duration_of(step, open, capacity));
        result.chain = std::max(result.chain, ends[number].first);
        result.remaining = std::max(result.remaining, ends[number].second);
        const auto running =
            std::count_if(state.units.touched().begin(), state.units.touched().end(),
                          [&state](const auto& unit)
                          { return !state.units.is_done(unit.first) && unit.second.run != 0; });
        result.demand += static_cast<double>(open - running) *
                         dominant_share(step.resource_request(), capacity) *
                         static_cast<double>(step.estimate.count()) / milliseconds_per_second;
        result.endless = result.endless || step.long_running;
    }
    return result;
}

bool has_begun(const job_state& job)
{
    return job.active_runs > 0 || job.outcome == job_outcome::completed ||
           std::any_of(job.occurrences.begin(), job.occurrences.end(),
                       [](const auto& occurrence)
                       {
                           return std::any_of(occurrence.second.begin(), occurrence.second.end(),
                                              [](const step_state& step)
                                              { return step.units.done_count() > 0; });
                       });
}

} // namespace

std::map<core::service_id, resource_amount>
site_scheduler::implementation::capacity_by_service() const
{
    std::map<core::service_id, resource_amount> capacity;
    for (const auto& [id, worker] : this->workers)
    {
        if (!worker.lost && worker.info.announced && !worker.info.draining)
        {
            capacity[worker.info.service] += worker.info.capacity;
        }
    }
    return capacity;
}

core::milliseconds site_scheduler::implementation::age_of(job_state& job, std::int64_t occurrence,
                                                          core::instant now, unix_time wall_time)
{
    if (job.spec.occurrences > 0)
    {
        const unix_time due = job.spec.first_due + job.spec.interval * occurrence;
        return std::max<core::milliseconds>(core::milliseconds{0}, wall_time - due);
    }
    if (!job.age_at_arrival.has_value())
    {
        // Without this, a new leader would take every job for new. Another machine's clock set the
        // time, so it is read once, and only for jobs that this leader did not see come.
        const bool is_old =
            job.origin == job_origin::earlier_leader && job.spec.accepted.count() > 0;
        job.age_at_arrival =
            is_old ? std::max<core::milliseconds>(
                         core::milliseconds{0}, wall_time - job.spec.accepted - (now - job.arrived))
                   : core::milliseconds{0};
    }
    return now - job.arrived + *job.age_at_arrival;
}

std::map<queue_id, queue_service>
site_scheduler::implementation::service_by_queue(core::instant now, unix_time wall_time)
{
    std::map<queue_id, std::vector<service_sample>> samples;
    for (auto& [id, job] : this->jobs)
    {
        const bool counts =
            job.spec.occurrences == 0 && !job.cancelled && job.outcome != job_outcome::failed;
        const core::milliseconds age = this->age_of(job, 0, now, wall_time);
        const auto objective =
            core::milliseconds{static_cast<std::int64_t>(
                static_cast<double>(job.critical_path.count()) * job.policy.max_slowdown)} +
            job.policy.latency_allowance;
        // A job that is begun in time and lapses before it ends was not served.
        job.was_hopeless = job.was_hopeless || (job.is_active() && age > objective * lapse_factor);
        if (counts && age <= service_window)
        {
            samples[job.policy.queue].push_back(
                {total_work(job.spec), !job.was_hopeless && has_begun(job)});
        }
    }
    std::map<queue_id, queue_service> services;
    for (auto& [queue, all] : samples)
    {
        services.emplace(queue, summarise(std::move(all)));
    }
    return services;
}

void site_scheduler::implementation::rank_by_value(std::vector<placement_group>& groups,
                                                   core::instant now, unix_time wall_time)
{
    const std::map<core::service_id, resource_amount> capacities = this->capacity_by_service();
    const std::map<queue_id, queue_service> services = this->service_by_queue(now, wall_time);
    const placement_group* previous = nullptr;
    for (placement_group& group : groups)
    {
        if (group.guaranteed)
        {
            continue;
        }
        job_state& job = *group.job;
        if (previous != nullptr && previous->job == &job &&
            previous->occurrence == group.occurrence)
        {
            group.rank = previous->rank;
            group.objective_missed = previous->objective_missed;
            group.reservation_due = previous->reservation_due;
            continue;
        }
        const auto capacity = capacities.find(job.policy.service);
        const remaining_work work =
            remaining_of(job, job.occurrences.at(group.occurrence),
                         capacity == capacities.end() ? resource_amount{} : capacity->second);
        const auto found = services.find(job.policy.queue);
        const queue_service service = found == services.end() ? queue_service{} : found->second;
        const double own_work = total_work(job.spec);
        order_terms terms;
        terms.outlook.age = this->age_of(job, group.occurrence, now, wall_time);
        terms.outlook.remaining = work.remaining;
        terms.allowed_wait =
            core::milliseconds{static_cast<std::int64_t>(static_cast<double>(work.chain.count()) *
                                                         (job.policy.max_slowdown - 1))} +
            job.policy.latency_allowance;
        terms.outlook.objective = work.chain + terms.allowed_wait;
        terms.weight = weight_of(service.mean_work > 0 ? own_work / service.mean_work : 1);
        terms.demand = work.demand;
        terms.endless = work.endless;
        if (!terms.endless && job.spec.occurrences == 0)
        {
            // A wrong clock must not make a job hopeless: that much of its age this leader has
            // seen.
            const core::milliseconds lapse = terms.outlook.objective * lapse_factor;
            terms.outlook.age = std::max<core::milliseconds>(
                now - job.arrived,
                std::min<core::milliseconds>(terms.outlook.age, lapse - work.remaining));
        }
        const urgency kind = terms.endless ? urgency::on_time : urgency_of(terms.outlook);
        job.was_hopeless = kind == urgency::hopeless;
        terms.underserved = kind != urgency::hopeless && own_work >= service.large_work &&
                            is_large_underserved(service);
        group.objective_missed = kind != urgency::on_time;
        group.reservation_due = kind != urgency::hopeless &&
                                this->settings.weights.reservation_threshold <= 1 &&
                                static_cast<double>(terms.outlook.age.count()) >
                                    this->settings.weights.reservation_threshold *
                                        static_cast<double>(terms.allowed_wait.count());
        group.rank = static_cast<double>(job.policy.priority) * priority_band +
                     rank_of(terms) * priority_band / rank_ranges;
        previous = &group;
    }
}

std::map<site_scheduler::implementation::share_scope, organisation_shares>
site_scheduler::implementation::shares_held(
    const std::vector<placement_group>& groups,
    const std::map<core::service_id, resource_amount>& capacities) const
{
    std::map<share_scope, organisation_shares> shares;
    std::map<share_scope, double> held;
    for (const auto& [number, run] : this->runs)
    {
        const auto job = this->jobs.find(run.job);
        if (run.stopping || job == this->jobs.end())
        {
            continue;
        }
        const auto capacity = capacities.find(job->second.policy.service);
        const auto active =
            std::count_if(run.members.begin(), run.members.end(),
                          [](const run_member_state& member) { return !member.ended; });
        const double share =
            capacity == capacities.end()
                ? 0
                : static_cast<double>(active) * dominant_share(run.per_unit, capacity->second);
        const share_scope scope(job->second.policy.service, job->second.policy.priority);
        shares.try_emplace(scope, this->guaranteed)
            .first->second.add_held(job->second.spec.organisation, share);
        held[scope] += share;
    }
    for (const placement_group& group : groups)
    {
        shares
            .try_emplace(share_scope(group.job->policy.service, group.job->policy.priority),
                         this->guaranteed)
            .first->second.add_competitor(group.job->spec.organisation);
    }
    for (auto& [scope, each] : shares)
    {
        double others = 0;
        for (const auto& [other, amount] : held)
        {
            others += other.first == scope.first && other != scope ? amount : 0;
        }
        each.set_available(std::max(0.0, 1 - others));
    }
    return shares;
}

void site_scheduler::implementation::order_by_share(std::vector<placement_group>& groups) const
{
    const std::map<core::service_id, resource_amount> capacities = this->capacity_by_service();
    std::map<share_scope, organisation_shares> shares = this->shares_held(groups, capacities);
    struct position
    {
        double range{};
        int level{};
        std::size_t index{};
    };
    std::vector<position> order(groups.size());
    for (std::size_t index = 0; index < groups.size(); ++index)
    {
        const placement_group& group = groups[index];
        order[index].index = index;
        order[index].range = std::floor(group.rank / (priority_band / rank_ranges));
        if (group.guaranteed)
        {
            // Guaranteed groups keep their order: the guarantee is their share.
            continue;
        }
        organisation_shares& scope =
            shares.at(share_scope(group.job->policy.service, group.job->policy.priority));
        const auto capacity = capacities.find(group.job->policy.service);
        const core::organisation_id& organisation = group.job->spec.organisation;
        order[index].level = scope.level_of(organisation);
        scope.add_waiting(
            organisation,
            capacity == capacities.end()
                ? 0
                : static_cast<double>(group.units.size()) *
                      dominant_share(this->spec_of(group).resource_request(), capacity->second));
    }
    std::stable_sort(order.begin(), order.end(),
                     [](const position& left, const position& right) {
                         return left.range != right.range ? left.range < right.range
                                                          : left.level < right.level;
                     });
    std::vector<placement_group> sorted;
    sorted.reserve(groups.size());
    for (const position& each : order)
    {
        sorted.push_back(std::move(groups[each.index]));
    }
    groups = std::move(sorted);
}

} // namespace chicorylift::batch
