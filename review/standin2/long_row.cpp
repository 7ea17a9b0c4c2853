#include "judge.hpp"

/// A large job comes, and the list of its ended units outgrows a row of the store.
namespace
{

using namespace chicorylift;
using namespace chicorylift::review;

constexpr int units = 40'000;
constexpr int small_jobs = 20;

int run(const std::string& record_path)
{
    deployment site(record_path, {});
    if (!warm_up(site))
    {
        return could_not_run;
    }
    // Without the disruption, the same units come in jobs of two thousand.
    const int jobs = has_trouble() ? 1 : small_jobs;
    for (int number = 1; number <= jobs; ++number)
    {
        if (!site.submit("photo", job_id(number), "key-b", one_step("50", units / jobs, 20, 50, 0)))
        {
            return could_not_run;
        }
    }
    // Until the work is done or stands still.
    std::size_t started = 0;
    constexpr int max_rounds = 20;
    constexpr std::chrono::seconds pause{3};
    for (int round = 0; round < max_rounds; ++round)
    {
        const std::size_t now = site.workers().records().starts.size();
        site.record(std::to_string(now) + " units have started");
        if (now == started && now > 0)
        {
            break;
        }
        started = now;
        std::this_thread::sleep_for(pause);
    }
    const int large = judge_lost(site, "photo", job_id(1), "key-b", units / jobs);
    constexpr int checked = 100;
    if (!site.submit("match", job_id(checked), "key-a", one_step("300", 2, 1000, 1000, 1)))
    {
        return could_not_run;
    }
    const bool shown = site.wait_for_state("match", job_id(checked), "key-a", "completed",
                                           std::chrono::seconds{20});
    site.record(std::string("another tenant's job is ") + (shown ? "" : "not ") +
                "shown as completed within 20 s");
    record_work(site);
    return large == rule_broken || !shown ? rule_broken : rule_held;
}

} // namespace

int main(int count, char** arguments)
{
    return count == 2 ? run(arguments[1]) : could_not_run;
}
