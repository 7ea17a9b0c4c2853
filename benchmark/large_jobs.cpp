#include "chicorylift/batch/scheduler.hpp"
#include "decisions.hpp"
#include "replay.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <string>
#include <sys/wait.h>
#include <unistd.h>
#include <vector>

/// Cost of large jobs for a leader: time of a load and of passes, and memory.
namespace chicorylift::benchmark
{

namespace
{

using namespace batch;
using core::instant_at;
using core::milliseconds;

constexpr int worker_count = 11;
constexpr resource_amount worker_capacity{32000, 131072, 8};
constexpr std::int64_t largest_steps = 1000;
constexpr std::int64_t largest_units = 100'000;
// A row of 64 KB holds this many dependencies.
constexpr std::int64_t largest_edges = 50'000;
constexpr std::size_t payload_bytes = 4000;
constexpr int passes = 20;

double milliseconds_since(std::chrono::steady_clock::time_point begin)
{
    return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - begin)
        .count();
}

double resident_mb()
{
    std::ifstream file("/proc/self/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    file >> total >> resident;
    return static_cast<double>(resident) * static_cast<double>(::sysconf(_SC_PAGESIZE)) / 1e6;
}

/// What the units of a job need.
enum class unit_kind
{
    /// More accelerators than any worker has.
    impossible,
    /// So little that a worker holds 1,600.
    tiny,
    /// One accelerator, while other work holds all of them.
    waiting,
};

struct kind_properties
{
    const char* name;
    resource_amount request;
};

const kind_properties& properties_of(unit_kind kind)
{
    static const std::array<kind_properties, 3> all{
        {{"impossible", {1000, 100, 9}}, {"tiny", {20, 50, 0}}, {"waiting", {1000, 100, 1}}}};
    return all.at(static_cast<std::size_t>(kind));
}

/// @return a job of two layers, each step of the second after as many of the first as fit.
job_spec layered_job(const std::string& id, std::int64_t percent, unit_kind kind)
{
    const std::int64_t steps = std::max<std::int64_t>(2, largest_steps * percent / 100);
    const std::int64_t first = steps / 2;
    const std::int64_t second = steps - first;
    const std::int64_t units = largest_units * percent / 100 - second;
    const std::int64_t edges = std::min(first, largest_edges * percent / 100 / second);
    job_spec job;
    job.id = core::job_id(id);
    job.organisation = core::organisation_id("o");
    job.policy.queue = queue_id("q");
    job.policy.service = core::service_id("s");
    job.policy.priority = 1;
    job.policy.max_slowdown = 3;
    job.payload = std::string(payload_bytes, 'x');
    for (std::int64_t number = 0; number < steps; ++number)
    {
        step_spec step;
        step.units = number < first ? std::max<std::int64_t>(1, units / first) : 1;
        step.per_unit = properties_of(kind).request;
        step.estimate = milliseconds{300};
        for (std::int64_t edge = 0; number >= first && edge < edges; ++edge)
        {
            step.depends_on.push_back(edge);
        }
        job.steps.push_back(step);
    }
    return job;
}

/// Workers that start what they are told and never end it.
class busy_site
{
public:
    busy_site()
    {
        for (int index = 0; index < worker_count; ++index)
        {
            worker_report& report = this->reports.emplace_back();
            report.agent = agent_id("w" + std::to_string(index));
            report.worker.announced = true;
            report.worker.started_at = unix_time{1};
            report.worker.service = core::service_id("s");
            report.worker.capacity = worker_capacity;
            report.lists_valid = true;
        }
    }

    /// Delivers all workers' reports; each run has progressed.
    /// @return the longest time that one took.
    double report()
    {
        double longest = 0;
        for (worker_report& each : this->reports)
        {
            for (reported_run& run : each.runs)
            {
                ++run.progress_percent;
            }
            const auto begin = std::chrono::steady_clock::now();
            this->scheduler.on_report(each, this->time());
            this->scheduler.on_renewal_sent(each.agent, this->time());
            longest = std::max(longest, milliseconds_since(begin));
        }
        return longest;
    }

    /// @return the time that the pass took.
    double pass()
    {
        this->now += milliseconds{200};
        const auto begin = std::chrono::steady_clock::now();
        const auto commands = this->scheduler.schedule(this->time(), {}, true);
        const double took = milliseconds_since(begin);
        static_cast<void>(this->scheduler.take_records());
        for (const agent_command& command : commands)
        {
            for (worker_report& report : this->reports)
            {
                if (report.agent == command.agent && command.what == agent_command::action::start)
                {
                    report.runs.push_back({command.unit, command.run, run_phase::running, "", 1});
                }
            }
        }
        return took;
    }

    [[nodiscard]] core::instant time() const { return instant_at(this->now); }

    site_scheduler scheduler{{}, instant_at(milliseconds{10'000})};

private:
    milliseconds now{10'000};
    std::vector<worker_report> reports;
};

void measure(std::int64_t percent, int jobs, unit_kind kind)
{
    const double before = resident_mb();
    busy_site site;
    static_cast<void>(site.report());
    if (kind == unit_kind::waiting)
    {
        job_spec holder = layered_job("holder", 1, kind);
        holder.steps.resize(1);
        holder.steps.front().units = worker_count * worker_capacity.accelerators;
        site.scheduler.add_job(std::move(holder), {}, false, site.time());
        static_cast<void>(site.pass());
        static_cast<void>(site.report());
    }
    double longest_load = 0;
    for (int number = 0; number < jobs; ++number)
    {
        job_spec job = layered_job("j" + std::to_string(number), percent, kind);
        const auto begin = std::chrono::steady_clock::now();
        site.scheduler.add_job(std::move(job), {}, false, site.time());
        longest_load = std::max(longest_load, milliseconds_since(begin));
    }
    std::vector<double> pass_times;
    double longest_report = 0;
    for (int pass = 0; pass < passes; ++pass)
    {
        pass_times.push_back(site.pass());
        longest_report = std::max(longest_report, site.report());
    }
    std::cout << std::fixed << std::setprecision(2) << "| " << properties_of(kind).name << " | "
              << percent << " | " << jobs << " | " << longest_load << " | "
              << quantile_of(pass_times, 0.5) << " | " << quantile_of(pass_times, 1) << " | "
              << longest_report << " | " << resident_mb() - before << " | "
              << site.scheduler.active_runs() << " |" << std::endl;
}

} // namespace

int run_large_jobs()
{
    std::cout << "| units | size, % of the largest job | jobs | longest load of a job, ms | median "
                 "pass, ms | longest pass, ms | longest report, ms | memory, MB | runs |\n"
                 "|---|---|---|---|---|---|---|---|---|"
              << std::endl;
    for (const unit_kind kind : {unit_kind::impossible, unit_kind::tiny, unit_kind::waiting})
    {
        for (const auto& [percent, jobs] :
             {std::pair{1, 1}, {10, 1}, {100, 1}, {10, 10}, {100, 8}, {100, 50}})
        {
            // Each row has a process of its own, so that memory which an earlier one has freed does
            // not count.
            const pid_t child = ::fork();
            if (child == 0)
            {
                measure(percent, jobs, kind);
                std::_Exit(0);
            }
            int status = 0;
            ::waitpid(child, &status, 0);
        }
    }
    return 0;
}

} // namespace chicorylift::benchmark
