#include "worker.hpp"

#include "platform/json_reader.hpp"

#include <algorithm>
#include <cctype>
#include <chrono>
#include <string_view>
#include <utility>

namespace chicorylift::review
{

namespace
{

using platform::json_reader;

constexpr core::milliseconds report_interval{1500};
constexpr core::milliseconds lease_check_interval{50};
constexpr core::milliseconds stop_time{100};
constexpr std::size_t max_listed_ends = 500;
constexpr int status_conflict = 409;
constexpr int status_bad_request = 400;
constexpr int status_other_boot = 421;

std::int64_t now_ms()
{
    return core::boot_clock::now().time_since_epoch().count();
}

std::int64_t unix_ms()
{
    return std::chrono::duration_cast<core::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

/// @param name in lower case.
std::string header_of(const net::server_request& request, std::string_view name)
{
    const auto matches = [name](const net::http_header& header)
    {
        return std::equal(header.name.begin(), header.name.end(), name.begin(), name.end(),
                          [](unsigned char left, unsigned char right)
                          { return std::tolower(left) == right; });
    };
    const auto found = std::find_if(request.headers.begin(), request.headers.end(), matches);
    return found == request.headers.end() ? std::string{} : found->value;
}

std::string job_of(const std::string& unit)
{
    return unit.substr(0, unit.find('.'));
}

} // namespace

worker::worker(worker_group& group, std::string id, std::string address, std::string agent,
               std::string zone, std::string rack)
    : group(group), id(std::move(id)), address(std::move(address)), agent(std::move(agent)),
      zone(std::move(zone)), rack(std::move(rack)), client(group.loop)
{
}

worker::~worker()
{
    *this->alive = false;
}

void worker::boot(const worker_kind& what)
{
    this->kind = what;
    this->born = std::max(unix_ms(), this->group.last_born + 1);
    this->group.last_born = this->born;
    this->sequence = 0;
    this->fencing_token = 0;
    this->lease_until = 0;
    this->next_end = 1;
    this->alive = std::make_shared<bool>(true);
    net::async_server_limits limits;
    limits.idle_timeout = std::chrono::minutes{5};
    this->server = std::make_unique<net::async_http_server>(
        this->group.loop, this->address, limits,
        [this](const net::server_request& request, const responder& respond)
        { this->answer(request, respond); });
    this->group.record(this->id + " boots: cpu " + std::to_string(what.capacity.cpu) + ", memMb " +
                       std::to_string(what.capacity.memory) + ", gpu " +
                       std::to_string(what.capacity.accelerators) + ", label " + what.label);
    this->report();
    this->watch_lease();
}

void worker::crash()
{
    this->group.record(this->id + " crashes with " + std::to_string(this->runs.size()) + " units");
    *this->alive = false;
    this->server.reset();
    this->client.close_all();
    for (const auto& [unit, each] : this->runs)
    {
        --this->group.running[job_of(unit)];
    }
    this->runs.clear();
    this->barred.clear();
    this->ends.clear();
    this->waiting.clear();
}

void worker::fail_units(const std::string& job)
{
    std::vector<std::string> units;
    for (const auto& [unit, each] : this->runs)
    {
        if (job_of(unit) == job)
        {
            units.push_back(unit);
        }
    }
    for (const std::string& unit : units)
    {
        this->group.record(unit + " fails on " + this->id);
        this->finish(unit, "failed");
    }
}

void worker::report()
{
    net::client_request request;
    request.address = this->agent;
    request.method = "PUT";
    request.path = "/v1/instances/" + this->id;
    request.headers = {{"Content-Type", "application/json"}};
    const amount& room = this->kind.capacity;
    request.body =
        R"({"service":"svc","address":")" + this->address + R"(","zone":")" + this->zone +
        R"(","version":"v1","slots":8,"state":"ready","coldLeftMs":0,)" + R"("capacity":{"cpu":)" +
        std::to_string(room.cpu) + R"(,"memMb":)" + std::to_string(room.memory) + R"(,"gpu":)" +
        std::to_string(room.accelerators) + R"(},"labels":[")" + this->kind.label + R"(",")" +
        this->rack + R"("],"clockMs":)" + std::to_string(now_ms()) + R"(,"born":)" +
        std::to_string(this->born) + R"(,"seq":)" + std::to_string(++this->sequence) + "}";
    this->client.send(std::move(request), [](const absl::StatusOr<net::client_response>&) {});
    this->group.loop.run_after(report_interval,
                               [this, still = this->alive]
                               {
                                   if (*still)
                                   {
                                       this->report();
                                   }
                               });
}

