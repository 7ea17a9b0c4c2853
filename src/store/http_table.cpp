#include "chicorylift/core/error.hpp"
#include "chicorylift/core/registry.hpp"
#include "net/http_client.hpp"
#include "store/table.hpp"
#include "wire/json.hpp"

#include <utility>

/// Table adapter for a store with an HTTP interface and JSON documents.
namespace chicorylift::store
{

namespace
{

using core::error_kind;
using core::make_error;

constexpr core::milliseconds store_response_timeout{1500};
constexpr int status_ok = 200;
constexpr int status_not_found = 404;
constexpr int status_conflict = 409;
constexpr int status_unavailable = 503;

absl::Status unavailable(const std::string& message)
{
    return make_error(error_kind::store_unavailable, message);
}

class http_table : public table
{
public:
    explicit http_table(std::string address) : address(std::move(address)) {}

    absl::StatusOr<wire::table_row> read(const std::string& key) override
    {
        wire::table_row row;
        const absl::Status fetched = this->fetch("/table/row/" + key, row);
        return fetched.ok() ? absl::StatusOr<wire::table_row>(std::move(row)) : fetched;
    }

    absl::StatusOr<wire::table_rows> list(const std::string& prefix,
                                          std::uint32_t after_version) override
    {
        wire::table_rows all;
        std::uint32_t after = after_version;
        for (;;)
        {
            wire::table_rows page;
            const absl::Status fetched =
                this->fetch("/table/list/" + std::to_string(after) + "/" + prefix, page);
            if (!fetched.ok())
            {
                return fetched;
            }
            all.mutable_rows()->MergeFrom(page.rows());
            all.set_version(page.version());
            if (!page.more() || page.rows().empty())
            {
                return all;
            }
            after = page.rows(page.rows_size() - 1).version();
        }
    }

    commit_result commit(const wire::table_commit& transaction) override
    {
        net::client_request request;
        request.address = this->address;
        request.method = "POST";
        request.path = "/table/commit";
        request.body = wire::to_compact_json(transaction);
        request.response_timeout = store_response_timeout;
        const auto answer = net::send_request(request);
        commit_result result;
        if (!answer.ok())
        {
            const bool sent = core::kind_of(answer.status()) != error_kind::no_upstream;
            result.outcome = sent ? commit_outcome::unknown : commit_outcome::unavailable;
            result.message = std::string(answer.status().message());
            return result;
        }
        wire::table_result document;
        const absl::Status read = wire::from_json_lenient(answer->body, document);
        if (read.ok() && answer->status == status_ok)
        {
            result.outcome = commit_outcome::applied;
            result.version = document.version();
        }
        else if (read.ok() && answer->status == status_conflict)
        {
            result.outcome = commit_outcome::conflict;
            result.conflicting = document.conflicting();
        }
        else
        {
            // 503 guarantees that nothing was written; after any other status the outcome is
            // unknown.
            result.outcome = answer->status == status_unavailable ? commit_outcome::unavailable
                                                                  : commit_outcome::unknown;
            result.message =
                "the store answered a commit with status " + std::to_string(answer->status);
        }
        return result;
    }

private:
    absl::Status fetch(const std::string& path, google::protobuf::Message& document)
    {
        net::client_request request;
        request.address = this->address;
        request.path = path;
        request.response_timeout = store_response_timeout;
        const auto answer = net::send_request(request);
        if (!answer.ok())
        {
            return unavailable(std::string(answer.status().message()));
        }
        if (answer->status == status_not_found)
        {
            return make_error(error_kind::not_found, "no row found at " + path);
        }
        if (answer->status != status_ok)
        {
            return unavailable("the store answered a read with status " +
                               std::to_string(answer->status));
        }
        return wire::from_json_lenient(answer->body, document);
    }

    std::string address;
};

std::unique_ptr<table> open_http_table(const std::string& address)
{
    return std::make_unique<http_table>(address);
}

constexpr table_factory http_json{.name = "http-json", .open = open_http_table};
const core::registration<table_factory> registered(http_json);

} // namespace

} // namespace chicorylift::store
