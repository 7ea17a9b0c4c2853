#include "deployment.hpp"

#include "net/http_client.hpp"

#include <array>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <utility>

namespace chicorylift::review
{

namespace
{

constexpr const char* settings_variable = "CHICORYLIFT_BOOT";
// `rowBytes` of a small installation.
constexpr std::size_t row_bytes = 65536;
constexpr const char* program = "target/chicoryliftd";

std::string fresh_folder()
{
    std::string pattern = std::filesystem::temp_directory_path() / "chicorylift-review-XXXXXX";
    return ::mkdtemp(pattern.data());
}

/// @return the route of a tenant's queue, as manifests contain it.
std::string route(const std::string& name, int priority)
{
    return R"({"name":")" + name + R"(","host":"jobs.example","pathPrefix":"/)" + name +
           R"(/","kind":"unsafe","timeoutMs":3000,"targetLatencyMs":600,"priority":)" +
           std::to_string(priority) +
           R"(,"service":"svc","attempts":2,"slowdown":3.0,"public":false})";
}

} // namespace

deployment::deployment(const std::string& record_path, const deployment_size& size)
    : temporary(fresh_folder()), output(record_path, std::ios::trunc)
{
    const std::string table_address = testing::free_address();
    const std::string store_address = testing::free_address();
    this->table = std::make_unique<testing::site_store>(this->loop, table_address);
    this->store_front =
        std::make_unique<row_limit>(this->loop, store_address, table_address, row_bytes);
    std::vector<testing::worker_place> places;
    places.reserve(static_cast<std::size_t>(size.workers));
    for (int index = 0; index < size.workers; ++index)
    {
        places.push_back({"i-" + std::to_string(index), testing::free_address(),
                          testing::free_address(), "r" + std::to_string(index / 3)});
    }
    this->machines = std::make_unique<testing::site_workers>(this->loop, places);
    this->thread = std::thread([this] { this->loop.run(); });
    this->write_config();
    for (int index = 0; index < size.workers; ++index)
    {
        const testing::worker_place& place = places[static_cast<std::size_t>(index)];
        this->agents.push_back(this->start(
            "agent", "side-" + std::to_string(index),
            "store = \"" + store_address + "\"\ncontrol = \"" + place.agent + "\"\nworker = \"" +
                place.address + "\"\nmemory-mb = " + std::to_string(size.agent_memory_mb) + "\n"));
    }
    for (int index = 0; index < size.entries; ++index)
    {
        this->fronts.push_back(testing::free_address());
        this->entries.push_back(this->start("entry", "front-" + std::to_string(index),
                                            "store = \"" + store_address + "\"\nfront = \"" +
                                                this->fronts.back() + "\"\nready = \"" +
                                                testing::free_address() + "\"\nmemory-mb = 260\n"));
    }
}

deployment::~deployment()
{
    this->entries.clear();
    this->agents.clear();
    this->loop.stop();
    this->thread.join();
    this->machines.reset();
    this->store_front.reset();
    this->table.reset();
    const char* const keep = std::getenv("KEEP_LOGS");
    if (keep == nullptr)
    {
        std::filesystem::remove_all(this->temporary);
    }
    else
    {
        std::printf("logs in %s\n", this->temporary.c_str());
    }
}

testing::process deployment::start(const std::string& role, const std::string& name,
                                   const std::string& settings)
{
    // The fields of deploy/settings.template, with the bounds of a small installation.
    const std::string path = this->temporary + "/" + name + ".settings";
    std::ofstream(path) << "name = \"" << name << "\"\nzone = \"z\"\nregion = \"r\"\nlisten = \""
                        << testing::free_address() << "\"\nmetrics = \"" << testing::free_address()
                        << "\"\n"
                        << settings
                        << "longest-lease-ms = 6000\nkey-revocation-ms = 5000\nstop-grace-s = 6\n"
                           "remote-factor = 3\nrestore-ms = 600\nkeep-ended-s = 120\n"
                           "max-descriptors = 4096\n";
    ::setenv(settings_variable, path.c_str(), 1);
    testing::process started({program, "batch", "--role", role},
                             this->temporary + "/" + name + ".log");
    ::unsetenv(settings_variable);
    return started;
}

void deployment::restart_agent(int index)
{
    const std::string path = this->temporary + "/side-" + std::to_string(index) + ".settings";
    ::setenv(settings_variable, path.c_str(), 1);
    this->agent(index).restart();
    ::unsetenv(settings_variable);
}

void deployment::write_config()
{
    this->table->put("op", "config",
                     R"({"version":1,"routes":[)" + route("match", 0) + "," + route("photo", 1) +
                         "," + route("clean", 2) +
                         R"(],"services":[{"name":"svc","enforceLimits":false}],)"
                         R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,)"
                         R"("headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[)"
                         R"({"name":"a","apiKeys":["key-a"],"guaranteed":{"gpu":8}},)"
                         R"({"name":"b","apiKeys":["key-b"],"guaranteed":{"gpu":8}}]})");
}

