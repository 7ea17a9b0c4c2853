#include "site.hpp"

#include "net/http_client.hpp"

#include <algorithm>
#include <array>
#include <atomic>
#include <csignal>
#include <cstdio>
#include <fcntl.h>
#include <future>
#include <iostream>
#include <iterator>
#include <netinet/in.h>
#include <random>
#include <sstream>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace chicorylift::review
{

namespace
{

constexpr int cannot_start = 127;

std::string free_address()
{
    constexpr int first_port = 10'000;
    constexpr int port_count = 22'000;
    // Runs at the same time begin in different places: a port is taken only when its process
    // starts.
    static std::atomic<int> next = static_cast<int>(std::random_device{}() % port_count);
    for (int attempt = 0; attempt < port_count; ++attempt)
    {
        const int port = first_port + next++ % port_count;
        const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        const bool is_free =
            ::bind(socket, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
        ::close(socket);
        if (is_free)
        {
            return "127.0.0.1:" + std::to_string(port);
        }
    }
    throw std::runtime_error("no loopback port is free");
}

/// Settings as deploy/settings.template has them, with the bounds of the small installations.
std::string settings_text(const std::string& name, const std::string& zone,
                          const std::string& store)
{
    return "name = \"" + name + "\"\nzone = \"" + zone + "\"\nregion = \"r\"\nlisten = \"" +
           free_address() + "\"\nmetrics = \"" + free_address() + "\"\nstore = \"" + store +
           "\"\nlongest-lease-ms = 6000\nkey-revocation-ms = 5000\nstop-grace-s = 6\n"
           "remote-factor = 3\nrestore-ms = 600\nkeep-ended-s = 120\nmax-row-bytes = 65536\n";
}

} // namespace

daemon_process::daemon_process(std::string role, std::string settings, std::string log)
    : role(std::move(role)), settings(std::move(settings)), log(std::move(log))
{
}

daemon_process::~daemon_process()
{
    this->kill_now();
}

void daemon_process::start()
{
    const std::string boot = "CHICORYLIFT_BOOT=" + this->settings;
    const std::string path = "PATH=/usr/bin:/bin";
    std::array<const char*, 5> arguments{"target/chicoryliftd", "batch", "--role",
                                         this->role.c_str(), nullptr};
    std::array<const char*, 3> environment{boot.c_str(), path.c_str(), nullptr};
    this->pid = ::fork();
    if (this->pid != 0)
    {
        return;
    }
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int out = ::open(this->log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    ::dup2(out, STDOUT_FILENO);
    ::dup2(out, STDERR_FILENO);
    // A listener of a stand-in would stay open in the child after the stand-in has closed it.
    ::closefrom(STDERR_FILENO + 1);
    ::execve(arguments[0], const_cast<char**>(arguments.data()),
             const_cast<char**>(environment.data()));
    ::_exit(cannot_start);
}

void daemon_process::kill_now()
{
    if (this->pid > 0)
    {
        ::kill(this->pid, SIGKILL);
        ::waitpid(this->pid, nullptr, 0);
        this->pid = -1;
    }
}

bool daemon_process::has_ended()
{
    if (this->pid > 0 && ::waitpid(this->pid, nullptr, WNOHANG) == this->pid)
    {
        this->pid = -1;
        return true;
    }
    return false;
}

long daemon_process::resident_kb() const
{
    std::ifstream status("/proc/" + std::to_string(this->pid) + "/status");
    std::string line;
    while (this->pid > 0 && std::getline(status, line))
    {
        if (line.starts_with("VmRSS:"))
        {
            return std::stol(line.substr(line.find(':') + 1));
        }
    }
    return 0;
}

std::string daemon_process::output() const
{
    std::ifstream file(this->log);
    return {std::istreambuf_iterator<char>(file), {}};
}

site::site(std::string where, int entries, int workers)
    : folder(std::move(where)), out(this->folder + "/record.txt"),
      shared{
          this->loop, [this](const std::string& line) { this->record(line); }, {}, {}, {}, {}, {},
          0}
{
    const std::string address = free_address();
    this->store = std::make_unique<testing::site_store>(this->loop, address);
    for (int index = 0; index < workers; ++index)
    {
        const std::string number = std::to_string(index);
        const std::string zone = "z-" + std::to_string(index % 3);
        const std::string app = free_address();
        const std::string control = free_address();
        this->workers.push_back(std::make_unique<worker>(this->shared, "i-" + number, app, control,
                                                         zone, "r-" + number));
        const std::string name = "side-" + number;
        const std::string path = this->folder + "/" + name;
        std::ofstream(path + ".toml")
            << settings_text(name, zone, address) << "control = \"" << control << "\"\nworker = \""
            << app << "\"\nmemory-mb = 128\nmax-descriptors = 4096\n";
        this->agents.push_back(
            std::make_unique<daemon_process>("agent", path + ".toml", path + ".log"));
    }
    for (int index = 0; index < entries; ++index)
    {
        const std::string name = "front-" + std::to_string(index);
        const std::string path = this->folder + "/" + name;
        this->fronts.push_back(free_address());
        this->readiness.push_back(free_address());
        std::ofstream(path + ".toml")
            << settings_text(name, "z-" + std::to_string(index % 3), address) << "front = \""
            << this->fronts.back() << "\"\nready = \"" << this->readiness.back()
            << "\"\nmemory-mb = 260\nmax-descriptors = 4100\n";
        this->entries.push_back(
            std::make_unique<daemon_process>("entry", path + ".toml", path + ".log"));
    }
    this->thread = std::thread([this] { this->loop.run(); });
}

site::~site()
{
    this->entries.clear();
    this->agents.clear();
    this->loop.stop();
    this->thread.join();
    this->workers.clear();
    this->store.reset();
}

void site::record(const std::string& line)
{
    std::array<char, 32> when{};
    std::snprintf(when.data(), when.size(), "%8.3f s  ", this->age());
    const std::lock_guard lock(this->guard);
    this->out << when.data() << line << std::endl;
}

double site::age() const
{
    constexpr double milliseconds_per_second = 1000;
    return static_cast<double>((core::boot_clock::now() - this->began).count()) /
           milliseconds_per_second;
}

void site::configure(const std::vector<queue>& queues)
{
    std::string routes;
    for (const queue& each : queues)
    {
        routes += (routes.empty() ? "" : ",");
        routes += R"({"name":")" + each.name + R"(","host":"jobs.example","pathPrefix":"/)" +
                  each.name + R"(/","kind":"unsafe","timeoutMs":3000,"targetLatencyMs":1500,)" +
                  R"("priority":)" + std::to_string(each.priority) +
                  R"(,"service":"svc","attempts":)" + std::to_string(each.attempts) +
                  R"(,"slowdown":3.0,"public":false})";
    }
    this->store->put("op", "config",
                     R"({"version":7,"routes":[)" + routes +
                         R"(],"services":[{"name":"svc","enforceLimits":false}],)"
                         R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,)"
                         R"("headerTimeoutMs":3000,"idleTimeoutMs":15000},)"
                         R"("tenants":[{"name":"a","apiKeys":["key-a"],"guaranteed":{"gpu":0}},)"
                         R"({"name":"b","apiKeys":["key-b"],"guaranteed":{"gpu":0}}]})");
}

