#pragma once

#include "chicorylift/core/error.hpp"
#include "chicorylift/core/ids.hpp"
#include "chicorylift/core/time.hpp"
#include "chicorylift/quota/quota.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

/// Routing decisions of an entry, free of I/O: the upstream of each call and the caller's response.
namespace chicorylift::route
{

/// Upstream as advertised by its agent.
struct upstream_info
{
    core::worker_id agent;
    std::string address;
    std::string incarnation;
    core::service_id service;
    std::string zone;
    std::string region;
    /// Maximum number of concurrent calls.
    std::int64_t slots{};
    /// A leaving upstream gets no new calls.
    bool leaving = false;
};

/// Call as received from the caller.
struct call_spec
{
    core::request_id id;
    core::organisation_id organisation;
    core::service_id service;
    /// An idempotent call may be retried even if an earlier attempt may have run.
    bool idempotent = false;
    core::instant deadline;
    std::string body;
};

/// Action: send one attempt of the call to an upstream's agent.
struct send_call
{
    core::request_id id;
    std::int64_t attempt{};
    core::worker_id agent;
};

/// Action: ask the agent to cancel the attempt unless it has started.
struct send_cancel
{
    core::request_id id;
    std::int64_t attempt{};
    std::string address;
    /// Incarnation that received the call; a restarted agent has no record of it.
    std::string incarnation;
};

/// Action: send the caller its only response.
struct finish_call
{
    core::request_id id;
    /// Set if the call failed without a response from an upstream.
    std::optional<core::error_kind> error;
    std::string message;
    /// HTTP status.
    int status{};
    std::string body;
};

using route_action = std::variant<send_call, send_cancel, finish_call>;

/// Response of an agent to one attempt.
struct attempt_response
{
    core::request_id id;
    std::int64_t attempt{};
    core::worker_id agent;
    /// Set if the attempt failed without a response from the upstream.
    std::optional<core::error_kind> error;
    std::string message;
    /// HTTP status of the upstream's response.
    int status{};
    std::string body;
};

/// Location, limits and timeouts of a router.
struct router_settings
{
    std::string zone;
    std::string region;
    /// Limit on queued calls of all organisations together.
    std::size_t max_queued = 1024;
    std::size_t max_queued_per_organisation = 256;
    /// Number of entries; each enforces an equal share of an organisation's call rate.
    std::int64_t entries = 1;
    /// Time that an agent has to confirm a cancellation before the outcome counts as unknown.
    core::milliseconds cancel_timeout = std::chrono::milliseconds{500};
    /// Seed of the random choice among upstreams.
    std::uint32_t seed = 1;
};

/// Rate limits, queues, routes and retries calls. A state machine without threads, sockets or
/// clock: the caller passes in the time and carries out the returned actions. Not thread-safe.
class call_router
{
public:
    explicit call_router(router_settings settings);

    /// Adds or updates an upstream.
    void update_upstream(const upstream_info& upstream);
    /// Removes an upstream; attempts in flight to it still await their response.
    void remove_upstream(const core::worker_id& agent);
    /// Applies the call rates; organisations absent from @p terms get a rate of 0.
    void apply_config(const quota::resolved_config& terms, core::instant now);

    /// Accepts a call and sends, queues or rejects it.
    /// @return the actions to carry out; a rejection is among them as finish_call.
    [[nodiscard]] std::vector<route_action> submit(call_spec call, core::instant now);
    /// Handles an agent's response; ignores one that is not for the current attempt.
    [[nodiscard]] std::vector<route_action> on_response(const attempt_response& answer,
                                                        core::instant now);
    /// Handles an attempt that could not be sent to its agent.
    [[nodiscard]] std::vector<route_action> on_send_failed(const core::request_id& id,
                                                           std::int64_t attempt, core::instant now);
    /// Handles expired deadlines and timeouts, then dispatches queued calls.
    [[nodiscard]] std::vector<route_action> tick(core::instant now);

    /// @return the agent's upstream, or nullptr if there is none.
    [[nodiscard]] const upstream_info* find(const core::worker_id& agent) const noexcept;
    /// @return the open call with this id, or nullptr.
    [[nodiscard]] const call_spec* find(const core::request_id& id) const noexcept;
    /// @return the number of calls that have no response yet.
    [[nodiscard]] std::size_t open_calls() const noexcept { return this->calls.size(); }
    /// @return the number of calls queued for an upstream.
    [[nodiscard]] std::size_t queued_calls() const noexcept { return this->queued; }

private:
    struct upstream_state
    {
        upstream_info info;
        std::int64_t in_flight{};
        std::int64_t consecutive_failures{};
        core::instant backoff_until{};
    };

    struct call_state
    {
        call_spec spec;
        std::int64_t attempt{};
        std::int64_t tries{};
        /// Agent of the current attempt, with its address and incarnation.
        core::worker_id agent;
        std::string address;
        std::string incarnation;
        /// Agent of the failed attempt, skipped when a retry is sent at once.
        core::worker_id excluded_agent;
        bool in_flight = false;
        bool cancelling = false;
        core::instant sent_at{};
        /// Time of the call's entry in timers.
        core::instant timer_at{};
    };

    struct call_timer
    {
        core::instant when;
        core::request_id id;
        friend auto operator<=>(const call_timer&, const call_timer&) = default;
    };

    /// Token bucket and queue of one organisation.
    struct organisation_bucket
    {
        double tokens{};
        double per_second{};
        core::instant last_refill{};
        std::deque<core::request_id> waiting;
    };

    upstream_state* choose(const call_state& call, core::instant now);
    [[nodiscard]] double cost_of(const upstream_state& upstream) const noexcept;
    bool take_token(organisation_bucket& bucket, core::instant now) const;
    bool dispatch(call_state& call, core::instant now, std::vector<route_action>& actions);
    void enqueue(call_state& call, core::instant now, std::vector<route_action>& actions);
    void dispatch_queued(core::instant now, std::vector<route_action>& actions);
    void retry_or_finish(call_state& call, core::error_kind kind, const std::string& message,
                         core::instant now, std::vector<route_action>& actions);
    void finish(call_state& call, finish_call answer, std::vector<route_action>& actions);
    void fail(call_state& call, core::error_kind kind, std::string message,
              std::vector<route_action>& actions);
    void set_timer(call_state& call, core::instant when);
    void release_slot(call_state& call);
    void on_timer(call_state& call, core::instant now, std::vector<route_action>& actions);
    void record_health(const core::worker_id& agent, bool healthy, core::instant now);

    router_settings settings;
    std::minstd_rand random;
    std::unordered_map<core::worker_id, upstream_state> upstreams;
    std::map<core::service_id, std::vector<core::worker_id>> by_service;
    std::unordered_map<core::request_id, call_state> calls;
    std::map<core::organisation_id, organisation_bucket> buckets;
    std::set<call_timer> timers;
    /// Position of the round robin over organisations.
    core::organisation_id last_served;
    std::size_t queued{};
    /// Retry budget; each retry costs one token.
    double retry_tokens;
    /// Moving average over successful attempts, from send to response.
    core::milliseconds smoothed_service_time{0};
};

} // namespace chicorylift::route
