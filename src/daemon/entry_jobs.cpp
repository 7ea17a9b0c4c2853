#include "chicorylift/core/error.hpp"
#include "daemon/entry.hpp"
#include "support/random_hex_id.hpp"
#include "wire/convert.hpp"
#include "wire/json.hpp"

#include <algorithm>
#include <utility>

/// Job requests of the entry: submit, read, explain and cancel.
namespace chicorylift::daemon
{

namespace
{

using core::error_kind;
using core::make_error;

constexpr core::milliseconds write_timeout{3000};
constexpr core::milliseconds explain_timeout{2000};
constexpr int status_accepted = 202;

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

} // namespace

net::server_response entry::on_submit(const net::server_request& request, const caller& who)
{
    wire::job_request requested;
    const absl::Status read = wire::from_json(request.body, requested);
    if (!read.ok())
    {
        return net::error_response(read);
    }
    if (who.organisation.empty())
    {
        return net::error_response(
            make_error(error_kind::forbidden, "jobs need an organisation's token"));
    }
    const std::string name = support::random_hex_id();
    const auto spec = wire::to_job_spec(requested, name, who.organisation, core::boot_clock::now());
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
    *row.mutable_request() = requested;
    row.set_state("accepted");
    wire::table_commit transaction = store::new_transaction();
    store::add_write(transaction, "job/" + *cell + "/" + row.id(), 0, wire::to_compact_json(row));
    if (!requested.key().empty())
    {
        store::add_write(transaction, "jobkey/" + who.organisation + "/" + requested.key(), 0,
                         row.id());
    }
    const store::commit_result result =
        store::commit_with_retry(*this->table, transaction, write_timeout, [] { return false; });
    if (result.outcome == store::commit_outcome::conflict)
    {
        // The key was used before: returns the job that was submitted with it.
        row.set_id(result.conflicting.value());
        row.set_state("accepted");
        return net::json_response(to_document(row), status_accepted);
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
    this->metrics.increment("jobs_accepted", who.organisation);
    this->notify_leader(row.id());
    return net::json_response(to_document(row), status_accepted);
}

net::server_response entry::on_job(const net::server_request& request, const caller& who)
{
    const std::string& id = request.path_segments[2];
    const std::string cell = cell_of_job(id);
    if (!wire::validate_name("cell", cell).ok() || id.size() > 2 * wire::max_name_bytes)
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
    const absl::Status read = wire::from_json_lenient(row->value(), job);
    if (!read.ok())
    {
        return net::error_response(make_error(error_kind::internal, std::string(read.message())));
    }
    if (!who.is_operator && job.organisation() != who.organisation)
    {
        return net::error_response(
            make_error(error_kind::not_found, "job \"" + id + "\" does not exist"));
    }
    const bool explain = request.path_segments.size() == 4 && request.path_segments[3] == "explain";
    if (request.method == "GET")
    {
        return explain ? this->on_explain(id) : net::json_response(to_document(job));
    }
    if (request.method == "DELETE" && request.path_segments.size() == 3)
    {
        return this->on_cancel(who, *row, std::move(job));
    }
    return net::error_response(make_error(error_kind::not_found, request.method + " of job \"" +
                                                                     id + "\" does not exist"));
}

net::server_response entry::on_cancel(const caller&, const wire::table_row& row, wire::job_row job)
{
    constexpr int max_attempts = 5;
    wire::table_row current_row = row;
    for (int attempt = 0; attempt < max_attempts; ++attempt)
    {
        const bool open = job.state() == "accepted" || job.state() == "committed";
        if (!open || job.cancel_requested())
        {
            return net::json_response(to_document(job), status_accepted);
        }
        job.set_cancel_requested(true);
        wire::table_commit transaction = store::new_transaction();
        store::add_write(transaction, current_row.key(), current_row.version(),
                         wire::to_compact_json(job));
        const store::commit_result result = store::commit_with_retry(
            *this->table, transaction, write_timeout, [] { return false; });
        if (result.outcome == store::commit_outcome::applied)
        {
            this->notify_leader(job.id());
            return net::json_response(to_document(job), status_accepted);
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
        current_row = result.conflicting;
        static_cast<void>(wire::from_json_lenient(current_row.value(), job));
    }
    return net::error_response(make_error(
        error_kind::conflict,
        "job \"" + job.id() + "\" was not cancelled: concurrent writes, retries exhausted"));
}

net::server_response entry::on_explain(const std::string& job)
{
    auto promise = std::make_shared<std::promise<wire::explain_reply>>();
    std::future<wire::explain_reply> future = promise->get_future();
    const std::string question = support::random_hex_id();
    std::string address;
    {
        const std::lock_guard lock(this->mutex);
        const auto leader = this->leaders.find(cell_of_job(job));
        if (leader != this->leaders.end())
        {
            address = leader->second.row.address();
            this->pending_explains[question] = promise;
        }
    }
    wire::envelope message;
    message.mutable_explain()->set_question(question);
    message.mutable_explain()->set_job(job);
    this->send(address, std::move(message));
    const bool answered =
        !address.empty() && future.wait_for(explain_timeout) == std::future_status::ready;
    if (!answered)
    {
        const std::lock_guard lock(this->mutex);
        this->pending_explains.erase(question);
        return net::error_response(
            make_error(error_kind::no_upstream, "the lead of cell \"" + cell_of_job(job) +
                                                    "\" did not answer the explain request"));
    }
    const wire::explain_reply reply = future.get();
    if (!reply.known())
    {
        return net::error_response(
            make_error(error_kind::not_found, "job \"" + job +
                                                  "\" has ended or is not known yet "
                                                  "to its lead"));
    }
    return net::json_response(reply.explanation());
}

absl::StatusOr<std::string> entry::choose_cell(const sched::job_spec& spec) const
{
    absl::StatusOr<quota::resolved_config> terms;
    std::map<std::string, std::int64_t> free_by_cell;
    {
        const std::lock_guard lock(this->mutex);
        terms = this->config.terms_in_force();
        for (const auto& [name, member] : this->members)
        {
            free_by_cell.try_emplace(member.cell(), 0);
        }
        for (auto& [cell, free] : free_by_cell)
        {
            const auto leader = this->leaders.find(cell);
            free = leader == this->leaders.end()
                       ? 0
                       : leader->second.summary.free() -
                             static_cast<std::int64_t>(leader->second.summary.queued());
        }
    }
    if (!terms.ok())
    {
        return make_error(error_kind::store_unavailable, std::string(terms.status().message()));
    }
    absl::Status rejection = make_error(error_kind::no_upstream, "no worker has registered yet");
    std::string best;
    for (const auto& [cell, free] : free_by_cell)
    {
        const absl::Status runnable = sched::check_runnable(spec, *terms, this->workers_of(cell));
        if (!runnable.ok())
        {
            rejection = best.empty() ? runnable : rejection;
        }
        else if (best.empty() || free > free_by_cell.at(best))
        {
            best = cell;
        }
    }
    return best.empty() ? absl::StatusOr<std::string>(rejection) : best;
}

std::vector<sched::worker_info> entry::workers_of(const std::string& cell) const
{
    const std::lock_guard lock(this->mutex);
    std::vector<sched::worker_info> workers;
    for (const auto& [name, member] : this->members)
    {
        if (member.cell() == cell)
        {
            workers.push_back(wire::to_worker_info(member));
        }
    }
    return workers;
}

void entry::notify_leader(const std::string& job)
{
    std::string address;
    {
        const std::lock_guard lock(this->mutex);
        const auto leader = this->leaders.find(cell_of_job(job));
        address = leader == this->leaders.end() ? "" : leader->second.row.address();
    }
    wire::envelope message;
    message.mutable_notice()->set_job(job);
    this->send(address, std::move(message));
}

} // namespace chicorylift::daemon
