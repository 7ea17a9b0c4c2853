#include "../standin/standin.hpp"

#include <algorithm>

/// All agents are killed at the same moment while the store is down, after the leader has started
/// units that it could not write down. One agent comes back later than the others.
int main()
{
    using namespace review;
    constexpr int agents = 5;
    constexpr std::int64_t outage_ms = 4500;
    constexpr std::int64_t first_work_ms = 6000;
    constexpr std::int64_t second_work_ms = 8000;
    constexpr std::int64_t kill_after_ms = 3000;
    constexpr std::int64_t restart_ms = 500;
    constexpr std::int64_t late_restart_ms = 3500;
    constexpr std::int64_t finish_ms = 14'000;
    record::open("review/3/record.txt");
    site::plan plan;
    plan.agents = agents;
    site place(plan,
               [](const std::string&, const std::string&, const std::string& spec) -> std::int64_t
               { return spec == "first" ? first_work_ms : second_work_ms; });
    if (!place.wait_until_serving())
    {
        return not_run;
    }
    // The first job fills all workers; the second one waits for its room.
    if (!place.submit(job_id(1), job_body("first", agents, 30000, first_work_ms)) ||
        !place.submit(job_id(2), job_body("second", agents, 13000, second_work_ms)))
    {
        return not_run;
    }
    const std::int64_t began = now_ms();
    while (place.running_units(job_id(1)) < agents && now_ms() < began + 5000)
    {
        sleep_ms(5);
    }
    // The outage begins half a second before the first job ends.
    sleep_ms(first_work_ms - 1500);
    if (has_trouble())
    {
        place.table().set_busy(true);
    }
    const std::int64_t outage = now_ms();
    sleep_ms(kill_after_ms);
    if (has_trouble())
    {
        // The agent that comes back last is one with a run of the second job.
        int last = 0;
        for (int index = 0; index < agents; ++index)
        {
            last = place.machine(index).running_units(job_id(2)) > 0 ? index : last;
        }
        for (int index = 0; index < agents; ++index)
        {
            place.agent(index).kill_now();
        }
        record::line("all agents: killed; units of the second job that run: " +
                     std::to_string(place.running_units(job_id(2))));
        const std::int64_t killed = now_ms();
        sleep_ms(restart_ms);
        for (int index = 0; index < agents; ++index)
        {
            if (index != last)
            {
                place.agent(index).start();
            }
        }
        record::line("all agents but agent-" + std::to_string(last) + ": started again");
        sleep_ms(outage + outage_ms - now_ms());
        place.table().set_busy(false);
        sleep_ms(killed + late_restart_ms - now_ms());
        place.agent(last).start();
        record::line("agent-" + std::to_string(last) + ": started again");
    }
    sleep_ms(second_work_ms + finish_ms);
    for (int number = 1; number <= 2; ++number)
    {
        record::line("requester: GET " + job_id(number) + " -> " + place.state(job_id(number)));
    }
    place.record_runs();
    const auto violations = place.check_twice();
    for (const std::string& each : violations)
    {
        record::line("TWICE: " + each);
    }
    record::line(std::to_string(violations.size()) + " violations of TWICE");
    return violations.empty() ? held : broken;
}
