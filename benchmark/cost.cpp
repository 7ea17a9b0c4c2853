#include "chicorylift/core/registry.hpp"
#include "decisions.hpp"
#include "replay.hpp"
#include "workload.hpp"

#include <chrono>
#include <iomanip>
#include <iostream>

namespace chicorylift::benchmark
{

namespace
{

using core::milliseconds;

constexpr std::int64_t tasks_per_worker_times_10 = 45;
constexpr std::size_t measured_decisions = 400;

sched::job_spec small_job(std::size_t number)
{
    sched::job_spec spec;
    spec.id = core::job_id("j" + std::to_string(number));
    spec.organisation = core::organisation_id("o" + std::to_string(number % 10));
    spec.kind = "k";
    spec.per_task = {1, 3, 12};
    spec.idempotent = number % 2 == 0;
    spec.within = quota::topology_level::worker;
    spec.declared_run_time = milliseconds{3'600'000};
    return spec;
}

/// Cell that runs 4.5 tasks a worker, as 100,000 tasks on 22,000 workers.
sched::cell_scheduler loaded_cell(std::size_t workers, std::size_t& jobs)
{
    const sched::scheduling_policy& policy =
        *core::registry<sched::scheduling_policy>::instance().find("completion");
    sched::cell_scheduler cell(policy);
    for (const sched::worker_info& worker : site_workers(workers))
    {
        cell.worker_joined(worker);
    }
    const std::size_t wanted = workers * tasks_per_worker_times_10 / 10;
    for (jobs = 0; jobs < wanted; ++jobs)
    {
        cell.submit(small_job(jobs), core::instant_at(milliseconds{0}));
        if (jobs % 50 == 0)
        {
            static_cast<void>(cell.decide(core::instant_at(milliseconds{0})));
        }
    }
    while (cell.stats().queued > 0)
    {
        static_cast<void>(cell.decide(core::instant_at(milliseconds{0})));
    }
    return cell;
}

/// Prints the time of one placement and the bytes of the state.
void measure(const std::string& what, std::size_t workers, std::size_t fleet)
{
    std::size_t jobs = 0;
    sched::cell_scheduler cell = loaded_cell(workers, jobs);
    const std::size_t bytes = cell.state_bytes();
    std::vector<double> placing;
    std::vector<double> ending;
    for (std::size_t number = jobs; number < jobs + measured_decisions; ++number)
    {
        using clock = std::chrono::steady_clock;
        const clock::time_point begun = clock::now();
        cell.submit(small_job(number), core::instant_at(milliseconds{1}));
        static_cast<void>(cell.decide(core::instant_at(milliseconds{1})));
        const clock::time_point placed = clock::now();
        cell.job_finished(core::job_id("j" + std::to_string(number)), sched::job_outcome::succeeded,
                          std::nullopt, core::instant_at(milliseconds{2}));
        const clock::time_point ended = clock::now();
        placing.push_back(std::chrono::duration<double, std::nano>(placed - begun).count());
        ending.push_back(std::chrono::duration<double, std::nano>(ended - placed).count());
    }
    std::cout << std::fixed << std::setprecision(0) << "| " << what << " | " << workers << " | "
              << fleet << " | " << jobs << " | " << quantile_of(placing, 0.5) << " | "
              << quantile_of(placing, 0.99) << " | " << quantile_of(ending, 0.5) << " | "
              << static_cast<double>(bytes) / static_cast<double>(workers) << " | " << bytes
              << " |\n";
}

} // namespace

int run_cost()
{
    constexpr std::size_t cell = 64;
    constexpr std::size_t zone = 880;
    constexpr std::size_t fleet = 22'000;
    std::cout << "| | workers of the cell | workers of the fleet | tasks in the cell | placement "
                 "p50 ns | placement p99 ns | end p50 ns | bytes a worker | bytes |\n"
                 "|---|---|---|---|---|---|---|---|---|\n";
    measure("a cell today", 11, 11);
    measure("half a cell", cell / 2, fleet);
    measure("a cell at the fleet's size", cell, fleet);
    measure("a zone as one cell", zone, zone);
    measure("the fleet as one cell", fleet, fleet);
    return 0;
}

} // namespace chicorylift::benchmark
