#include "chicorylift/chicorylift.hpp"

#include <iostream>

/// Uses the scheduler's decisions without any process: two workers, one gang.
int main()
{
    using namespace chicorylift;
    const auto* policy = core::registry<sched::scheduling_policy>::instance().find("completion");
    sched::cell_scheduler cell(*policy);
    for (const char* name : {"w0", "w1"})
    {
        cell.worker_joined({core::worker_id(name), core::rack_id("r0"), {8, 32, 128}});
    }
    sched::job_spec gang;
    gang.id = core::job_id("proof");
    gang.organisation = core::organisation_id("press");
    gang.tasks = 2;
    gang.per_task = {8, 24, 96};
    gang.within = quota::topology_level::rack;
    gang.declared_run_time = std::chrono::minutes{30};
    const core::instant now = core::instant_at(core::milliseconds{0});
    cell.submit(gang, now);
    for (const sched::decision& step : cell.decide(now))
    {
        std::cout << sched::to_text(step.kind) << ' ' << step.job.str();
        for (const sched::task_placement& placed : step.placement)
        {
            std::cout << ' ' << placed.worker.str() << " x" << placed.tasks;
        }
        std::cout << '\n';
    }
    return 0;
}
