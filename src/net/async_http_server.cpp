#include "net/async_http_server_impl.hpp"

#include <Poco/Exception.h>
#include <algorithm>
#include <cerrno>
#include <limits>

namespace chicorylift::net
{

namespace
{

constexpr core::milliseconds sweep_interval{500};
constexpr int listen_backlog = 1024;
constexpr int max_accepts_per_event = 64;
constexpr core::milliseconds linger_timeout{1500};
// Cost of an open connection without buffers: its state here, its socket and its watch.
constexpr std::size_t connection_base_bytes = 1536;
// Without free descriptors, accepting fails at once; this keeps the loop from spinning.
constexpr core::milliseconds accept_pause{100};
constexpr int status_timeout = 408;

} // namespace

async_http_server::implementation::implementation(event_loop& loop, const std::string& address,
                                                  async_server_limits limits, handler on_request,
                                                  server_context context)
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

void async_http_server::implementation::start()
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

void async_http_server::implementation::close_all()
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

void async_http_server::implementation::accept_some()
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

void async_http_server::implementation::pause_accepting()
{
    this->loop.update_watch(descriptor_of(this->listener), 0);
    const std::weak_ptr<implementation> self = this->shared_from_this();
    this->loop.run_after(accept_pause,
                         [self]
                         {
                             const auto alive = self.lock();
                             if (alive != nullptr && alive->listening)
                             {
                                 alive->loop.update_watch(descriptor_of(alive->listener), EPOLLIN);
                             }
                         });
}

void async_http_server::implementation::add_connection(const Poco::Net::StreamSocket& accepted)
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
        if (known != this->peers.end() && known->second >= this->limits.max_connections_per_address)
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

bool async_http_server::implementation::close_longest_idle(refusal reason)
{
    const auto oldest =
        std::find_if(this->open.begin(), this->open.end(),
                     [](const server_connection& each) { return !each.awaiting_response; });
    if (oldest == this->open.end())
    {
        return false;
    }
    this->close(oldest, reason);
    return true;
}

void async_http_server::implementation::restart_clock(handle here)
{
    here->since = this->loop.now();
    this->open.splice(this->open.end(), this->open, here);
}

void async_http_server::implementation::note(refusal reason) const
{
    if (this->context.on_refusal)
    {
        this->context.on_refusal(reason);
    }
}

void async_http_server::implementation::close(handle here, refusal reason)
{
    if (!here->closed)
    {
        this->note(reason);
        this->close(here);
    }
}

void async_http_server::implementation::close(handle here)
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

void async_http_server::implementation::schedule_sweep()
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

bool async_http_server::implementation::has_timed_out(const server_connection& each,
                                                      core::instant now) const
{
    const core::milliseconds allowed = each.lingering ? linger_timeout
                                       : !each.output.empty() || each.input.empty()
                                           ? this->limits.idle_timeout
                                           : this->limits.request_timeout;
    const bool drained = this->draining && each.input.empty() && each.output.empty();
    return !each.awaiting_response && (now - each.since >= allowed || drained);
}

void async_http_server::implementation::sweep()
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
