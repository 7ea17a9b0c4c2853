#include "row_limit.hpp"

#include "../../platform/json_reader.hpp"

#include <absl/strings/escaping.h>
#include <atomic>
#include <utility>

namespace chicorylift::review
{

namespace
{

constexpr int status_bad_request = 400;
constexpr int status_bad_gateway = 502;
// Longer than the longest wait of a feed.
constexpr std::chrono::seconds store_timeout{35};

} // namespace

struct row_limit::implementation
{
    implementation(net::event_loop& loop, std::string store, std::size_t row_bytes)
        : client(loop, {.max_connections_per_address = 400}), store(std::move(store)),
          row_bytes(row_bytes)
    {
    }

    [[nodiscard]] bool is_within_limit(const std::string& text) const
    {
        auto body = platform::json_reader::parse(text, text.size() + 1);
        if (!body.ok())
        {
            return true;
        }
        for (platform::json_reader& put : body->get_objects("puts", false))
        {
            std::string value;
            if (absl::Base64Unescape(put.get_string("value"), &value) &&
                value.size() > this->row_bytes)
            {
                return false;
            }
        }
        return true;
    }

    void answer(const net::server_request& request,
                const net::async_http_server::responder& respond)
    {
        if (request.method == "POST" && !this->is_within_limit(request.body))
        {
            ++this->rejected;
            net::server_response response;
            response.status = status_bad_request;
            response.body = R"({"error":"a value is larger than rowBytes"})";
            respond(response);
            return;
        }
        net::client_request passed;
        passed.address = this->store;
        passed.method = request.method;
        passed.path = request.target;
        passed.headers = {{"Content-Type", "application/json"}};
        passed.body = request.body;
        passed.response_timeout = store_timeout;
        this->client.send(std::move(passed),
                          [respond](const absl::StatusOr<net::client_response>& got)
                          {
                              net::server_response response;
                              response.status = got.ok() ? got->status : status_bad_gateway;
                              response.body = got.ok() ? got->body : "";
                              respond(response);
                          });
    }

    net::async_http_client client;
    std::string store;
    std::size_t row_bytes;
    std::atomic<std::size_t> rejected = 0;
    std::unique_ptr<net::async_http_server> server;
};

row_limit::row_limit(net::event_loop& loop, const std::string& address, std::string store,
                     std::size_t row_bytes)
    : inner(std::make_shared<implementation>(loop, std::move(store), row_bytes))
{
    net::async_server_limits limits;
    limits.max_body_bytes = 2U << 20U;
    limits.idle_timeout = std::chrono::minutes{5};
    this->inner->server = std::make_unique<net::async_http_server>(
        loop, address, limits,
        [self = this->inner.get()](const net::server_request& request,
                                   const net::async_http_server::responder& respond)
        { self->answer(request, respond); });
}

std::size_t row_limit::rejected() const
{
    return this->inner->rejected;
}

} // namespace chicorylift::review
