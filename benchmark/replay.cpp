#include "replay.hpp"

#include "chicorylift/core/registry.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <queue>
#include <stdexcept>
#include <unordered_map>

namespace chicorylift::benchmark
{

namespace
{

using core::instant;
using core::milliseconds;

// Reserve, commit and start, as the process sessions show them on one machine.
constexpr milliseconds start_takes{50};
constexpr milliseconds checkpoint_takes{1500};
constexpr milliseconds stop_takes{300};
// Urgent work is to start within this time when capacity can be reclaimed.
constexpr milliseconds guarantee_grace{5200};
constexpr milliseconds pass_interval{1000};
constexpr double ms_per_hour = 3'600'000.0;
constexpr double ms_per_second = 1000.0;

enum class event_kind
{
    arrive,
    start,
    finish,
    stop,
    pass,
};

struct event
{
    instant when;
    std::uint64_t order{};
    event_kind kind = event_kind::arrive;
    std::size_t job{};
    std::int64_t run{};

    friend bool operator>(const event& left, const event& right)
    {
        return left.when != right.when ? left.when > right.when : left.order > right.order;
    }
};

struct job_state
{
    milliseconds left{};
    instant started{};
    instant first_start{};
    bool has_started = false;
    bool runs = false;
    bool waits = false;
    bool ended = false;
    bool guaranteed = false;
    std::int64_t run = 0;
};

struct owner_state
{
    std::int64_t guaranteed{};
    std::int64_t used{};
    instant owed_since{};
    bool owed = false;
};

class replayer
{
public:
    replayer(const workload& given, const sched::scheduling_policy& policy)
        : all(given), scheduler(policy), states(given.jobs.size())
    {
        this->result.jobs.resize(given.jobs.size());
        for (const sched::worker_info& worker : given.workers)
        {
            this->scheduler.worker_joined(worker);
        }
        this->scheduler.apply_config(given.terms, policy);
        for (const quota::organisation_quota& owner : given.terms.organisations)
        {
            for (const quota::resolved_shape& shape : owner.guarantees)
            {
                this->owners[owner.organisation].guaranteed +=
                    shape.tasks * shape.per_task.accelerators;
            }
        }
        for (std::size_t index = 0; index < given.jobs.size(); ++index)
        {
            this->index_by_id[given.jobs[index].spec.id] = index;
            this->push(core::instant_at(given.jobs[index].arrives), event_kind::arrive, index);
        }
    }

    replay_result run()
    {
        while (!this->events.empty() && this->result.broken.empty())
        {
            const event next = this->events.top();
            this->events.pop();
            this->account_until(next.when);
            this->now = next.when;
            this->apply(next);
            this->decide();
        }
        const auto window = static_cast<double>(this->all.window.count());
        this->result.use = this->used_integral / window;
        this->result.fragmentation = this->fragmentation_integral / window;
        return std::move(this->result);
    }

private:
    void push(instant when, event_kind kind, std::size_t job)
    {
        this->events.push({when, ++this->orders, kind, job, this->states[job].run});
    }

    void apply(const event& next)
    {
        job_state& state = this->states[next.job];
        const sched::job_spec& spec = this->all.jobs[next.job].spec;
        const bool current = state.run == next.run;
        switch (next.kind)
        {
        case event_kind::arrive:
            state.left = this->all.jobs[next.job].runs;
            state.waits = true;
            state.guaranteed = this->is_guaranteed(spec);
            this->waiting.push_back(next.job);
            this->scheduler.submit(spec, this->now);
            break;
        case event_kind::start:
            if (current)
            {
                this->scheduler.job_started(spec.id, this->now);
            }
            break;
        case event_kind::finish:
            if (current && state.runs)
            {
                this->finish(next.job);
            }
            break;
        case event_kind::stop:
            if (current)
            {
                ++state.run;
                this->scheduler.job_stopped(spec.id, this->now);
            }
            break;
        case event_kind::pass:
            this->pass_planned = false;
            break;
        }
    }

    void finish(std::size_t index)
    {
        job_state& state = this->states[index];
        const sched::job_spec& spec = this->all.jobs[index].spec;
        state.runs = false;
        state.ended = true;
        ++state.run;
        this->owners[spec.organisation].used -= spec.total().accelerators;
        this->scheduler.job_finished(spec.id, sched::job_outcome::succeeded, std::nullopt,
                                     this->now);
        const instant arrived = core::instant_at(this->all.jobs[index].arrives);
        this->result.jobs[index] = {index, state.first_start - arrived, this->now - arrived, true,
                                    state.guaranteed};
    }

    void decide()
    {
        for (const sched::decision& step : this->scheduler.decide(this->now))
        {
            const std::size_t index = this->index_by_id.at(step.job);
            if (step.kind == sched::decision_kind::start)
            {
                this->start(index);
            }
            else if (step.kind == sched::decision_kind::stop)
            {
                this->stop(index);
            }
        }
        const absl::Status held = this->scheduler.check_invariants();
        if (!held.ok())
        {
            this->result.broken = std::string(held.message());
        }
        if (!this->pass_planned && this->scheduler.stats().queued > 0)
        {
            this->pass_planned = true;
            this->push(this->now + pass_interval * passes_apart, event_kind::pass, 0);
        }
    }

