#include "net/request_head.hpp"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <algorithm>
#include <array>
#include <charconv>
#include <sstream>

namespace chicorylift::net
{

namespace
{

constexpr int status_bad_request = 400;
constexpr int status_length_required = 411;
constexpr int status_too_large = 413;

std::vector<std::string> split_path(std::string_view target)
{
    const std::string_view path = target.substr(0, target.find('?'));
    std::vector<std::string> parts;
    std::size_t begin = 0;
    while (begin < path.size())
    {
        const std::size_t end = std::min(path.find('/', begin), path.size());
        if (end > begin)
        {
            parts.emplace_back(path.substr(begin, end - begin));
        }
        begin = end + 1;
    }
    return parts;
}

/// @return whether the text is a number.
bool parse_length(const std::string& text, std::size_t& length)
{
    const char* const last = text.data() + text.size();
    const auto number = std::from_chars(text.data(), last, length);
    return number.ec == std::errc{} && number.ptr == last;
}

} // namespace

std::string_view to_text(refusal reason)
{
    constexpr std::array<std::string_view, 10> names{
        "malformed",       "header too large", "body too large",
        "length required", "timeout",          "answer not read",
        "memory",          "max connections",  "max connections of address",
        "descriptors"};
    return names.at(static_cast<std::size_t>(reason));
}

std::optional<head_error> parse_request_head(const std::string& text, const head_limits& limits,
                                             request_head& head)
{
    Poco::Net::HTTPRequest parsed;
    parsed.setFieldLimit(static_cast<int>(limits.max_fields));
    try
    {
        std::istringstream stream(text);
        parsed.read(stream);
    }
    catch (const Poco::Exception&)
    {
        return head_error{status_bad_request, "the request header is malformed",
                          refusal::malformed};
    }
    head = {};
    head.request.method = parsed.getMethod();
    head.request.target = parsed.getURI();
    head.request.path_segments = split_path(parsed.getURI());
    for (const auto& header : parsed)
    {
        head.request.headers.push_back({header.first, header.second});
    }
    head.keep_alive = parsed.getKeepAlive();
    head.expects_continue = parsed.has("Expect");
    if (parsed.getChunkedTransferEncoding())
    {
        return head_error{status_length_required, "the request needs a Content-Length",
                          refusal::length_required};
    }
    if (parsed.has("Content-Length") &&
        !parse_length(parsed.get("Content-Length"), head.body_length))
    {
        return head_error{status_bad_request, "Content-Length is not a number", refusal::malformed};
    }
    if (head.body_length > limits.max_body_bytes)
    {
        return head_error{status_too_large,
                          "the body exceeds " + std::to_string(limits.max_body_bytes) + " bytes",
                          refusal::body_too_large};
    }
    return std::nullopt;
}

std::string serialize_response(const server_response& response, bool keep_alive)
{
    const auto status = static_cast<Poco::Net::HTTPResponse::HTTPStatus>(response.status);
    std::string text = "HTTP/1.1 " + std::to_string(response.status) + " " +
                       Poco::Net::HTTPResponse::getReasonForStatus(status) + "\r\n";
    if (!response.body.empty())
    {
        text += "Content-Type: " + response.content_type + "\r\n";
    }
    for (const http_header& header : response.headers)
    {
        text += header.name + ": " + header.value + "\r\n";
    }
    text += "Content-Length: " + std::to_string(response.body.size()) + "\r\n";
    text += keep_alive ? "\r\n" : "Connection: close\r\n\r\n";
    return text + response.body;
}

server_response plain_error(int status, const std::string& text)
{
    server_response response;
    response.status = status;
    response.content_type = "text/plain";
    response.body = text + "\n";
    return response;
}

} // namespace chicorylift::net
