#include "net/async_http_server.hpp"

#include "net/send_some.hpp"

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <algorithm>
#include <array>
#include <cerrno>
#include <limits>
#include <list>
#include <sys/epoll.h>
#include <unordered_map>

namespace chicorylift::net
{

namespace
{

constexpr core::milliseconds sweep_interval{500};
constexpr int listen_backlog = 1024;
constexpr int max_accepts_per_event = 64;
constexpr std::size_t read_chunk_bytes = 16384;
// Bytes that a client may still send after its request was rejected; more closes the connection.
constexpr std::size_t max_discarded_bytes = 4U << 20U;
constexpr core::milliseconds linger_timeout{1500};
// A connection whose unsent output exceeds this is closed: the peer does not read.
constexpr std::size_t max_unsent_bytes = 1U << 20U;
// Cost of an open connection without buffers: its state here, its socket and its watch.
constexpr std::size_t connection_base_bytes = 1536;
// Buffers up to this size are kept between requests.
constexpr std::size_t kept_buffer_bytes = 1024;
// A request in progress holds its parsed form, its row and the call to the store, each about as
// large as its body.
constexpr std::size_t in_flight_copies = 4;
// Without free descriptors, accepting fails at once; this keeps the loop from spinning.
constexpr core::milliseconds accept_pause{100};

constexpr int status_timeout = 408;
constexpr int status_header_too_large = 431;
constexpr int status_unavailable = 503;

constexpr std::string_view blank_characters = "\r\n";

int descriptor_of(const Poco::Net::Socket& socket)
{
    return static_cast<int>(socket.impl()->sockfd());
}

void release(std::string& buffer)
{
    std::string().swap(buffer);
}

struct connection
{
    explicit connection(const Poco::Net::StreamSocket& accepted) : socket(accepted) {}

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

} // namespace

struct async_http_server::implementation
    : public std::enable_shared_from_this<async_http_server::implementation>
{
    using connection_list = std::list<connection>;
    using handle = connection_list::iterator;

    implementation(event_loop& loop, const std::string& address, async_server_limits limits,
                   handler on_request, server_context context)
        : loop(loop), limits(limits), on_request(std::move(on_request)), context(std::move(context))
    {
        if (this->context.budget == nullptr)
        {
            this->context.budget =
                std::make_shared<buffer_budget>(std::numeric_limits<std::size_t>::max());
        }
        this->listener.bind(Poco::Net::SocketAddress(address), true);
        this->listener.listen(listen_backlog);
        this->listener.setBlocking(false);
    }

    void start()
    {
        const std::weak_ptr<implementation> self = this->shared_from_this();
        this->loop.watch(descriptor_of(this->listener), EPOLLIN,
                         [self](std::uint32_t)
                         {
                             if (const auto alive = self.lock())
                             {
                                 alive->accept_some();
                             }
                         });
        this->listening = true;
        this->schedule_sweep();
    }

    void close_all()
    {
        if (this->listening)
        {
            this->loop.unwatch(descriptor_of(this->listener));
            this->listener.close();
            this->listening = false;
        }
        while (!this->open.empty())
        {
            this->close(this->open.begin());
        }
        this->loop.cancel(this->sweep_timer);
    }

    void accept_some()
    {
        this->closed.clear();
        for (int count = 0; count < max_accepts_per_event && this->listening; ++count)
        {
            try
            {
                if (!this->listener.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ))
                {
                    return;
                }
                this->add_connection(this->listener.acceptConnection());
            }
            catch (const Poco::Exception& fault)
            {
                // Either the peer closed before it was accepted, or there are no descriptors left.
                if (fault.code() == EMFILE || fault.code() == ENFILE)
                {
                    static_cast<void>(this->close_longest_idle(refusal::descriptors));
                    this->pause_accepting();
                }
                return;
            }
        }
    }

    void pause_accepting()
    {
        this->loop.update_watch(descriptor_of(this->listener), 0);
        const std::weak_ptr<implementation> self = this->shared_from_this();
        this->loop.run_after(accept_pause,
                             [self]
                             {
                                 const auto alive = self.lock();
                                 if (alive != nullptr && alive->listening)
                                 {
                                     alive->loop.update_watch(descriptor_of(alive->listener),
                                                              EPOLLIN);
                                 }
                             });
    }

