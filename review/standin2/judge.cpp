#include "judge.hpp"

#include <array>
#include <cstdio>

namespace chicorylift::review
{

namespace
{

/// @return how many of the units whose names begin with the prefix are in the list.
template <class List>
int count_of(const List& list, const std::string& prefix)
{
    int count = 0;
    for (const auto& each : list)
    {
        count += each.starts_with(prefix) ? 1 : 0;
    }
    return count;
}

int ended_units(const testing::worker_records& seen, const std::string& prefix)
{
    int count = 0;
    for (const auto& [unit, times] : seen.done)
    {
        count += unit.starts_with(prefix) ? 1 : 0;
    }
    return count;
}

} // namespace

std::string job_id(int number)
{
    constexpr std::size_t size = 17;
    std::array<char, size> text{};
    std::snprintf(text.data(), text.size(), "%016x", static_cast<unsigned>(number));
    return text.data();
}

std::string one_step(const std::string& payload, int units, int millicores, int memory_mb,
                     int accelerators)
{
    return R"({"spec":")" + payload + R"(","steps":[{"count":)" + std::to_string(units) +
           R"(,"cpu":)" + std::to_string(millicores) + R"(,"memMb":)" + std::to_string(memory_mb) +
           (accelerators == 0 ? "" : R"(,"gpu":)" + std::to_string(accelerators)) +
           R"(,"estimateMs":300}]})";
}

bool warm_up(deployment& site)
{
    constexpr int first = 999;
    return site.wait_until_ready(std::chrono::seconds{20}) &&
           site.submit("match", job_id(first), "key-a", one_step("300", 1, 1000, 1000, 1)) &&
           site.wait_for_state("match", job_id(first), "key-a", "completed",
                               std::chrono::seconds{15});
}

int judge_lost(deployment& site, const std::string& route, const std::string& job,
               const std::string& key, int units)
{
    site.record("end of the traffic");
    std::this_thread::sleep_for(finish_time);
    const std::string state = site.state_of(route, job, key);
    const std::string prefix = job + ".";
    const auto begun = std::chrono::steady_clock::now();
    bool idle = state != "completed" && state != "cancelled";
    while (idle && std::chrono::steady_clock::now() - begun < idle_limit)
    {
        const testing::worker_records seen = site.workers().records();
        idle = seen.running.empty() && ended_units(seen, prefix) < units;
        std::this_thread::sleep_for(std::chrono::milliseconds{20});
    }
    const testing::worker_records seen = site.workers().records();
    site.record("job " + job + " of " + std::to_string(units) + " units is shown as \"" + state +
                "\"; " + std::to_string(ended_units(seen, prefix)) + " have ended done, " +
                std::to_string(count_of(seen.running, prefix)) + " run");
    site.record(idle ? "LOST broken: for 3 s nothing of the job ran while all workers were idle"
                     : "LOST held");
    return idle ? rule_broken : rule_held;
}

void record_work(deployment& site)
{
    constexpr std::size_t max_lines = 400;
    const testing::worker_records seen = site.workers().records();
    std::size_t lines = 0;
    for (const auto& [unit, starts] : seen.starts)
    {
        if (++lines > max_lines)
        {
            site.record("and " + std::to_string(seen.starts.size() - max_lines) + " more units");
            break;
        }
        site.record("unit " + unit + " started " + std::to_string(starts) + " times, " +
                    (seen.done.contains(unit) ? "ended done" : "did not end done"));
    }
    for (const std::string& violation : seen.violations)
    {
        site.record("the workers saw: " + violation);
    }
    site.record(std::to_string(site.rejected_writes()) +
                " transactions were rejected for a row that is too large");
}

} // namespace chicorylift::review
