#include "chicorylift/core/registry.hpp"
#include "chicorylift/core/time.hpp"
#include "net/http_client.hpp"
#include "replay.hpp"
#include "store/table.hpp"
#include "support/process.hpp"
#include "wire/json.hpp"
#include "wire/wire.pb.h"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <map>
#include <memory>
#include <sstream>
#include <thread>
#include <unistd.h>

/// Measures what control costs: bytes on the wire, processor time, memory, reads and writes.
namespace
{

using namespace chicorylift;
using testing::free_address;
using testing::process;

constexpr const char* operator_token = "operators-secret";
constexpr std::uint32_t racks_per_cell = 8;
constexpr std::uint32_t workers_per_rack = 3;
constexpr core::milliseconds heartbeat{3000};
// IP and TCP headers with time stamps, for each segment in either direction.
constexpr std::uint64_t header_bytes = 52;
constexpr double ms_per_second = 1000.0;

std::string binary(const std::string& name)
{
    const char* folder = std::getenv("CHICORYLIFT_BIN");
    return std::string(folder != nullptr ? folder : ".") + "/" + name;
}

/// What one process has used so far.
struct usage
{
    double cpu_seconds{};
    double memory_mb{};
    std::uint64_t wire_bytes{};
    std::uint64_t segments{};
};

struct table_traffic
{
    double reads{};
    double writes{};
    double bytes{};
};

std::uint64_t number_after(const std::string& line, const std::string& name)
{
    const std::size_t at = line.find(" " + name + ":");
    return at == std::string::npos ? 0 : std::stoull(line.substr(at + name.size() + 2));
}

/// Reads processor time and memory of a process.
usage process_usage(pid_t pid)
{
    constexpr int utime_field = 14;
    constexpr double mb = 1024.0 * 1024.0;
    usage used;
    std::ifstream stat("/proc/" + std::to_string(pid) + "/stat");
    std::string word;
    for (int field = 1; stat >> word; ++field)
    {
        if (field == utime_field || field == utime_field + 1)
        {
            used.cpu_seconds += std::stod(word) / static_cast<double>(::sysconf(_SC_CLK_TCK));
        }
    }
    std::ifstream statm("/proc/" + std::to_string(pid) + "/statm");
    double pages = 0;
    statm >> pages >> pages;
    used.memory_mb = pages * static_cast<double>(::sysconf(_SC_PAGESIZE)) / mb;
    return used;
}

/// Adds the bytes of all open connections between processes, headers and acknowledgements too.
void add_wire_bytes(std::map<pid_t, usage>& all)
{
    FILE* listing = ::popen("ss -tinpOH state established", "r");
    if (listing == nullptr)
    {
        return;
    }
    constexpr std::size_t longest_line = 4096;
    std::string line(longest_line, '\0');
    while (std::fgets(line.data(), static_cast<int>(line.size()), listing) != nullptr)
    {
        const std::string text(line.c_str());
        const std::size_t at = text.find("pid=");
        const bool ours = text.find("\"chicoryliftd\"") != std::string::npos;
        if (at == std::string::npos || !ours)
        {
            continue;
        }
        usage& used = all[static_cast<pid_t>(std::stol(text.substr(at + 4)))];
        const std::uint64_t segments =
            number_after(text, "segs_out") + number_after(text, "segs_in");
        used.segments += segments;
        used.wire_bytes += number_after(text, "bytes_sent") + number_after(text, "bytes_received") +
                           segments * header_bytes;
    }
    ::pclose(listing);
}

/// A fleet of real agents in cells of whole racks, with one process that plays their upstreams.
class fleet
{
public:
    fleet(std::size_t agent_count, std::size_t entry_count)
    {
        std::string pattern = "/tmp/chicorylift-capacity-XXXXXX";
        this->folder = ::mkdtemp(pattern.data());
        this->platform_address = free_address();
        this->platform = process({binary("standin_platform"), "--listen", this->platform_address},
                                 this->folder + "/platform.log");
        for (std::size_t index = 0; index < entry_count; ++index)
        {
            this->start_entry(index);
        }
        std::vector<std::string> upstream{binary("standin_upstream"), "--announce-ms", "2000",
                                          "--threads", "4"};
        for (std::size_t index = 0; index < agent_count; ++index)
        {
            upstream.push_back("--agent");
            upstream.push_back(this->start_agent(index));
        }
        this->upstreams = process(upstream, this->folder + "/upstreams.log");
        const core::instant limit = core::boot_clock::now() + std::chrono::seconds(20);
        while (!this->ask("GET", "/healthz").ok() && core::boot_clock::now() < limit)
        {
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
    }

    ~fleet()
    {
        this->upstreams = process();
        this->agents.clear();
        this->entries.clear();
        this->platform = process();
        static_cast<void>(std::system(("rm -rf " + this->folder).c_str()));
    }
    fleet(const fleet&) = delete;
    fleet& operator=(const fleet&) = delete;

    absl::StatusOr<net::client_response> ask(const std::string& method, const std::string& path,
                                             const std::string& body = "",
                                             std::size_t entry = 0) const
    {
        net::client_request request;
        request.address = this->entry_addresses.at(entry);
        request.method = method;
        request.path = path;
        request.body = body;
        request.headers = {{"Authorization", std::string("Bearer ") + operator_token}};
        return net::exchange(request);
    }

    wire::status_document status() const
    {
        wire::status_document document;
        const auto answer = this->ask("GET", "/v1/status");
        if (answer.ok())
        {
            static_cast<void>(wire::from_row(answer->body, document));
        }
        return document;
    }

    /// @return members that are live and have @p version in force.
    std::size_t members_with(std::uint32_t version) const
    {
        std::size_t count = 0;
        const wire::status_document shown = this->status();
        for (const wire::cell_document& cell : shown.cells())
        {
            for (const wire::member_status& member : cell.members())
            {
                count += member.state() == "live" && member.config_version() >= version ? 1 : 0;
            }
        }
        return count;
    }

    bool wait_members(std::size_t count, std::uint32_t version, core::milliseconds patience) const
    {
        const core::instant limit = core::boot_clock::now() + patience;
        while (this->members_with(version) < count)
        {
            if (core::boot_clock::now() >= limit)
            {
                return false;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
        }
        return true;
    }

    /// @return the number of agents whose log says that @p version came into force.
    std::size_t logs_with(std::uint32_t version)
    {
        const std::string wanted = "\"version\":\"" + std::to_string(version) + "\"";
        std::size_t count = 0;
        this->log_ends.resize(this->agents.size());
        for (std::size_t index = 0; index < this->agents.size(); ++index)
        {
            // Only what was added since the last look is read.
            std::ifstream file(this->folder + "/worker-" + std::to_string(index) + ".log");
            log_end& end = this->log_ends[index];
            file.seekg(end.offset);
            std::string line;
            while (std::getline(file, line))
            {
                end.offset += static_cast<std::streamoff>(line.size()) + 1;
                const bool of_agent = line.find("\"component\":\"agent\"") != std::string::npos;
                end.seen = of_agent && line.find(wanted) != std::string::npos ? version : end.seen;
            }
            count += end.seen == version ? 1 : 0;
        }
        return count;
    }

    std::map<pid_t, usage> measure() const
    {
        std::map<pid_t, usage> all;
        const auto add = [&all](const process& one)
        {
            if (one.is_running())
            {
                all[one.id()] = process_usage(one.id());
            }
        };
        for (const process& agent : this->agents)
        {
            add(agent);
        }
        for (const process& entry : this->entries)
        {
            add(entry);
        }
        add_wire_bytes(all);
        return all;
    }

    table_traffic traffic() const
    {
        net::client_request request;
        request.address = this->platform_address;
        request.path = "/traffic";
        const auto answer = net::exchange(request);
        table_traffic seen;
        if (answer.ok())
        {
            std::sscanf(answer->body.c_str(), "{\"reads\":%lf,\"writes\":%lf,\"bytes\":%lf}",
                        &seen.reads, &seen.writes, &seen.bytes);
        }
        return seen;
    }

    void fault(const std::string& name, const std::string& value) const
    {
        net::client_request request;
        request.address = this->platform_address;
        request.method = "PUT";
        request.path = "/control/" + name + "/" + value;
        static_cast<void>(net::exchange(request));
    }

    /// @return the index of the agent that leads the first cell.
    std::size_t first_lead() const
    {
        const wire::status_document shown = this->status();
        const std::string& name = shown.cells(0).lead();
        return std::stoul(name.substr(name.rfind('-') + 1));
    }

    void configure() const
    {
        static_cast<void>(this->ask("PUT", "/v1/config/units",
                                    R"({"unit":"u","amount":{"accelerators":1,"cores":1,
                                        "memory_gb":1},"per_units":1})"));
        for (const std::string name : {"ordinary", "peak"})
        {
            static_cast<void>(this->ask("PUT", "/v1/config/presets",
                                        R"({"name":")" + name +
                                            R"(","weighting":"completion",
                                            "guarantee_percent":100,"limit_percent":100})"));
        }
        static_cast<void>(this->ask("PUT", "/v1/config/contracts",
                                    R"({"organisation":"press","guarantees":[],"limit_unit":"u",
                                        "limit_units":100000,"calls_per_second":100})"));
        static_cast<void>(this->ask("POST", "/v1/config/presets/ordinary/use"));
    }

