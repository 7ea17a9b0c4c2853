#pragma once

#include "chicorylift/core/time.hpp"
#include "net/http_client.hpp"
#include "support/process.hpp"
#include "wire/json.hpp"
#include "wire/wire.pb.h"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <map>
#include <sstream>
#include <string>
#include <thread>
#include <unistd.h>
#include <vector>

namespace chicorylift::benchmark
{

using testing::free_address;
using testing::process;

inline constexpr const char* operator_token = "operators-secret";
inline constexpr std::uint32_t racks_per_cell = 8;
inline constexpr std::uint32_t workers_per_rack = 3;
inline constexpr core::milliseconds heartbeat{3000};
// IP and TCP headers with time stamps, for each segment in either direction.
inline constexpr std::uint64_t header_bytes = 52;
inline constexpr double ms_per_second = 1000.0;

inline std::string binary(const std::string& name)
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

inline std::uint64_t number_after(const std::string& line, const std::string& name)
{
    const std::size_t at = line.find(" " + name + ":");
    return at == std::string::npos ? 0 : std::stoull(line.substr(at + name.size() + 2));
}

/// Reads processor time and memory of a process.
inline usage process_usage(pid_t pid)
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
inline void add_wire_bytes(std::map<pid_t, usage>& all)
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
        const std::string text = line.substr(0, line.find('\0'));
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
        return net::send_request(request);
    }

    [[nodiscard]] wire::status_document status() const
    {
        wire::status_document document;
        const auto answer = this->ask("GET", "/v1/status");
        if (answer.ok())
        {
            static_cast<void>(wire::from_json_lenient(answer->body, document));
        }
        return document;
    }

    /// @return members that are live and have @p version in force.
    [[nodiscard]] std::size_t members_with(std::uint32_t version) const
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

    [[nodiscard]] bool wait_members(std::size_t count, std::uint32_t version,
                                    core::milliseconds patience) const
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

    [[nodiscard]] std::map<pid_t, usage> measure() const
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

    [[nodiscard]] table_traffic traffic() const
    {
        net::client_request request;
        request.address = this->platform_address;
        request.path = "/traffic";
        const auto answer = net::send_request(request);
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
        static_cast<void>(net::send_request(request));
    }

    /// @return the index of the agent that leads the first cell.
    [[nodiscard]] std::size_t first_leader() const
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
        std::string http = free_address();
        const std::string name = "worker-" + std::to_string(index);
        std::vector<std::string> arguments = this->arguments("agent", name, http);
        arguments.insert(arguments.end(),
                         {"--rack", std::to_string(index / workers_per_rack), "--racks-per-cell",
                          std::to_string(racks_per_cell), "--call-threads", "2"});
        this->agents.emplace_back(arguments, this->folder + "/" + name + ".log");
        return http;
    }

    [[nodiscard]] std::vector<std::string>
    arguments(const std::string& role, const std::string& name, const std::string& http) const
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

} // namespace chicorylift::benchmark
