#include "../standin/standin.hpp"

#include <functional>

/// More than 500 ends wait on one worker while the store is down. The worker lists 500 at a time.
int main()
{
    using namespace review;
    constexpr int jobs = 14;
    constexpr int units = 50;
    constexpr std::int64_t outage_ms = 4500;
    constexpr std::int64_t finish_ms = 14'000;
    record::open("review/2/record.txt");
    site::plan plan;
    plan.kinds = {{.label = "b"}, {.label = "a"}, {.label = "a"}};
    // The units of a job work 7 to 11 s.
    site place(plan,
               [](const std::string&, const std::string& unit, const std::string&) -> std::int64_t
               { return 7000 + static_cast<std::int64_t>(std::hash<std::string>{}(unit) % 4000); });
    if (!place.wait_until_serving())
    {
        return not_run;
    }
    for (int number = 1; number <= jobs; ++number)
    {
        if (!place.submit(job_id(number),
                          job_body("clean", units, 40, 9000, R"(,"requiredLabel":"b")")))
        {
            return not_run;
        }
    }
    const std::int64_t began = now_ms();
    while (place.machine(0).listed_ends() == 0 && now_ms() < began + 20'000)
    {
        sleep_ms(5);
    }
    if (has_trouble())
    {
        place.table().set_busy(true);
    }
    const std::int64_t until = now_ms() + outage_ms;
    int most = 0;
    while (now_ms() < until)
    {
        most = std::max(most, place.machine(0).listed_ends());
        sleep_ms(10);
    }
    if (has_trouble())
    {
        place.table().set_busy(false);
    }
    record::line("most ends that waited on worker i-0: " + std::to_string(most));
    sleep_ms(finish_ms);
    for (int number = 1; number <= jobs; ++number)
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