bool site::start(const std::vector<worker_kind>& kinds)
{
    this->run(
        [this, &kinds]
        {
            for (std::size_t index = 0; index < this->workers.size(); ++index)
            {
                this->workers[index]->boot(kinds[std::min(index, kinds.size() - 1)]);
            }
        });
    for (const auto& each : this->agents)
    {
        each->start();
    }
    for (const auto& each : this->entries)
    {
        each->start();
    }
    const bool ready = wait_for(
        [this]
        {
            return std::all_of(this->readiness.begin(), this->readiness.end(),
                               [](const std::string& address)
                               {
                                   net::client_request request;
                                   request.address = address;
                                   request.path = "/v1/ready";
                                   const auto given = net::send_request(request);
                                   return given.ok() && given->status == 200;
                               });
        },
        std::chrono::seconds{10});
    this->record(ready ? "the entries are ready" : "the entries do not become ready");
    return ready;
}

answer site::call(const std::string& method, const std::string& queue, const std::string& job,
                  const std::string& key, const std::string& body, int entry)
{
    net::client_request request;
    request.address = this->fronts[static_cast<std::size_t>(entry)];
    request.host = "jobs.example";
    request.method = method;
    request.path = "/" + queue + "/" + job;
    request.headers = {{"X-Api-Key", key},
                       {"Content-Type", "application/json"},
                       {"Chicorylift-Deadline-Ms", "3000"}};
    request.body = body;
    request.response_timeout = core::milliseconds{3500};
    const auto given = net::send_request(request);
    answer result = given.ok() ? answer{given->status, given->body} : answer{};
    constexpr std::size_t most_shown = 160;
    this->record(method + " " + request.path + " by " + key +
                 (body.empty() ? "" : " " + body.substr(0, most_shown)) + " -> " +
                 (given.ok()
                      ? std::to_string(result.status) + " " + result.body.substr(0, most_shown)
                      : "no answer"));
    return result;
}

void site::expect(const std::string& job, const unit_needs& needs)
{
    this->run([this, &job, &needs] { this->shared.needs[job] = needs; });
}

void site::run(const std::function<void()>& what)
{
    std::promise<void> finished;
    this->loop.post(
        [&what, &finished]
        {
            what();
            finished.set_value();
        });
    finished.get_future().wait();
}

int site::leader() const
{
    int leads = -1;
    long highest = -1;
    for (std::size_t index = 0; index < this->agents.size(); ++index)
    {
        std::istringstream lines(this->agents[index]->output());
        std::string line;
        while (std::getline(lines, line))
        {
            const std::size_t place = line.find("\"epoch\":");
            if (line.find("\"lead_taken\"") == std::string::npos || place == std::string::npos)
            {
                continue;
            }
            constexpr std::size_t name_length = 8;
            const long epoch = std::stol(line.substr(place + name_length));
            if (epoch > highest)
            {
                highest = epoch;
                leads = static_cast<int>(index);
            }
        }
    }
    return leads;
}

std::vector<std::string> site::violations()
{
    std::vector<std::string> copy;
    this->run([this, &copy] { copy = this->shared.violations; });
    return copy;
}

int site::running(const std::string& job)
{
    int count = 0;
    this->run([this, &job, &count] { count = this->shared.running[job]; });
    return count;
}

bool site::is_done(const std::string& job, std::size_t units)
{
    bool done = false;
    this->run([this, &job, &done, units] { done = this->shared.done[job].size() >= units; });
    return done;
}

bool wait_for(const std::function<bool()>& condition, core::milliseconds limit)
{
    constexpr core::milliseconds pause{50};
    const core::instant end = core::boot_clock::now() + limit;
    while (core::boot_clock::now() < end)
    {
        if (condition())
        {
            return true;
        }
        std::this_thread::sleep_for(pause);
    }
    return condition();
}

} // namespace chicorylift::review
