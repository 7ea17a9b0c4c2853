#include "net/transport.hpp"

#include <deque>
#include <set>
#include <sys/eventfd.h>
#include <unistd.h>
#include <unordered_map>
#include <vector>
#include <zmq.hpp>

namespace chicorylift::net
{

namespace
{

// Time that a message may wait for a connection to its peer before it is undeliverable.
constexpr core::milliseconds undeliverable_after{400};
constexpr core::milliseconds idle_poll_timeout{200};
constexpr core::milliseconds waiting_poll_timeout{50};
constexpr core::milliseconds peer_idle_timeout = std::chrono::minutes{5};
constexpr core::milliseconds sweep_interval = std::chrono::seconds{10};
constexpr int linger_ms = 200;
constexpr int min_reconnect_interval_ms = 100;
constexpr int max_reconnect_interval_ms = 3000;
constexpr int ping_interval_ms = 800;
constexpr int ping_timeout_ms = 1200;
constexpr int max_receive_batch = 256;

struct waiting_message
{
    wire::envelope message;
    core::instant expires;
};

struct peer
{
    zmq::socket_t socket;
    std::deque<waiting_message> waiting;
    core::instant used;
};

void enable_heartbeat(zmq::socket_t& socket)
{
    socket.set(zmq::sockopt::heartbeat_ivl, ping_interval_ms);
    socket.set(zmq::sockopt::heartbeat_timeout, ping_timeout_ms);
    socket.set(zmq::sockopt::connect_timeout, ping_timeout_ms);
}

void drain_eventfd(int descriptor)
{
    std::uint64_t count = 0;
    static_cast<void>(::read(descriptor, &count, sizeof count));
}

} // namespace

struct transport::sockets
{
    explicit sockets(const transport_settings& settings)
        : inbound(this->context, zmq::socket_type::router)
    {
        this->inbound.set(zmq::sockopt::linger, 0);
        this->inbound.set(zmq::sockopt::rcvhwm, settings.receive_high_water_mark);
        this->inbound.set(zmq::sockopt::maxmsgsize, settings.max_received_bytes);
        this->inbound.bind("tcp://" + settings.listen_address);
    }

    /// @return the peer, or null if the address is not one that can be connected to.
    peer* peer_at(const std::string& address, const transport_settings& settings)
    {
        auto found = this->peers.find(address);
        if (found != this->peers.end())
        {
            return &found->second;
        }
        try
        {
            zmq::socket_t socket(this->context, zmq::socket_type::dealer);
            socket.set(zmq::sockopt::linger, linger_ms);
            // Queues only on completed connections: without one a message must become undeliverable
            // instead of being delivered late.
            socket.set(zmq::sockopt::immediate, 1);
            socket.set(zmq::sockopt::sndhwm, settings.send_high_water_mark);
            socket.set(zmq::sockopt::reconnect_ivl, min_reconnect_interval_ms);
            socket.set(zmq::sockopt::reconnect_ivl_max, max_reconnect_interval_ms);
            if (settings.enable_keepalive)
            {
                enable_heartbeat(socket);
            }
            socket.connect("tcp://" + address);
            found = this->peers.emplace(address, peer{std::move(socket), {}, {}}).first;
        }
        catch (const zmq::error_t&)
        {
            // Addresses come from other processes' messages and rows.
            return nullptr;
        }
        return &found->second;
    }

