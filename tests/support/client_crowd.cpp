#include "support/client_crowd.hpp"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <algorithm>
#include <array>
#include <filesystem>
#include <fstream>
#include <thread>

namespace chicorylift::testing
{

namespace
{

constexpr std::size_t body_bytes = 250'000;
constexpr std::size_t oversized_body_bytes = 50'000'000;
constexpr int pipelined_requests = 5000;
constexpr int header_fields = 2000;

std::string head_of(const std::string& method, std::size_t length, const std::string& fields = {})
{
    return method + " PATH HTTP/1.1\r\nHost: jobs.example\r\nX-Api-Key: key-a\r\n" + fields +
           (length == 0 ? "" : "Content-Length: " + std::to_string(length) + "\r\n") + "\r\n";
}

std::string repeat(const std::string& text, std::size_t count)
{
    std::string all;
    all.reserve(text.size() * count);
    for (std::size_t index = 0; index < count; ++index)
    {
        all += text;
    }
    return all;
}

std::string with_path(std::string text, const std::string& path)
{
    constexpr std::string_view mark = "PATH";
    for (std::size_t at = text.find(mark); at != std::string::npos;
         at = text.find(mark, at + path.size()))
    {
        text.replace(at, mark.size(), path);
    }
    return text;
}

} // namespace

std::vector<crowd_plan> misbehaving_plans()
{
    const std::string post = head_of("POST", body_bytes);
    const std::string short_fields = repeat("a:\r\n", header_fields);
    const std::string short_values = R"({"steps":[)" + repeat("{},", body_bytes / 3 - 8) + "{}]}";
    return {
        {"bodies that stop one byte short", post + std::string(body_bytes - 1, 'x')},
        {"half bodies", post + std::string(body_bytes / 2, 'x')},
        {"complete bodies", post + std::string(body_bytes, 'x')},
        {"bodies in small pieces", post + std::string(body_bytes - 1, 'x'), 1000},
        {"bodies in chunks",
         head_of("POST", 0, "Transfer-Encoding: chunked\r\n") +
             repeat("3e8\r\n" + std::string(1000, 'x') + "\r\n", body_bytes / 1000)},
        {"bodies over the limit",
         head_of("POST", oversized_body_bytes) + std::string(4 * body_bytes, 'x')},
        {"many short header fields", head_of("POST", body_bytes, short_fields) + "x"},
        {"many short JSON values", head_of("POST", short_values.size()) + short_values},
        {"pipelined requests", repeat(head_of("GET", 0), pipelined_requests)},
        {"slow senders", post + std::string(body_bytes, 'x'), 100, core::milliseconds{50}},
        {"slow readers", repeat(head_of("GET", 0), pipelined_requests), 65536,
         core::milliseconds{0}, true},
    };
}

client_crowd::client_crowd(const std::string& address, const std::string& path,
                           const crowd_plan& plan, int size, core::milliseconds limit)
{
    constexpr int receive_buffer_bytes = 4096;
    const Poco::Net::SocketAddress place(address);
    for (int number = 0; number < size; ++number)
    {
        member one;
        try
        {
            one.socket.connect(place, Poco::Timespan(1, 0));
            // Answers that are not read stay at the server instead of in this socket.
            one.socket.setReceiveBufferSize(receive_buffer_bytes);
            one.socket.setNoDelay(true);
            one.socket.setBlocking(false);
        }
        catch (const Poco::Exception&)
        {
            continue;
        }
        this->members.push_back(std::move(one));
    }
    this->send_all(with_path(plan.text, path), plan, limit);
}

void client_crowd::send_all(const std::string& text, const crowd_plan& plan,
                            core::milliseconds limit)
{
    constexpr core::milliseconds nothing_sent_pause{5};
    const core::instant end = core::boot_clock::now() + limit;
    bool unfinished = true;
    while (unfinished && core::boot_clock::now() < end)
    {
        unfinished = false;
        bool sent = false;
        for (member& one : this->members)
        {
            sent = send_piece(one, text, plan) || sent;
            unfinished = unfinished || (!one.ended && one.sent < text.size());
        }
        std::this_thread::sleep_for(sent ? plan.pause : nothing_sent_pause);
    }
    this->sent_whole = static_cast<std::size_t>(
        std::count_if(this->members.begin(), this->members.end(),
                      [&](const member& one) { return one.sent == text.size(); }));
}

bool client_crowd::send_piece(member& one, const std::string& text, const crowd_plan& plan)
{
    if (one.ended || one.sent == text.size())
    {
        return false;
    }
    try
    {
        if (plan.reads_slowly)
        {
            char byte = 0;
            static_cast<void>(one.socket.receiveBytes(&byte, 1));
        }
        const std::size_t length = std::min(plan.piece_bytes, text.size() - one.sent);
        const int count = one.socket.sendBytes(text.data() + one.sent, static_cast<int>(length));
        one.sent += static_cast<std::size_t>(std::max(0, count));
        return count > 0;
    }
    catch (const Poco::Exception&)
    {
        // The server closed the connection, which it may.
        one.ended = true;
        return false;
    }
}

long memory_kb(int process, const std::string& field)
{
    std::ifstream status("/proc/" + std::to_string(process) + "/status");
    std::string line;
    while (std::getline(status, line))
    {
        if (line.starts_with(field + ":"))
        {
            return std::stol(line.substr(field.size() + 1));
        }
    }
    return 0;
}

long open_descriptors(int process)
{
    const std::filesystem::directory_iterator all("/proc/" + std::to_string(process) + "/fd");
    return std::distance(begin(all), end(all));
}

} // namespace chicorylift::testing
