#include "daemon/call_handler.hpp"

#include "net/http_client.hpp"

#include <optional>
#include <utility>

namespace chicorylift::daemon
{

namespace
{

using core::error_kind;

constexpr std::size_t call_queue_capacity = 256;
constexpr std::size_t max_known_entries = 256;
constexpr int first_error_status = 500;

} // namespace

call_handler::call_handler(std::string incarnation, std::size_t threads,
                           std::function<void(const std::string&, wire::envelope)> send)
    : incarnation(std::move(incarnation)), send(std::move(send)),
      call_pool(threads, call_queue_capacity)
{
}

void call_handler::apply_announcement(const wire::announcement& upstream)
{
    const std::lock_guard lock(this->mutex);
    this->upstream_address = upstream.address();
    this->admission.set_slots(std::min(upstream.slots(), upstream.connections()));
}

void call_handler::set_leaving(bool leaving)
{
    const std::lock_guard lock(this->mutex);
    this->admission.set_leaving(leaving);
}

void call_handler::on_call(const std::string& from, const wire::call_request& call)
{
    if (call.target_incarnation() != this->incarnation)
    {
        // The message was addressed to a previous incarnation, so the call has not run.
        this->reply_error(from, call.request(), call.attempt(), error_kind::no_upstream,
                          "the agent restarted before it received the call");
        return;
    }
    std::optional<error_kind> refused;
    {
        const std::lock_guard lock(this->mutex);
        if (this->known_entries.size() < max_known_entries)
        {
            this->known_entries.insert(from);
        }
        refused = this->admission.try_admit(core::request_id(call.request()), call.attempt(),
                                            core::boot_clock::now());
    }
    if (refused.has_value())
    {
        this->reply_error(from, call.request(), call.attempt(), *refused,
                          std::string(core::descriptor_for(*refused).text));
        return;
    }
    if (!this->call_pool.post([this, from, call] { this->run_call(from, call); }))
    {
        {
            const std::lock_guard lock(this->mutex);
            this->admission.finish(core::request_id(call.request()), call.attempt(),
                                   core::boot_clock::now());
        }
        this->reply_error(from, call.request(), call.attempt(), error_kind::upstream_full,
                          "the agent's call queue is full");
    }
}

void call_handler::on_cancel(const std::string& from, const wire::call_cancel& cancel)
{
    if (cancel.target_incarnation() != this->incarnation)
    {
        this->reply_error(from, cancel.request(), cancel.attempt(), error_kind::outcome_unknown,
                          "the agent restarted after it was sent the call");
        return;
    }
    admit::cancel_result answer{};
    {
        const std::lock_guard lock(this->mutex);
        answer = this->admission.cancel(core::request_id(cancel.request()), cancel.attempt(),
                                        core::boot_clock::now());
    }
    if (answer == admit::cancel_result::not_run || answer == admit::cancel_result::not_seen)
    {
        this->reply_error(from, cancel.request(), cancel.attempt(), error_kind::cancelled,
                          "cancelled before it started");
    }
    // A running call sends its own reply; a finished call has already sent it.
}

std::int64_t call_handler::in_flight() const
{
    const std::lock_guard lock(this->mutex);
    return this->admission.in_flight();
}

std::set<std::string> call_handler::entries() const
{
    const std::lock_guard lock(this->mutex);
    return this->known_entries;
}

void call_handler::run_call(const std::string& from, const wire::call_request& call)
{
    const core::request_id id(call.request());
    net::client_request request;
    {
        const std::lock_guard lock(this->mutex);
        if (!this->admission.start(id, call.attempt()))
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
    request.response_timeout = core::milliseconds{call.patience_ms()};
    const auto answer = net::send_request(request);
    std::int64_t free_slots = 0;
    {
        const std::lock_guard lock(this->mutex);
        this->admission.finish(id, call.attempt(), core::boot_clock::now());
        free_slots = this->admission.free_slots();
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

void call_handler::reply_error(const std::string& from, const std::string& request,
                               std::uint32_t attempt, core::error_kind kind,
                               const std::string& message)
{
    wire::envelope envelope;
    wire::call_reply* reply = envelope.mutable_reply();
    reply->set_request(request);
    reply->set_attempt(attempt);
    reply->set_error(std::string(core::descriptor_for(kind).name));
    reply->set_message(message);
    this->send(from, std::move(envelope));
}

} // namespace chicorylift::daemon
