#pragma once

#include "net/async_http_server.hpp"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <list>
#include <string_view>
#include <sys/epoll.h>
#include <unordered_map>

namespace chicorylift::net
{

/// Connection of an async_http_server.
struct server_connection
{
    explicit server_connection(const Poco::Net::StreamSocket& accepted) : socket(accepted) {}

    Poco::Net::StreamSocket socket;
    std::uint64_t id{};
    /// Received bytes that are not part of a dispatched request.
    std::string input;
    std::string output;
    buffer_account account;
    /// Peer's IP address if connections of one address are limited.
    std::string peer;
    /// Number of the request that awaits its response.
    std::uint64_t request_number{};
    /// Length of the current request's head; 0 until it is complete.
    std::size_t head_length{};
    std::size_t body_length{};
    /// Length of the input in which no end of a head was found.
    std::size_t searched_length{};
    /// Charge for the request that awaits its response.
    std::size_t in_flight_bytes{};
    std::size_t discarded_bytes{};
    std::uint32_t watched_events = EPOLLIN | EPOLLRDHUP;
    bool awaiting_response = false;
    bool close_after_response = false;
    bool peer_finished = false;
    /// The request was rejected. Further input is discarded until the peer closes: closing a
    /// socket with unread input resets the connection, and the response would be lost.
    bool lingering = false;
    bool will_resume = false;
    bool closed = false;
    /// When the current request began to arrive, or the connection became idle.
    core::instant since{};
};

/// State of an async_http_server. async_http_server.cpp decides which connections are open,
/// async_http_server_requests.cpp what is read from them and sent to them.
struct async_http_server::implementation
    : public std::enable_shared_from_this<async_http_server::implementation>
{
    using connection_list = std::list<server_connection>;
    using handle = connection_list::iterator;

    implementation(event_loop& loop, const std::string& address, async_server_limits limits,
                   handler on_request, server_context context);

    void start();

    void close_all();

    void accept_some();

    void pause_accepting();

    void add_connection(const Poco::Net::StreamSocket& accepted);

    /// Closes the connection that has been idle, or whose request has been arriving, for longest.
    /// @return whether there was one.
    bool close_longest_idle(refusal reason);

    /// Sets the time since when the connection is in its state. The list stays in this order.
    void restart_clock(handle here);

    void on_ready(handle here, std::uint32_t events);

    void read(handle here);

    /// Appends received bytes to the input, as far as the budget allows it.
    /// @return whether the connection is still open.
    bool keep(handle here, std::string_view received);

    /// Charges what the connection holds, and @p growth more.
    [[nodiscard]] bool charge(handle here, std::size_t growth = 0);

    /// Charges what the connection holds; closes it if that does not fit.
    /// @return whether the connection is still open.
    bool settle(handle here);

    /// Parses the buffered input and dispatches the request once it is complete.
    void advance(handle here);

    /// Removes the current request's bytes from the input.
    static void remove_request(handle here, std::size_t length);

    [[nodiscard]] head_limits limits_of_head() const;

    /// @return whether the head is complete and valid; an invalid one is rejected.
    bool read_head(handle here, request_head& head);

    void dispatch(handle here, server_request request);

    void on_response(std::uint64_t id, std::uint64_t number, const server_response& response);

    /// Has the next request parsed if it is in the input already.
    void resume(handle here);

    void reject(handle here, int status, const std::string& text, refusal reason);

    /// Sends the output as far as the peer takes it.
    /// @return whether the connection is still open.
    bool flush(handle here);

    /// Watches for what the connection can use next. Nothing is read while an answer has not been
    /// sent: what the client sends meanwhile stays in the kernel.
    void update_watch(handle here);

    /// @return whether the connection is still open.
    bool begin_lingering(handle here);

    void note(refusal reason) const;

    /// Closes a connection because of a limit.
    void close(handle here, refusal reason);

    /// Closes a connection. Its state stays until the next sweep: callers may still refer to it.
    void close(handle here);

    void schedule_sweep();

    /// @return whether the connection has exceeded the time that its state allows.
    [[nodiscard]] bool has_timed_out(const server_connection& each, core::instant now) const;

    /// Closes connections that exceeded their idle or linger time; rejects requests that exceeded
    /// the request timeout.
    void sweep();

    event_loop& loop;
    async_server_limits limits;
    handler on_request;
    server_context context;
    Poco::Net::ServerSocket listener;
    bool listening = false;
    bool draining = false;
    /// Open connections, those whose state began first before others.
    connection_list open;
    /// Closed connections, until nothing refers to them.
    connection_list closed;
    std::unordered_map<std::uint64_t, handle> by_id;
    /// Number of open connections by IP address.
    std::unordered_map<std::string, std::size_t> peers;
    std::uint64_t last_id{};
    std::size_t pending{};
    event_loop::timer_id sweep_timer{};
};

/// @return the socket's descriptor.
[[nodiscard]] inline int descriptor_of(const Poco::Net::Socket& socket)
{
    return static_cast<int>(socket.impl()->sockfd());
}

/// Empties a buffer and frees its memory.
inline void release(std::string& buffer)
{
    std::string().swap(buffer);
}

} // namespace chicorylift::net
