#pragma once

#include <atomic>
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
    /// @return the address to connect to instead of the target.
    [[nodiscard]] const std::string& address() const { return this->listen_address; }

private:
    void accept_connections();
    void forward(int from, int to);
    void close_all();
    void close_from(pid_t source);

    std::string target;
    std::string listen_address;
    int listener = -1;
    std::atomic<bool> cut = false;
    std::atomic<bool> stopping = false;
    std::atomic<int> delay_ms = 0;
    std::atomic<pid_t> cut_source = 0;
    std::mutex guard;
    std::vector<int> sockets;
    std::vector<std::thread> pumps;
    std::thread acceptor;
};

} // namespace chicorylift::testing
