#include "judge.hpp"

/// One job comes that can never be done: two layers of steps, each step of the second after all of
/// the first.
namespace
{

using namespace chicorylift;
using namespace chicorylift::review;

constexpr int first_steps = 200;
constexpr int units_per_step = 495;
constexpr int second_steps = 200;

/// @return a job whose units need 9 accelerators, where workers have 8.
std::string poison_body()
{
    std::string all_first;
    for (int number = 0; number < first_steps; ++number)
    {
        all_first += (number == 0 ? "" : ",") + std::to_string(number);
    }
    std::string steps;
    for (int number = 0; number < first_steps; ++number)
    {
        steps += std::string(number == 0 ? "" : ",") + R"({"count":)" +
                 std::to_string(units_per_step) + R"(,"cpu":1000,"memMb":100,"gpu":9})";
    }
    for (int number = 0; number < second_steps; ++number)
    {
        steps += R"(,{"count":1,"cpu":1000,"memMb":100,"gpu":9,"after":[)" + all_first + "]}";
    }
    return R"({"spec":"300","steps":[)" + steps + "]}";
}

int run(const std::string& record_path)
{
    deployment site(record_path, {});
    if (!warm_up(site))
    {
        return could_not_run;
    }
    constexpr int poison = 1;
    if (has_trouble() && !site.submit("clean", job_id(poison), "key-b", poison_body()))
    {
        site.record("the job was not accepted");
        return rule_held;
    }
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
