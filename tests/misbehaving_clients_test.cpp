#include "net/http_client.hpp"
#include "support/batch_site.hpp"
#include "support/client_crowd.hpp"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <doctest/doctest.h>
#include <iostream>
#include <random>
#include <thread>
#include <zmq.hpp>

/// Process tests of clients that misbehave. They guard against a process that ends, hangs, or grows
/// beyond the memory or descriptors of its machine.
namespace
{

using namespace chicorylift;
using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::batch_site;
using testing::client_crowd;
using testing::crowd_plan;
using testing::job_body;
using testing::memory_kb;
using testing::open_descriptors;

// Limits of the machines in these tests. The load and the bounds were fixed on the code before the
// limits existed and do not change.
constexpr int crowd_size = 600;
constexpr int control_crowd_size = 60;
constexpr const char* machine_mb = "40";
constexpr const char* machine_descriptors = "700";
constexpr long memory_bound_kb = 40L * 1024;
// 200 of the descriptors are reserved for files.
constexpr long descriptor_bound = 500;
constexpr const char* agent_machine_mb = "64";
constexpr long agent_memory_bound_kb = 64L * 1024;

std::string job_name(int number)
{
    std::string text = std::to_string(number);
    return std::string(16 - text.size(), '0') + text;
}

bool is_serving(const batch_site& site)
{
    return batch_site::wait_for([&] { return site.call(0, "GET", "").status == 200; }) &&
           batch_site::wait_for([&] { return site.leader() >= 0; });
}

bool is_alive(const testing::process& program)
{
    return ::kill(program.id(), 0) == 0 &&
           program.output().find("\"event\":\"stopped\"") == std::string::npos;
}

int status_of(const std::string& address, const std::string& path)
{
    net::client_request probe;
    probe.address = address;
    probe.path = path;
    const auto answer = net::send_request(probe);
    return answer.ok() ? answer->status : 0;
}

/// @return whether the job is accepted at last; a caller repeats a submission that was refused.
bool is_accepted(const batch_site& site, int number)
{
    return batch_site::wait_for(
        [&] {
            return site.call(0, "POST", job_name(number), job_body("50", 1, 1, false)).status ==
                   200;
        },
        seconds{30});
}

struct target
{
    const char* name;
    std::string address;
    std::string path;
};

std::vector<target> entry_targets(const batch_site& site)
{
    return {{"route", site.front(0), "/q/" + job_name(999)},
            {"no route", site.front(0), "/none/x"},
            {"readiness path at the client port", site.front(0), "/v1/ready"},
            {"readiness port", site.ready(0), "/v1/ready"},
            {"metrics port", site.metrics(0), "/metrics"}};
}

/// Plays a crowd at every target of an entry, and checks the guarantees after each.
void check_entry_withstands(const crowd_plan& plan)
{
    batch_site site(1, 1, {}, false, 1,
                    {"--memory-mb", machine_mb, "--max-descriptors", machine_descriptors});
    site.configure(1, {"key-a"});
    REQUIRE(is_serving(site));
    const testing::process& entry = site.entry(0);
    int job = 0;
    for (const target& each : entry_targets(site))
    {
        CAPTURE(plan.name);
        CAPTURE(each.name);
        const client_crowd crowd(each.address, each.path, plan, crowd_size);
        const long peak_kb = memory_kb(entry.id(), "VmHWM");
        const long descriptors = open_descriptors(entry.id());
        std::cout << plan.name << ", " << each.name << ": peak " << peak_kb << " kB, "
                  << descriptors << " descriptors, " << crowd.finished() << " of "
                  << crowd.connected() << " sent all\n";
        REQUIRE(is_alive(entry));
        CHECK(peak_kb > 0);
        CHECK(peak_kb < memory_bound_kb);
        CHECK(descriptors < descriptor_bound);
        CHECK(is_accepted(site, ++job));
        CHECK(batch_site::wait_for([&] { return status_of(site.ready(0), "/v1/ready") == 200; }));
    }
    for (int number = 1; number <= job; ++number)
    {
        CHECK(site.wait_for_state(job_name(number), "completed"));
    }
    CHECK(is_alive(entry));
    CHECK(memory_kb(entry.id(), "VmHWM") < memory_bound_kb);
}

const crowd_plan& plan_named(const std::string& name)
{
    static const std::vector<crowd_plan> plans = testing::misbehaving_plans();
    for (const crowd_plan& plan : plans)
    {
        if (plan.name == name)
        {
            return plan;
        }
    }
    throw std::invalid_argument(name);
}

TEST_CASE("an entry withstands bodies that stop one byte short")
{
    check_entry_withstands(plan_named("bodies that stop one byte short"));
}

TEST_CASE("an entry withstands half bodies")
{
    check_entry_withstands(plan_named("half bodies"));
}

TEST_CASE("an entry withstands complete bodies")
{
    check_entry_withstands(plan_named("complete bodies"));
}

TEST_CASE("an entry withstands bodies in small pieces")
{
    check_entry_withstands(plan_named("bodies in small pieces"));
}

TEST_CASE("an entry withstands bodies in chunks")
{
    check_entry_withstands(plan_named("bodies in chunks"));
}

TEST_CASE("an entry withstands bodies over the limit")
{
    check_entry_withstands(plan_named("bodies over the limit"));
}

TEST_CASE("an entry withstands many short header fields")
{
    check_entry_withstands(plan_named("many short header fields"));
}

TEST_CASE("an entry withstands many short JSON values")
{
    check_entry_withstands(plan_named("many short JSON values"));
}

TEST_CASE("an entry withstands pipelined requests whose answers are not read")
{
    check_entry_withstands(plan_named("pipelined requests"));
}

TEST_CASE("an entry withstands slow senders")
{
    check_entry_withstands(plan_named("slow senders"));
}

TEST_CASE("an entry withstands slow readers")
{
    check_entry_withstands(plan_named("slow readers"));
}

/// Checks that an agent is alive within its machine's memory, and that jobs are still run.
void check_agent(batch_site& site, int job)
{
    const testing::process& agent = site.agent(0);
    const long peak_kb = memory_kb(agent.id(), "VmHWM");
    std::cout << "agent: peak " << peak_kb << " kB, " << open_descriptors(agent.id())
              << " descriptors\n";
    REQUIRE(is_alive(agent));
    CHECK(peak_kb > 0);
    CHECK(peak_kb < agent_memory_bound_kb);
    CHECK(open_descriptors(agent.id()) < descriptor_bound);
    CHECK(is_accepted(site, job));
    CHECK(site.wait_for_state(job_name(job), "completed"));
}

TEST_CASE("an agent withstands large bodies at its control port and its metrics port")
{
    batch_site site(1, 1, {"--memory-mb", agent_machine_mb});
    site.configure(1, {"key-a"});
    REQUIRE(is_serving(site));
    constexpr std::size_t body_bytes = 4'000'000;
    const std::string head =
        "PUT PATH HTTP/1.1\r\nHost: agent\r\nContent-Length: " + std::to_string(body_bytes) +
        "\r\n\r\n";
    const crowd_plan stalled{"stalled", head + std::string(body_bytes - 1, 'x')};
    const crowd_plan values{
        "values", head + "[" +
                      [&]
                      {
                          std::string list;
                          while (list.size() < body_bytes - 4)
                          {
                              list += "{},";
                          }
                          return list + std::string(body_bytes - 2 - list.size(), ' ') + "]";
                      }()};
    int job = 0;
    for (const crowd_plan& plan : {stalled, values})
    {
        for (const std::string& address : {site.control(0), site.agent_metrics(0)})
        {
            CAPTURE(plan.name);
            CAPTURE(address);
            const client_crowd crowd(address, "/v1/instances/other", plan, control_crowd_size);
            check_agent(site, ++job);
        }
    }
}

TEST_CASE("garbage at the port between processes does not end an agent")
{
    batch_site site(1, 1, {"--memory-mb", agent_machine_mb});
    site.configure(1, {"key-a"});
    REQUIRE(is_serving(site));
    std::mt19937 random(1);
    std::string noise(100'000, '\0');
    for (char& byte : noise)
    {
        byte = static_cast<char>(random());
    }
    // A greeting of ZeroMQ's protocol with the NULL mechanism.
    std::string greeting("\xff\0\0\0\0\0\0\0\x01\x7f\x03\0NULL", 16);
    greeting.resize(64, '\0');
    for (const std::string& text : {noise, "GET / HTTP/1.1\r\n\r\n" + noise, greeting + noise})
    {
        const client_crowd crowd(site.agent_address(0), "", {"noise", text}, control_crowd_size);
        CHECK(is_alive(site.agent(0)));
    }
    check_agent(site, 1);
}

/// Sends messages of @p size bytes in @p parts parts each to an agent.
void send_messages(const std::string& address, std::size_t size, int parts, int count)
{
    zmq::context_t context(1);
    zmq::socket_t socket(context, zmq::socket_type::dealer);
    socket.set(zmq::sockopt::linger, 0);
    socket.set(zmq::sockopt::sndtimeo, 2000);
    socket.set(zmq::sockopt::sndhwm, 4);
    socket.connect("tcp://" + address);
    const std::string text(size, 'x');
    for (int number = 0; number < count; ++number)
    {
        for (int part = 1; part <= parts; ++part)
        {
            const auto flags = part == parts ? zmq::send_flags::none : zmq::send_flags::sndmore;
            if (!socket.send(zmq::buffer(text), flags).has_value())
            {
                return;
            }
        }
    }
    std::this_thread::sleep_for(milliseconds{200});
}

TEST_CASE("messages of another program do not end an agent or exhaust its memory")
{
    batch_site site(1, 1, {"--memory-mb", agent_machine_mb});
    site.configure(1, {"key-a"});
    REQUIRE(is_serving(site));
    const std::string address = site.agent_address(0);
    send_messages(address, 100, 1, 20'000);
    check_agent(site, 1);
    send_messages(address, 10, 1000, 20);
    check_agent(site, 2);
    send_messages(address, 15'000'000, 1, 20);
    check_agent(site, 3);
    send_messages(address, 17'000'000, 1, 3);
    check_agent(site, 4);
}

/// @return how often an answer begins in what the connection delivers until it ends or is silent.
int count_answers(Poco::Net::StreamSocket& connection)
{
    const std::string mark = "HTTP/1.1 200";
    connection.setReceiveTimeout(Poco::Timespan(5, 0));
    std::string text;
    std::array<char, 4096> buffer{};
    try
    {
        for (int received = 1; received > 0;)
        {
            received = connection.receiveBytes(buffer.data(), buffer.size());
            text.append(buffer.data(), static_cast<std::size_t>(std::max(0, received)));
        }
    }
    catch (const Poco::TimeoutException&)
    {
        text += "still open";
    }
    int count = 0;
    for (std::size_t at = text.find(mark); at != std::string::npos; at = text.find(mark, at + 1))
    {
        ++count;
    }
    return count;
}

// Guards against a connection that is not read again after its answers have been taken.
TEST_CASE("every pipelined request is answered once its client reads")
{
    constexpr int requests = 3000;
    batch_site site(1, 1);
    site.configure(1, {"key-a"});
    REQUIRE(is_serving(site));
    Poco::Net::StreamSocket connection;
    connection.connect(Poco::Net::SocketAddress(site.front(0)));
    const std::string common = " /q/ HTTP/1.1\r\nHost: jobs.example\r\nX-Api-Key: key-a\r\n";
    std::string text;
    for (int number = 1; number < requests; ++number)
    {
        text += "GET" + common + "\r\n";
    }
    text += "GET" + common + "Connection: close\r\n\r\n";
    std::thread sender([&] { connection.sendBytes(text.data(), static_cast<int>(text.size())); });
    std::this_thread::sleep_for(milliseconds{500});
    const int answers = count_answers(connection);
    sender.join();
    CHECK(answers == requests);
}

TEST_CASE("connections of one address are limited only if the setting says so")
{
    constexpr int limit = 3;
    batch_site site(1, 1, {}, false, 1, {"--max-connections-per-address", std::to_string(limit)});
    site.configure(1, {"key-a"});
    REQUIRE(is_serving(site));
    std::vector<Poco::Net::StreamSocket> held;
    held.reserve(limit);
    for (int number = 0; number < limit; ++number)
    {
        held.emplace_back(Poco::Net::SocketAddress(site.front(0)));
    }
    CHECK(batch_site::wait_for([&] { return site.call(0, "GET", "").status == 0; }, seconds{5}));
    CHECK(status_of(site.ready(0), "/v1/ready") == 200);
    held.clear();
    CHECK(batch_site::wait_for([&] { return site.call(0, "GET", "").status == 200; }));
    CHECK(batch_site::wait_for(
        [&]
        {
            return site.entry(0).output().find("\"reason\":\"max connections of address\"") !=
                   std::string::npos;
        },
        seconds{5}));
}

} // namespace
