#include "chicorylift/core/error.hpp"
#include "daemon/entry.hpp"
#include "support/log.hpp"
#include "support/random_hex_id.hpp"
#include "wire/convert.hpp"
#include "wire/json.hpp"

/// HTTP dispatch and authentication of the entry, on the server's threads.
namespace chicorylift::daemon
{

namespace
{

using core::error_kind;
using core::make_error;

constexpr std::string_view bearer_prefix = "Bearer ";
constexpr int status_accepted = 202;

/// Compares two secrets; the duration does not depend on the position of the first mismatch.
bool same_secret(std::string_view left, std::string_view right) noexcept
{
    std::size_t difference = left.size() ^ right.size();
    for (std::size_t index = 0; index < left.size(); ++index)
    {
        const char other = right.empty() ? '\0' : right[index % right.size()];
        difference |= static_cast<std::size_t>(left[index] ^ other);
    }
    return difference == 0;
}

} // namespace

net::server_response entry::handle_request(const net::server_request& request)
{
    if (request.path_segments.size() == 1 && request.path_segments[0] == "healthz")
    {
        net::server_response response;
        response.body = "{}";
        return this->stopping
                   ? net::error_response(make_error(error_kind::stopping, "the entry is stopping"))
                   : response;
    }
    if (request.path_segments.size() == 1 && request.path_segments[0] == "metrics")
    {
        return this->on_metrics();
    }
    const auto who = this->authenticate(request);
    if (!who.ok())
    {
        return net::error_response(who.status());
    }
    return this->dispatch(request, *who);
}

net::server_response entry::dispatch(const net::server_request& request, const caller& who)
{
    const std::vector<std::string>& path = request.path_segments;
    const bool versioned = path.size() >= 2 && path[0] == "v1";
    const std::string resource = versioned ? path[1] : "";
    if (resource == "services" && path.size() == 4 && path[3] == "call" && request.method == "POST")
    {
        return this->on_call(request, who);
    }
    if (resource == "jobs" && path.size() == 2 && request.method == "POST")
    {
        return this->on_submit(request, who);
    }
    if (resource == "jobs" && path.size() >= 3)
    {
        return this->on_job(request, who);
    }
    const bool operators_only =
        resource == "config" || resource == "status" || resource == "agents";
    if (operators_only && !who.is_operator)
    {
        return net::error_response(
            make_error(error_kind::forbidden, "/v1/" + resource + " needs the operators' token"));
    }
    if (resource == "config")
    {
        const std::vector<std::string> rest(path.begin() + 2, path.end());
        const std::string name = request.header("X-Operator");
        return this->admin->handle_request(request, rest, name.empty() ? this->values.name : name);
    }
    if (resource == "status" && request.method == "GET")
    {
        return this->on_status();
    }
    if (resource == "agents" && path.size() == 4 && request.method == "POST")
    {
        return this->on_drain(request);
    }
    return net::error_response(make_error(
        error_kind::not_found, request.method + " of this path does not exist; see docs/API.md"));
}

absl::StatusOr<entry::caller> entry::authenticate(const net::server_request& request) const
{
    const std::string header = request.header("Authorization");
    if (!header.starts_with(bearer_prefix))
    {
        return make_error(error_kind::unauthorised, "header Authorization lacks a bearer token");
    }
    const std::string_view presented_token = std::string_view(header).substr(bearer_prefix.size());
    caller who;
    bool authenticated = false;
    for (const named_token& candidate : this->values.organisation_tokens)
    {
        if (same_secret(candidate.token, presented_token))
        {
            who.organisation = candidate.name;
            authenticated = true;
        }
    }
    if (!this->values.operator_token.empty() &&
        same_secret(this->values.operator_token, presented_token))
    {
        who.is_operator = true;
        authenticated = true;
    }
    return authenticated ? absl::StatusOr<caller>(who)
                         : make_error(error_kind::unauthorised, "the bearer token is unknown");
}

net::server_response entry::on_drain(const net::server_request& request)
{
    const std::string& name = request.path_segments[2];
    const bool drain = request.path_segments[3] == "drain";
    std::string address;
    {
        const std::lock_guard lock(this->mutex);
        const auto found = this->members.find(name);
        address = found == this->members.end() ? "" : found->second.address();
    }
    if (address.empty() || (!drain && request.path_segments[3] != "undrain"))
    {
        return net::error_response(
            make_error(error_kind::not_found, "agent \"" + name + "\" or action \"" +
                                                  request.path_segments[3] + "\" does not exist"));
    }
    wire::envelope message;
    message.mutable_leaving()->set_agent(name);
    message.mutable_leaving()->set_returning(!drain);
    this->send(address, std::move(message));
    net::server_response response;
    response.status = status_accepted;
    response.body = "{}";
    return response;
}

net::server_response entry::on_status() const
{
    wire::status_document document;
    const std::lock_guard lock(this->mutex);
    document.set_entry(this->values.name);
    document.set_config_version(this->config.head().version());
    document.set_preset_in_force(this->config.head().preset_in_force());
    document.set_store_reachable(this->store_reachable);
    for (const auto& [cell, leader] : this->leaders)
    {
        *document.add_cells() = leader.summary;
    }
    return net::json_response(document);
}

net::server_response entry::on_metrics() const
{
    const net::transport_counters counters = this->transport->counters();
    net::server_response response;
    response.content_type = "text/plain";
    response.body = this->metrics.to_text() + "chicorylift_wire_messages_total{kind=\"sent\"} " +
                    std::to_string(counters.messages_sent) +
                    "\nchicorylift_wire_messages_total{kind=\"received\"} " +
                    std::to_string(counters.messages_received) + "\n";
    return response;
}

} // namespace chicorylift::daemon
