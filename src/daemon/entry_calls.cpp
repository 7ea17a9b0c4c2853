#include "chicorylift/core/error.hpp"
#include "daemon/entry.hpp"
#include "support/random_hex_id.hpp"
#include "wire/convert.hpp"
#include "wire/json.hpp"

#include <charconv>
#include <utility>

/// Call requests of the entry, and deduplication by idempotency key.
namespace chicorylift::daemon
{

namespace
{

using core::error_kind;
using core::make_error;

constexpr core::milliseconds default_timeout{5000};
constexpr std::int64_t max_timeout_ms = 110'000;
constexpr core::milliseconds write_timeout{3000};
// Exceeds the router's time limit for a call that is being cancelled.
constexpr core::milliseconds answer_margin{5000};
constexpr std::size_t max_stored_response_bytes = 256U << 10U;

absl::StatusOr<core::milliseconds> timeout_of(const net::server_request& request)
{
    const std::string text = request.header("X-Timeout-Ms");
    if (text.empty())
    {
        return default_timeout;
    }
    std::int64_t count = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), count);
    if (parsed.ec != std::errc{} || parsed.ptr != text.data() + text.size() || count < 1 ||
        count > max_timeout_ms)
    {
        return make_error(error_kind::invalid_request, "header X-Timeout-Ms is \"" + text +
                                                           "\"; allowed are 1 to " +
                                                           std::to_string(max_timeout_ms));
    }
    return core::milliseconds{count};
}

net::server_response replay_response(const wire::claim_row& claim)
{
    net::server_response response;
    response.status = static_cast<int>(claim.status());
    response.content_type = "application/octet-stream";
    response.body = claim.body();
    response.headers = {{"X-Request-Id", claim.request()}, {"X-Replayed", "true"}};
    return response;
}

absl::Status claim_failure(const store::commit_result& result)
{
    return result.outcome == store::commit_outcome::unavailable
               ? make_error(error_kind::store_unavailable, result.message)
               // The claim may have been written and then blocks retries; the call itself did not
               // run.
               : make_error(error_kind::store_unavailable,
                            "outcome of the idempotency-key claim is unknown: " + result.message);
}

} // namespace

net::server_response entry::on_call(const net::server_request& request, const caller& who)
{
    if (who.organisation.empty())
    {
        return net::error_response(
            make_error(error_kind::forbidden, "calls need an organisation's token"));
    }
    const std::string id = support::random_hex_id();
    const std::string key = request.header("Idempotency-Key");
    if (key.empty())
    {
        return this->run_call(request, who, id);
    }
    const absl::Status name_status = wire::validate_name("Idempotency-Key", key);
    return name_status.ok() ? this->on_keyed_call(request, who, id, key)
                            : net::error_response(name_status, id);
}

net::server_response entry::run_call(const net::server_request& request, const caller& who,
                                     const std::string& id)
{
    const absl::Status name_status = wire::validate_name("service", request.path_segments[2]);
    const auto timeout = timeout_of(request);
    if (!name_status.ok() || !timeout.ok())
    {
        return net::error_response(name_status.ok() ? timeout.status() : name_status, id);
    }
    const core::instant started_at = core::boot_clock::now();
    route::call_spec call;
    call.id = core::request_id(id);
    call.organisation = core::organisation_id(who.organisation);
    call.service = core::service_id(request.path_segments[2]);
    call.idempotent = request.header("X-Idempotent") == "true";
    call.deadline = started_at + *timeout;
    call.body = request.body;
    auto promise = std::make_shared<answer_promise>();
    std::future<route::finish_call> future = promise->get_future();
    const bool queued = this->routing_thread->post(
        [this, call, promise]
        {
            this->pending_calls[call.id.str()] = promise;
            this->apply_actions(this->router.submit(call, core::boot_clock::now()));
        });
    if (!queued)
    {
        return net::error_response(
            make_error(error_kind::queue_full, "the entry's routing queue is full"), id);
    }
    if (future.wait_for(*timeout + answer_margin) != std::future_status::ready)
    {
        return net::error_response(
            make_error(error_kind::outcome_unknown, "the router did not complete the call in time"),
            id);
    }
    route::finish_call finished = future.get();
    const core::milliseconds elapsed = core::boot_clock::now() - started_at;
    this->metrics.observe("call", who.organisation, request.path_segments[2], elapsed);
    this->metrics.increment("calls", finished.error.has_value()
                                         ? core::descriptor_for(*finished.error).name
                                         : "answered");
    if (finished.error.has_value())
    {
        return net::error_response(make_error(*finished.error, finished.message), id);
    }
    net::server_response response;
    response.status = finished.status;
    response.content_type = "application/octet-stream";
    response.body = std::move(finished.body);
    response.headers.push_back({"X-Request-Id", id});
    return response;
}

net::server_response entry::on_keyed_call(const net::server_request& request, const caller& who,
                                          const std::string& id, const std::string& key)
{
    const std::string row_key = "claim/" + who.organisation + "/" + key;
    wire::claim_row claim;
    claim.set_request(id);
    claim.set_entry(this->values.name);
    claim.set_state("claimed");
    wire::table_commit transaction = store::new_transaction();
    store::add_write(transaction, row_key, 0, wire::to_compact_json(claim));
    const store::commit_result claimed =
        store::commit_with_retry(*this->table, transaction, write_timeout, [] { return false; });
    if (claimed.outcome == store::commit_outcome::conflict)
    {
        wire::claim_row existing_claim;
        static_cast<void>(wire::from_json_lenient(claimed.conflicting.value(), existing_claim));
        if (existing_claim.state() == "answered")
        {
            return replay_response(existing_claim);
        }
        return net::error_response(
            make_error(error_kind::outcome_unknown,
                       "key \"" + key + "\" is claimed by request " + existing_claim.request() +
                           ", which is still running or has an unknown outcome"),
            existing_claim.request());
    }
    if (claimed.outcome != store::commit_outcome::applied)
    {
        return net::error_response(claim_failure(claimed), id);
    }
    net::server_response response = this->run_call(request, who, id);
    wire::error_document error;
    const bool failed = response.content_type == "application/json" &&
                        wire::from_json_lenient(response.body, error).ok() &&
                        !error.error().empty();
    wire::table_commit claim_update = store::new_transaction();
    if (failed && error.work() == core::to_text(core::execution_status::not_run))
    {
        // The call did not run, so the key is released for a retry.
        store::add_removal(claim_update, row_key, claimed.version);
    }
    else if (!failed && response.body.size() <= max_stored_response_bytes)
    {
        claim.set_state("answered");
        claim.set_status(static_cast<std::uint32_t>(response.status));
        claim.set_body(response.body);
        store::add_write(claim_update, row_key, claimed.version, wire::to_compact_json(claim));
    }
    else
    {
        return response;
    }
    // If this write is lost, the key stays claimed and retries get outcome_unknown.
    static_cast<void>(this->table->commit(claim_update));
    return response;
}

} // namespace chicorylift::daemon