    void add_connection(const Poco::Net::StreamSocket& accepted)
    {
        Poco::Net::StreamSocket socket(accepted);
        if (this->open.size() >= this->limits.max_connections &&
            !this->close_longest_idle(refusal::max_connections))
        {
            this->note(refusal::max_connections);
            return;
        }
        std::string peer;
        if (this->limits.max_connections_per_address > 0)
        {
            peer = socket.peerAddress().host().toString();
            const auto known = this->peers.find(peer);
            if (known != this->peers.end() &&
                known->second >= this->limits.max_connections_per_address)
            {
                this->note(refusal::max_connections_of_address);
                return;
            }
        }
        socket.setBlocking(false);
        socket.setNoDelay(true);
        this->open.emplace_back(socket);
        const handle here = std::prev(this->open.end());
        here->since = this->loop.now();
        if (!this->context.budget->open(
                here->account, connection_base_bytes,
                [this, here] { this->close(here, refusal::memory); }, this->loop.now()))
        {
            this->open.erase(here);
            this->note(refusal::memory);
            return;
        }
        here->peer = std::move(peer);
        if (!here->peer.empty())
        {
            ++this->peers[here->peer];
        }
        here->id = ++this->last_id;
        this->by_id[here->id] = here;
        const std::weak_ptr<implementation> self = this->shared_from_this();
        this->loop.watch(descriptor_of(here->socket), here->watched_events,
                         [self, here](std::uint32_t events)
                         {
                             if (const auto alive = self.lock())
                             {
                                 alive->on_ready(here, events);
                             }
                         });
    }

    /// Closes the connection that has been idle, or whose request has been arriving, for longest.
    /// @return whether there was one.
    bool close_longest_idle(refusal reason)
    {
        const auto oldest =
            std::find_if(this->open.begin(), this->open.end(),
                         [](const connection& each) { return !each.awaiting_response; });
        if (oldest == this->open.end())
        {
            return false;
        }
        this->close(oldest, reason);
        return true;
    }

    /// Sets the time since when the connection is in its state. The list stays in this order.
    void restart_clock(handle here)
    {
        here->since = this->loop.now();
        this->open.splice(this->open.end(), this->open, here);
    }

    void on_ready(handle here, std::uint32_t events)
    {
        if ((events & EPOLLOUT) != 0 && !this->flush(here))
        {
            return;
        }
        if ((events & (EPOLLIN | EPOLLRDHUP | EPOLLHUP | EPOLLERR)) == 0)
        {
            return;
        }
        if ((here->watched_events & EPOLLIN) != 0)
        {
            this->read(here);
        }
        else if ((events & (EPOLLHUP | EPOLLERR)) != 0)
        {
            // Both directions have ended: nothing that is still to be sent can arrive.
            this->close(here);
        }
    }

    void read(handle here)
    {
        std::array<char, read_chunk_bytes> chunk{};
        int count = 0;
        try
        {
            count = here->socket.receiveBytes(chunk.data(), static_cast<int>(chunk.size()));
        }
        catch (const Poco::Exception&)
        {
            this->close(here);
            return;
        }
        if (count < 0)
        {
            return;
        }
        if (count == 0)
        {
            here->peer_finished = true;
            if (!here->awaiting_response && here->output.empty())
            {
                this->close(here);
            }
            else
            {
                this->update_watch(here);
            }
            return;
        }
        const std::string_view received(chunk.data(), static_cast<std::size_t>(count));
        if (here->lingering)
        {
            here->discarded_bytes += received.size();
            if (here->discarded_bytes > max_discarded_bytes)
            {
                this->close(here);
            }
            return;
        }
        if (here->input.empty() && !here->awaiting_response &&
            received.find_first_not_of(blank_characters) != std::string_view::npos)
        {
            this->restart_clock(here);
        }
        if (this->keep(here, received))
        {
            this->advance(here);
        }
    }

