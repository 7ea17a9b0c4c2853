#include "decisions.hpp"

#include "replay.hpp"
#include "workload.hpp"

#include <algorithm>
#include <functional>
#include <future>
#include <iomanip>
#include <iostream>
#include <map>
#include <sstream>

namespace chicorylift::benchmark
{

namespace
{

constexpr double ms_per_minute = 60'000.0;
constexpr double ms_per_second = 1000.0;
constexpr std::uint32_t seed_count = 6;

/// Figures of one policy under one seed.
struct figures
{
    double p50_min{};
    double p95_min{};
    double p99_min{};
    double slowdown_p95{};
    double urgent_p999_s{};
    double guaranteed_p999_s{};
    double large_wait_p95_min{};
    double use{};
    double fragmentation{};
    double lost_hours{};
    double shortfall_s{};
    double unended{};
};

figures summarise(const workload& all, const replay_result& result)
{
    std::vector<double> completion;
    std::vector<double> slowdown;
    std::vector<double> urgent;
    std::vector<double> guaranteed;
    std::vector<double> large;
    figures sum;
    for (const job_result& job : result.jobs)
    {
        const arriving_job& given = all.jobs[job.job];
        if (!job.ended)
        {
            sum.unended += 1;
            continue;
        }
        const auto took = static_cast<double>(job.completion.count());
        const auto ran = static_cast<double>(given.runs.count());
        const auto waited = static_cast<double>(job.waited.count());
        completion.push_back(took / ms_per_minute);
        slowdown.push_back(took / ran);
        if (given.spec.priority == sched::priority_class::urgent)
        {
            urgent.push_back(waited / ms_per_second);
        }
        if (given.spec.priority == sched::priority_class::urgent && job.guaranteed)
        {
            guaranteed.push_back(waited / ms_per_second);
        }
        if (given.spec.total().accelerators >= large_gang_accelerators)
        {
            large.push_back(waited / ms_per_minute);
        }
    }
    sum.p50_min = quantile_of(completion, 0.5);
    sum.p95_min = quantile_of(completion, 0.95);
    sum.p99_min = quantile_of(completion, 0.99);
    sum.slowdown_p95 = quantile_of(slowdown, 0.95);
    sum.guaranteed_p999_s = quantile_of(guaranteed, 0.999);
    sum.urgent_p999_s = quantile_of(urgent, 0.999);
    sum.large_wait_p95_min = quantile_of(large, 0.95);
    sum.use = result.use;
    sum.fragmentation = result.fragmentation;
    sum.lost_hours = result.lost_hours;
    sum.shortfall_s = result.shortfall_seconds;
    return sum;
}

/// One column of the table.
struct column
{
    std::string title;
    double figures::*value;
    int digits;
};

const std::vector<column>& columns()
{
    static const std::vector<column> all{
        {"p50 min", &figures::p50_min, 1},
        {"p95 min", &figures::p95_min, 1},
        {"p99 min", &figures::p99_min, 1},
        {"slowdown p95", &figures::slowdown_p95, 1},
        {"urgent p99.9 s", &figures::urgent_p999_s, 1},
        {"urgent in guarantee p99.9 s", &figures::guaranteed_p999_s, 1},
        {"large wait p95 min", &figures::large_wait_p95_min, 1},
        {"use", &figures::use, 3},
        {"fragmentation", &figures::fragmentation, 3},
        {"lost acc-h", &figures::lost_hours, 1},
        {"shortfall s", &figures::shortfall_s, 0},
        {"not ended", &figures::unended, 0},
    };
    return all;
}

std::string text(double value, int digits)
{
    std::ostringstream out;
    out << std::fixed << std::setprecision(digits) << value;
    return out.str();
}

/// Prints the median over seeds and the spread from the lowest to the highest.
void print_row(const std::string& policy, const std::vector<figures>& runs)
{
    std::cout << "| " << policy;
    for (const column& shown : columns())
    {
        std::vector<double> values;
        values.reserve(runs.size());
        for (const figures& run : runs)
        {
            values.push_back(run.*shown.value);
        }
        const auto [lowest, highest] = std::minmax_element(values.begin(), values.end());
        std::cout << " | " << text(quantile_of(values, 0.5), shown.digits) << " ("
                  << text(*lowest, shown.digits) << "-" << text(*highest, shown.digits) << ")";
    }
    std::cout << " |\n";
}

void print_json(const std::string& mix, const std::string& policy, std::uint32_t seed,
                const figures& run)
{
    std::cerr << "{\"mix\":\"" << mix << "\",\"policy\":\"" << policy << "\",\"seed\":" << seed;
    for (const column& shown : columns())
    {
        std::cerr << ",\"" << shown.title << "\":" << text(run.*shown.value, 4);
    }
    std::cerr << "}\n";
}

using mix_maker = workload (*)(std::uint32_t seed, double load);

/// Prints the completion times that no policy can beat: those of jobs that never wait.
void print_bound(mix_maker make, double load)
{
    std::vector<double> p95;
    for (std::uint32_t seed = 1; seed <= seed_count; ++seed)
    {
        std::vector<double> runs;
        for (const arriving_job& job : make(seed, load).jobs)
        {
            runs.push_back(static_cast<double>(job.runs.count()) / ms_per_minute);
        }
        p95.push_back(quantile_of(runs, 0.95));
    }
    std::cout << "\nWithout any waiting p95 would be " << text(quantile_of(p95, 0.5), 1)
              << " min.\n";
}

int compare(mix_maker make, double load, const std::vector<std::string>& policies)
{
    int broken = 0;
    std::cout << "\n### " << make(1, load).name << " at load " << text(load, 2) << ", "
              << make(1, load).jobs.size() << " jobs with seed 1, median over " << seed_count
              << " seeds (lowest-highest)\n\n|";
    for (const column& shown : columns())
    {
        std::cout << " | " << shown.title;
    }
    std::cout << " |\n|---";
    for (std::size_t index = 0; index < columns().size(); ++index)
    {
        std::cout << "|---";
    }
    std::cout << "|\n";
    for (const std::string& policy : policies)
    {
        std::vector<std::future<replay_result>> replays;
        for (std::uint32_t seed = 1; seed <= seed_count; ++seed)
        {
            replays.push_back(std::async(std::launch::async, [make, load, seed, policy]
                                         { return replay(make(seed, load), policy); }));
        }
        std::vector<figures> runs;
        for (std::uint32_t seed = 1; seed <= seed_count; ++seed)
        {
            const replay_result result = replays[seed - 1].get();
            if (!result.broken.empty())
            {
                std::cerr << policy << " seed " << seed << ": " << result.broken << '\n';
                ++broken;
            }
            runs.push_back(summarise(make(seed, load), result));
            print_json(make(seed, load).name + "@" + text(load, 2), policy, seed, runs.back());
        }
        print_row(policy, runs);
    }
    print_bound(make, load);
    return broken;
}

} // namespace

int run_decisions()
{
    const std::vector<std::string> policies{"fcfs-first-fit", "fcfs-backfill", "best-fit",
                                            "completion", "fragmentation"};
    constexpr double busier = 1.2;
    int broken = 0;
    for (const double load : {1.0, busier})
    {
        broken += compare(menhely_mix, load, policies) + compare(shabdajaal_mix, load, policies);
    }
    return broken;
}

} // namespace chicorylift::benchmark