    zmq::context_t context{1};
    zmq::socket_t inbound;
    std::unordered_map<std::string, peer> peers;
    /// Addresses of the peers with waiting messages.
    std::set<std::string> waiting_peers;
};

transport::transport(transport_settings settings, message_callback on_message_received,
                     undeliverable_callback undeliverable)
    : settings(std::move(settings)), on_message(std::move(on_message_received)),
      on_undeliverable(std::move(undeliverable)), send_queue(this->settings.send_queue_capacity),
      wake_fd(::eventfd(0, EFD_NONBLOCK)), open_sockets(std::make_unique<sockets>(this->settings)),
      thread([this] { this->run(); })
{
}

transport::~transport()
{
    this->stopping = true;
    const std::uint64_t one = 1;
    static_cast<void>(::write(this->wake_fd, &one, sizeof one));
    this->thread.join();
    ::close(this->wake_fd);
}

bool transport::send(const std::string& address, wire::envelope message)
{
    message.set_from(this->settings.advertised_address);
    message.set_incarnation(this->settings.incarnation);
    if (address.empty() || !this->send_queue.try_push({address, std::move(message)}))
    {
        ++this->rejected;
        return false;
    }
    if (!this->wake_pending.exchange(true))
    {
        const std::uint64_t one = 1;
        static_cast<void>(::write(this->wake_fd, &one, sizeof one));
    }
    return true;
}

transport_counters transport::counters() const
{
    return {this->messages_sent, this->messages_received, this->bytes_sent, this->bytes_received,
            this->malformed,     this->undeliverable,     this->rejected,   this->unsent};
}

void transport::run()
{
    sockets& all = *this->open_sockets;

    const auto try_send = [this](peer& to, const wire::envelope& message)
    {
        const std::string bytes = message.SerializeAsString();
        const auto sent =
            to.socket.send(zmq::buffer(bytes.data(), bytes.size()), zmq::send_flags::dontwait);
        if (!sent.has_value())
        {
            return false;
        }
        ++this->messages_sent;
        this->bytes_sent += bytes.size();
        return true;
    };

    /// @param writable whether the peer's socket takes messages.
    /// @return whether no message waits any more.
    const auto flush = [&](const std::string& address, peer& to, bool writable, core::instant now)
    {
        while (!to.waiting.empty())
        {
            waiting_message& first = to.waiting.front();
            if (!writable || !try_send(to, first.message))
            {
                if (first.expires > now)
                {
                    return false;
                }
                ++this->undeliverable;
                this->on_undeliverable(address, std::move(first.message));
            }
            to.waiting.pop_front();
            --this->unsent;
        }
        return true;
    };

    const auto receive_batch = [&]
    {
        for (int count = 0; count < max_receive_batch; ++count)
        {
            zmq::message_t identity;
            if (!all.inbound.recv(identity, zmq::recv_flags::dontwait).has_value())
            {
                return;
            }
            zmq::message_t payload;
            bool has_more = identity.more();
            while (has_more)
            {
                static_cast<void>(all.inbound.recv(payload, zmq::recv_flags::dontwait));
                has_more = payload.more();
            }
            wire::envelope message;
            if (!message.ParseFromArray(payload.data(), static_cast<int>(payload.size())) ||
                message.body_case() == wire::envelope::BODY_NOT_SET)
            {
                ++this->malformed;
                continue;
            }
            ++this->messages_received;
            this->bytes_received += payload.size();
            this->on_message(std::move(message));
        }
    };

    const auto accept_outgoing = [&](core::instant now)
    {
        while (auto next = this->send_queue.try_pop_for(core::milliseconds{0}))
        {
            peer* const found = all.peer_at(next->address, this->settings);
            if (found == nullptr)
            {
                ++this->undeliverable;
                this->on_undeliverable(next->address, std::move(next->message));
                continue;
            }
            peer& to = *found;
            to.used = now;
            // Keeps the order per peer: a message is not sent before those that already wait.
            if (to.waiting.empty() && try_send(to, next->message))
            {
                continue;
            }
            to.waiting.push_back({std::move(next->message), now + undeliverable_after});
            all.waiting_peers.insert(next->address);
            ++this->unsent;
        }
    };

    core::instant next_sweep = core::boot_clock::now() + sweep_interval;
    while (!this->stopping)
    {
        std::vector<zmq::pollitem_t> items{
            {all.inbound.handle(), 0, ZMQ_POLLIN, 0},
            {nullptr, this->wake_fd, ZMQ_POLLIN, 0},
        };
        // A peer becomes writable when its connection is complete.
        const std::vector<std::string> polled(all.waiting_peers.begin(), all.waiting_peers.end());
        for (const std::string& address : polled)
        {
            items.push_back({all.peers.at(address).socket.handle(), 0, ZMQ_POLLOUT, 0});
        }
        zmq::poll(items, all.waiting_peers.empty() ? idle_poll_timeout : waiting_poll_timeout);
        const core::instant now = core::boot_clock::now();
        if ((items[1].revents & ZMQ_POLLIN) != 0)
        {
            drain_eventfd(this->wake_fd);
            // Cleared before the queue is emptied: a message that is queued later wakes again.
            this->wake_pending = false;
        }
        receive_batch();
        const std::size_t first_peer = items.size() - polled.size();
        for (std::size_t index = 0; index < polled.size(); ++index)
        {
            const bool writable = (items[first_peer + index].revents & ZMQ_POLLOUT) != 0;
            if (flush(polled[index], all.peers.at(polled[index]), writable, now))
            {
                all.waiting_peers.erase(polled[index]);
            }
        }
        accept_outgoing(now);
        if (now >= next_sweep)
        {
            next_sweep = now + sweep_interval;
            std::erase_if(all.peers,
                          [now](const auto& entry) {
                              return entry.second.used + peer_idle_timeout < now &&
                                     entry.second.waiting.empty();
                          });
        }
    }
}

} // namespace chicorylift::net
