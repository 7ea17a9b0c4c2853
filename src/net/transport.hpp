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

/// Addresses and bounds of a process's socket towards other processes.
struct transport_settings
{
    /// IP number and port that this process listens on.
    std::string listen_address;
    /// Address that others reach this process at.
    std::string advertised_address;
    std::string incarnation;
    std::size_t send_queue_capacity = 8192;
    int send_high_water_mark = 1000;
    /// Pings idle connections, so that one that went silent is replaced.
    bool enable_keepalive = false;
};

/// What has crossed a transport since its start.
struct transport_counters
{
    std::uint64_t messages_sent{};
    std::uint64_t messages_received{};
    std::uint64_t bytes_sent{};
    std::uint64_t bytes_received{};
    std::uint64_t malformed{};
};

/// Largest message between processes, in bytes.
inline constexpr std::int64_t max_message_bytes = 16 << 20;

/// Sends and receives messages between the system's processes on a thread of its own.
class transport
{
public:
    /// Called on the transport's thread with each message that arrives.
    using message_callback = std::function<void(wire::envelope)>;
    /// Called on the transport's thread with each message that has provably not left.
    using undeliverable_callback = std::function<void(const std::string& address, wire::envelope)>;

    transport(transport_settings settings, message_callback received,
              undeliverable_callback bounced);
    ~transport();
    transport(const transport&) = delete;
    transport& operator=(const transport&) = delete;

    /// Queues a message for @p address.
    /// @return false when the ring is full; the message has not left then.
    [[nodiscard]] bool send(const std::string& address, wire::envelope message);

    /// @return what has crossed so far.
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
    std::atomic<bool> stopping = false;
    std::atomic<std::uint64_t> messages_sent = 0;
    std::atomic<std::uint64_t> messages_received = 0;
    std::atomic<std::uint64_t> bytes_sent = 0;
    std::atomic<std::uint64_t> bytes_received = 0;
    std::atomic<std::uint64_t> malformed = 0;
    std::unique_ptr<sockets> open_sockets;
    std::thread thread;
};

} // namespace chicorylift::net