    /// Appends received bytes to the input, as far as the budget allows it.
    /// @return whether the connection is still open.
    bool keep(handle here, std::string_view received)
    {
        this->context.budget->add_progress(here->account, received.size(), this->loop.now());
        const std::size_t needed = here->input.size() + received.size();
        if (needed > here->input.capacity())
        {
            // Grows by doubling, and not beyond the request where its length is known.
            const std::size_t doubled = 2 * here->input.capacity();
            const std::size_t total = here->head_length + here->body_length;
            const std::size_t wanted = std::max(needed, total > 0 ? std::min(doubled, total) : 0);
            if (!this->charge(here, wanted - here->input.capacity()))
            {
                this->close(here, refusal::memory);
                return false;
            }
            here->input.reserve(wanted);
        }
        here->input.append(received);
        return this->settle(here);
    }

    /// Charges what the connection holds, and @p growth more.
    [[nodiscard]] bool charge(handle here, std::size_t growth = 0)
    {
        const std::size_t held =
            here->input.capacity() + here->output.capacity() + here->in_flight_bytes + growth;
        return this->context.budget->charge(here->account, held, this->loop.now());
    }

    /// Charges what the connection holds; closes it if that does not fit.
    /// @return whether the connection is still open.
    bool settle(handle here)
    {
        if (this->charge(here))
        {
            return true;
        }
        this->close(here, refusal::memory);
        return false;
    }

    /// Parses the buffered input and dispatches the request once it is complete.
    void advance(handle here)
    {
        if (here->awaiting_response || !here->output.empty() || here->lingering)
        {
            this->update_watch(here);
            return;
        }
        request_head head;
        bool parsed = false;
        if (here->head_length == 0)
        {
            if (!this->read_head(here, head))
            {
                return;
            }
            parsed = true;
        }
        const std::size_t total = here->head_length + here->body_length;
        if (here->input.size() < total)
        {
            return;
        }
        // The parsed head is not kept while the body arrives: many short fields take several times
        // their length.
        if (!parsed && parse_request_head(here->input.substr(0, here->head_length),
                                          this->limits_of_head(), head)
                           .has_value())
        {
            // The limits were lowered while the body arrived.
            this->reject(here, status_unavailable, "the limits of requests have changed",
                         refusal::body_too_large);
            return;
        }
        head.request.body = here->input.substr(here->head_length, here->body_length);
        here->in_flight_bytes = in_flight_copies * here->body_length;
        this->remove_request(here, total);
        this->dispatch(here, std::move(head.request));
    }

    /// Removes the current request's bytes from the input.
    static void remove_request(handle here, std::size_t length)
    {
        here->head_length = 0;
        here->body_length = 0;
        here->searched_length = 0;
        if (here->input.size() == length && here->input.capacity() > kept_buffer_bytes)
        {
            release(here->input);
            return;
        }
        here->input.erase(0, length);
        if (here->input.capacity() > 2 * here->input.size() + kept_buffer_bytes)
        {
            here->input.shrink_to_fit();
        }
    }

    [[nodiscard]] head_limits limits_of_head() const
    {
        return {this->limits.max_header_fields, this->limits.max_body_bytes};
    }

    /// @return whether the head is complete and valid; an invalid one is rejected.
    bool read_head(handle here, request_head& head)
    {
        // Skips empty lines before the request line (RFC 9112, section 2.2).
        const std::size_t blank =
            std::min(here->input.find_first_not_of(blank_characters), here->input.size());
        if (blank > 0)
        {
            here->input.erase(0, blank);
            here->searched_length = 0;
        }
        constexpr std::string_view head_end = "\r\n\r\n";
        // The end may have begun in the part that was searched before.
        const std::size_t from =
            here->searched_length - std::min(here->searched_length, head_end.size() - 1);
        const std::size_t end = here->input.find(head_end, from);
        here->searched_length = here->input.size();
        if (std::min(end, here->input.size()) > this->limits.max_header_bytes)
        {
            this->reject(here, status_header_too_large, "the request header is too large",
                         refusal::header_too_large);
            return false;
        }
        if (end == std::string::npos)
        {
            return false;
        }
        const std::size_t length = end + head_end.size();
        const std::optional<head_error> error =
            parse_request_head(here->input.substr(0, length), this->limits_of_head(), head);
        if (error.has_value())
        {
            this->reject(here, error->status, error->text, error->reason);
            return false;
        }
        here->head_length = length;
        here->body_length = head.body_length;
        here->close_after_response = !head.keep_alive;
        if (head.expects_continue)
        {
            here->output += "HTTP/1.1 100 Continue\r\n\r\n";
            return this->flush(here);
        }
        return true;
    }

