#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace chicorylift::testing
{

/// Forwards TCP connections to one address, and can be cut or slowed.
///
/// Others reach a process through its relay while the process reaches them directly, so cutting
/// the relay cuts the links to that process one way.
class relay
{
public:
    explicit relay(std::string target);
    ~relay();
    relay(const relay&) = delete;
    relay& operator=(const relay&) = delete;

    /// Drops all connections and lets nothing through, or lets connections through again.
    void set_cut(bool is_cut);
    /// Cuts only the links from one process; 0 lets all through again.
    void set_cut_from(pid_t source);
    /// Delays each piece of data by this long.
    void set_delay_ms(int delay) { this->delay_ms = delay; }
    /// Limits what the target sends, over all connections together; 0 for no limit. Only the first
    /// piece of a stream is delayed then.
    void set_rate(int bytes_per_second) { this->rate = bytes_per_second; }
    /// Lets nothing through, but keeps the connections, or goes on.
    void set_frozen(bool is_frozen) { this->frozen = is_frozen; }
    /// @return bytes that the target has sent.
    [[nodiscard]] std::uint64_t bytes_from_target() const { return this->from_target; }
    /// @return the address to connect to instead of the target.
    [[nodiscard]] const std::string& address() const { return this->listen_address; }

private:
    void accept_connections();
    void forward(int from, int to, bool is_answer);
    /// Waits until a piece of data may pass.
    void pace(std::size_t bytes, std::chrono::steady_clock::time_point last_piece, bool is_answer);
    void close_all();
    void close_from(pid_t source);

    std::string target;
    std::string listen_address;
    int listener = -1;
    std::atomic<bool> cut = false;
    std::atomic<bool> stopping = false;
    std::atomic<int> delay_ms = 0;
    std::atomic<int> rate = 0;
    std::atomic<bool> frozen = false;
    std::atomic<std::uint64_t> from_target = 0;
    /// When the limited link has sent all that it was given.
    std::chrono::steady_clock::time_point link_free;
    std::atomic<pid_t> cut_source = 0;
    std::mutex guard;
    std::vector<int> sockets;
    std::vector<std::thread> pumps;
    std::thread acceptor;
};

} // namespace chicorylift::testing
