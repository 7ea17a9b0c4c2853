#include "support/batch_site.hpp"

#include "net/http_client.hpp"

#include <cstdlib>
#include <filesystem>

namespace chicorylift::testing
{

namespace
{

/// Reads a variable of the tests and hides it from the daemons, which refuse what they don't know.
std::string take_variable(const char* name)
{
    const char* const value = std::getenv(name);
    std::string text = value == nullptr ? "" : value;
    ::unsetenv(name);
    return text;
}

bool keeps_logs()
{
    static const bool keep = !take_variable("CHICORYLIFT_KEEP").empty();
    return keep;
}

std::string fresh_folder()
{
    std::string pattern = std::filesystem::temp_directory_path() / "chicorylift-site-XXXXXX";
    return ::mkdtemp(pattern.data());
}

} // namespace

std::string daemon_path()
{
    static const std::string folder = take_variable("CHICORYLIFT_BIN");
    static const bool hidden = keeps_logs() || !take_variable("CHICORYLIFT_UPDATE_GOLDEN").empty();
    static_cast<void>(hidden);
    return (folder.empty() ? "build" : folder) + "/chicoryliftd";
}

batch_site::batch_site(int entry_count, int agent_count,
                       const std::vector<std::string>& agent_flags, bool relays_store, int zones,
                       const std::vector<std::string>& entry_flags)
    : folder(fresh_folder()), zones(zones)
{
    const std::string store = free_address();
    this->table = std::make_unique<site_store>(this->loop, store);
    std::vector<worker_place> places;
    for (int index = 0; index < agent_count; ++index)
    {
        const std::string number = std::to_string(index);
        places.push_back(
            {"i-" + number, free_address(), free_address(), "r" + std::to_string(index / 2)});
        places.back().zone = this->zone(index);
    }
    this->machines = std::make_unique<site_workers>(this->loop, places);
    this->thread = std::thread([this] { this->loop.run(); });
    for (int index = 0; index < agent_count; ++index)
    {
        const std::string name = "agent-" + std::to_string(index);
        const worker_place& place = places[static_cast<std::size_t>(index)];
        member one;
        one.metrics = free_address();
        one.listen = free_address();
        one.control = place.agent;
        if (relays_store)
        {
            this->store_links.push_back(std::make_unique<relay>(store));
        }
        const std::string store_address =
            relays_store ? this->store_links.back()->address() : store;
        std::vector<std::string> command{daemon_path(), "batch",       "--role",    "agent",
                                         "--name",      name,          "--zone",    place.zone,
                                         "--region",    "r",           "--listen",  one.listen,
                                         "--control",   place.agent,   "--worker",  place.address,
                                         "--store",     store_address, "--metrics", one.metrics};
        command.insert(command.end(), agent_flags.begin(), agent_flags.end());
        one.program = process(command, this->folder + "/" + name + ".log");
        this->agents.push_back(std::move(one));
    }
    for (int index = 0; index < entry_count; ++index)
    {
        const std::string name = "entry-" + std::to_string(index);
        member one;
        if (relays_store)
        {
            this->entry_links.push_back(std::make_unique<relay>(store));
        }
        const std::string store_address =
            relays_store ? this->entry_links.back()->address() : store;
        one.front = free_address();
        one.ready = free_address();
        one.metrics = free_address();
        std::vector<std::string> command{daemon_path(), "batch",       "--role",    "entry",
                                         "--name",      name,          "--zone",    "z",
                                         "--region",    "r",           "--listen",  free_address(),
                                         "--front",     one.front,     "--ready",   one.ready,
                                         "--store",     store_address, "--metrics", one.metrics};
        command.insert(command.end(), entry_flags.begin(), entry_flags.end());
        one.program = process(command, this->folder + "/" + name + ".log");
        this->entries.push_back(std::move(one));
    }
}

batch_site::~batch_site()
{
    this->entries.clear();
    this->agents.clear();
    this->store_links.clear();
    this->entry_links.clear();
    this->loop.stop();
    this->thread.join();
    this->machines.reset();
    this->table.reset();
    if (!this->keeps && !keeps_logs())
    {
        std::filesystem::remove_all(this->folder);
    }
}

void batch_site::configure(std::uint64_t version, const std::vector<std::string>& keys,
                           int extra_routes)
{
    std::string extra;
    const auto add_public_route = [&extra](const std::string& name)
    {
        extra += R"(,{"name":"r-)" + name + R"(","host":"jobs.example","pathPrefix":"/)" + name +
                 R"(/","kind":"unsafe","timeoutMs":3000,"targetLatencyMs":1500,"priority":1,)"
                 R"("service":"svc","attempts":2,"slowdown":3.0,"public":true})";
    };
    for (int index = 0; index < extra_routes; ++index)
    {
        add_public_route("extra" + std::to_string(index));
    }
    if (extra_routes > 0)
    {
        add_public_route("version" + std::to_string(version));
    }
    std::string list;
    for (const std::string& key : keys)
    {
        list += (list.empty() ? "\"" : ",\"") + key + "\"";
    }
    this->table->put(
        "op", "config",
        R"({"version":)" + std::to_string(version) +
            R"(,"routes":[{"name":"q","host":"jobs.example","pathPrefix":"/q/","kind":"unsafe",)"
            R"("timeoutMs":3000,"targetLatencyMs":500,"priority":0,"service":"svc","attempts":2,)"
            R"("slowdown":2.0,"public":false})" +
            extra +
            R"(],"services":[{"name":"svc"}],)"
            R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,)"
            R"("idleTimeoutMs":15000},"tenants":[{"name":"a","apiKeys":[)" +
            list + R"(],"guaranteed":{"gpu":8}}]})");
}