    void dispatch(handle here, server_request request)
    {
        ++this->pending;
        here->awaiting_response = true;
        const std::uint64_t number = ++here->request_number;
        const std::uint64_t id = here->id;
        const std::weak_ptr<implementation> self = this->shared_from_this();
        // Its outcome may depend on the store, so it is not closed to make room.
        this->context.budget->set_closable(here->account, false);
        const auto respond = [self, id, number](const server_response& response)
        {
            if (const auto alive = self.lock())
            {
                alive->on_response(id, number, response);
            }
        };
        if (!this->charge(here))
        {
            this->note(refusal::memory);
            server_response refused = plain_error(status_unavailable, "too many requests at once");
            refused.headers.push_back({"Retry-After", "1"});
            respond(refused);
            return;
        }
        this->on_request(std::move(request), respond);
        this->update_watch(here);
    }

    void on_response(std::uint64_t id, std::uint64_t number, const server_response& response)
    {
        const auto found = this->by_id.find(id);
        if (found == this->by_id.end() || !found->second->awaiting_response ||
            found->second->request_number != number)
        {
            return;
        }
        const handle here = found->second;
        --this->pending;
        here->awaiting_response = false;
        here->in_flight_bytes = 0;
        this->context.budget->set_closable(here->account, true);
        this->restart_clock(here);
        here->close_after_response =
            here->close_after_response || this->draining || response.close_connection;
        here->output += serialize_response(response, !here->close_after_response);
        if (this->flush(here) && !here->close_after_response)
        {
            this->resume(here);
        }
    }

    /// Has the next request parsed if it is in the input already.
    void resume(handle here)
    {
        if (here->input.empty() || !here->output.empty() || here->will_resume ||
            here->awaiting_response || here->lingering)
        {
            return;
        }
        here->will_resume = true;
        // Deferred to a timer: advance() may be on the call stack.
        const std::weak_ptr<implementation> self = this->shared_from_this();
        this->loop.run_after(core::milliseconds{0},
                             [self, id = here->id]
                             {
                                 const auto alive = self.lock();
                                 if (alive == nullptr)
                                 {
                                     return;
                                 }
                                 const auto found = alive->by_id.find(id);
                                 if (found != alive->by_id.end())
                                 {
                                     found->second->will_resume = false;
                                     alive->advance(found->second);
                                 }
                             });
    }

    void reject(handle here, int status, const std::string& text, refusal reason)
    {
        this->note(reason);
        here->close_after_response = true;
        here->lingering = true;
        here->head_length = 0;
        here->body_length = 0;
        release(here->input);
        this->restart_clock(here);
        here->output += serialize_response(plain_error(status, text), false);
        static_cast<void>(this->flush(here));
    }

    /// Sends the output as far as the peer takes it.
    /// @return whether the connection is still open.
    bool flush(handle here)
    {
        const std::size_t unsent = here->output.size();
        try
        {
            send_some(here->socket, here->output);
        }
        catch (const Poco::Exception&)
        {
            this->close(here);
            return false;
        }
        this->context.budget->add_progress(here->account, unsent - here->output.size(),
                                           this->loop.now());
        if (here->output.empty() && here->lingering && !here->peer_finished)
        {
            return this->begin_lingering(here);
        }
        const bool finished = here->output.empty() && !here->awaiting_response &&
                              (here->close_after_response || here->peer_finished);
        if (finished)
        {
            this->close(here);
            return false;
        }
        if (here->output.size() > max_unsent_bytes)
        {
            this->close(here, refusal::answer_not_read);
            return false;
        }
        if (here->output.empty() && here->output.capacity() > kept_buffer_bytes)
        {
            release(here->output);
        }
        if (!this->settle(here))
        {
            return false;
        }
        this->update_watch(here);
        if (unsent > 0 && here->output.empty())
        {
            this->resume(here);
        }
        return true;
    }

