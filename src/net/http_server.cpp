#include "net/http_server.hpp"

#include "wire/json.hpp"
#include "wire/wire.pb.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/String.h>
#include <Poco/ThreadPool.h>
#include <Poco/URI.h>
#include <atomic>
#include <istream>
#include <ostream>
#include <thread>

namespace chicorylift::net
{

namespace
{

using core::error_kind;
using core::make_error;

absl::Status read_body(std::istream& stream, const Poco::Net::HTTPServerRequest& from,
                       std::size_t largest, std::string& body)
{
    constexpr std::size_t chunk_size = 16384;
    std::string chunk(chunk_size, '\0');
    while (stream.good())
    {
        stream.read(chunk.data(), static_cast<std::streamsize>(chunk.size()));
        body.append(chunk, 0, static_cast<std::size_t>(stream.gcount()));
        if (body.size() > largest)
        {
            return make_error(error_kind::too_large,
                              "the body exceeds " + std::to_string(largest) + " bytes");
        }
    }
    if (from.hasContentLength() &&
        from.getContentLength64() != static_cast<Poco::Int64>(body.size()))
    {
        return make_error(error_kind::invalid_request,
                          "the body has " + std::to_string(body.size()) + " of " +
                              std::to_string(from.getContentLength64()) + " bytes");
    }
    return absl::OkStatus();
}

void send(const server_response& answer, Poco::Net::HTTPServerResponse& response)
{
    response.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(answer.status));
    response.setReason(Poco::Net::HTTPResponse::getReasonForStatus(response.getStatus()));
    response.setContentType(answer.content_type);
    response.setContentLength64(static_cast<Poco::Int64>(answer.body.size()));
    for (const http_header& header : answer.headers)
    {
        response.set(header.name, header.value);
    }
    std::ostream& out = response.send();
    out.write(answer.body.data(), static_cast<std::streamsize>(answer.body.size()));
    out.flush();
}

class function_handler : public Poco::Net::HTTPRequestHandler
{
public:
    function_handler(const http_server::handler& answer, const server_limits& limits,
                     std::atomic<int>& open)
        : answer(answer), limits(limits), open(open)
    {
        ++this->open;
    }
    ~function_handler() override { --this->open; }
    function_handler(const function_handler&) = delete;
    function_handler& operator=(const function_handler&) = delete;

    void handleRequest(Poco::Net::HTTPServerRequest& request,
                       Poco::Net::HTTPServerResponse& response) override
    {
        try
        {
            send(this->respond(request), response);
        }
        catch (const std::exception&)
        {
            // The caller's connection is gone; there is nobody left to answer.
            response.setKeepAlive(false);
        }
    }

private:
    server_response respond(Poco::Net::HTTPServerRequest& request) const
    {
        server_request plain;
        const absl::Status read =
            read_body(request.stream(), request, this->limits.max_body_bytes, plain.body);
        if (!read.ok())
        {
            return error_response(read);
        }
        try
        {
            plain.method = request.getMethod();
            Poco::URI(request.getURI()).getPathSegments(plain.path_segments);
            for (const auto& header : request)
            {
                plain.headers.push_back({header.first, header.second});
            }
        }
        catch (const Poco::Exception& fault)
        {
            return error_response(
                make_error(error_kind::invalid_request, "the path: " + fault.displayText()));
        }
        try
        {
            return this->answer(plain);
        }
        catch (const std::exception& fault)
        {
            return error_response(make_error(error_kind::internal, fault.what()));
        }
    }

    const http_server::handler& answer;
    const server_limits& limits;
    std::atomic<int>& open;
};

class function_handler_factory : public Poco::Net::HTTPRequestHandlerFactory
{
public:
    function_handler_factory(http_server::handler answer, const server_limits& limits,
                             std::shared_ptr<std::atomic<int>> open)
        : answer(std::move(answer)), limits(limits), open(std::move(open))
    {
    }

    Poco::Net::HTTPRequestHandler*
    createRequestHandler(const Poco::Net::HTTPServerRequest&) override
    {
        return new function_handler(this->answer, this->limits, *this->open);
    }

private:
    http_server::handler answer;
    server_limits limits;
    std::shared_ptr<std::atomic<int>> open;
};

Poco::Net::HTTPServerParams::Ptr to_params(const server_limits& limits)
{
    constexpr std::int64_t microseconds_per_millisecond = 1000;
    Poco::Net::HTTPServerParams::Ptr params(new Poco::Net::HTTPServerParams);
    params->setMaxThreads(limits.threads);
    params->setMaxQueued(limits.max_queued_connections);
    const Poco::Timespan idle(limits.idle_timeout.count() * microseconds_per_millisecond);
    params->setTimeout(idle);
    params->setKeepAliveTimeout(idle);
    params->setKeepAlive(true);
    return params;
}

} // namespace

std::string server_request::header(std::string_view name) const
{
    for (const http_header& header : this->headers)
    {
        if (Poco::icompare(header.name, std::string(name)) == 0)
        {
            return header.value;
        }
    }
    return {};
}

struct http_server::implementation
{
    implementation(const std::string& address, const server_limits& limits, handler answer)
        : open(std::make_shared<std::atomic<int>>(0)), pool(2, limits.threads),
          socket(Poco::Net::SocketAddress(address)),
          server(new function_handler_factory(std::move(answer), limits, this->open), this->pool,
                 this->socket, to_params(limits))
    {
        this->server.start();
    }

    std::shared_ptr<std::atomic<int>> open;
    Poco::ThreadPool pool;
    Poco::Net::ServerSocket socket;
    Poco::Net::HTTPServer server;
};

http_server::http_server(const std::string& address, server_limits limits, handler answer)
    : inner(std::make_unique<implementation>(address, limits, std::move(answer)))
{
}

http_server::~http_server()
{
    this->inner->server.stopAll(true);
    this->inner->pool.stopAll();
}

void http_server::drain(core::milliseconds patience)
{
    constexpr core::milliseconds pause{10};
    this->inner->server.stop();
    const core::instant limit = core::boot_clock::now() + patience;
    const auto busy = [this]
    {
        // A connection may wait for a thread before its request is seen.
        return *this->inner->open > 0 || this->inner->server.queuedConnections() > 0;
    };
    while (busy() && core::boot_clock::now() < limit)
    {
        std::this_thread::sleep_for(pause);
    }
}

std::string http_server::address() const
{
    return this->inner->socket.address().toString();
}

server_response json_response(const google::protobuf::Message& document, int status)
{
    server_response answer;
    answer.status = status;
    answer.body = wire::to_json(document);
    return answer;
}

server_response error_response(const absl::Status& error, const std::string& request)
{
    const core::error_descriptor& row = core::descriptor_for(core::kind_of(error));
    wire::error_document document;
    document.set_error(std::string(row.name));
    document.set_message(std::string(error.message()));
    document.set_work(std::string(core::to_text(row.execution)));
    document.set_request(request);
    server_response answer = json_response(document, row.http_status);
    constexpr int service_unavailable = 503;
    if (row.http_status == service_unavailable)
    {
        answer.headers.push_back({"Retry-After", "1"});
    }
    return answer;
}

} // namespace chicorylift::net
