#include "chicorylift/core/error.hpp"
#include "daemon/agent.hpp"
#include "wire/convert.hpp"
#include "wire/json.hpp"

#include <future>
#include <memory>

/// HTTP interface of the agent: upstream announcements, status and metrics.
namespace chicorylift::daemon
{

namespace
{

using core::error_kind;

constexpr core::milliseconds status_timeout{2000};
constexpr std::uint32_t max_slots = 4096;

} // namespace

net::server_response agent::handle_request(const net::server_request& request)
{
    const std::string path = request.path_segments.empty() ? "" : request.path_segments.back();
    net::server_response response;
    if (request.method == "POST" && path == "announce")
    {
        return this->on_announcement(request);
    }
    if (request.method == "POST" && path == "leave")
    {
        static_cast<void>(this->thread->post(
            [this]
            {
                this->upstream_leaving = true;
                this->set_leaving(true, false);
            }));
        response.body = "{}";
        return response;
    }
    if (request.method == "GET" && path == "metrics")
    {
        const net::transport_counters counters = this->transport->counters();
        response.content_type = "text/plain";
        response.body = this->metrics.to_text() +
                        "chicorylift_wire_messages_total{kind=\"sent\"} " +
                        std::to_string(counters.messages_sent) +
                        "\nchicorylift_wire_messages_total{kind=\"received\"} " +
                        std::to_string(counters.messages_received) +
                        "\nchicorylift_wire_messages_total{kind=\"malformed\"} " +
                        std::to_string(counters.malformed) + "\n";
        return response;
    }
    if (request.method == "GET" && (path == "status" || path == "healthz"))
    {
        auto status_promise = std::make_shared<std::promise<std::string>>();
        std::future<std::string> text = status_promise->get_future();
        if (this->thread->post([this, status_promise]
                               { status_promise->set_value(wire::to_json(this->status())); }) &&
            text.wait_for(status_timeout) == std::future_status::ready)
        {
            response.body = text.get();
            return response;
        }
        return net::error_response(core::make_error(
            error_kind::internal,
            "the agent queue rejected the status request or the agent thread timed out"));
    }
    return net::error_response(core::make_error(
        error_kind::not_found, request.method + " \"" + path + "\" does not exist"));
}

net::server_response agent::on_announcement(const net::server_request& request)
{
    wire::announcement upstream;
    const absl::Status parsed = wire::from_json(request.body, upstream);
    if (!parsed.ok())
    {
        return net::error_response(parsed);
    }
    const absl::Status name_status = wire::validate_name("service", upstream.service());
    if (!name_status.ok())
    {
        return net::error_response(name_status);
    }
    if (upstream.slots() == 0 || upstream.slots() > max_slots || upstream.connections() == 0)
    {
        return net::error_response(core::make_error(
            error_kind::invalid_request,
            "slots is " + std::to_string(upstream.slots()) + " and connections is " +
                std::to_string(upstream.connections()) + "; allowed are 1 to 4096"));
    }
    static_cast<void>(this->thread->post([this, upstream] { this->apply_announcement(upstream); }));
    net::server_response response;
    response.body = "{}";
    return response;
}

wire::member_status agent::status() const
{
    wire::member_status document;
    document.set_agent(this->values.name);
    document.set_state(this->is_leaving()   ? "leaving"
                       : this->is_announced ? "live"
                                            : "waiting_for_upstream");
    document.set_config_version(this->config_version);
    return document;
}

} // namespace chicorylift::daemon