    /// Watches for what the connection can use next. Nothing is read while an answer has not been
    /// sent: what the client sends meanwhile stays in the kernel.
    void update_watch(handle here)
    {
        const bool reads = !here->peer_finished && here->output.empty() &&
                           !(here->awaiting_response && !here->input.empty());
        const std::uint32_t wanted = (reads ? EPOLLIN | EPOLLRDHUP : 0U) |
                                     (here->output.empty() ? 0U : std::uint32_t{EPOLLOUT});
        if (wanted != here->watched_events && !here->closed)
        {
            here->watched_events = wanted;
            this->loop.update_watch(descriptor_of(here->socket), wanted);
        }
    }

    /// @return whether the connection is still open.
    bool begin_lingering(handle here)
    {
        try
        {
            here->socket.shutdownSend();
        }
        catch (const Poco::Exception&)
        {
            this->close(here);
            return false;
        }
        release(here->output);
        here->watched_events = EPOLLIN;
        this->loop.update_watch(descriptor_of(here->socket), EPOLLIN);
        return this->settle(here);
    }

    void note(refusal reason) const
    {
        if (this->context.on_refusal)
        {
            this->context.on_refusal(reason);
        }
    }

    /// Closes a connection because of a limit.
    void close(handle here, refusal reason)
    {
        if (!here->closed)
        {
            this->note(reason);
            this->close(here);
        }
    }

    /// Closes a connection. Its state stays until the next sweep: callers may still refer to it.
    void close(handle here)
    {
        if (here->closed)
        {
            return;
        }
        here->closed = true;
        this->pending -= here->awaiting_response ? 1 : 0;
        this->by_id.erase(here->id);
        this->context.budget->remove(here->account);
        const auto peer = this->peers.find(here->peer);
        if (peer != this->peers.end() && --peer->second == 0)
        {
            this->peers.erase(peer);
        }
        this->loop.unwatch(descriptor_of(here->socket));
        here->socket.close();
        release(here->input);
        release(here->output);
        this->closed.splice(this->closed.end(), this->open, here);
    }

    void schedule_sweep()
    {
        const std::weak_ptr<implementation> self = this->shared_from_this();
        this->sweep_timer = this->loop.run_after(sweep_interval,
                                                 [self]
                                                 {
                                                     if (const auto alive = self.lock())
                                                     {
                                                         alive->sweep();
                                                     }
                                                 });
    }

    /// @return whether the connection has exceeded the time that its state allows.
    [[nodiscard]] bool has_timed_out(const connection& each, core::instant now) const
    {
        const core::milliseconds allowed = each.lingering ? linger_timeout
                                           : !each.output.empty() || each.input.empty()
                                               ? this->limits.idle_timeout
                                               : this->limits.request_timeout;
        const bool drained = this->draining && each.input.empty() && each.output.empty();
        return !each.awaiting_response && (now - each.since >= allowed || drained);
    }

    /// Closes connections that exceeded their idle or linger time; rejects requests that exceeded
    /// the request timeout.
    void sweep()
    {
        this->closed.clear();
        const core::instant now = this->loop.now();
        std::vector<handle> timed_out;
        for (auto each = this->open.begin(); each != this->open.end(); ++each)
        {
            if (this->has_timed_out(*each, now))
            {
                timed_out.push_back(each);
            }
        }
        for (const handle here : timed_out)
        {
            // Rejecting a request needs room for the response, which may close another connection.
            if (here->closed)
            {
                continue;
            }
            if (!here->input.empty() && here->output.empty())
            {
                this->reject(here, status_timeout, "the request did not arrive in time",
                             refusal::timeout);
            }
            else if (!here->output.empty())
            {
                this->close(here, refusal::answer_not_read);
            }
            else
            {
                this->close(here);
            }
        }
        this->schedule_sweep();
    }

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

async_http_server::async_http_server(event_loop& loop, const std::string& address,
                                     async_server_limits limits, handler on_request,
                                     server_context context)
    : inner(std::make_shared<implementation>(loop, address, limits, std::move(on_request),
                                             std::move(context)))
{
    this->inner->start();
}

async_http_server::~async_http_server()
{
    this->inner->close_all();
}

void async_http_server::set_limits(const async_server_limits& limits)
{
    this->inner->limits = limits;
}

void async_http_server::drain()
{
    this->inner->draining = true;
}

std::size_t async_http_server::requests_in_flight() const noexcept
{
    return this->inner->pending;
}

std::size_t async_http_server::connections() const noexcept
{
    return this->inner->open.size();
}

} // namespace chicorylift::net
