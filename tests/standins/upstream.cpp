#include "chicorylift/core/time.hpp"
#include "net/http_client.hpp"
#include "net/http_server.hpp"
#include "wire/json.hpp"
#include "wire/wire.pb.h"

#include <CLI/CLI.hpp>
#include <atomic>
#include <csignal>
#include <fstream>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

/// Stand-in for an upstream and the worker that it runs on.
///
/// It answers calls, runs tasks by the clock, and writes down what it ran.
namespace
{

using namespace chicorylift;

struct options
{
    std::string listen = "127.0.0.1:0";
    /// Agents beside it; with several, one worker is played for each.
    std::vector<std::string> agents;
    std::int64_t announce_ms = 250;
    int threads = 80;
    std::string service = "listing-svc";
    std::string record;
    std::uint32_t slots = 8;
    std::uint32_t connections = 64;
    std::uint32_t accelerators = 8;
    std::uint32_t cores = 32;
    std::uint32_t memory_gb = 128;
};

/// Ways in which the stand-in fails, set by command.
struct behaviour
{
    std::atomic<std::int64_t> delay_ms = 0;
    std::atomic<bool> fail_calls = false;
    std::atomic<bool> fail_tasks = false;
    /// Answers a call later than its caller waits.
    std::atomic<bool> answer_late = false;
};

/// File of what was run, one line an event; the proofs count from it.
class run_record
{
public:
    explicit run_record(const std::string& path)
    {
        if (!path.empty())
        {
            this->file.open(path, std::ios::app);
        }
    }

    void write(const std::string& event, const std::string& name, const std::string& detail)
    {
        const std::lock_guard lock(this->guard);
        if (this->file.is_open())
        {
            this->file << core::boot_clock::now().time_since_epoch().count() << ' ' << event << ' '
                       << name << ' ' << detail << std::endl;
        }
    }

private:
    std::mutex guard;
    std::ofstream file;
};

struct running_task
{
    wire::worker_task task;
    core::instant started;
};

class upstream
{
public:
    explicit upstream(const options& given) : given(given), record(given.record) {}

    net::server_response answer(const net::server_request& request)
    {
        const std::string& what = request.path_segments.empty() ? "" : request.path_segments[0];
        if (what == "serve")
        {
            return this->serve(request);
        }
        if (what == "tasks")
        {
            return this->tasks(request);
        }
        if (what == "control" && request.path_segments.size() == 3)
        {
            return this->control(request.path_segments[1], std::stoll(request.path_segments[2]));
        }
        return plain(404, "{}");
    }

    [[nodiscard]] bool is_leaving() const { return this->leaving; }

private:
    static net::server_response plain(int status, std::string body)
    {
        net::server_response response;
        response.status = status;
        response.body = std::move(body);
        return response;
    }

    net::server_response control(const std::string& what, std::int64_t value)
    {
        if (what == "delay_ms")
        {
            this->acts.delay_ms = value;
        }
        else if (what == "fail_calls")
        {
            this->acts.fail_calls = value != 0;
        }
        else if (what == "fail_tasks")
        {
            this->acts.fail_tasks = value != 0;
        }
        else if (what == "leave")
        {
            this->leaving = value != 0;
        }
        else
        {
            return plain(404, "{}");
        }
        return plain(200, "{}");
    }

    net::server_response serve(const net::server_request& request)
    {
        const std::string id = request.header("X-Request-Id");
        this->record.write("call", request.body, id);
        std::this_thread::sleep_for(std::chrono::milliseconds(this->acts.delay_ms));
        if (this->acts.fail_calls)
        {
            return plain(500, "{}");
        }
        this->record.write("answer", request.body, id);
        return plain(200, "answer to " + request.body);
    }

    net::server_response tasks(const net::server_request& request)
    {
        const std::lock_guard lock(this->guard);
        this->settle();
        if (request.method == "GET")
        {
            wire::worker_task_list list;
            for (const auto& [key, known] : this->known_tasks)
            {
                *list.add_tasks() = known.task;
            }
            return plain(200, wire::to_compact_json(list));
        }
        if (request.path_segments.size() < 3)
        {
            return plain(404, "{}");
        }
        const std::string key = request.path_segments[1] + "/" + request.path_segments[2];
        return request.method == "POST" ? this->start(key, request.body) : this->stop(key, request);
    }

    net::server_response start(const std::string& key, const std::string& body)
    {
        running_task added;
        if (!wire::from_json_lenient(body, added.task).ok() || this->known_tasks.contains(key))
        {
            return plain(409, "{}");
        }
        this->record.write("task", key, std::to_string(added.task.tasks()));
        added.started = core::boot_clock::now();
        added.task.set_state(this->acts.fail_tasks ? "failed" : "running");
        if (this->acts.fail_tasks)
        {
            this->record.write("end", key, "failed");
        }
        this->known_tasks[key] = added;
        return plain(200, wire::to_compact_json(added.task));
    }

