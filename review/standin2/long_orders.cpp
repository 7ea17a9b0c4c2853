#include "judge.hpp"

/// A large job comes with the longest payload. Its units fit on two workers.
namespace
{

using namespace chicorylift;
using namespace chicorylift::review;

constexpr std::size_t longest_payload = 4000;
constexpr int units = 3000;
constexpr int small_jobs = 30;

int run(const std::string& record_path)
{
    deployment site(record_path, {});
    if (!warm_up(site))
    {
        return could_not_run;
    }
    std::string payload = "300";
    payload.resize(longest_payload, 'x');
    // Without the disruption, the same units come in jobs of a hundred, a second apart.
    const int jobs = has_trouble() ? 1 : small_jobs;
    for (int number = 1; number <= jobs; ++number)
    {
        if (!site.submit("photo", job_id(number), "key-b",
                         one_step(payload, units / jobs, 20, 50, 0)))
        {
            return could_not_run;
        }
        std::this_thread::sleep_for(std::chrono::seconds{1});
    }
    constexpr int checked = 100;
    if (!site.submit("match", job_id(checked), "key-a", one_step("300", 2, 1000, 1000, 1)))
    {
        return could_not_run;
    }
    const int urgent = judge_lost(site, "match", job_id(checked), "key-a", 2);
    const int large = judge_lost(site, "photo", job_id(1), "key-b", units / jobs);
    record_work(site);
    return urgent == rule_broken || large == rule_broken ? rule_broken : rule_held;
}

} // namespace

int main(int count, char** arguments)
{
    return count == 2 ? run(arguments[1]) : could_not_run;
}