void worker::watch_lease()
{
    while (!this->runs.empty() && now_ms() > this->lease_until)
    {
        this->finish(this->runs.begin()->first, "lapsed");
    }
    this->group.loop.run_after(lease_check_interval,
                               [this, still = this->alive]
                               {
                                   if (*still)
                                   {
                                       this->watch_lease();
                                   }
                               });
}

void worker::answer(const net::server_request& request, const responder& respond)
{
    auto body = json_reader::parse(request.body);
    if (!body.ok() || request.path_segments.size() != 2)
    {
        respond(this->plain(status_bad_request, ""));
        return;
    }
    const std::string expected = header_of(request, "chicorylift-expect-instance");
    if (!expected.empty() && expected != this->id)
    {
        respond(this->plain(status_other_boot, ""));
        return;
    }
    const auto token = static_cast<std::uint64_t>(body->get_integer("fencingToken", false));
    if (token < this->fencing_token)
    {
        respond(this->plain(status_conflict, "fence"));
        return;
    }
    this->fencing_token = token;
    this->lease_until = std::max(this->lease_until, body->get_integer("deadlineMs", false));
    const std::string& call = request.path_segments[1];
    const std::string unit = body->get_string("task", false);
    const auto number = static_cast<std::uint64_t>(body->get_integer("run", false));
    if (call == "run-start")
    {
        const std::string refused = this->begin(unit, number, body->get_string("spec", false));
        respond(this->plain(refused.empty() ? 200 : status_conflict, refused));
        return;
    }
    if (call == "run-stop")
    {
        std::uint64_t& bar = this->barred[unit];
        bar = std::max(bar, number);
        const auto found = this->runs.find(unit);
        if (found != this->runs.end() && found->second.number <= number)
        {
            found->second.stopping = true;
            this->group.loop.run_after(
                stop_time,
                [this, still = this->alive, unit, token = found->second.token]
                {
                    const auto there = *still ? this->runs.find(unit) : this->runs.end();
                    if (*still && there != this->runs.end() && there->second.token == token)
                    {
                        this->finish(unit, "stopped");
                    }
                });
        }
        respond(this->plain(200, ""));
        return;
    }
    const auto noted = static_cast<std::uint64_t>(body->get_integer("lastSeen", false));
    std::erase_if(this->ends, [noted](const ended_run& each) { return each.number <= noted; });
    const core::milliseconds wait{body->get_integer("waitMs", false)};
    if (wait.count() == 0 || !this->ends.empty())
    {
        respond(this->lists());
        return;
    }
    const std::uint64_t number_of_call = ++this->next_call;
    this->waiting.push_back({number_of_call, respond});
    this->group.loop.run_after(wait,
                               [this, still = this->alive, number_of_call]
                               {
                                   if (!*still)
                                   {
                                       return;
                                   }
                                   const auto found =
                                       std::find_if(this->waiting.begin(), this->waiting.end(),
                                                    [number_of_call](const waiting_call& each)
                                                    { return each.id == number_of_call; });
                                   if (found != this->waiting.end())
                                   {
                                       const responder respond_now = found->respond;
                                       this->waiting.erase(found);
                                       respond_now(this->lists());
                                   }
                               });
}

std::string worker::begin(const std::string& unit, std::uint64_t number, const std::string& payload)
{
    const auto there = this->runs.find(unit);
    if (there != this->runs.end() && there->second.number == number)
    {
        return "";
    }
    if (this->barred[unit] >= number)
    {
        return "old";
    }
    if (now_ms() > this->lease_until)
    {
        return "late";
    }
    run fresh;
    fresh.number = number;
    fresh.began_ms = now_ms();
    fresh.fails = payload.starts_with("fail");
    fresh.lasts = payload.starts_with("last");
    fresh.duration_ms = std::stoll(payload.substr(payload.find(' ') + 1));
    fresh.token = ++this->next_token;
    this->runs[unit] = fresh;
    ++this->group.running[job_of(unit)];
    ++this->group.starts[job_of(unit)];
    this->check(unit);
    if (fresh.lasts)
    {
        return "";
    }
    this->group.loop.run_after(core::milliseconds{fresh.duration_ms},
                               [this, still = this->alive, unit, token = fresh.token]
                               {
                                   const auto found =
                                       *still ? this->runs.find(unit) : this->runs.end();
                                   if (*still && found != this->runs.end() &&
                                       found->second.token == token && !found->second.stopping)
                                   {
                                       this->finish(unit, found->second.fails ? "failed" : "done");
                                   }
                               });
    return "";
}