    net::server_response stop(const std::string& key, const net::server_request& request)
    {
        const auto found = this->known_tasks.find(key);
        if (found == this->known_tasks.end())
        {
            wire::worker_task none;
            none.set_state("stopped");
            return plain(200, wire::to_compact_json(none));
        }
        wire::worker_task& task = found->second.task;
        if (task.state() == "running")
        {
            task.set_state("stopped");
            const bool saved =
                request.path_segments.size() > 3 && request.path_segments[3] == "checkpoint";
            this->record.write("end", key, saved ? "checkpointed" : "stopped");
        }
        return plain(200, wire::to_compact_json(task));
    }

    /// Ends the tasks whose time has come.
    void settle()
    {
        const core::instant now = core::boot_clock::now();
        for (auto& [key, known] : this->known_tasks)
        {
            const core::milliseconds length{known.task.run_time_ms()};
            if (known.task.state() == "running" && now - known.started >= length)
            {
                known.task.set_state("succeeded");
                this->record.write("end", key, "succeeded");
            }
        }
    }

    options given;
    behaviour acts;
    std::atomic<bool> leaving = false;
    std::mutex guard;
    std::map<std::string, running_task> known_tasks;
    run_record record;
};

std::string announcement_of(const options& given, const std::string& address)
{
    wire::announcement document;
    document.set_service(given.service);
    document.set_address(address);
    document.set_slots(given.slots);
    document.set_connections(given.connections);
    document.mutable_capacity()->set_accelerators(given.accelerators);
    document.mutable_capacity()->set_cores(given.cores);
    document.mutable_capacity()->set_memory_gb(given.memory_gb);
    return wire::to_json(document);
}

void post_to_agent(const std::string& agent, const std::string& path, const std::string& body)
{
    net::client_request request;
    request.address = agent;
    request.method = "POST";
    request.path = path;
    request.body = body;
    // A frozen agent must not hold up the announcements to the others.
    request.response_timeout = std::chrono::milliseconds(300);
    static_cast<void>(net::send_request(request));
}

/// One upstream with its server and its agent.
class played_worker
{
public:
    played_worker(const options& given, std::string agent_address)
        : agent(std::move(agent_address)), service(given),
          server(given.listen, limits_of(given),
                 [this](const net::server_request& request)
                 { return this->service.answer(request); }),
          announcement(announcement_of(given, this->server.address()))
    {
    }

    /// Announces itself to its agent, or tells it once that it leaves.
    void announce()
    {
        if (!this->service.is_leaving())
        {
            this->left = false;
            post_to_agent(this->agent, "/v1/announce", this->announcement);
        }
        else if (!std::exchange(this->left, true))
        {
            post_to_agent(this->agent, "/v1/leave", "");
        }
    }

    [[nodiscard]] std::string address() const { return this->server.address(); }

private:
    static net::server_limits limits_of(const options& given)
    {
        net::server_limits limits;
        limits.threads = given.threads;
        return limits;
    }

    std::string agent;
    upstream service;
    net::http_server server;
    std::string announcement;
    bool left = false;
};

void add_options(CLI::App& app, options& given)
{
    app.add_option("--listen", given.listen, "IP number and port");
    app.add_option("--agent", given.agents, "HTTP address of the agent beside it, repeated")
        ->required();
    app.add_option("--announce-ms", given.announce_ms, "interval between announcements");
    app.add_option("--threads", given.threads, "threads of each worker that is played");
    app.add_option("--service", given.service, "service that it serves");
    app.add_option("--record", given.record, "file to write down what was run");
    app.add_option("--slots", given.slots, "calls at once");
    app.add_option("--connections", given.connections, "connections at once");
    app.add_option("--accelerators", given.accelerators, "accelerators of the worker");
    app.add_option("--cores", given.cores, "cores of the worker");
    app.add_option("--memory-gb", given.memory_gb, "memory of the worker");
}

} // namespace

int main(int argument_count, char** arguments)
{
    CLI::App app("Stand-in for an upstream and its worker");
    options given;
    add_options(app, given);
    CLI11_PARSE(app, argument_count, arguments);
    sigset_t stops;
    sigemptyset(&stops);
    sigaddset(&stops, SIGTERM);
    sigaddset(&stops, SIGINT);
    pthread_sigmask(SIG_BLOCK, &stops, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    std::vector<std::unique_ptr<played_worker>> workers;
    for (const std::string& agent : given.agents)
    {
        workers.push_back(std::make_unique<played_worker>(given, agent));
    }
    std::cout << "ready " << workers.front()->address() << std::endl;
    constexpr std::int64_t ms_per_second = 1000;
    constexpr std::int64_t ns_per_ms = 1'000'000;
    const timespec interval{given.announce_ms / ms_per_second,
                            given.announce_ms % ms_per_second * ns_per_ms};
    do
    {
        for (const auto& worker : workers)
        {
            worker->announce();
        }
    } while (sigtimedwait(&stops, nullptr, &interval) <= 0);
    return 0;
}
