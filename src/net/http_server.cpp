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
                       std::size_t max_body_bytes, std::string& body)
{
    constexpr std::size_t chunk_size = 16384;
    std::string chunk(chunk_size, '\0');
    while (stream.good())
    {
        stream.read(chunk.data(), static_cast<std::streamsize>(chunk.size()));
        body.append(chunk, 0, static_cast<std::size_t>(stream.gcount()));
        if (body.size() > max_body_bytes)
        {
            return make_error(error_kind::too_large,
                              "the body exceeds " + std::to_string(max_body_bytes) + " bytes");
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

void send(const server_response& response, Poco::Net::HTTPServerResponse& message)
{
    message.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(response.status));
    message.setReason(Poco::Net::HTTPResponse::getReasonForStatus(message.getStatus()));
    message.setContentType(response.content_type);
    message.setContentLength64(static_cast<Poco::Int64>(response.body.size()));
    for (const http_header& header : response.headers)
    {
        message.set(header.name, header.value);
    }
    std::ostream& out = message.send();
    out.write(response.body.data(), static_cast<std::streamsize>(response.body.size()));
    out.flush();
}

class function_handler : public Poco::Net::HTTPRequestHandler
{
public:
    function_handler(const http_server::handler& on_request, const server_limits& limits,
                     std::atomic<int>& open)
        : on_request(on_request), limits(limits), open(open)
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
            // The client's connection failed, so no response can be sent.
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
            return error_response(make_error(error_kind::invalid_request,
                                             "malformed request path: " + fault.displayText()));
        }
        try
        {
            return this->on_request(plain);
        }
        catch (const std::exception& fault)
        {
            return error_response(make_error(error_kind::internal, fault.what()));
        }
    }

    const http_server::handler& on_request;
    const server_limits& limits;
    std::atomic<int>& open;
};

class function_handler_factory : public Poco::Net::HTTPRequestHandlerFactory
{
public:
    function_handler_factory(http_server::handler on_request, const server_limits& limits,
                             std::shared_ptr<std::atomic<int>> open)
        : on_request(std::move(on_request)), limits(limits), open(std::move(open))
    {
    }

    Poco::Net::HTTPRequestHandler*
    createRequestHandler(const Poco::Net::HTTPServerRequest&) override
    {
        return new function_handler(this->on_request, this->limits, *this->open);
    }

private:
    http_server::handler on_request;
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
    implementation(const std::string& address, const server_limits& limits, handler on_request)
        : open(std::make_shared<std::atomic<int>>(0)), pool(2, limits.threads),
          socket(Poco::Net::SocketAddress(address)),
          server(new function_handler_factory(std::move(on_request), limits, this->open),
                 this->pool, this->socket, to_params(limits))
    {
        this->server.start();
    }

    std::shared_ptr<std::atomic<int>> open;
    Poco::ThreadPool pool;
    Poco::Net::ServerSocket socket;
    Poco::Net::HTTPServer server;
};

http_server::http_server(const std::string& address, server_limits limits, handler on_request)
    : inner(std::make_unique<implementation>(address, limits, std::move(on_request)))
{
}

http_server::~http_server()
{
    this->inner->server.stopAll(true);
    this->inner->pool.stopAll();
}

void http_server::drain(core::milliseconds timeout)
{
    constexpr core::milliseconds poll_interval{10};
    this->inner->server.stop();
    const core::instant deadline = core::boot_clock::now() + timeout;
    const auto busy = [this]
    {
        // A queued connection may hold a request that no thread has read yet.
        return *this->inner->open > 0 || this->inner->server.queuedConnections() > 0;
    };
    while (busy() && core::boot_clock::now() < deadline)
    {
        std::this_thread::sleep_for(poll_interval);
    }
}

std::string http_server::address() const
{
    return this->inner->socket.address().toString();
}

server_response json_response(const google::protobuf::Message& document, int status)
{
    server_response response;
    response.status = status;
    response.body = wire::to_json(document);
    return response;
}

server_response error_response(const absl::Status& error, const std::string& request)
{
    const core::error_descriptor& row = core::descriptor_for(core::kind_of(error));
    wire::error_document document;
    document.set_error(std::string(row.name));
    document.set_message(std::string(error.message()));
    document.set_work(std::string(core::to_text(row.execution)));
    document.set_request(request);
    server_response response = json_response(document, row.http_status);
    constexpr int service_unavailable = 503;
    if (row.http_status == service_unavailable)
    {
        response.headers.push_back({"Retry-After", "1"});
    }
    return response;
}

} // namespace chicorylift::net
