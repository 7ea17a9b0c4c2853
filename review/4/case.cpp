#include "../standin/standin.hpp"

/// A status report of another writer, for a service that is not named in the manifest, arrives at
/// the control address of a worker's machine.
int main()
{
    using namespace review;
    constexpr std::int64_t work_ms = 9000;
    constexpr std::int64_t finish_ms = 14'000;
    constexpr std::int64_t stuck_ms = 3000;
    record::open("review/4/record.txt");
    site place({},
               [](const std::string&, const std::string&, const std::string&) -> std::int64_t
               { return work_ms; });
    if (!place.wait_until_serving())
    {
        return not_run;
    }
    if (!place.submit(job_id(1), job_body("photo", 3, 13000, work_ms, R"(,"gpu":4)")))
    {
        return not_run;
    }
    const std::int64_t began = now_ms();
    while (place.running_units(job_id(1)) < 3 && now_ms() < began + 5000)
    {
        sleep_ms(5);
    }
    sleep_ms(1000);
    int target = 0;
    while (target < 2 && place.machine(target).running_units(job_id(1)) == 0)
    {
        ++target;
    }
    if (has_trouble())
    {
        const std::string report =
            R"({"service":"unnamed","address":"127.0.0.1:9","zone":"zone-a","version":"v1",)"
            R"("slots":8,"state":"ready","coldLeftMs":0,"capacity":{"cpu":1000,"memMb":1000,)"
            R"("gpu":0},"labels":["a","r9"],"clockMs":1000,"seq":1,"born":)" +
            std::to_string(unix_ms()) + "}";
        const answer got =
            call(place.control(target), "PUT", "/v1/instances/i-other", report, {}, 1000);
        record::line("another writer: PUT /v1/instances/i-other at agent-" +
                     std::to_string(target) + " -> " + std::to_string(got.status));
    }
    sleep_ms(work_ms + finish_ms);
    // Rule LOST: for 3 s nothing of the job runs, though its turn has come and there is capacity.
    const std::int64_t looked = now_ms();
    bool idle = true;
    std::string shown;
    while (now_ms() < looked + stuck_ms)
    {
        idle = idle && place.running_units(job_id(1)) == 0;
        sleep_ms(50);
    }
    shown = place.state(job_id(1));
    record::line("requester: GET " + job_id(1) + " -> " + shown);
    // A job that comes later, as wide as the service, tells whether the worker is still used.
    static_cast<void>(place.submit(job_id(2), job_body("photo", 3, 20000, 1000)));
    sleep_ms(2000);
    record::line("worker i-" + std::to_string(target) + " runs " +
                 std::to_string(place.machine(target).running_units(job_id(2))) +
                 " units of a later job");
    place.record_runs();
    const bool lost = idle && shown != "completed";
    record::line(lost ? "LOST: the job has nothing running and is not completed" : "the rule held");
    return lost ? broken : held;
}
