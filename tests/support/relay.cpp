#include "support/relay.hpp"

#include "support/process.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <netinet/in.h>
#include <poll.h>
#include <sstream>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace chicorylift::testing
{

namespace
{

constexpr int backlog = 64;
constexpr int poll_ms = 50;

sockaddr_in parse(const std::string& address)
{
    const std::size_t colon = address.find(':');
    sockaddr_in parsed{};
    parsed.sin_family = AF_INET;
    ::inet_pton(AF_INET, address.substr(0, colon).c_str(), &parsed.sin_addr);
    parsed.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    return parsed;
}

std::string port_as_listed(std::uint16_t port)
{
    std::ostringstream text;
    text << ":" << std::uppercase << std::hex << std::setw(4) << std::setfill('0') << port;
    return text.str();
}

/// @return the inode of the loopback connection between the two ports, as its near end has it, or
///         "". Ports alone do not tell: ended connections stay in the table for a minute.
std::string inode_of_connection(std::uint16_t near, std::uint16_t far)
{
    // The table may lack a line while connections come and go.
    constexpr int readings = 3;
    for (int reading = 0; reading < readings; ++reading)
    {
        std::ifstream table("/proc/net/tcp");
        std::string line;
        while (std::getline(table, line))
        {
            std::istringstream words(line);
            std::string number;
            std::string local;
            std::string remote;
            std::string inode;
            words >> number >> local >> remote;
            constexpr int fields_before_inode = 6;
            for (int field = 0; field <= fields_before_inode; ++field)
            {
                words >> inode;
            }
            if (local.ends_with(port_as_listed(near)) && remote.ends_with(port_as_listed(far)) &&
                inode != "0")
            {
                return inode;
            }
        }
    }
    return "";
}

/// @return whether the other end of an accepted connection belongs to the process.
bool comes_from(int socket, pid_t source)
{
    sockaddr_in peer{};
    socklen_t length = sizeof peer;
    if (::getpeername(socket, reinterpret_cast<sockaddr*>(&peer), &length) != 0)
    {
        return false;
    }
    sockaddr_in own{};
    if (::getsockname(socket, reinterpret_cast<sockaddr*>(&own), &length) != 0)
    {
        return false;
    }
    const std::string wanted =
        "socket:[" + inode_of_connection(ntohs(peer.sin_port), ntohs(own.sin_port)) + "]";
    std::error_code fault;
    const std::string folder = "/proc/" + std::to_string(source) + "/fd";
    for (const auto& entry : std::filesystem::directory_iterator(folder, fault))
    {
        if (std::filesystem::read_symlink(entry.path(), fault).string() == wanted)
        {
            return true;
        }
    }
    return false;
}

} // namespace

relay::relay(std::string to) : target(std::move(to)), listen_address(free_address())
{
    this->listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in address = parse(this->listen_address);
    if (::bind(this->listener, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
        ::listen(this->listener, backlog) != 0)
    {
        throw std::runtime_error("cannot listen on " + this->listen_address);
    }
    this->acceptor = std::thread([this] { this->accept_connections(); });
}

relay::~relay()
{
    this->stopping = true;
    this->acceptor.join();
    this->close_all();
    for (std::thread& pump : this->pumps)
    {
        pump.join();
    }
    for (const int socket : this->sockets)
    {
        ::close(socket);
    }
    ::close(this->listener);
}

void relay::set_cut(bool is_cut)
{
    this->cut = is_cut;
    if (is_cut)
    {
        this->close_all();
    }
}

void relay::set_cut_from(pid_t source)
{
    this->cut_source = source;
    if (source != 0)
    {
        this->close_from(source);
    }
}

void relay::close_from(pid_t source)
{
    const std::lock_guard lock(this->guard);
    for (const int socket : this->sockets)
    {
        if (comes_from(socket, source))
        {
            ::shutdown(socket, SHUT_RDWR);
        }
    }
}

void relay::accept_connections()
{
    while (!this->stopping)
    {
        pollfd waiting{this->listener, POLLIN, 0};
        if (::poll(&waiting, 1, poll_ms) <= 0)
        {
            continue;
        }
        const int inbound = ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
        const int outbound = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in address = parse(this->target);
        const bool through =
            !this->cut && inbound >= 0 &&
            (this->cut_source == 0 || !comes_from(inbound, this->cut_source)) &&
            ::connect(outbound, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
        if (!through)
        {
            ::close(inbound);
            ::close(outbound);
            continue;
        }
        const std::lock_guard lock(this->guard);
        if (this->cut_source != 0 && comes_from(inbound, this->cut_source))
        {
            // The cut came while the connection was made.
            ::close(inbound);
            ::close(outbound);
            continue;
        }
        this->sockets.push_back(inbound);
        this->sockets.push_back(outbound);
        this->pumps.emplace_back([this, inbound, outbound]
                                 { this->forward(inbound, outbound, false); });
        this->pumps.emplace_back([this, inbound, outbound]
                                 { this->forward(outbound, inbound, true); });
    }
}

void relay::pace(std::size_t bytes, std::chrono::steady_clock::time_point last_piece,
                 bool is_answer)
{
    using std::chrono::steady_clock;
    constexpr std::chrono::milliseconds stream_gap{20};
    const int limit = is_answer ? this->rate.load() : 0;
    if (limit == 0 || steady_clock::now() - last_piece > stream_gap)
    {
        std::this_thread::sleep_for(std::chrono::milliseconds(this->delay_ms));
    }
    if (limit > 0)
    {
        steady_clock::time_point sent_at;
        {
            const std::lock_guard lock(this->guard);
            sent_at = std::max(this->link_free, steady_clock::now()) +
                      std::chrono::duration_cast<steady_clock::duration>(
                          std::chrono::duration<double>(static_cast<double>(bytes) / limit));
            this->link_free = sent_at;
        }
        std::this_thread::sleep_until(sent_at);
    }
    while (this->frozen && !this->stopping && !this->cut)
    {
        std::this_thread::sleep_for(std::chrono::milliseconds(poll_ms));
    }
}

void relay::forward(int from, int to, bool is_answer)
{
    constexpr std::size_t chunk = 16384;
    // Connections take turns on a limited link.
    constexpr std::size_t limited_chunk = 4096;
    std::array<char, chunk> data{};
    std::chrono::steady_clock::time_point last_piece;
    for (;;)
    {
        const ssize_t got =
            ::recv(from, data.data(), this->rate > 0 ? limited_chunk : data.size(), 0);
        if (got <= 0 || this->cut)
        {
            break;
        }
        this->pace(static_cast<std::size_t>(got), last_piece, is_answer);
        last_piece = std::chrono::steady_clock::now();
        this->from_target += is_answer ? static_cast<std::uint64_t>(got) : 0;
        if (::send(to, data.data(), static_cast<std::size_t>(got), MSG_NOSIGNAL) != got)
        {
            break;
        }
    }
    ::shutdown(from, SHUT_RDWR);
    ::shutdown(to, SHUT_RDWR);
}

void relay::close_all()
{
    const std::lock_guard lock(this->guard);
    for (const int socket : this->sockets)
    {
        ::shutdown(socket, SHUT_RDWR);
    }
}

} // namespace chicorylift::testing