double deployment::seconds() const
{
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - this->began).count();
}

void deployment::record(const std::string& line)
{
    constexpr std::size_t number_length = 32;
    std::array<char, number_length> time{};
    std::snprintf(time.data(), time.size(), "%8.3f ", this->seconds());
    const std::lock_guard lock(this->output_guard);
    this->output << time.data() << line << std::endl;
}

answer deployment::call(int entry, const std::string& method, const std::string& route,
                        const std::string& job, const std::string& key, const std::string& body,
                        std::chrono::milliseconds patience)
{
    net::client_request request;
    request.address = this->fronts[static_cast<std::size_t>(entry)];
    request.method = method;
    request.path = "/" + route + "/" + job;
    request.headers = {{"X-Api-Key", key},
                       {"Content-Type", "application/json"},
                       {"Chicorylift-Deadline-Ms", "3000"}};
    request.host = "jobs.example";
    request.body = body;
    request.response_timeout = patience;
    const auto got = net::send_request(request);
    answer result = got.ok() ? answer{got->status, got->body} : answer{};
    constexpr std::size_t shown = 160;
    this->record("front-" + std::to_string(entry) + " " + method + " " + request.path + " key " +
                 key + " " + std::to_string(body.size()) + " bytes " + body.substr(0, shown) +
                 " -> " + std::to_string(result.status) + " " + result.body.substr(0, shown));
    return result;
}

bool deployment::submit(const std::string& route, const std::string& job, const std::string& key,
                        const std::string& body)
{
    constexpr int attempts = 5;
    for (int attempt = 0; attempt < attempts; ++attempt)
    {
        const int status =
            this->call(attempt % this->entry_count(), "POST", route, job, key, body).status;
        if (status >= 200 && status < 300)
        {
            return true;
        }
        std::this_thread::sleep_for(std::chrono::seconds{1});
    }
    return false;
}

std::string deployment::state_of(const std::string& route, const std::string& job,
                                 const std::string& key)
{
    for (int entry = 0; entry < this->entry_count(); ++entry)
    {
        const std::string body = this->call(entry, "GET", route, job, key).body;
        const std::size_t at = body.find("\"state\":\"");
        if (at != std::string::npos)
        {
            const std::size_t first = at + std::string("\"state\":\"").size();
            return body.substr(first, body.find('"', first) - first);
        }
    }
    return {};
}

bool deployment::wait_for_state(const std::string& route, const std::string& job,
                                const std::string& key, const std::string& state,
                                std::chrono::milliseconds limit)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    constexpr std::chrono::milliseconds pause{500};
    for (;;)
    {
        if (this->state_of(route, job, key) == state)
        {
            return true;
        }
        if (std::chrono::steady_clock::now() + pause > end)
        {
            return false;
        }
        std::this_thread::sleep_for(pause);
    }
}

bool deployment::wait_until_ready(std::chrono::milliseconds limit)
{
    // An unknown job is answered 410 as soon as an entry has read manifest and store.
    return wait_for(
        [this]
        {
            for (int entry = 0; entry < this->entry_count(); ++entry)
            {
                if (this->call(entry, "GET", "match", "00000000000000ff", "key-a").status != 410)
                {
                    return false;
                }
            }
            return true;
        },
        limit);
}

int deployment::agent_memory_mb(int agent) const
{
    const testing::process& one = this->agents[static_cast<std::size_t>(agent)];
    if (!one.is_running())
    {
        return 0;
    }
    std::ifstream statm("/proc/" + std::to_string(one.id()) + "/statm");
    long total = 0;
    long resident = 0;
    statm >> total >> resident;
    constexpr long page_bytes = 4096;
    constexpr long mb = 1 << 20;
    return static_cast<int>(resident * page_bytes / mb);
}

int deployment::leader() const
{
    // The last to take the lead has the highest epoch.
    const std::string taken = "\"event\":\"lead_taken\",\"epoch\":";
    int found = -1;
    long highest = 0;
    for (int index = 0; index < this->agent_count(); ++index)
    {
        const std::string log = this->agent_log(index);
        const std::size_t at = log.rfind(taken);
        const long epoch =
            at == std::string::npos ? 0 : std::strtol(log.c_str() + at + taken.size(), nullptr, 10);
        if (epoch > highest)
        {
            highest = epoch;
            found = index;
        }
    }
    return found;
}

std::string deployment::agent_log(int agent) const
{
    return this->agents[static_cast<std::size_t>(agent)].output();
}

std::string deployment::entry_log(int entry) const
{
    return this->entries[static_cast<std::size_t>(entry)].output();
}

bool has_trouble()
{
    const char* const value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

bool wait_for(const std::function<bool()>& condition, std::chrono::milliseconds limit)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    constexpr std::chrono::milliseconds pause{100};
    while (!condition())
    {
        if (std::chrono::steady_clock::now() > end)
        {
            return false;
        }
        std::this_thread::sleep_for(pause);
    }
    return true;
}

} // namespace chicorylift::review
