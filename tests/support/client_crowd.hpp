#pragma once

#include "chicorylift/core/time.hpp"

#include <Poco/Net/StreamSocket.h>
#include <cstddef>
#include <string>
#include <vector>

namespace chicorylift::testing
{

/// What each connection of a crowd sends, and how.
struct crowd_plan
{
    std::string name;
    /// Bytes of one connection, with PATH replaced by the path.
    std::string text;
    /// Bytes of one send.
    std::size_t piece_bytes = 65536;
    /// Pause between two pieces of a connection.
    core::milliseconds pause{0};
    /// Reads answers a byte at a time, instead of not at all.
    bool reads_slowly = false;
};

/// Connections that misbehave together. They stay open until the crowd is destroyed.
class client_crowd
{
public:
    /// Connects @p size sockets and sends the plan's text on all of them for at most @p limit.
    client_crowd(const std::string& address, const std::string& path, const crowd_plan& plan,
                 int size, core::milliseconds limit = std::chrono::seconds{3});

    /// @return the number of connections that were made.
    [[nodiscard]] std::size_t connected() const noexcept { return this->members.size(); }
    /// @return the number of connections on which the whole text was sent.
    [[nodiscard]] std::size_t finished() const noexcept { return this->sent_whole; }

private:
    struct member
    {
        Poco::Net::StreamSocket socket;
        std::size_t sent{};
        bool ended = false;
    };

    void send_all(const std::string& text, const crowd_plan& plan, core::milliseconds limit);
    static bool send_piece(member& one, const std::string& text, const crowd_plan& plan);

    std::vector<member> members;
    std::size_t sent_whole{};
};

/// @return one plan for each way in which a client misbehaves.
[[nodiscard]] std::vector<crowd_plan> misbehaving_plans();

/// @return a figure in kB from /proc/PID/status, such as VmHWM; 0 if it cannot be read.
[[nodiscard]] long memory_kb(int process, const std::string& field);
/// @return the number of descriptors that a process has open.
[[nodiscard]] long open_descriptors(int process);

} // namespace chicorylift::testing
