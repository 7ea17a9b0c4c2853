#include "chicorylift/core/error.hpp"
#include "daemon/entry.hpp"
#include "support/log.hpp"
#include "support/random_name.hpp"
#include "wire/convert.hpp"
#include "wire/json.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

/// The entry's part that answers HTTP requests, on the server's threads.
namespace chicorylift::daemon
{

namespace
{

using core::error_kind;
using core::make_error;

constexpr core::milliseconds default_timeout{5000};
constexpr std::int64_t longest_timeout_ms = 110'000;
constexpr core::milliseconds write_patience{3000};
constexpr core::milliseconds explain_patience{2000};
// Above the router's own bound on a call that is being cancelled.
constexpr core::milliseconds answer_margin{5000};
constexpr std::size_t largest_kept_answer = 256U << 10U;
constexpr std::string_view bearer = "Bearer ";
constexpr int status_accepted = 202;

/// Compares without telling by its duration how much matched.
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
        count > longest_timeout_ms)
    {
        return make_error(error_kind::invalid_request, "header X-Timeout-Ms is \"" + text +
                                                           "\"; allowed are 1 to " +
                                                           std::to_string(longest_timeout_ms));
    }
    return core::milliseconds{count};
}

std::string cell_of_job(const std::string& id)
{
    return id.substr(0, id.find('~'));
}

wire::job_document to_document(const wire::job_row& row)
{
    wire::job_document document;
    document.set_id(row.id());
    document.set_organisation(row.organisation());
    document.set_state(row.state());
    document.set_detail(row.detail());
    *document.mutable_placement() = row.placement();
    document.set_attempt(row.attempt());
    *document.mutable_request() = row.request();
    return document;
}

net::server_response json_response(const google::protobuf::Message& document, int status = 200)
{
    net::server_response response;
    response.status = status;
    response.body = wire::to_json(document);
    return response;
}

net::server_response replayed(const wire::claim_row& claim)
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
               // A claim whose fate is unknown stops later tries; the call itself did not run.
               : make_error(error_kind::store_unavailable,
                            "the claim of the key could not be settled: " + result.message);
}

} // namespace

net::server_response entry::answer(const net::server_request& request)
{
    if (request.path.size() == 1 && request.path[0] == "healthz")
    {
        net::server_response response;
        response.body = "{}";
        return this->stopping
                   ? net::error_response(make_error(error_kind::stopping, "the entry is stopping"))
                   : response;
    }
    if (request.path.size() == 1 && request.path[0] == "metrics")
    {
        return this->on_metrics();
    }
    const auto who = this->identify(request);
    if (!who.ok())
    {
        return net::error_response(who.status());
    }
    return this->dispatch(request, *who);
}

net::server_response entry::dispatch(const net::server_request& request, const caller& who)
{
    const std::vector<std::string>& path = request.path;
    const bool versioned = path.size() >= 2 && path[0] == "v1";
    const std::string what = versioned ? path[1] : "";
    if (what == "services" && path.size() == 4 && path[3] == "call" && request.method == "POST")
    {
        return this->on_call(request, who);
    }
    if (what == "jobs" && path.size() == 2 && request.method == "POST")
    {
        return this->on_submit(request, who);
    }
    if (what == "jobs" && path.size() >= 3)
    {
        return this->on_job(request, who);
    }
    const bool for_operators = what == "config" || what == "status" || what == "agents";
    if (for_operators && !who.is_operator)
    {
        return net::error_response(
            make_error(error_kind::forbidden, "/v1/" + what + " needs the operators' token"));
    }
    if (what == "config")
    {
        const std::vector<std::string> rest(path.begin() + 2, path.end());
        const std::string name = request.header("X-Operator");
        return this->operators->answer(request, rest, name.empty() ? this->values.name : name);
    }
    if (what == "status" && request.method == "GET")
    {
        return this->on_status();
    }
    if (what == "agents" && path.size() == 4 && request.method == "POST")
    {
        return this->on_drain(request);
    }
    return net::error_response(make_error(
        error_kind::not_found, request.method + " of this path does not exist; see docs/API.md"));
}

absl::StatusOr<entry::caller> entry::identify(const net::server_request& request) const
{
    const std::string header = request.header("Authorization");
    if (!header.starts_with(bearer))
    {
        return make_error(error_kind::unauthorised, "header Authorization lacks a bearer token");
    }
    const std::string_view given = std::string_view(header).substr(bearer.size());
    caller who;
    bool known = false;
    for (const named_token& candidate : this->values.organisation_tokens)
    {
        if (same_secret(candidate.token, given))
        {
            who.organisation = candidate.name;
            known = true;
        }
    }
    if (!this->values.operator_token.empty() && same_secret(this->values.operator_token, given))
    {
        who.is_operator = true;
        known = true;
    }
    return known ? absl::StatusOr<caller>(who)
                 : make_error(error_kind::unauthorised, "the bearer token is not known");
}

