#include "net/http_client.hpp"

#include "chicorylift/core/error.hpp"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Timespan.h>
#include <istream>

namespace chicorylift::net
{

namespace
{

using core::error_kind;
using core::make_error;

Poco::Timespan to_poco(core::milliseconds duration)
{
    constexpr std::int64_t microseconds_per_millisecond = 1000;
    return {duration.count() * microseconds_per_millisecond};
}

std::string describe(const client_request& request, const std::string& fault)
{
    return request.method + " " + request.address + request.path + ": " + fault;
}

/// Stops reading after the first chunk that exceeds max_response_bytes; the caller rejects it.
std::string read_bounded(std::istream& stream)
{
    constexpr std::size_t chunk_size = 16384;
    std::string body;
    std::string chunk(chunk_size, '\0');
    while (body.size() <= max_response_bytes && stream.good())
    {
        stream.read(chunk.data(), static_cast<std::streamsize>(chunk.size()));
        body.append(chunk, 0, static_cast<std::size_t>(stream.gcount()));
    }
    return body;
}

absl::StatusOr<client_response> exchange(Poco::Net::HTTPClientSession& session,
                                         const client_request& request)
{
    Poco::Net::HTTPRequest message(request.method, request.path, Poco::Net::HTTPMessage::HTTP_1_1);
    for (const http_header& header : request.headers)
    {
        message.set(header.name, header.value);
    }
    message.setContentLength64(static_cast<Poco::Int64>(request.body.size()));
    message.setHost(request.host.empty() ? request.address : request.host);
    std::ostream& out = session.sendRequest(message);
    out.write(request.body.data(), static_cast<std::streamsize>(request.body.size()));
    out.flush();
    Poco::Net::HTTPResponse response;
    std::istream& in = session.receiveResponse(response);
    client_response result{static_cast<int>(response.getStatus()), read_bounded(in)};
    const bool has_length = response.hasContentLength();
    const bool cut_short =
        has_length && response.getContentLength64() != static_cast<Poco::Int64>(result.body.size());
    if (cut_short || result.body.size() > max_response_bytes ||
        (!has_length && !response.getChunkedTransferEncoding()))
    {
        return make_error(
            error_kind::upstream_failed,
            describe(request, "the response is truncated, too large or without a length"));
    }
    return result;
}

} // namespace

absl::StatusOr<client_response> send_request(const client_request& request)
{
    Poco::Net::StreamSocket socket;
    try
    {
        socket.connect(Poco::Net::SocketAddress(request.address), to_poco(request.connect_timeout));
        socket.setNoDelay(true);
        // HTTPClientSession does not apply its timeout to a socket that it did not connect.
        socket.setSendTimeout(to_poco(request.response_timeout));
        socket.setReceiveTimeout(to_poco(request.response_timeout));
    }
    catch (const Poco::Exception& fault)
    {
        return make_error(error_kind::no_upstream, describe(request, fault.displayText()));
    }
    try
    {
        Poco::Net::HTTPClientSession session(socket);
        session.setTimeout(to_poco(request.response_timeout));
        return exchange(session, request);
    }
    catch (const Poco::Exception& fault)
    {
        return make_error(error_kind::outcome_unknown, describe(request, fault.displayText()));
    }
    catch (const std::exception& fault)
    {
        return make_error(error_kind::outcome_unknown, describe(request, fault.what()));
    }
}

} // namespace chicorylift::net
