#include "fleet.hpp"
#include "replay.hpp"
#include "store/table.hpp"

#include <algorithm>
#include <iomanip>
#include <iostream>
#include <memory>

/// Measures what control costs: bytes on the wire, processor time, memory, reads and writes.
namespace
{

using namespace chicorylift;
using benchmark::fleet;
using benchmark::heartbeat;
using benchmark::ms_per_second;
using benchmark::table_traffic;
using benchmark::usage;
using testing::process;

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
        const std::size_t lead = all.first_leader();
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
    if (!answer.ok() || !wire::from_json_lenient(answer->body, head).ok() ||
        head.version() <= version)
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
        const std::size_t lead = all.first_leader();
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
            const std::size_t lead = all.first_leader();
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
    const auto table = store::open_table("http-json", all.table_address());
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
                store::add_write(transaction, "probe/" + job.id(), 0, wire::to_compact_json(job));
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