caller_answer batch_site::call(int entry, const std::string& method, const std::string& job,
                               const std::string& body, const std::string& key) const
{
    net::client_request request;
    request.address = this->entries[static_cast<std::size_t>(entry)].front;
    request.method = method;
    request.path = "/q/" + job;
    request.headers = {{"X-Api-Key", key}, {"Chicorylift-Deadline-Ms", "3000"}};
    request.host = "jobs.example";
    request.body = body;
    request.response_timeout = std::chrono::milliseconds{3500};
    const auto answer = net::send_request(request);
    return answer.ok() ? caller_answer{answer->status, answer->body} : caller_answer{};
}

caller_answer batch_site::get(int entry, const std::string& path) const
{
    net::client_request request;
    request.address = this->entries[static_cast<std::size_t>(entry)].front;
    request.path = path;
    request.host = "jobs.example";
    const auto answer = net::send_request(request);
    return answer.ok() ? caller_answer{answer->status, answer->body} : caller_answer{};
}

bool batch_site::wait_for(const std::function<bool()>& condition, core::milliseconds limit)
{
    constexpr core::milliseconds pause{20};
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

bool batch_site::wait_for_state(const std::string& job, const std::string& state,
                                core::milliseconds limit) const
{
    return wait_for([&] { return this->call(0, "GET", job).body.find(state) != std::string::npos; },
                    limit);
}

int batch_site::leader() const
{
    // The last to take the lead has the highest epoch.
    int found = -1;
    long highest = 0;
    for (std::size_t index = 0; index < this->agents.size(); ++index)
    {
        const std::string log = this->agents[index].program.output();
        std::size_t at = log.rfind("\"event\":\"lead_taken\"");
        if (at != std::string::npos)
        {
            at = log.find("\"epoch\":", at);
            const long epoch = std::atol(log.c_str() + at + 8);
            if (epoch > highest)
            {
                highest = epoch;
                found = static_cast<int>(index);
            }
        }
    }
    return found;
}

std::string batch_site::front(int entry) const
{
    return this->entries[static_cast<std::size_t>(entry)].front;
}

std::string batch_site::ready(int entry) const
{
    return this->entries[static_cast<std::size_t>(entry)].ready;
}

std::string batch_site::metrics(int entry) const
{
    return this->entries[static_cast<std::size_t>(entry)].metrics;
}

std::string batch_site::zone(int agent) const
{
    return this->zones == 1 ? "z" : "z" + std::to_string(agent / 2 % this->zones);
}

std::string batch_site::agent_metrics(int agent) const
{
    return this->agents[static_cast<std::size_t>(agent)].metrics;
}

std::string batch_site::agent_address(int agent) const
{
    return this->agents[static_cast<std::size_t>(agent)].listen;
}

std::string batch_site::control(int agent) const
{
    return this->agents[static_cast<std::size_t>(agent)].control;
}

std::string job_body(const std::string& payload, int units, int accelerators, bool gang)
{
    return R"({"spec":")" + payload + R"(","steps":[{"count":)" + std::to_string(units) +
           R"(,"cpu":1000,"memMb":1000,"gpu":)" + std::to_string(accelerators) +
           R"(,"estimateMs":300)" + (gang ? R"(,"gang":true)" : "") + "}]}";
}

} // namespace chicorylift::testing
