#include "net/async_http_server.hpp"

#include "net/send_some.hpp"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <algorithm>
#include <array>
#include <charconv>
#include <list>
#include <sstream>
#include <sys/epoll.h>

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

constexpr int status_bad_request = 400;
constexpr int status_timeout = 408;
constexpr int status_length_required = 411;
constexpr int status_too_large = 413;
constexpr int status_header_too_large = 431;

int descriptor_of(const Poco::Net::Socket& socket)
{
    return static_cast<int>(socket.impl()->sockfd());
}

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

struct connection
{
    explicit connection(const Poco::Net::StreamSocket& accepted) : socket(accepted) {}

    Poco::Net::StreamSocket socket;
    std::string input;
    std::string output;
    server_request request;
    std::size_t body_length{};
    bool has_header = false;
    bool awaiting_response = false;
    bool close_after_response = false;
    bool peer_finished = false;
    /// The request was rejected. Further input is discarded until the peer closes: closing a
    /// socket with unread input resets the connection, and the response would be lost.
    bool lingering = false;
    std::size_t discarded_bytes{};
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
                   handler on_request)
        : loop(loop), limits(limits), on_request(std::move(on_request))
    {
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
        this->stop_listening();
        while (!this->open.empty())
        {
            this->close(this->open.begin());
        }
        this->loop.cancel(this->sweep_timer);
    }

    void stop_listening()
    {
        if (this->listening)
        {
            this->loop.unwatch(descriptor_of(this->listener));
            this->listener.close();
            this->listening = false;
        }
    }

    void accept_some()
    {
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
            catch (const Poco::Exception&)
            {
                // The peer closed before it was accepted, or the process is out of descriptors.
                return;
            }
        }
    }

    void add_connection(const Poco::Net::StreamSocket& accepted)
    {
        if (this->open.size() >= this->limits.max_connections)
        {
            this->close_longest_idle();
        }
        Poco::Net::StreamSocket socket(accepted);
        socket.setBlocking(false);
        socket.setNoDelay(true);
        this->open.emplace_back(socket);
        const handle here = std::prev(this->open.end());
        here->since = this->loop.now();
        const std::weak_ptr<implementation> self = this->shared_from_this();
        this->loop.watch(descriptor_of(here->socket), EPOLLIN | EPOLLRDHUP,
                         [self, here](std::uint32_t events)
                         {
                             if (const auto alive = self.lock())
                             {
                                 alive->on_ready(here, events);
                             }
                         });
    }

    /// Closes the connection that has been idle for longest, to make room for a new one.
    void close_longest_idle()
    {
        handle oldest = this->open.end();
        for (auto each = this->open.begin(); each != this->open.end(); ++each)
        {
            const bool idle = !each->awaiting_response && each->output.empty();
            if (idle && (oldest == this->open.end() || each->since < oldest->since))
            {
                oldest = each;
            }
        }
        if (oldest != this->open.end())
        {
            this->close(oldest);
        }
    }

    void on_ready(handle here, std::uint32_t events)
    {
        if ((events & EPOLLOUT) != 0 && !this->flush(here))
        {
            return;
        }
        if ((events & (EPOLLIN | EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0)
        {
            this->read(here);
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
                this->loop.update_watch(descriptor_of(here->socket),
                                        here->output.empty() ? 0U : std::uint32_t{EPOLLOUT});
            }
            return;
        }
        if (here->lingering)
        {
            here->discarded_bytes += static_cast<std::size_t>(count);
            if (here->discarded_bytes > max_discarded_bytes)
            {
                this->close(here);
            }
            return;
        }
        if (here->input.empty() && !here->has_header && !here->awaiting_response)
        {
            here->since = this->loop.now();
        }
        here->input.append(chunk.data(), static_cast<std::size_t>(count));
        if (here->awaiting_response && here->input.size() > this->limits.max_header_bytes)
        {
            // Stops reading: pipelined input stays in the kernel until the response is sent.
            this->loop.update_watch(descriptor_of(here->socket), EPOLLRDHUP);
            return;
        }
        this->advance(here);
    }

    /// Parses the buffered input and dispatches the request once it is complete.
    void advance(handle here)
    {
        if (here->awaiting_response)
        {
            return;
        }
        if (!here->has_header && !this->read_header(here))
        {
            return;
        }
        if (here->input.size() < here->body_length)
        {
            return;
        }
        here->request.body = here->input.substr(0, here->body_length);
        here->input.erase(0, here->body_length);
        here->has_header = false;
        here->awaiting_response = true;
        this->dispatch(here);
    }

    /// @return whether the header is complete and valid; an invalid one is rejected.
    bool read_header(handle here)
    {
        // Skips empty lines before the request line (RFC 9112, section 2.2).
        here->input.erase(0, std::min(here->input.find_first_not_of("\r\n"), here->input.size()));
        const std::size_t end = here->input.find("\r\n\r\n");
        if (std::min(end, here->input.size()) > this->limits.max_header_bytes)
        {
            this->reject(here, status_header_too_large, "the request header is too large");
            return false;
        }
        if (end == std::string::npos)
        {
            return false;
        }
        Poco::Net::HTTPRequest parsed;
        try
        {
            std::istringstream text(here->input.substr(0, end + 4));
            parsed.read(text);
        }
        catch (const Poco::Exception&)
        {
            this->reject(here, status_bad_request, "the request header is malformed");
            return false;
        }
        here->input.erase(0, end + 4);
        return this->apply_header(here, parsed);
    }

    bool apply_header(handle here, const Poco::Net::HTTPRequest& parsed)
    {
        here->request = {};
        here->request.method = parsed.getMethod();
        here->request.target = parsed.getURI();
        here->request.path_segments = split_path(parsed.getURI());
        for (const auto& header : parsed)
        {
            here->request.headers.push_back({header.first, header.second});
        }
        here->close_after_response = !parsed.getKeepAlive();
        here->has_header = true;
        here->body_length = 0;
        if (parsed.getChunkedTransferEncoding())
        {
            this->reject(here, status_length_required, "the request needs a Content-Length");
            return false;
        }
        if (parsed.has("Content-Length"))
        {
            const std::string& text = parsed.get("Content-Length");
            const char* const last = text.data() + text.size();
            const auto number = std::from_chars(text.data(), last, here->body_length);
            if (number.ec != std::errc{} || number.ptr != last)
            {
                this->reject(here, status_bad_request, "Content-Length is not a number");
                return false;
            }
        }
        if (here->body_length > this->limits.max_body_bytes)
        {
            this->reject(here, status_too_large,
                         "the body exceeds " + std::to_string(this->limits.max_body_bytes) +
                             " bytes");
            return false;
        }
        if (parsed.has("Expect"))
        {
            here->output += "HTTP/1.1 100 Continue\r\n\r\n";
            return this->flush(here);
        }
        return true;
    }

    void dispatch(handle here)
    {
        ++this->pending;
        const std::weak_ptr<implementation> self = this->shared_from_this();
        const auto response_id = ++this->last_response_id;
        this->awaiting[response_id] = here;
        this->response_ids[&*here] = response_id;
        const auto respond = [self, response_id](const server_response& response)
        {
            if (const auto alive = self.lock())
            {
                alive->on_response(response_id, response);
            }
        };
        this->on_request(std::move(here->request), respond);
    }

    void on_response(std::uint64_t response_id, const server_response& response)
    {
        const auto found = this->awaiting.find(response_id);
        if (found == this->awaiting.end())
        {
            return;
        }
        const handle here = found->second;
        this->awaiting.erase(found);
        this->response_ids.erase(&*here);
        --this->pending;
        here->awaiting_response = false;
        here->since = this->loop.now();
        here->close_after_response =
            here->close_after_response || this->draining || response.close_connection;
        here->output += serialize_response(response, !here->close_after_response);
        if (!this->flush(here) || here->close_after_response)
        {
            return;
        }
        if (!here->input.empty())
        {
            // Deferred to a timer: advance() may be on the call stack.
            const std::weak_ptr<implementation> self = this->shared_from_this();
            this->loop.run_after(core::milliseconds{0},
                                 [self, here, descriptor = descriptor_of(here->socket)]
                                 {
                                     const auto alive = self.lock();
                                     if (alive != nullptr && alive->is_open(here, descriptor))
                                     {
                                         alive->advance(here);
                                     }
                                 });
        }
    }

    bool is_open(handle here, int descriptor)
    {
        for (auto each = this->open.begin(); each != this->open.end(); ++each)
        {
            if (each == here)
            {
                return descriptor_of(each->socket) == descriptor;
            }
        }
        return false;
    }

    void reject(handle here, int status, const std::string& text)
    {
        here->close_after_response = true;
        here->lingering = true;
        here->has_header = false;
        here->since = this->loop.now();
        here->input.clear();
        here->output += serialize_response(plain_error(status, text), false);
        static_cast<void>(this->flush(here));
    }

    /// @return whether the connection is still open.
    bool flush(handle here)
    {
        try
        {
            send_some(here->socket, here->output);
        }
        catch (const Poco::Exception&)
        {
            this->close(here);
            return false;
        }
        if (here->output.empty() && here->lingering && !here->peer_finished)
        {
            return this->begin_lingering(here);
        }
        const bool finished = here->output.empty() && !here->awaiting_response &&
                              (here->close_after_response || here->peer_finished);
        if (finished || here->output.size() > max_unsent_bytes)
        {
            this->close(here);
            return false;
        }
        const std::uint32_t reading = here->peer_finished ? 0U : EPOLLIN | EPOLLRDHUP;
        this->loop.update_watch(descriptor_of(here->socket),
                                reading | (here->output.empty() ? 0U : std::uint32_t{EPOLLOUT}));
        return true;
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
        this->loop.update_watch(descriptor_of(here->socket), EPOLLIN);
        return true;
    }

    void close(handle here)
    {
        const auto found = this->response_ids.find(&*here);
        if (found != this->response_ids.end())
        {
            this->awaiting.erase(found->second);
            this->response_ids.erase(found);
            --this->pending;
        }
        this->loop.unwatch(descriptor_of(here->socket));
        here->socket.close();
        this->open.erase(here);
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

    /// Closes connections that exceeded their idle or linger time; rejects requests that exceeded
    /// the request timeout.
    void sweep()
    {
        const core::instant now = this->loop.now();
        for (auto each = this->open.begin(); each != this->open.end();)
        {
            const handle here = each++;
            if (here->awaiting_response)
            {
                continue;
            }
            const bool arriving = here->has_header || !here->input.empty();
            const core::milliseconds allowed = here->lingering ? linger_timeout
                                               : arriving      ? this->limits.request_timeout
                                                               : this->limits.idle_timeout;
            if (now - here->since < allowed && !(this->draining && !arriving))
            {
                continue;
            }
            if (arriving && here->output.empty())
            {
                this->reject(here, status_timeout, "the request did not arrive in time");
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
    Poco::Net::ServerSocket listener;
    bool listening = false;
    bool draining = false;
    connection_list open;
    std::size_t pending{};
    std::uint64_t last_response_id{};
    std::unordered_map<std::uint64_t, handle> awaiting;
    std::unordered_map<const connection*, std::uint64_t> response_ids;
    event_loop::timer_id sweep_timer{};
};

async_http_server::async_http_server(event_loop& loop, const std::string& address,
                                     async_server_limits limits, handler on_request)
    : inner(std::make_shared<implementation>(loop, address, limits, std::move(on_request)))
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