net::server_response entry::on_call(const net::server_request& request, const caller& who)
{
    if (who.organisation.empty())
    {
        return net::error_response(
            make_error(error_kind::forbidden, "calls need an organisation's token"));
    }
    const std::string id = support::random_name();
    const std::string key = request.header("Idempotency-Key");
    if (key.empty())
    {
        return this->run_call(request, who, id);
    }
    const absl::Status named = wire::check_name("Idempotency-Key", key);
    return named.ok() ? this->on_claimed_call(request, who, id, key)
                      : net::error_response(named, id);
}

net::server_response entry::run_call(const net::server_request& request, const caller& who,
                                     const std::string& id)
{
    const absl::Status named = wire::check_name("service", request.path[2]);
    const auto timeout = timeout_of(request);
    if (!named.ok() || !timeout.ok())
    {
        return net::error_response(named.ok() ? timeout.status() : named, id);
    }
    const core::instant begun = core::boot_clock::now();
    route::call_spec call;
    call.id = core::request_id(id);
    call.organisation = core::organisation_id(who.organisation);
    call.service = core::service_id(request.path[2]);
    call.idempotent = request.header("X-Idempotent") == "true";
    call.deadline = begun + *timeout;
    call.body = request.body;
    auto promise = std::make_shared<answer_promise>();
    std::future<route::finish_call> future = promise->get_future();
    const bool queued = this->routing->post(
        [this, call, promise]
        {
            this->waiting[call.id.str()] = promise;
            this->carry_out(this->router.submit(call, core::boot_clock::now()));
        });
    if (!queued)
    {
        return net::error_response(make_error(error_kind::queue_full, "the entry's ring is full"),
                                   id);
    }
    if (future.wait_for(*timeout + answer_margin) != std::future_status::ready)
    {
        return net::error_response(
            make_error(error_kind::outcome_unknown, "the router has not answered"), id);
    }
    route::finish_call finished = future.get();
    const core::milliseconds took = core::boot_clock::now() - begun;
    this->figures.observe("call", who.organisation, request.path[2], took);
    this->figures.count("calls", finished.error.has_value() ? core::answer_for(*finished.error).name
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

net::server_response entry::on_claimed_call(const net::server_request& request, const caller& who,
                                            const std::string& id, const std::string& key)
{
    const std::string row_key = "claim/" + who.organisation + "/" + key;
    wire::claim_row claim;
    claim.set_request(id);
    claim.set_entry(this->values.name);
    claim.set_state("claimed");
    wire::table_commit transaction = store::new_transaction();
    store::add_write(transaction, row_key, 0, wire::to_row(claim));
    const store::commit_result claimed =
        store::commit_settled(*this->table, transaction, write_patience, [] { return false; });
    if (claimed.outcome == store::commit_outcome::conflict)
    {
        wire::claim_row other;
        static_cast<void>(wire::from_row(claimed.conflicting.value(), other));
        if (other.state() == "answered")
        {
            return replayed(other);
        }
        return net::error_response(make_error(error_kind::outcome_unknown,
                                              "key \"" + key + "\" is claimed by request " +
                                                  other.request() +
                                                  ", which runs or whose outcome is not known"),
                                   other.request());
    }
    if (claimed.outcome != store::commit_outcome::applied)
    {
        return net::error_response(claim_failure(claimed), id);
    }
    net::server_response response = this->run_call(request, who, id);
    wire::error_document error;
    const bool failed = response.content_type == "application/json" &&
                        wire::from_row(response.body, error).ok() && !error.error().empty();
    wire::table_commit settling = store::new_transaction();
    if (failed && error.work() == core::to_text(core::work_ran::no))
    {
        // It did not run, so the same key may be tried again.
        store::add_removal(settling, row_key, claimed.version);
    }
    else if (!failed && response.body.size() <= largest_kept_answer)
    {
        claim.set_state("answered");
        claim.set_status(static_cast<std::uint32_t>(response.status));
        claim.set_body(response.body);
        store::add_write(settling, row_key, claimed.version, wire::to_row(claim));
    }
    else
    {
        return response;
    }
    // If this is lost the key stays claimed, and a later try is told that the outcome is unknown.
    static_cast<void>(this->table->commit(settling));
    return response;
}

net::server_response entry::on_submit(const net::server_request& request, const caller& who)
{
    wire::job_request wanted;
    const absl::Status read = wire::from_json(request.body, wanted);
    if (!read.ok())
    {
        return net::error_response(read);
    }
    if (who.organisation.empty())
    {
        return net::error_response(
            make_error(error_kind::forbidden, "jobs need an organisation's token"));
    }
    const std::string name = support::random_name();
    const auto spec = wire::to_job_spec(wanted, name, who.organisation, core::boot_clock::now());
    if (!spec.ok())
    {
        return net::error_response(spec.status());
    }
    const auto cell = this->choose_cell(*spec);
    if (!cell.ok())
    {
        return net::error_response(cell.status());
    }
    wire::job_row row;
    row.set_id(*cell + "~" + name);
    row.set_organisation(who.organisation);
    *row.mutable_request() = wanted;
    row.set_state("accepted");
    wire::table_commit transaction = store::new_transaction();
    store::add_write(transaction, "job/" + *cell + "/" + row.id(), 0, wire::to_row(row));
    if (!wanted.key().empty())
    {
        store::add_write(transaction, "jobkey/" + who.organisation + "/" + wanted.key(), 0,
                         row.id());
    }
    const store::commit_result result =
        store::commit_settled(*this->table, transaction, write_patience, [] { return false; });
    if (result.outcome == store::commit_outcome::conflict)
    {
        // The key was used before: the caller gets the job that it stands for.
        row.set_id(result.conflicting.value());
        row.set_state("accepted");
        return json_response(to_document(row), status_accepted);
    }
    if (result.outcome == store::commit_outcome::unavailable)
    {
        return net::error_response(make_error(error_kind::store_unavailable, result.message),
                                   row.id());
    }
    if (result.outcome == store::commit_outcome::unknown)
    {
        return net::error_response(make_error(error_kind::store_outcome_unknown, result.message),
                                   row.id());
    }
    this->figures.count("jobs_accepted", who.organisation);
    this->notify_lead(row.id());
    return json_response(to_document(row), status_accepted);
}

net::server_response entry::on_job(const net::server_request& request, const caller& who)
{
    const std::string& id = request.path[2];
    const std::string cell = cell_of_job(id);
    if (!wire::check_name("cell", cell).ok() || id.size() > 2 * wire::longest_name)
    {
        return net::error_response(
            make_error(error_kind::not_found, "job \"" + id + "\" does not exist"));
    }
    const auto row = this->table->read("job/" + cell + "/" + id);
    if (!row.ok())
    {
        return net::error_response(
            core::kind_of(row.status()) == error_kind::not_found
                ? make_error(error_kind::not_found, "job \"" + id + "\" does not exist")
                : row.status());
    }
    wire::job_row job;
    const absl::Status read = wire::from_row(row->value(), job);
    if (!read.ok())
    {
        return net::error_response(make_error(error_kind::internal, std::string(read.message())));
    }
    if (!who.is_operator && job.organisation() != who.organisation)
    {
        return net::error_response(
            make_error(error_kind::not_found, "job \"" + id + "\" does not exist"));
    }
    const bool explain = request.path.size() == 4 && request.path[3] == "explain";
    if (request.method == "GET")
    {
        return explain ? this->on_explain(id) : json_response(to_document(job));
    }
    if (request.method == "DELETE" && request.path.size() == 3)
    {
        return this->on_cancel(who, *row, std::move(job));
    }
    return net::error_response(make_error(error_kind::not_found, request.method + " of job \"" +
                                                                     id + "\" does not exist"));
}

net::server_response entry::on_cancel(const caller&, const wire::table_row& row, wire::job_row job)
{
    constexpr int most_races = 5;
    wire::table_row present = row;
    for (int race = 0; race < most_races; ++race)
    {
        const bool open = job.state() == "accepted" || job.state() == "committed";
        if (!open || job.cancel_requested())
        {
            return json_response(to_document(job), status_accepted);
        }
        job.set_cancel_requested(true);
        wire::table_commit transaction = store::new_transaction();
        store::add_write(transaction, present.key(), present.version(), wire::to_row(job));
        const store::commit_result result =
            store::commit_settled(*this->table, transaction, write_patience, [] { return false; });
        if (result.outcome == store::commit_outcome::applied)
        {
            this->notify_lead(job.id());
            return json_response(to_document(job), status_accepted);
        }
        if (result.outcome != store::commit_outcome::conflict)
        {
            return net::error_response(
                make_error(result.outcome == store::commit_outcome::unavailable
                               ? error_kind::store_unavailable
                               : error_kind::store_outcome_unknown,
                           result.message),
                job.id());
        }
        present = result.conflicting;
        static_cast<void>(wire::from_row(present.value(), job));
    }
    return net::error_response(
        make_error(error_kind::conflict, "job \"" + job.id() + "\" changes too often"));
}

net::server_response entry::on_explain(const std::string& job)
{
    auto promise = std::make_shared<std::promise<wire::explain_reply>>();
    std::future<wire::explain_reply> future = promise->get_future();
    const std::string question = support::random_name();
    std::string address;
    {
        const std::lock_guard lock(this->guard);
        const auto lead = this->leads.find(cell_of_job(job));
        if (lead != this->leads.end())
        {
            address = lead->second.row.address();
            this->questions[question] = promise;
        }
    }
    wire::envelope message;
    message.mutable_explain()->set_question(question);
    message.mutable_explain()->set_job(job);
    this->send(address, std::move(message));
    const bool answered =
        !address.empty() && future.wait_for(explain_patience) == std::future_status::ready;
    if (!answered)
    {
        const std::lock_guard lock(this->guard);
        this->questions.erase(question);
        return net::error_response(
            make_error(error_kind::no_upstream,
                       "the lead of cell \"" + cell_of_job(job) + "\" does not answer"));
    }
    const wire::explain_reply reply = future.get();
    if (!reply.known())
    {
        return net::error_response(
            make_error(error_kind::not_found, "job \"" + job +
                                                  "\" has ended or is not known yet "
                                                  "to its lead"));
    }
    return json_response(reply.explanation());
}

net::server_response entry::on_drain(const net::server_request& request)
{
    const std::string& name = request.path[2];
    const bool drain = request.path[3] == "drain";
    std::string address;
    {
        const std::lock_guard lock(this->guard);
        const auto found = this->members.find(name);
        address = found == this->members.end() ? "" : found->second.address();
    }
    if (address.empty() || (!drain && request.path[3] != "undrain"))
    {
        return net::error_response(
            make_error(error_kind::not_found, "agent \"" + name + "\" or the order \"" +
                                                  request.path[3] + "\" does not exist"));
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
    const std::lock_guard lock(this->guard);
    document.set_entry(this->values.name);
    document.set_config_version(this->config.head().version());
    document.set_preset_in_force(this->config.head().preset_in_force());
    document.set_store_reachable(this->store_reachable);
    for (const auto& [cell, lead] : this->leads)
    {
        *document.add_cells() = lead.summary;
    }
    return json_response(document);
}

net::server_response entry::on_metrics() const
{
    const net::transport_counters seen = this->wires->counters();
    net::server_response response;
    response.content_type = "text/plain";
    response.body = this->figures.to_text() + "chicorylift_wire_messages_total{kind=\"sent\"} " +
                    std::to_string(seen.messages_sent) +
                    "\nchicorylift_wire_messages_total{kind=\"received\"} " +
                    std::to_string(seen.messages_received) + "\n";
    return response;
}

absl::StatusOr<std::string> entry::choose_cell(const sched::job_spec& spec) const
{
    absl::StatusOr<terms::terms_in_force> terms;
    std::map<std::string, std::int64_t> free_by_cell;
    {
        const std::lock_guard lock(this->guard);
        terms = this->config.terms_in_force();
        for (const auto& [name, known] : this->members)
        {
            free_by_cell.try_emplace(known.cell(), 0);
        }
        for (auto& [cell, free] : free_by_cell)
        {
            const auto lead = this->leads.find(cell);
            free = lead == this->leads.end()
                       ? 0
                       : lead->second.summary.free() -
                             static_cast<std::int64_t>(lead->second.summary.queued());
        }
    }
    if (!terms.ok())
    {
        return make_error(error_kind::store_unavailable, std::string(terms.status().message()));
    }
    absl::Status why = make_error(error_kind::no_upstream, "no worker has announced itself yet");
    std::string best;
    for (const auto& [cell, free] : free_by_cell)
    {
        const absl::Status runnable = sched::check_runnable(spec, *terms, this->workers_of(cell));
        if (!runnable.ok())
        {
            why = best.empty() ? runnable : why;
        }
        else if (best.empty() || free > free_by_cell.at(best))
        {
            best = cell;
        }
    }
    return best.empty() ? absl::StatusOr<std::string>(why) : best;
}

std::vector<sched::worker_info> entry::workers_of(const std::string& cell) const
{
    const std::lock_guard lock(this->guard);
    std::vector<sched::worker_info> workers;
    for (const auto& [name, known] : this->members)
    {
        if (known.cell() == cell)
        {
            workers.push_back(wire::to_worker(known));
        }
    }
    return workers;
}

void entry::notify_lead(const std::string& job)
{
    std::string address;
    {
        const std::lock_guard lock(this->guard);
        const auto lead = this->leads.find(cell_of_job(job));
        address = lead == this->leads.end() ? "" : lead->second.row.address();
    }
    wire::envelope message;
    message.mutable_notice()->set_job(job);
    this->send(address, std::move(message));
}

} // namespace chicorylift::daemon
