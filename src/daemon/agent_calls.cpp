#include "daemon/agent_calls.hpp"

#include "net/http_client.hpp"

#include <optional>
#include <utility>

namespace chicorylift::daemon
{

namespace
{

using core::error_kind;

constexpr std::size_t runner_ring = 256;
constexpr std::size_t most_known_entries = 256;
constexpr int first_error_status = 500;

} // namespace

agent_calls::agent_calls(std::string incarnation, std::size_t threads,
                         std::function<void(const std::string&, wire::envelope)> send)
    : incarnation(std::move(incarnation)), send(std::move(send)), runners(threads, runner_ring)
{
}

void agent_calls::announced(const wire::announcement& upstream)
{
    const std::lock_guard lock(this->guard);
    this->upstream_address = upstream.address();
    this->gate.set_slots(std::min(upstream.slots(), upstream.connections()));
}

void agent_calls::set_leaving(bool leaving)
{
    const std::lock_guard lock(this->guard);
    this->gate.set_leaving(leaving);
}

void agent_calls::on_call(const std::string& from, const wire::call_request& call)
{
    if (call.target_incarnation() != this->incarnation)
    {
        // This message was meant for a process that is gone; nobody has acted on it.
        this->reply_error(from, call.request(), call.attempt(), error_kind::no_upstream,
                          "the agent has restarted");
        return;
    }
    std::optional<error_kind> refused;
    {
        const std::lock_guard lock(this->guard);
        if (this->known_entries.size() < most_known_entries)
        {
            this->known_entries.insert(from);
        }
        refused = this->gate.offer(core::request_id(call.request()), call.attempt(),
                                   core::boot_clock::now());
    }
    if (refused.has_value())
    {
        this->reply_error(from, call.request(), call.attempt(), *refused,
                          std::string(core::answer_for(*refused).text));
        return;
    }
    if (!this->runners.post([this, from, call] { this->run_call(from, call); }))
    {
        {
            const std::lock_guard lock(this->guard);
            this->gate.end(core::request_id(call.request()), call.attempt(),
                           core::boot_clock::now());
        }
        this->reply_error(from, call.request(), call.attempt(), error_kind::upstream_full,
                          "the agent's ring is full");
    }
}

void agent_calls::on_cancel(const std::string& from, const wire::call_cancel& cancel)
{
    if (cancel.target_incarnation() != this->incarnation)
    {
        this->reply_error(from, cancel.request(), cancel.attempt(), error_kind::outcome_unknown,
                          "the agent has restarted since");
        return;
    }
    admit::cancel_answer answer{};
    {
        const std::lock_guard lock(this->guard);
        answer = this->gate.cancel(core::request_id(cancel.request()), cancel.attempt(),
                                   core::boot_clock::now());
    }
    if (answer == admit::cancel_answer::not_run || answer == admit::cancel_answer::barred)
    {
        this->reply_error(from, cancel.request(), cancel.attempt(), error_kind::cancelled,
                          "cancelled before it started");
    }
    // A running call answers for itself; an ended one has answered.
}

std::int64_t agent_calls::open() const
{
    const std::lock_guard lock(this->guard);
    return this->gate.open();
}

std::set<std::string> agent_calls::entries() const
{
    const std::lock_guard lock(this->guard);
    return this->known_entries;
}

void agent_calls::run_call(const std::string& from, const wire::call_request& call)
{
    const core::request_id id(call.request());
    net::client_request request;
    {
        const std::lock_guard lock(this->guard);
        if (!this->gate.begin(id, call.attempt()))
        {
            return;
        }
        request.address = this->upstream_address;
    }
    request.method = "POST";
    request.path = "/serve/" + call.service();
    request.headers = {{"X-Request-Id", call.request()},
                       {"X-Attempt", std::to_string(call.attempt())},
                       {"X-Organisation", call.organisation()}};
    request.body = call.body();
    request.answer_patience = core::milliseconds{call.patience_ms()};
    const auto answer = net::exchange(request);
    std::int64_t free_slots = 0;
    {
        const std::lock_guard lock(this->guard);
        this->gate.end(id, call.attempt(), core::boot_clock::now());
        free_slots = this->gate.free_slots();
    }
    if (!answer.ok())
    {
        this->reply_error(from, call.request(), call.attempt(), core::kind_of(answer.status()),
                          std::string(answer.status().message()));
        return;
    }
    if (answer->status >= first_error_status)
    {
        this->reply_error(from, call.request(), call.attempt(), error_kind::upstream_failed,
                          "the upstream answered " + std::to_string(answer->status));
        return;
    }
    wire::envelope message;
    wire::call_reply* reply = message.mutable_reply();
    reply->set_request(call.request());
    reply->set_attempt(call.attempt());
    reply->set_status(static_cast<std::uint32_t>(answer->status));
    reply->set_body(answer->body);
    reply->set_free_slots(static_cast<std::uint32_t>(free_slots));
    this->send(from, std::move(message));
}

void agent_calls::reply_error(const std::string& from, const std::string& request,
                              std::uint32_t attempt, core::error_kind kind,
                              const std::string& message)
{
    wire::envelope envelope;
    wire::call_reply* reply = envelope.mutable_reply();
    reply->set_request(request);
    reply->set_attempt(attempt);
    reply->set_error(std::string(core::answer_for(kind).name));
    reply->set_message(message);
    this->send(from, std::move(envelope));
}

} // namespace chicorylift::daemon
