#include "chicorylift/route/call_router.hpp"

#include <algorithm>
#include <utility>

namespace chicorylift::route
{

namespace
{

using core::error_kind;
using core::execution_status;

// Retry budget earned by each new call. Limits retries to 10 % of the calls beyond the initial
// budget, so that retries cannot double the load of an overloaded service.
constexpr double retry_tokens_per_call = 0.1;
constexpr double max_retry_tokens = 20.0;
constexpr std::int64_t max_tries = 4;
// Added to the calls in flight when two upstreams are compared, so that the nearer one is preferred
// until it has that many more calls in flight.
constexpr double other_region_cost = 16.0;
constexpr double other_zone_cost = 0.5;
// Backoff of an upstream: a short one after each failure, and an exponential one from the third
// consecutive failure on.
constexpr std::int64_t failures_before_backoff = 3;
constexpr std::int64_t max_backoff_doublings = 5;
constexpr core::milliseconds initial_backoff{500};
constexpr core::milliseconds single_failure_backoff{20};
// Size of a token bucket, in seconds of the organisation's rate.
constexpr double burst_seconds = 2.0;
constexpr double milliseconds_per_second = 1000.0;
// A sample has a weight of 1/8 in the moving average of the service time.
constexpr std::int64_t service_time_smoothing = 8;

bool refused_before_start(error_kind kind) noexcept
{
    return core::descriptor_for(kind).execution == execution_status::not_run;
}

} // namespace

call_router::call_router(router_settings settings)
    : settings(std::move(settings)), random(this->settings.seed), retry_tokens(max_retry_tokens)
{
}

void call_router::update_upstream(const upstream_info& upstream)
{
    const auto [found, added] = this->upstreams.try_emplace(upstream.agent);
    upstream_state& known = found->second;
    if (added)
    {
        this->by_service[upstream.service].push_back(upstream.agent);
    }
    else if (known.info.service != upstream.service)
    {
        std::erase(this->by_service[known.info.service], upstream.agent);
        this->by_service[upstream.service].push_back(upstream.agent);
    }
    if (known.info.incarnation != upstream.incarnation)
    {
        // Failures of the previous incarnation say nothing about the restarted agent. Its calls
        // stay counted in in_flight until they finish or time out.
        known.consecutive_failures = 0;
        known.backoff_until = {};
    }
    known.info = upstream;
}

void call_router::remove_upstream(const core::worker_id& agent)
{
    const auto found = this->upstreams.find(agent);
    if (found == this->upstreams.end())
    {
        return;
    }
    std::erase(this->by_service[found->second.info.service], agent);
    this->upstreams.erase(found);
}

void call_router::apply_config(const quota::resolved_config& terms, core::instant now)
{
    for (const quota::organisation_quota& owner : terms.organisations)
    {
        const auto [found, added] = this->buckets.try_emplace(owner.organisation);
        organisation_bucket& bucket = found->second;
        bucket.per_second = static_cast<double>(owner.calls_per_second) /
                            static_cast<double>(this->settings.entries);
        if (added)
        {
            bucket.tokens = bucket.per_second * burst_seconds;
            bucket.last_refill = now;
        }
    }
    for (auto& [known, bucket] : this->buckets)
    {
        const core::organisation_id& organisation = known;
        const bool configured = std::any_of(terms.organisations.begin(), terms.organisations.end(),
                                            [&](const quota::organisation_quota& owner)
                                            { return owner.organisation == organisation; });
        if (!configured)
        {
            bucket.per_second = 0;
            bucket.tokens = 0;
        }
    }
}

std::vector<route_action> call_router::submit(call_spec spec, core::instant now)
{
    std::vector<route_action> actions;
    this->retry_tokens = std::min(this->retry_tokens + retry_tokens_per_call, max_retry_tokens);
    const auto [found, added] = this->calls.try_emplace(spec.id);
    call_state& call = found->second;
    if (!added)
    {
        // The first call stays open; only the duplicate is rejected.
        return {finish_call{std::move(spec.id),
                            error_kind::conflict,
                            "a request with this id is still in progress",
                            0,
                            {}}};
    }
    call.spec = std::move(spec);
    const auto bucket = this->buckets.find(call.spec.organisation);
    if (bucket == this->buckets.end() || !this->take_token(bucket->second, now))
    {
        this->fail(call, error_kind::rate_limited,
                   "organisation \"" + call.spec.organisation.str() + "\" exceeds its call rate",
                   actions);
        return actions;
    }
    if (call.spec.deadline <= now)
    {
        this->fail(call, error_kind::deadline_passed, "deadline had passed when the call arrived",
                   actions);
        return actions;
    }
    // Queued calls of the same organisation go first.
    if (!bucket->second.waiting.empty() || !this->dispatch(call, now, actions))
    {
        this->enqueue(call, now, actions);
    }
    return actions;
}

std::vector<route_action> call_router::on_response(const attempt_response& answer,
                                                   core::instant now)
{
    std::vector<route_action> actions;
    const auto found = this->calls.find(answer.id);
    if (found == this->calls.end() || !found->second.in_flight ||
        found->second.attempt != answer.attempt || found->second.agent != answer.agent)
    {
        return actions;
    }
    call_state& call = found->second;
    this->release_slot(call);
    if (!answer.error.has_value())
    {
        this->record_health(answer.agent, true, now);
        this->smoothed_service_time +=
            (now - call.sent_at - this->smoothed_service_time) / service_time_smoothing;
        this->finish(call, {call.spec.id, std::nullopt, answer.message, answer.status, answer.body},
                     actions);
    }
    else if (call.cancelling && refused_before_start(*answer.error))
    {
        this->fail(call, error_kind::deadline_passed,
                   "deadline passed; call was cancelled before it started", actions);
    }
    else
    {
        // An agent that refuses a call before it starts is reachable, so it counts as healthy.
        this->record_health(answer.agent, refused_before_start(*answer.error), now);
        this->retry_or_finish(call, *answer.error, answer.message, now, actions);
    }
    this->dispatch_queued(now, actions);
    return actions;
}

std::vector<route_action> call_router::on_send_failed(const core::request_id& id,
                                                      std::int64_t attempt, core::instant now)
{
    std::vector<route_action> actions;
    const auto found = this->calls.find(id);
    if (found == this->calls.end() || !found->second.in_flight || found->second.attempt != attempt)
    {
        return actions;
    }
    call_state& call = found->second;
    this->record_health(call.agent, false, now);
    this->release_slot(call);
    this->retry_or_finish(call, error_kind::no_upstream,
                          "could not send the call to the upstream's agent", now, actions);
    return actions;
}

std::vector<route_action> call_router::tick(core::instant now)
{
    std::vector<route_action> actions;
    while (!this->timers.empty() && this->timers.begin()->when <= now)
    {
        const core::request_id id = this->timers.begin()->id;
        this->timers.erase(this->timers.begin());
        const auto found = this->calls.find(id);
        if (found != this->calls.end())
        {
            this->on_timer(found->second, now, actions);
        }
    }
    this->dispatch_queued(now, actions);
    return actions;
}

const upstream_info* call_router::find(const core::worker_id& agent) const noexcept
{
    const auto found = this->upstreams.find(agent);
    return found == this->upstreams.end() ? nullptr : &found->second.info;
}

const call_spec* call_router::find(const core::request_id& id) const noexcept
{
    const auto found = this->calls.find(id);
    return found == this->calls.end() ? nullptr : &found->second.spec;
}

double call_router::cost_of(const upstream_state& upstream) const noexcept
{
    const bool same_region = upstream.info.region == this->settings.region;
    const bool same_zone = same_region && upstream.info.zone == this->settings.zone;
    const double distance = same_zone ? 0.0 : same_region ? other_zone_cost : other_region_cost;
    return static_cast<double>(upstream.in_flight) + distance;
}

call_router::upstream_state* call_router::choose(const call_state& call, core::instant now)
{
    const auto agents = this->by_service.find(call.spec.service);
    if (agents == this->by_service.end())
    {
        return nullptr;
    }
    std::vector<upstream_state*> eligible;
    for (const core::worker_id& agent : agents->second)
    {
        upstream_state& upstream = this->upstreams.at(agent);
        if (!upstream.info.leaving && upstream.backoff_until <= now &&
            upstream.in_flight < upstream.info.slots && agent != call.excluded_agent)
        {
            eligible.push_back(&upstream);
        }
    }
    if (eligible.empty())
    {
        return nullptr;
    }
    // Power of two random choices: balances load without all entries picking the same upstream.
    std::uniform_int_distribution<std::size_t> any(0, eligible.size() - 1);
    upstream_state* first = eligible[any(this->random)];
    upstream_state* second = eligible[any(this->random)];
    return this->cost_of(*second) < this->cost_of(*first) ? second : first;
}

bool call_router::take_token(organisation_bucket& bucket, core::instant now) const
{
    const double elapsed =
        static_cast<double>((now - bucket.last_refill).count()) / milliseconds_per_second;
    bucket.last_refill = now;
    bucket.tokens = std::min(bucket.tokens + elapsed * bucket.per_second,
                             std::max(bucket.per_second * burst_seconds, 1.0));
    if (bucket.per_second <= 0 || bucket.tokens < 1.0)
    {
        return false;
    }
    bucket.tokens -= 1.0;
    return true;
}

bool call_router::dispatch(call_state& call, core::instant now, std::vector<route_action>& actions)
{
    upstream_state* upstream = this->choose(call, now);
    if (upstream == nullptr)
    {
        return false;
    }
    ++upstream->in_flight;
    ++call.attempt;
    ++call.tries;
    call.agent = upstream->info.agent;
    call.address = upstream->info.address;
    call.incarnation = upstream->info.incarnation;
    call.in_flight = true;
    call.sent_at = now;
    this->set_timer(call, call.spec.deadline);
    actions.emplace_back(send_call{call.spec.id, call.attempt, call.agent});
    return true;
}

void call_router::enqueue(call_state& call, core::instant now, std::vector<route_action>& actions)
{
    organisation_bucket& bucket = this->buckets[call.spec.organisation];
    const auto served = this->by_service.find(call.spec.service);
    if (served == this->by_service.end() || served->second.empty())
    {
        this->fail(call, error_kind::no_upstream,
                   "service \"" + call.spec.service.str() + "\" has no upstream", actions);
        return;
    }
    if (this->queued >= this->settings.max_queued ||
        bucket.waiting.size() >= this->settings.max_queued_per_organisation)
    {
        this->fail(call, error_kind::queue_full,
                   "organisation \"" + call.spec.organisation.str() + "\" has " +
                       std::to_string(bucket.waiting.size()) + " calls queued; queue is full",
                   actions);
        return;
    }
    // A call that cannot finish before its deadline would only take a slot from one that can.
    if (now + this->smoothed_service_time > call.spec.deadline)
    {
        this->fail(call, error_kind::deadline_passed,
                   "deadline is too close for the expected service time", actions);
        return;
    }
    bucket.waiting.push_back(call.spec.id);
    ++this->queued;
    this->set_timer(call, call.spec.deadline - this->smoothed_service_time);
}

void call_router::dispatch_queued(core::instant now, std::vector<route_action>& actions)
{
    // Round robin over organisations, one call each, starting after the one served last. Ends
    // when a whole round has dispatched nothing.
    std::size_t idle = 0;
    while (this->queued > 0 && idle < this->buckets.size())
    {
        auto next = this->buckets.upper_bound(this->last_served);
        next = next == this->buckets.end() ? this->buckets.begin() : next;
        this->last_served = next->first;
        std::deque<core::request_id>& waiting = next->second.waiting;
        bool served = false;
        if (!waiting.empty())
        {
            call_state& call = this->calls.at(waiting.front());
            served = this->dispatch(call, now, actions);
        }
        if (served)
        {
            waiting.pop_front();
            --this->queued;
        }
        idle = served ? 0 : idle + 1;
    }
}

void call_router::retry_or_finish(call_state& call, core::error_kind kind,
                                  const std::string& message, core::instant now,
                                  std::vector<route_action>& actions)
{
    const bool retryable = refused_before_start(kind) || call.spec.idempotent;
    const bool in_time = now + this->smoothed_service_time < call.spec.deadline;
    if (!retryable || !in_time || call.cancelling || call.tries >= max_tries ||
        this->retry_tokens < 1.0)
    {
        this->fail(call, kind, message, actions);
        return;
    }
    this->retry_tokens -= 1.0;
    call.excluded_agent = call.agent;
    if (!this->dispatch(call, now, actions))
    {
        call.excluded_agent = {};
        this->enqueue(call, now, actions);
    }
}

void call_router::finish(call_state& call, finish_call answer, std::vector<route_action>& actions)
{
    this->timers.erase({call.timer_at, call.spec.id});
    const core::request_id id = call.spec.id;
    actions.emplace_back(std::move(answer));
    this->calls.erase(id);
}

void call_router::fail(call_state& call, core::error_kind kind, std::string message,
                       std::vector<route_action>& actions)
{
    this->finish(
        call, {call.spec.id, kind, std::move(message), core::descriptor_for(kind).http_status, {}},
        actions);
}

void call_router::set_timer(call_state& call, core::instant when)
{
    this->timers.erase({call.timer_at, call.spec.id});
    call.timer_at = when;
    this->timers.insert({call.timer_at, call.spec.id});
}

void call_router::release_slot(call_state& call)
{
    call.in_flight = false;
    const auto found = this->upstreams.find(call.agent);
    if (found != this->upstreams.end() && found->second.in_flight > 0)
    {
        --found->second.in_flight;
    }
}

void call_router::on_timer(call_state& call, core::instant now, std::vector<route_action>& actions)
{
    if (!call.in_flight)
    {
        organisation_bucket& bucket = this->buckets[call.spec.organisation];
        this->queued -= std::erase(bucket.waiting, call.spec.id);
        this->fail(call, error_kind::deadline_passed,
                   "no upstream had a free slot before the deadline", actions);
        return;
    }
    if (!call.cancelling)
    {
        call.cancelling = true;
        this->set_timer(call, now + this->settings.cancel_timeout);
        actions.emplace_back(
            send_cancel{call.spec.id, call.attempt, call.address, call.incarnation});
        return;
    }
    this->record_health(call.agent, false, now);
    this->release_slot(call);
    this->fail(call, error_kind::outcome_unknown,
               "agent \"" + call.agent.str() +
                   "\" did not confirm the cancellation; the call may have run",
               actions);
}

void call_router::record_health(const core::worker_id& agent, bool healthy, core::instant now)
{
    const auto found = this->upstreams.find(agent);
    if (found == this->upstreams.end())
    {
        return;
    }
    upstream_state& upstream = found->second;
    if (healthy)
    {
        upstream.consecutive_failures = 0;
        upstream.backoff_until = std::max(upstream.backoff_until, core::instant{});
        return;
    }
    ++upstream.consecutive_failures;
    upstream.backoff_until = std::max(upstream.backoff_until, now + single_failure_backoff);
    if (upstream.consecutive_failures >= failures_before_backoff)
    {
        const std::int64_t doublings = std::min(
            upstream.consecutive_failures - failures_before_backoff, max_backoff_doublings);
        upstream.backoff_until = now + initial_backoff * (std::int64_t{1} << doublings);
    }
}

} // namespace chicorylift::route