    std::vector<process> agents;
    std::vector<process> entries;

    [[nodiscard]] const std::string& table_address() const { return this->platform_address; }

private:
    struct log_end
    {
        std::streamoff offset{};
        std::uint32_t seen{};
    };

    void start_entry(std::size_t index)
    {
        this->entry_addresses.push_back(free_address());
        const std::string name = "entry-" + std::to_string(index);
        std::vector<std::string> arguments =
            this->arguments("entry", name, this->entry_addresses.back());
        arguments.insert(arguments.end(), {"--operator-token", operator_token,
                                           "--organisation-token", "press=press-secret"});
        this->entries.emplace_back(arguments, this->folder + "/" + name + ".log");
    }

    std::string start_agent(std::size_t index)
    {
        const std::string http = free_address();
        const std::string name = "worker-" + std::to_string(index);
        std::vector<std::string> arguments = this->arguments("agent", name, http);
        arguments.insert(arguments.end(),
                         {"--rack", std::to_string(index / workers_per_rack), "--racks-per-cell",
                          std::to_string(racks_per_cell), "--call-threads", "2"});
        this->agents.emplace_back(arguments, this->folder + "/" + name + ".log");
        return http;
    }

    std::vector<std::string> arguments(const std::string& role, const std::string& name,
                                       const std::string& http) const
    {
        return {binary("chicoryliftd"),
                "--role",
                role,
                "--name",
                name,
                "--listen",
                free_address(),
                "--http",
                http,
                "--table",
                this->platform_address,
                "--region",
                "r",
                "--zone",
                "z",
                "--heartbeat-ms",
                std::to_string(heartbeat.count())};
    }

