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

/// Pure routing decisions of an entry: which upstream gets a call, and what its caller is told.
namespace chicorylift::route
{

/// Upstream as its agent announced it.
struct upstream_info
{
    core::worker_id agent;
    std::string address;
    std::string incarnation;
    core::service_id service;
    std::string zone;
    std::string region;
    std::int64_t slots{};
    bool leaving = false;
};

/// Call as its caller sent it.
struct call_spec
{
    core::request_id id;
    core::organisation_id organisation;
    core::service_id service;
    bool idempotent = false;
    core::instant deadline;
    std::string body;
};

/// Sends the call to an upstream's agent.
struct send_call
{
    core::request_id id;
    std::int64_t attempt{};
    core::worker_id agent;
};

/// Asks an agent to cancel the call unless it has started.
struct send_cancel
{
    core::request_id id;
    std::int64_t attempt{};
    std::string address;
    /// Incarnation that the call was sent to; a later one knows nothing of it.
    std::string incarnation;
};

/// Gives the caller its one answer.
struct finish_call
{
    core::request_id id;
    /// Set when the call did not get an upstream's answer.
    std::optional<core::error_kind> error;
    std::string message;
    int status{};
    std::string body;
};

using route_action = std::variant<send_call, send_cancel, finish_call>;

/// Answer of an agent to one attempt.
struct attempt_response
{
    core::request_id id;
    std::int64_t attempt{};
    core::worker_id agent;
    std::optional<core::error_kind> error;
    std::string message;
    int status{};
    std::string body;
};

/// Bounds and times of a router.
struct router_settings
{
    std::string zone;
    std::string region;
    std::size_t max_queued = 1024;
    std::size_t max_queued_per_organisation = 256;
    /// Entries over which an organisation's rate is divided.
    std::int64_t entries = 1;
    core::milliseconds cancel_timeout = std::chrono::milliseconds{500};
    std::uint32_t seed = 1;
};

/// Chooses upstreams, limits, queues, retries and answers; owns no thread, socket or clock.
class call_router
{
public:
    explicit call_router(router_settings settings);

    /// Takes in an upstream, or what changed about it.
    void update_upstream(const upstream_info& upstream);
    /// Sends nothing further to the upstream.
    void remove_upstream(const core::worker_id& agent);
    /// Applies the organisations' rates.
    void apply_config(const quota::resolved_config& terms, core::instant now);

    /// Takes a call in; the answer may already be among the actions.
    [[nodiscard]] std::vector<route_action> submit(call_spec call, core::instant now);
    /// Takes in an agent's answer; a late one for a former attempt is dropped.
    [[nodiscard]] std::vector<route_action> on_response(const attempt_response& answer,
                                                        core::instant now);
    /// Reports that an attempt never left this process.
    [[nodiscard]] std::vector<route_action> on_send_failed(const core::request_id& id,
                                                           std::int64_t attempt, core::instant now);
    /// Lets deadlines pass and queued calls move on.
    [[nodiscard]] std::vector<route_action> tick(core::instant now);

    /// @return the upstream's address and incarnation, or nullptr when it is not known.
    [[nodiscard]] const upstream_info* find(const core::worker_id& agent) const noexcept;
    /// @return a call that has no answer yet, or nullptr.
    [[nodiscard]] const call_spec* find(const core::request_id& id) const noexcept;
    /// @return the number of calls without an answer yet.
    [[nodiscard]] std::size_t open_calls() const noexcept { return this->calls.size(); }
    /// @return the number of calls waiting for an upstream.
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
        core::worker_id agent;
        std::string address;
        std::string incarnation;
        core::worker_id excluded_agent;
        bool in_flight = false;
        bool cancelling = false;
        core::instant sent_at{};
        core::instant timer_at{};
    };

    struct call_timer
    {
        core::instant when;
        core::request_id id;
        friend auto operator<=>(const call_timer&, const call_timer&) = default;
    };

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
    void note_health(const core::worker_id& agent, bool healthy, core::instant now);

    router_settings settings;
    std::minstd_rand random;
    std::unordered_map<core::worker_id, upstream_state> upstreams;
    std::map<core::service_id, std::vector<core::worker_id>> by_service;
    std::unordered_map<core::request_id, call_state> calls;
    std::map<core::organisation_id, organisation_bucket> buckets;
    std::set<call_timer> timers;
    core::organisation_id last_served;
    std::size_t queued{};
    double retry_tokens;
    core::milliseconds smoothed_service_time{0};
};

} // namespace chicorylift::route
