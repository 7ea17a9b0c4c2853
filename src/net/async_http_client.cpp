#include "net/async_http_client.hpp"

#include "chicorylift/core/error.hpp"
#include "net/response_deadline.hpp"
#include "net/send_some.hpp"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <array>
#include <charconv>
#include <deque>
#include <list>
#include <map>
#include <optional>
#include <sstream>
#include <sys/epoll.h>

namespace chicorylift::net
{

namespace
{

using core::error_kind;
using core::make_error;

constexpr std::size_t read_chunk_bytes = 65536;

std::string serialize_request(const client_request& request)
{
    std::string text =
        request.method + " " + request.path + " HTTP/1.1\r\nHost: " + request.address + "\r\n";
    for (const http_header& header : request.headers)
    {
        text += header.name + ": " + header.value + "\r\n";
    }
    text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n\r\n";
    return text + request.body;
}

struct exchange_state
{
    exchange_state(client_request what, async_http_client::response_callback on_outcome)
        : request(std::move(what)), on_outcome(std::move(on_outcome)),
          deadline(this->started_at, this->request.response_timeout, this->request.stall_timeout)
    {
    }

    client_request request;
    async_http_client::response_callback on_outcome;
    event_loop::timer_id timer{};
    core::instant started_at = core::boot_clock::now();
    response_deadline deadline;
    /// Unset until the response begins.
    std::optional<core::instant> first_byte_at;
};

struct client_connection
{
    Poco::Net::StreamSocket socket;
    std::string address;
    std::shared_ptr<exchange_state> current;
    std::string input;
    std::string output;
    int status{};
    std::size_t body_length{};
    bool connected = false;
    bool has_header = false;
    bool keep_alive = true;
    core::instant idle_since{};
};

/// @return how much of the current response has arrived, and after what time.
std::string describe_extent(const client_connection& from)
{
    const core::milliseconds elapsed = core::boot_clock::now() - from.current->started_at;
    std::string text = "; " + std::to_string(from.input.size());
    text += from.has_header ? " of " + std::to_string(from.body_length) + " body bytes"
                            : " bytes of the header";
    return text + " arrived in " + std::to_string(elapsed.count()) + " ms";
}

} // namespace

struct async_http_client::implementation
    : public std::enable_shared_from_this<async_http_client::implementation>
{
    using connection_list = std::list<client_connection>;
    using handle = connection_list::iterator;

    struct destination
    {
        connection_list connections;
        std::deque<std::shared_ptr<exchange_state>> waiting;
    };

    implementation(event_loop& loop, async_client_limits limits) : loop(loop), limits(limits) {}

    void send(client_request request, response_callback on_outcome)
    {
        auto state = std::make_shared<exchange_state>(std::move(request), std::move(on_outcome));
        destination& to = this->destinations[state->request.address];
        this->start_timer(state, state->request.response_timeout);
        if (this->try_assign(to, state))
        {
            return;
        }
        if (to.waiting.size() >= this->limits.max_pending_per_address)
        {
            this->finish(state, make_error(error_kind::no_upstream,
                                           state->request.address +
                                               ": the queue of requests for this address is full"));
            return;
        }
        to.waiting.push_back(std::move(state));
    }

    void start_timer(const std::shared_ptr<exchange_state>& state, core::milliseconds delay)
    {
        const std::weak_ptr<implementation> self = this->shared_from_this();
        state->timer = this->loop.run_after(delay,
                                            [self, weak = std::weak_ptr<exchange_state>(state)]
                                            {
                                                const auto alive = self.lock();
                                                const auto timed_out = weak.lock();
                                                if (alive != nullptr && timed_out != nullptr)
                                                {
                                                    alive->on_timeout(timed_out);
                                                }
                                            });
    }

    bool try_assign(destination& to, const std::shared_ptr<exchange_state>& state)
    {
        const core::instant now = core::boot_clock::now();
        for (auto each = to.connections.begin(); each != to.connections.end();)
        {
            const handle here = each++;
            if (here->current != nullptr || !here->connected)
            {
                continue;
            }
            if (now - here->idle_since > this->limits.idle_timeout)
            {
                this->close(here);
                continue;
            }
            this->begin(here, state);
            return true;
        }
        if (to.connections.size() >= this->limits.max_connections_per_address)
        {
            return false;
        }
        this->connect(to, state);
        return true;
    }

    void connect(destination& to, const std::shared_ptr<exchange_state>& state)
    {
        to.connections.emplace_back();
        const handle here = std::prev(to.connections.end());
        here->address = state->request.address;
        here->current = state;
        here->output = serialize_request(state->request);
        ++this->opened;
        try
        {
            here->socket.connectNB(Poco::Net::SocketAddress(here->address));
            here->socket.setBlocking(false);
            here->socket.setNoDelay(true);
        }
        catch (const Poco::Exception& fault)
        {
            // A connection to this machine may be refused at once.
            const bool refused =
                dynamic_cast<const Poco::Net::ConnectionRefusedException*>(&fault) != nullptr;
            const auto failed = here->current;
            to.connections.erase(here);
            this->finish(failed, make_error(refused ? error_kind::connection_refused
                                                    : error_kind::no_upstream,
                                            failed->request.address + ": " + fault.displayText()));
            return;
        }
        const std::weak_ptr<implementation> self = this->shared_from_this();
        this->loop.watch(descriptor(here), EPOLLOUT | EPOLLIN,
                         [self, here](std::uint32_t events)
                         {
                             if (const auto alive = self.lock())
                             {
                                 alive->on_ready(here, events);
                             }
                         });
        this->loop.run_after(state->request.connect_timeout,
                             [self, weak = std::weak_ptr<exchange_state>(state)]
                             {
                                 const auto alive = self.lock();
                                 const auto timed_out = weak.lock();
                                 if (alive != nullptr && timed_out != nullptr)
                                 {
                                     alive->on_connect_timeout(timed_out);
                                 }
                             });
    }

    void begin(handle here, const std::shared_ptr<exchange_state>& state)
    {
        here->current = state;
        here->output = serialize_request(state->request);
        here->input.clear();
        here->has_header = false;
        this->flush(here);
    }

    void on_ready(handle here, std::uint32_t events)
    {
        if ((events & (EPOLLERR | EPOLLHUP)) != 0 && !here->connected)
        {
            const bool refused = here->socket.impl()->socketError() == ECONNREFUSED;
            this->fail(here, "connection refused or reset",
                       refused ? error_kind::connection_refused : error_kind::no_upstream);
            return;
        }
        if ((events & EPOLLOUT) != 0)
        {
            here->connected = true;
            if (!this->flush(here))
            {
                return;
            }
        }
        if ((events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0)
        {
            this->read(here);
        }
    }

    /// @return whether the connection is still open.
    bool flush(handle here)
    {
        try
        {
            send_some(here->socket, here->output);
        }
        catch (const Poco::Exception& fault)
        {
            this->fail(here, fault.displayText());
            return false;
        }
        this->loop.update_watch(descriptor(here),
                                EPOLLIN | (here->output.empty() ? 0U : std::uint32_t{EPOLLOUT}));
        return true;
    }

    void read(handle here)
    {
        std::array<char, read_chunk_bytes> chunk{};
        int count = 0;
        try
        {
            count = here->socket.receiveBytes(chunk.data(), static_cast<int>(chunk.size()));
        }
        catch (const Poco::Exception& fault)
        {
            this->fail(here, fault.displayText());
            return;
        }
        if (count < 0)
        {
            return;
        }
        if (count == 0 || here->current == nullptr)
        {
            // The server closed the connection, or sent data without a request.
            this->fail(here, "connection closed before a complete response arrived");
            return;
        }
        const core::instant now = core::boot_clock::now();
        here->current->first_byte_at = here->current->first_byte_at.value_or(now);
        here->current->deadline.on_bytes(static_cast<std::size_t>(count), now);
        here->input.append(chunk.data(), static_cast<std::size_t>(count));
        if (!here->has_header && !this->read_header(here))
        {
            return;
        }
        if (here->input.size() >= here->body_length)
        {
            this->on_response_complete(here);
            return;
        }
        const auto& on_extent = here->current->request.on_extent;
        if (on_extent && !on_extent({here->input.size(), here->body_length}))
        {
            this->fail(here, "given up by the caller");
        }
    }

    /// @return whether the header is complete and valid; on an invalid header the connection is
    /// closed.
    bool read_header(handle here)
    {
        const std::size_t end = here->input.find("\r\n\r\n");
        if (end == std::string::npos)
        {
            if (here->input.size() > max_response_bytes)
            {
                this->fail(here, "the response header is too large");
            }
            return false;
        }
        Poco::Net::HTTPResponse parsed;
        try
        {
            std::istringstream text(here->input.substr(0, end + 4));
            parsed.read(text);
        }
        catch (const Poco::Exception&)
        {
            this->fail(here, "the response header is malformed");
            return false;
        }
        here->input.erase(0, end + 4);
        here->status = static_cast<int>(parsed.getStatus());
        here->keep_alive = parsed.getKeepAlive();
        here->body_length = 0;
        if (parsed.has("Content-Length"))
        {
            const std::string& text = parsed.get("Content-Length");
            const auto number =
                std::from_chars(text.data(), text.data() + text.size(), here->body_length);
            if (number.ec != std::errc{} || here->body_length > max_response_bytes)
            {
                this->fail(here,
                           "response Content-Length \"" + text + "\" is invalid or too large");
                return false;
            }
        }
        else if (parsed.getChunkedTransferEncoding())
        {
            this->fail(here, "chunked responses are not supported");
            return false;
        }
        here->has_header = true;
        return true;
    }

    void on_response_complete(handle here)
    {
        const auto done = std::move(here->current);
        here->current = nullptr;
        here->idle_since = core::boot_clock::now();
        client_response response{here->status,
                                 here->input.substr(0, here->body_length),
                                 {done->first_byte_at.value_or(here->idle_since) - done->started_at,
                                  here->idle_since - done->started_at}};
        const bool reusable = here->keep_alive && here->input.size() == here->body_length;
        here->input.clear();
        here->has_header = false;
        const std::string address = here->address;
        if (!reusable)
        {
            this->close(here);
        }
        this->assign_waiting(address);
        this->finish(done, std::move(response));
    }

    void assign_waiting(const std::string& address)
    {
        destination& to = this->destinations[address];
        while (!to.waiting.empty())
        {
            const auto next = to.waiting.front();
            to.waiting.pop_front();
            if (!this->try_assign(to, next))
            {
                to.waiting.push_front(next);
                return;
            }
        }
    }

    /// Closes the connection and fails the request on it.
    /// @param unconnected the kind of error if there was no connection yet.
    void fail(handle here, const std::string& why, error_kind unconnected = error_kind::no_upstream)
    {
        const auto lost = here->current;
        const bool connected = here->connected;
        const std::string address = here->address;
        const std::string extent = lost == nullptr ? "" : describe_extent(*here);
        this->close(here);
        if (lost != nullptr)
        {
            this->finish(lost, make_error(connected ? error_kind::outcome_unknown : unconnected,
                                          address + lost->request.path + ": " + why + extent));
        }
        this->assign_waiting(address);
    }

    void on_connect_timeout(const std::shared_ptr<exchange_state>& timed_out)
    {
        const handle here = this->find(timed_out);
        if (here != handle{} && !here->connected)
        {
            this->fail(here, "connection attempt timed out");
        }
    }

    void on_timeout(const std::shared_ptr<exchange_state>& timed_out)
    {
        timed_out->timer = 0;
        const core::milliseconds left = timed_out->deadline.at() - core::boot_clock::now();
        if (left.count() > 0)
        {
            // Bytes have arrived since the timer was started.
            this->start_timer(timed_out, left);
            return;
        }
        const handle here = this->find(timed_out);
        if (here != handle{})
        {
            this->fail(here, timed_out->first_byte_at.has_value() ? "the response stalled"
                                                                  : "no answer in time");
            return;
        }
        std::erase(this->destinations[timed_out->request.address].waiting, timed_out);
        this->finish(timed_out, make_error(error_kind::no_upstream,
                                           timed_out->request.address +
                                               ": timed out waiting for a free connection"));
    }

    handle find(const std::shared_ptr<exchange_state>& state)
    {
        destination& to = this->destinations[state->request.address];
        for (auto each = to.connections.begin(); each != to.connections.end(); ++each)
        {
            if (each->current == state)
            {
                return each;
            }
        }
        return {};
    }

    void finish(const std::shared_ptr<exchange_state>& state,
                absl::StatusOr<client_response> outcome)
    {
        this->loop.cancel(state->timer);
        const response_callback on_outcome = std::move(state->on_outcome);
        state->on_outcome = nullptr;
        if (on_outcome)
        {
            on_outcome(std::move(outcome));
        }
    }

    void close(handle here)
    {
        this->loop.unwatch(descriptor(here));
        here->socket.close();
        this->destinations[here->address].connections.erase(here);
    }

    void close_all()
    {
        for (auto& [address, to] : this->destinations)
        {
            while (!to.connections.empty())
            {
                const handle here = to.connections.begin();
                const auto lost = here->current;
                this->close(here);
                if (lost != nullptr)
                {
                    this->finish(lost, make_error(error_kind::outcome_unknown,
                                                  "the client is closing its connections"));
                }
            }
        }
    }

    static int descriptor(handle here) { return static_cast<int>(here->socket.impl()->sockfd()); }

    event_loop& loop;
    async_client_limits limits;
    std::map<std::string, destination> destinations;
    std::uint64_t opened{};
};

async_http_client::async_http_client(event_loop& loop, async_client_limits limits)
    : inner(std::make_shared<implementation>(loop, limits))
{
}

async_http_client::~async_http_client()
{
    this->inner->close_all();
}

void async_http_client::send(client_request request, response_callback on_outcome)
{
    this->inner->send(std::move(request), std::move(on_outcome));
}

void async_http_client::close_all()
{
    this->inner->close_all();
}

std::uint64_t async_http_client::connections_opened() const noexcept
{
    return this->inner->opened;
}

} // namespace chicorylift::net