void worker::check(const std::string& unit)
{
    amount used;
    for (const auto& [name, each] : this->runs)
    {
        const amount& one = this->group.needs[job_of(name)].each;
        used.cpu += one.cpu;
        used.memory += one.memory;
        used.accelerators += one.accelerators;
    }
    const amount& room = this->kind.capacity;
    if (used.cpu > room.cpu || used.memory > room.memory || used.accelerators > room.accelerators)
    {
        this->group.violations.push_back(
            "LIMIT: " + unit + " starts on " + this->id + " (born " + std::to_string(this->born) +
            "), which then holds cpu " + std::to_string(used.cpu) + ", memMb " +
            std::to_string(used.memory) + ", gpu " + std::to_string(used.accelerators) +
            " of cpu " + std::to_string(room.cpu) + ", memMb " + std::to_string(room.memory) +
            ", gpu " + std::to_string(room.accelerators));
        this->group.record(this->group.violations.back());
    }
    const std::string& label = this->group.needs[job_of(unit)].label;
    if (!label.empty() && label != this->kind.label)
    {
        this->group.violations.push_back("ROUTE: " + unit + " starts on " + this->id +
                                         ", which lacks the label " + label);
        this->group.record(this->group.violations.back());
    }
}

void worker::finish(const std::string& named, const std::string& how)
{
    const auto node = this->runs.extract(this->runs.find(named));
    const std::string& unit = node.key();
    std::uint64_t& bar = this->barred[unit];
    bar = std::max(bar, node.mapped().number);
    this->ends.push_back({this->next_end++, unit, node.mapped().number, how});
    --this->group.running[job_of(unit)];
    if (how == "done")
    {
        this->group.done[job_of(unit)].insert(unit);
    }
    this->answer_waiting();
}

void worker::answer_waiting()
{
    std::vector<waiting_call> all;
    all.swap(this->waiting);
    for (const waiting_call& each : all)
    {
        each.respond(this->lists());
    }
}

net::server_response worker::plain(int status, const std::string& reason) const
{
    net::server_response response;
    response.status = status;
    response.body = R"({"clockMs":)" + std::to_string(now_ms()) + R"(,"born":)" +
                    std::to_string(this->born) +
                    (reason.empty() ? "" : R"(,"reason":")" + reason + "\"") + "}";
    return response;
}

net::server_response worker::lists() const
{
    std::string text = R"({"clockMs":)" + std::to_string(now_ms()) + R"(,"born":)" +
                       std::to_string(this->born) + R"(,"running":[)";
    constexpr std::int64_t most_percent = 99;
    bool first = true;
    for (const auto& [unit, each] : this->runs)
    {
        const std::int64_t percent =
            each.lasts ? 100
                       : std::min(most_percent, 100 * (now_ms() - each.began_ms) /
                                                    std::max<std::int64_t>(1, each.duration_ms));
        text += (first ? "" : ",");
        text += R"([")" + unit + R"(",)" + std::to_string(each.number) + R"(,"",)" +
                std::to_string(percent) + ",0]";
        first = false;
    }
    text += R"(],"finished":[)";
    for (std::size_t index = 0; index < std::min(this->ends.size(), max_listed_ends); ++index)
    {
        const ended_run& each = this->ends[index];
        text += (index == 0 ? "[" : ",[") + std::to_string(each.number) + R"(,")" + each.unit +
                R"(",)" + std::to_string(each.run) + R"(,")" + each.how + R"(",""])";
    }
    net::server_response response;
    response.body = text + "]}";
    return response;
}

} // namespace chicorylift::review
