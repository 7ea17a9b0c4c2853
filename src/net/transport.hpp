#pragma once

#include "chicorylift/core/bounded_queue.hpp"
#include "wire/wire.pb.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <thread>

namespace chicorylift::net
{

/// Largest message that any process accepts, in bytes.
inline constexpr std::int64_t max_message_bytes = 16 << 20;

/// Addresses and limits of a transport.
struct transport_settings
{
    /// IP number and port that this process listens on.
    std::string listen_address;
    /// Address at which other processes reach this one.
    std::string advertised_address;
    std::string incarnation;
    std::size_t send_queue_capacity = 8192;
    int send_high_water_mark = 1000;
    /// Messages of one peer that may wait to be received.
    int receive_high_water_mark = 20'000;
    /// Largest accepted message; a peer that sends a larger one is disconnected.
    std::int64_t max_received_bytes = max_message_bytes;
    /// Sends heartbeats on outgoing connections, so that dead ones are replaced.
    bool enable_keepalive = false;
};

/// Traffic of a transport since its start.
struct transport_counters
{
    std::uint64_t messages_sent{};
    std::uint64_t messages_received{};
    std::uint64_t bytes_sent{};
    std::uint64_t bytes_received{};
    std::uint64_t malformed{};
    /// Messages that found no connection to their peer in time.
    std::uint64_t undeliverable{};
    /// Messages that send() rejected.
    std::uint64_t rejected{};
    /// Messages that wait for a connection to their peer.
    std::uint64_t unsent{};
};

/// Exchanges messages with other processes over ZeroMQ, on its own thread.
class transport
{
public:
    /// Called on the transport's thread with each message that arrives.
    using message_callback = std::function<void(wire::envelope)>;
    /// Called on the transport's thread with each message that was never handed to a connection.
    using undeliverable_callback = std::function<void(const std::string& address, wire::envelope)>;

    transport(transport_settings settings, message_callback on_message_received,
              undeliverable_callback undeliverable);
    ~transport();
    transport(const transport&) = delete;
    transport& operator=(const transport&) = delete;

    /// Queues a message for @p address.
    /// @return false if the send queue is full or the address is empty; nothing was queued then.
    [[nodiscard]] bool send(const std::string& address, wire::envelope message);

    /// @return the traffic counters.
    [[nodiscard]] transport_counters counters() const;

private:
    struct outgoing
    {
        std::string address;
        wire::envelope message;
    };
    struct sockets;

    void run();

    transport_settings settings;
    message_callback on_message;
    undeliverable_callback on_undeliverable;
    core::bounded_queue<outgoing> send_queue;
    int wake_fd;
    /// A wake-up through wake_fd has not been handled yet.
    std::atomic<bool> wake_pending = false;
    std::atomic<bool> stopping = false;
    std::atomic<std::uint64_t> messages_sent = 0;
    std::atomic<std::uint64_t> messages_received = 0;
    std::atomic<std::uint64_t> bytes_sent = 0;
    std::atomic<std::uint64_t> bytes_received = 0;
    std::atomic<std::uint64_t> malformed = 0;
    std::atomic<std::uint64_t> undeliverable = 0;
    std::atomic<std::uint64_t> rejected = 0;
    std::atomic<std::uint64_t> unsent = 0;
    std::unique_ptr<sockets> open_sockets;
    std::thread thread;
};

} // namespace chicorylift::net