    std::vector<log_end> log_ends;
    std::string folder;
    std::string platform_address;
    std::vector<std::string> entry_addresses;
    process platform;
    process upstreams;
};

constexpr core::milliseconds join_patience{60'000};
constexpr core::milliseconds window{15'000};

struct rates
{
    double cpu_percent{};
    double memory_mb{};
    double bytes_per_second{};
};

rates rates_of(const usage& before, const usage& after)
{
    const double seconds = static_cast<double>(window.count()) / ms_per_second;
    return {(after.cpu_seconds - before.cpu_seconds) / seconds * 100.0, after.memory_mb,
            static_cast<double>(after.wire_bytes - before.wire_bytes) / seconds};
}

void print(const std::string& what, const rates& one)
{
    std::cout << std::fixed << std::setprecision(2) << "| " << what << " | " << one.bytes_per_second
              << " | " << one.cpu_percent << " | " << one.memory_mb << " |\n";
}

/// Idle cost of each role, with one cell of growing size.
void measure_cells()
{
    std::cout << "\n### One cell, heartbeat " << heartbeat.count()
              << " ms, nothing scheduled, over " << window.count() / 1000 << " s\n\n"
              << "| role | bytes/s on the wire, both ways | processor % of a core | memory MB |\n"
              << "|---|---|---|---|\n";
    for (const std::size_t count : {4U, 8U, 16U, 24U})
    {
        const fleet all(count, 1);
        all.configure();
        if (!all.wait_members(count, 1, join_patience))
        {
            std::cout << "| " << count << " members did not join | | | |\n";
            continue;
        }
        std::this_thread::sleep_for(std::chrono::seconds(5));
        const std::size_t lead = all.first_lead();
        const table_traffic table_before = all.traffic();
        const auto before = all.measure();
        std::this_thread::sleep_for(window);
        const auto after = all.measure();
        const table_traffic table_after = all.traffic();
        std::vector<double> bytes;
        std::vector<double> cpu;
        std::vector<double> memory;
        for (std::size_t index = 0; index < count; ++index)
        {
            const pid_t pid = all.agents[index].id();
            const rates one = rates_of(before.at(pid), after.at(pid));
            if (index == lead)
            {
                print("lead of " + std::to_string(count), one);
                continue;
            }
            bytes.push_back(one.bytes_per_second);
            cpu.push_back(one.cpu_percent);
            memory.push_back(one.memory_mb);
        }
        print("member of " + std::to_string(count) + " (median)",
              {benchmark::quantile_of(cpu, 0.5), benchmark::quantile_of(memory, 0.5),
               benchmark::quantile_of(bytes, 0.5)});
        const pid_t entry = all.entries[0].id();
        print("entry, one cell of " + std::to_string(count),
              rates_of(before.at(entry), after.at(entry)));
        const double seconds = static_cast<double>(window.count()) / ms_per_second;
        std::cout << "| table with " << count << " members: reads/s "
                  << (table_after.reads - table_before.reads) / seconds << ", writes/s "
                  << (table_after.writes - table_before.writes) / seconds << ", bytes/s "
                  << (table_after.bytes - table_before.bytes) / seconds << " | | | |\n";
    }
}

double switch_once(fleet& all, std::uint32_t& version, std::size_t live)
{
    constexpr core::milliseconds patience{20'000};
    const core::instant begun = core::boot_clock::now();
    const auto answer = all.ask("POST", version % 2 == 0 ? "/v1/config/presets/peak/use"
                                                         : "/v1/config/presets/ordinary/use");
    wire::config_head head;
    if (!answer.ok() || !wire::from_row(answer->body, head).ok() || head.version() <= version)
    {
        return -1;
    }
    version = head.version();
    // The agents' own logs tell when it came into force; status would add its own delay.
    while (all.logs_with(version) < live && core::boot_clock::now() - begun < patience)
    {
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return static_cast<double>((core::boot_clock::now() - begun).count());
}

std::uint64_t total_wire(const fleet& all)
{
    std::uint64_t sum = 0;
    for (const auto& [pid, used] : all.measure())
    {
        sum += used.wire_bytes;
    }
    return sum;
}

/// Switches, a lost lead, and a store outage with 150 agents.
void measure_fleet()
{
    constexpr std::size_t count = 150;
    constexpr int switches = 100;
    fleet all(count, 2);
    const core::instant begun = core::boot_clock::now();
    all.configure();
    const bool joined = all.wait_members(count, 1, join_patience);
    std::cout << "\n### " << count << " agents in 7 cells, 2 entries\n\n"
              << "all joined: " << (joined ? "yes" : "no") << ", after "
              << (core::boot_clock::now() - begun).count() << " ms\n";
    std::this_thread::sleep_for(std::chrono::seconds(5));

    std::uint32_t version = all.status().config_version();
    const std::uint64_t quiet_before = total_wire(all);
    std::this_thread::sleep_for(std::chrono::seconds(10));
    const double quiet_per_second = static_cast<double>(total_wire(all) - quiet_before) / 10.0;
    const std::uint64_t wire_before = total_wire(all);
    const core::instant switching = core::boot_clock::now();
    std::vector<double> times;
    int refused = 0;
    for (int number = 0; number < switches; ++number)
    {
        const double took = switch_once(all, version, count);
        took < 0 ? static_cast<void>(++refused) : times.push_back(took);
    }
    const double seconds =
        static_cast<double>((core::boot_clock::now() - switching).count()) / ms_per_second;
    const double extra =
        static_cast<double>(total_wire(all) - wire_before) - quiet_per_second * seconds;
    std::cout << "switches in force on all agents: " << times.size() << ", refused " << refused
              << "; ms until then: p50 " << benchmark::quantile_of(times, 0.5) << ", p99 "
              << benchmark::quantile_of(times, 0.99) << ", p100 "
              << benchmark::quantile_of(times, 1.0)
              << "; bytes per node and switch (both ends counted) "
              << extra / static_cast<double>(times.size()) / static_cast<double>(count) << '\n';

    std::vector<double> with_kills;
    for (int number = 0; number < 10; ++number)
    {
        const std::size_t lead = all.first_lead();
        process& victim = number % 2 == 0 ? all.agents[lead] : all.entries[1];
        victim.kill_now();
        const double took = switch_once(all, version, count - (number % 2 == 0 ? 1 : 0));
        victim.restart();
        with_kills.push_back(took);
        static_cast<void>(all.wait_members(count, version, join_patience));
    }
    std::cout << "switches right after a lead or an entry was killed: ms until in force on all "
                 "that live: p50 "
              << benchmark::quantile_of(with_kills, 0.5) << ", p100 "
              << benchmark::quantile_of(with_kills, 1.0) << '\n';

    for (const bool freeze : {false, true})
    {
        std::vector<double> take_over;
        for (int number = 0; number < 3; ++number)
        {
            const std::uint32_t epoch = all.status().cells(0).epoch();
            const std::size_t lead = all.first_lead();
            const core::instant lost = core::boot_clock::now();
            freeze ? all.agents[lead].signal(SIGSTOP) : all.agents[lead].kill_now();
            while (all.status().cells(0).epoch() <= epoch &&
                   core::boot_clock::now() - lost < join_patience)
            {
                std::this_thread::sleep_for(std::chrono::milliseconds(20));
            }
            take_over.push_back(static_cast<double>((core::boot_clock::now() - lost).count()));
            freeze ? all.agents[lead].signal(SIGCONT) : all.agents[lead].restart();
            static_cast<void>(all.wait_members(count, version, join_patience));
        }
        std::cout << "take-over seen at an entry after the lead was "
                  << (freeze ? "frozen" : "killed") << ": ms p50 "
                  << benchmark::quantile_of(take_over, 0.5) << ", p100 "
                  << benchmark::quantile_of(take_over, 1.0) << '\n';
    }

    all.fault("down", "1");
    std::this_thread::sleep_for(std::chrono::seconds(20));
    const table_traffic before = all.traffic();
    all.fault("down", "0");
    double peak_reads = 0;
    double peak_writes = 0;
    table_traffic last = before;
    for (int second = 0; second < 10; ++second)
    {
        std::this_thread::sleep_for(std::chrono::seconds(1));
        const table_traffic now = all.traffic();
        peak_reads = std::max(peak_reads, now.reads - last.reads);
        peak_writes = std::max(peak_writes, now.writes - last.writes);
        last = now;
    }
    std::cout << "store back after 20 s of outage: peak in the first 10 s " << peak_reads
              << " reads/s, " << peak_writes << " writes/s, " << (last.bytes - before.bytes) / 10.0
              << " bytes/s\n";
    std::cout << "members live afterwards: " << all.members_with(version) << " of " << count
              << '\n';
}

/// Time and bytes to list rows, as a lead or an entry does when it starts.
void measure_rows()
{
    std::cout << "\n### Listing rows of jobs, as at a take-over\n\n| rows | ms | bytes "
                 "|\n|---|---|---|\n";
    const fleet all(1, 1);
    std::this_thread::sleep_for(std::chrono::seconds(1));
    const auto table = core::registry<store::table_adapter>::instance()
                           .find("http-json")
                           ->open(all.table_address());
    std::size_t written = 0;
    for (const std::size_t wanted : {10U, 100U, 1000U, 10'000U})
    {
        while (written < wanted)
        {
            wire::table_commit transaction = store::new_transaction();
            for (int row = 0; row < 100 && written < wanted; ++row, ++written)
            {
                wire::job_row job;
                job.set_id("z-0~0123456789abcdef" + std::to_string(written));
                job.set_organisation("press");
                job.set_state("accepted");
                job.mutable_request()->set_kind("proof");
                job.mutable_request()->set_class_("standard");
                job.mutable_request()->set_tasks(4);
                job.mutable_request()->mutable_per_task()->set_accelerators(8);
                job.mutable_request()->set_within("rack");
                job.mutable_request()->set_declared_run_time_ms(3'600'000);
                store::add_write(transaction, "probe/" + job.id(), 0, wire::to_row(job));
            }
            static_cast<void>(table->commit(transaction));
        }
        const table_traffic before = all.traffic();
        const core::instant begun = core::boot_clock::now();
        static_cast<void>(table->list("probe/", 0));
        const auto took = (core::boot_clock::now() - begun).count();
        std::cout << "| " << wanted << " | " << took << " | " << all.traffic().bytes - before.bytes
                  << " |\n";
    }
}

} // namespace

int main()
{
    std::cout << std::fixed << std::setprecision(1);
    measure_rows();
    measure_cells();
    std::cout << std::setprecision(1);
    measure_fleet();
    return 0;
}
