#include "judge.hpp"

#include <thread>

/// Most machines beside workers are taken away one by one; then the store rejects calls for 4.5 s.
namespace
{

using namespace chicorylift;
using namespace chicorylift::review;

constexpr int worker_count = 5;
constexpr int removed_machines = 3;
// Of the store; the standard days of the small site have up to 6.7 s.
constexpr std::chrono::milliseconds outage{4500};

void remove_machines(deployment& site)
{
    const int leader = site.leader();
    int removed = 0;
    for (int index = 0; index < worker_count && removed < removed_machines; ++index)
    {
        if (index == leader)
        {
            continue;
        }
        site.record("worker i-" + std::to_string(index) + " leaves, and its machine is removed");
        site.workers().leave("i-" + std::to_string(index));
        std::this_thread::sleep_for(std::chrono::seconds{1});
        site.agent(index).stop();
        ++removed;
    }
    // Longer than `contactMs`.
    std::this_thread::sleep_for(std::chrono::seconds{5});
}

void break_store(deployment& site)
{
    site.record("the store answers every call with 503");
    testing::store_faults faults;
    faults.busy = true;
    site.store().set_faults(faults);
    std::this_thread::sleep_for(outage);
    site.store().set_faults({});
    site.record("the store answers again");
}

int run(const std::string& record_path)
{
    deployment site(record_path, {.workers = worker_count});
    if (!warm_up(site))
    {
        return could_not_run;
    }
    if (has_trouble())
    {
        remove_machines(site);
    }
    // Units that end one after the other, so that there is progress to write at any time.
    constexpr int jobs = 12;
    constexpr int step_ms = 250;
    for (int number = 1; number <= jobs; ++number)
    {
        const std::string payload = std::to_string(1000 + number * step_ms);
        if (!site.submit("photo", job_id(number), "key-b", one_step(payload, 1, 1000, 1000, 1)))
        {
            return could_not_run;
        }
    }
    std::this_thread::sleep_for(std::chrono::milliseconds{800});
    if (has_trouble())
    {
        break_store(site);
    }
    std::this_thread::sleep_for(std::chrono::seconds{5});
    constexpr int checked = 100;
    if (!site.submit("match", job_id(checked), "key-a", one_step("300", 2, 1000, 1000, 1)))
    {
        return could_not_run;
    }
    const int result = judge_lost(site, "match", job_id(checked), "key-a", 2);
    record_work(site);
    return result;
}

} // namespace

int main(int count, char** arguments)
{
    return count == 2 ? run(arguments[1]) : could_not_run;
}