    void start(std::size_t index)
    {
        job_state& state = this->states[index];
        const sched::job_spec& spec = this->all.jobs[index].spec;
        state.runs = true;
        state.waits = false;
        std::erase(this->waiting, index);
        state.started = this->now + start_takes;
        if (!state.has_started)
        {
            state.has_started = true;
            state.first_start = state.started;
        }
        this->owners[spec.organisation].used += spec.total().accelerators;
        this->push(state.started, event_kind::start, index);
        this->push(state.started + state.left, event_kind::finish, index);
    }

    void stop(std::size_t index)
    {
        job_state& state = this->states[index];
        const sched::job_spec& spec = this->all.jobs[index].spec;
        const milliseconds ran = std::max(this->now - state.started, milliseconds{0});
        ++this->result.reclaimed;
        ++state.run;
        state.runs = false;
        state.waits = true;
        this->waiting.push_back(index);
        this->owners[spec.organisation].used -= spec.total().accelerators;
        if (spec.checkpointable)
        {
            state.left -= std::min(ran, state.left);
        }
        else
        {
            this->result.lost_hours += static_cast<double>(ran.count()) / ms_per_hour *
                                       static_cast<double>(spec.total().accelerators);
        }
        this->push(this->now + (spec.checkpointable ? checkpoint_takes : stop_takes),
                   event_kind::stop, index);
    }

    /// @return whether some waiting job of the organisation lies within its unused guarantee.
    [[nodiscard]] bool is_owed(const core::organisation_id& id, const owner_state& owner) const
    {
        return std::any_of(this->waiting.begin(), this->waiting.end(),
                           [&](std::size_t index)
                           {
                               const sched::job_spec& spec = this->all.jobs[index].spec;
                               return spec.organisation == id &&
                                      owner.used + spec.total().accelerators <= owner.guaranteed &&
                                      this->is_inside_a_shape(spec);
                           });
    }

    /// @return whether the job, with all that its organisation runs or has waiting, is guaranteed.
    bool is_guaranteed(const sched::job_spec& spec)
    {
        const owner_state& owner = this->owners[spec.organisation];
        std::int64_t wanted = owner.used + spec.total().accelerators;
        for (const std::size_t index : this->waiting)
        {
            const sched::job_spec& other = this->all.jobs[index].spec;
            wanted += other.organisation == spec.organisation ? other.total().accelerators : 0;
        }
        return wanted <= owner.guaranteed && this->is_inside_a_shape(spec);
    }

    [[nodiscard]] bool is_inside_a_shape(const sched::job_spec& spec) const
    {
        for (const quota::organisation_quota& owner : this->all.terms.organisations)
        {
            for (const quota::resolved_shape& shape : owner.guarantees)
            {
                if (owner.organisation == spec.organisation && spec.tasks <= shape.tasks &&
                    spec.per_task.accelerators <= shape.per_task.accelerators &&
                    (spec.tasks == 1 || spec.within >= shape.within))
                {
                    return true;
                }
            }
        }
        return false;
    }

    void account_until(instant until)
    {
        const instant end = core::instant_at(this->all.window);
        const auto length = static_cast<double>((until - this->now).count());
        for (auto& [id, owner] : this->owners)
        {
            const bool owed = this->is_owed(id, owner);
            owner.owed_since = owed && !owner.owed ? this->now : owner.owed_since;
            owner.owed = owed;
            const instant late_from = std::max(this->now, owner.owed_since + guarantee_grace);
            if (owed && until > late_from)
            {
                this->result.shortfall_seconds +=
                    static_cast<double>((until - late_from).count()) / ms_per_second;
            }
        }
        if (this->now >= end)
        {
            return;
        }
        const sched::cell_stats figures = this->scheduler.stats();
        this->used_integral +=
            length * static_cast<double>(figures.used) / static_cast<double>(figures.capacity);
        this->fragmentation_integral += length * figures.fragmentation();
    }

    static constexpr int passes_apart = 30;

    const workload& all;
    sched::cell_scheduler scheduler;
    std::vector<job_state> states;
    std::vector<std::size_t> waiting;
    std::map<core::organisation_id, owner_state> owners;
    std::unordered_map<core::job_id, std::size_t> index_by_id;
    std::priority_queue<event, std::vector<event>, std::greater<>> events;
    std::uint64_t orders{};
    instant now{};
    bool pass_planned = false;
    double used_integral{};
    double fragmentation_integral{};
    replay_result result;
};

} // namespace

replay_result replay(const workload& all, const std::string& policy)
{
    const sched::scheduling_policy* found =
        core::registry<sched::scheduling_policy>::instance().find(policy);
    if (found == nullptr)
    {
        throw std::invalid_argument("policy \"" + policy + "\" does not exist");
    }
    return replayer(all, *found).run();
}

double quantile_of(std::vector<double> values, double quantile)
{
    if (values.empty())
    {
        return 0.0;
    }
    std::sort(values.begin(), values.end());
    const auto rank =
        static_cast<std::size_t>(std::ceil(quantile * static_cast<double>(values.size())));
    return values[std::min(std::max<std::size_t>(rank, 1), values.size()) - 1];
}

} // namespace chicorylift::benchmark
