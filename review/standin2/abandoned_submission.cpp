#include "judge.hpp"

#include <map>
#include <mutex>
#include <set>
#include <thread>
#include <vector>

/// While the store loses the answers of some writes, requesters leave before their time limit and
/// cancel what they have handed in.
namespace
{

using namespace chicorylift;
using namespace chicorylift::review;

// Of the store: the share of writes that are done late and not answered, and how late.
constexpr double lost_share = 0.35;
constexpr std::chrono::milliseconds lateness{2000};
constexpr std::chrono::milliseconds trouble_time{4500};
constexpr int jobs = 30;
constexpr std::chrono::milliseconds job_interval = trouble_time / jobs;
constexpr std::chrono::milliseconds patience{500};
constexpr const char* unit_ms = "40000";
// `contactMs`, `cancel_ms` and `stopTimeoutMs` of the small installation.
constexpr std::chrono::milliseconds contact{4000};
constexpr std::chrono::milliseconds cancel_limit{3000};
constexpr std::chrono::milliseconds stop_limit{400};

/// Jobs whose cancelling was acknowledged.
class cancelled_jobs
{
public:
    void add(const std::string& job)
    {
        const std::lock_guard lock(this->guard);
        this->jobs.insert(job);
    }
    [[nodiscard]] std::set<std::string> all() const
    {
        const std::lock_guard lock(this->guard);
        return this->jobs;
    }

private:
    mutable std::mutex guard;
    std::set<std::string> jobs;
};

/// Hands a job in, leaves if there is no answer soon, and cancels the job then.
void hand_in(deployment& site, const std::string& job, cancelled_jobs& cancelled)
{
    if (site.call(0, "POST", "match", job, "key-a", one_step(unit_ms, 1, 1000, 1000, 1), patience)
            .status != 0)
    {
        return;
    }
    constexpr int attempts = 3;
    for (int attempt = 1; attempt <= attempts; ++attempt)
    {
        const int status =
            site.call(attempt % site.entry_count(), "DELETE", "match", job, "key-a").status;
        if ((status >= 200 && status < 300) || status == 410)
        {
            cancelled.add(job);
            return;
        }
    }
}

/// @return how many units of cancelled jobs run.
int running_of(deployment& site, const std::set<std::string>& cancelled)
{
    int count = 0;
    for (const std::string& unit : site.workers().records().running)
    {
        count += cancelled.contains(unit.substr(0, unit.find('.'))) ? 1 : 0;
    }
    return count;
}

int run(const std::string& record_path)
{
    deployment site(record_path, {});
    if (!warm_up(site))
    {
        return could_not_run;
    }
    if (has_trouble())
    {
        testing::store_faults faults;
        faults.lose_answers = lost_share;
        faults.late = lateness;
        site.store().set_faults(faults);
        site.record("the store does some writes late and does not answer them");
    }
    cancelled_jobs cancelled;
    std::vector<std::thread> requesters;
    for (int number = 1; number <= jobs; ++number)
    {
        requesters.emplace_back([&site, &cancelled, number]
                                { hand_in(site, job_id(number), cancelled); });
        std::this_thread::sleep_for(job_interval);
    }
    for (std::thread& each : requesters)
    {
        each.join();
    }
    site.store().set_faults({});
    site.record("the store answers again");
    // Late writes are done by then, and a stretch without trouble follows.
    std::this_thread::sleep_for(lateness + contact);
    const std::set<std::string> acknowledged = cancelled.all();
    const int before = running_of(site, acknowledged);
    std::this_thread::sleep_for(cancel_limit + stop_limit);
    const int after = running_of(site, acknowledged);
    for (const std::string& job : acknowledged)
    {
        site.record("job " + job + ", whose cancelling was acknowledged, is shown as \"" +
                    site.state_of("match", job, "key-a") + "\"");
    }
    site.record(std::to_string(acknowledged.size()) + " jobs were cancelled; " +
                std::to_string(before) +
                " of their units ran before a stretch of 3.4 s without "
                "trouble, " +
                std::to_string(after) + " after it");
    site.record(after > 0 ? "UNASKED broken" : "UNASKED held");
    record_work(site);
    return after > 0 ? rule_broken : rule_held;
}

} // namespace

int main(int count, char** arguments)
{
    return count == 2 ? run(arguments[1]) : could_not_run;
}
