#include "chicorylift/batch/scheduler.hpp"
#include "site/row_codec.hpp"
#include "support/batch_site.hpp"

#include <algorithm>
#include <ctime>
#include <doctest/doctest.h>
#include <malloc.h>
#include <string>
#include <thread>

/// Large accepted jobs, as decisions and as processes.
namespace
{

using namespace chicorylift;
using namespace chicorylift::batch;
using core::instant_at;
using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::batch_site;

// A turn of a leader's loop may take 50 ms at 0.15 cores.
constexpr double max_turn_ms = 50 * 0.15;
// A job may stand still for 3 s once the site has been calm for 4 s.
constexpr seconds standstill_limit{7};

double cpu_ms()
{
    timespec time{};
    ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) * 1e3 + static_cast<double>(time.tv_nsec) / 1e6;
}

/// @return memory that is allocated; 0 with an allocator that does not tell, such as a sanitizer's.
double heap_mb()
{
    return static_cast<double>(::mallinfo2().uordblks) / 1e6;
}

/// @return a job of two layers of steps, each of the second after all of the first, for which no
///         worker has enough accelerators.
job_spec layered_job(const std::string& id, int steps_per_layer, std::int64_t units_per_step)
{
    job_spec job;
    job.id = core::job_id(id);
    job.policy.queue = queue_id("q");
    job.policy.service = core::service_id("s");
    job.policy.priority = 1;
    step_spec step;
    step.per_unit = {1000, 100, 9};
    step.units = units_per_step;
    job.steps.assign(static_cast<std::size_t>(steps_per_layer), step);
    step.units = 1;
    for (int earlier = 0; earlier < steps_per_layer; ++earlier)
    {
        step.depends_on.push_back(earlier);
    }
    job.steps.resize(2 * static_cast<std::size_t>(steps_per_layer), step);
    return job;
}

worker_report report_of_worker()
{
    worker_report report;
    report.agent = agent_id("a");
    report.worker.announced = true;
    report.worker.started_at = unix_time{1};
    report.worker.service = core::service_id("s");
    report.worker.capacity = {32000, 131072, 8};
    report.lists_valid = true;
    return report;
}

/// @return a job body like that of layered_job().
std::string layered_body(int steps_per_layer, int units_per_step)
{
    std::string all_first;
    std::string steps;
    for (int number = 0; number < steps_per_layer; ++number)
    {
        all_first += (number == 0 ? "" : ",") + std::to_string(number);
        steps += std::string(number == 0 ? "" : ",") + R"({"count":)" +
                 std::to_string(units_per_step) + R"(,"cpu":1000,"memMb":100,"gpu":9})";
    }
    for (int number = 0; number < steps_per_layer; ++number)
    {
        steps += R"(,{"count":1,"cpu":1000,"memMb":100,"gpu":9,"after":[)" + all_first + "]}";
    }
    return R"({"spec":"300","steps":[)" + steps + "]}";
}

std::string job_name(int number)
{
    const std::string text = std::to_string(number);
    return std::string(16 - text.size(), '0') + text;
}

} // namespace

// Guards against LOST: a pass walked all steps of a job for each of its units.
TEST_CASE("a pass and a load take no longer than a turn may for the largest job that is accepted")
{
    for (const int jobs : {1, 20})
    {
        CAPTURE(jobs);
        site_scheduler scheduler({}, instant_at(milliseconds{10'000}));
        scheduler.on_report(report_of_worker(), instant_at(milliseconds{10'000}));
        double longest = 0;
        for (int number = 0; number < jobs; ++number)
        {
            job_spec job = layered_job(std::to_string(number), 200, 495);
            REQUIRE(validate_job(job).ok());
            const double begin = cpu_ms();
            scheduler.add_job(std::move(job), {}, false, instant_at(milliseconds{10'000}));
            longest = std::max(longest, cpu_ms() - begin);
        }
        for (int pass = 1; pass <= 3; ++pass)
        {
            const double begin = cpu_ms();
            CHECK(scheduler.schedule(instant_at(milliseconds{10'000 + 500 * pass}), {}, true)
                      .empty());
            longest = std::max(longest, cpu_ms() - begin);
        }
        CHECK(longest < max_turn_ms);
    }
}

// Guards against LOST: jobs with many units took each leader past the memory of its machine.
TEST_CASE("the units of large jobs that have not run take little memory")
{
    const double before = heap_mb();
    site_scheduler scheduler({}, instant_at(milliseconds{10'000}));
    for (int number = 0; number < 8; ++number)
    {
        scheduler.add_job(layered_job(std::to_string(number), 1, 99'999), {}, false,
                          instant_at(milliseconds{10'000}));
    }
    scheduler.on_report(report_of_worker(), instant_at(milliseconds{10'000}));
    CHECK(scheduler.schedule(instant_at(milliseconds{10'100}), {}, true).empty());
    CHECK(scheduler.pending_units() == 8 * 99'999);
    CHECK(heap_mb() - before < 16);
}

// Guards against LOST: a step that can be placed waits behind units that no worker can hold.
TEST_CASE("a wide step that cannot be placed holds up neither the other steps nor other jobs")
{
    site_scheduler scheduler({}, instant_at(milliseconds{10'000}));
    job_spec wide = layered_job("wide", 1, 50'000);
    wide.steps[0].per_unit = {0, 0, 0};
    wide.steps[0].required_label = "none has it";
    wide.steps[1].depends_on.clear();
    wide.steps[1].per_unit = {1000, 1000, 1};
    scheduler.add_job(wide, {}, false, instant_at(milliseconds{10'000}));
    job_spec other = layered_job("other", 1, 1);
    other.steps[0].per_unit = {1000, 1000, 1};
    scheduler.add_job(other, {}, false, instant_at(milliseconds{10'000}));
    scheduler.on_report(report_of_worker(), instant_at(milliseconds{10'000}));
    const auto started = scheduler.schedule(instant_at(milliseconds{10'100}), {}, true);
    CHECK(started.size() == 2);
}

// Guards against LOST: a later occurrence waits behind the units of an earlier one.
TEST_CASE("a wide step that cannot be placed holds up no later occurrence of its job")
{
    site_scheduler scheduler({}, instant_at(milliseconds{10'000}));
    job_spec job = layered_job("j", 1, 2000);
    job.steps[0].per_unit = {0, 0, 0};
    job.steps[0].required_label = "none has it";
    job.steps[1].depends_on.clear();
    job.steps[1].per_unit = {1000, 1000, 1};
    job.occurrences = 3;
    scheduler.add_job(job, {}, false, instant_at(milliseconds{10'000}));
    scheduler.on_report(report_of_worker(), instant_at(milliseconds{10'000}));
    CHECK(scheduler.schedule(instant_at(milliseconds{10'100}), {}, true).size() == 3);
}

// Guards against LOST: jobs beyond what one pass looks at were never looked at.
TEST_CASE("every job is placed in time however many large ones are before it")
{
    site_scheduler scheduler({}, instant_at(milliseconds{10'000}));
    for (int number = 0; number < 60; ++number)
    {
        scheduler.add_job(layered_job("a" + std::to_string(number), 400, 100), {}, false,
                          instant_at(milliseconds{10'000}));
    }
    job_spec last = layered_job("z", 1, 1);
    last.steps.resize(1);
    last.steps[0].per_unit = {1000, 1000, 1};
    scheduler.add_job(last, {}, false, instant_at(milliseconds{10'000}));
    std::size_t started = 0;
    for (int pass = 1; pass <= 10 && started == 0; ++pass)
    {
        scheduler.on_report(report_of_worker(), instant_at(milliseconds{10'000 + 200 * pass}));
        scheduler.on_renewal_sent(agent_id("a"), instant_at(milliseconds{10'000 + 200 * pass}));
        started =
            scheduler.schedule(instant_at(milliseconds{10'000 + 200 * pass}), {}, true).size();
    }
    CHECK(started == 1);
}

// Guards against LOST: one accepted job that can never be done kept every leader in its passes.
TEST_CASE("a site goes on beside large jobs that can never be done")
{
    batch_site site(1, 3);
    site.configure(1, {"key-a"});
    REQUIRE(batch_site::wait_for([&] { return site.call(0, "GET", "").status == 200; }));
    REQUIRE(batch_site::wait_for([&] { return site.leader() >= 0; }));
    for (int number = 1; number <= 5; ++number)
    {
        REQUIRE(site.call(0, "POST", job_name(number), layered_body(200, 495)).status == 200);
    }
    REQUIRE(site.call(0, "POST", job_name(100), testing::job_body("300", 2, 1, false)).status ==
            200);
    CHECK(site.wait_for_state(job_name(100), "completed", standstill_limit));
    // The first leader cannot rule out an earlier one until a lease has passed.
    std::this_thread::sleep_for(seconds{6});
    // The next leader loads them all.
    site.agent(site.leader()).kill_now();
    REQUIRE(site.call(0, "POST", job_name(101), testing::job_body("300", 2, 1, false)).status ==
            200);
    CHECK(site.wait_for_state(job_name(101), "completed", standstill_limit));
}

TEST_CASE("the estimate of a job's memory is near what the scheduler needs for it")
{
    constexpr int jobs = 20;
    const double before = heap_mb();
    site_scheduler scheduler({}, instant_at(milliseconds{10'000}));
    double estimate = 0;
    for (int number = 0; number < jobs; ++number)
    {
        job_spec job = layered_job(std::to_string(number), 200, 495);
        estimate += static_cast<double>(state_bytes(job)) / 1e6;
        scheduler.add_job(std::move(job), {}, false, instant_at(milliseconds{10'000}));
    }
    scheduler.on_report(report_of_worker(), instant_at(milliseconds{10'000}));
    CHECK(scheduler.schedule(instant_at(milliseconds{10'100}), {}, true).empty());
    const double used = heap_mb() - before;
    CHECK(used < estimate * 1.5);
    CHECK((used > estimate / 2 || heap_mb() == 0));
}

// Guards against LOST: jobs that were accepted without a limit killed each leader that loaded them.
TEST_CASE("a leader sets aside jobs that it has no memory for, until others have ended")
{
    batch_site site(1, 3, {"--max-job-state-mb", "1", "--keep-ended-s", "1"}, false, 1,
                    {"--max-job-state-mb", "0"});
    site.configure(1, {"key-a"});
    REQUIRE(batch_site::wait_for([&] { return site.call(0, "GET", "").status == 200; }));
    REQUIRE(batch_site::wait_for([&] { return site.leader() >= 0; }));
    constexpr int large_jobs = 6;
    for (int number = 1; number <= large_jobs; ++number)
    {
        REQUIRE(site.call(0, "POST", job_name(number), layered_body(200, 495)).status == 200);
    }
    REQUIRE(site.call(0, "POST", job_name(100), testing::job_body("300", 2, 1, false)).status ==
            200);
    CHECK(site.wait_for_state(job_name(100), "completed", standstill_limit));
    CHECK(site.agent(site.leader()).output().find("\"job_set_aside\"") != std::string::npos);
    for (int number = 1; number <= large_jobs; ++number)
    {
        CHECK(site.call(0, "DELETE", job_name(number)).status == 200);
    }
    CHECK(batch_site::wait_for([&] { return site.store().rows("jobs") == 0; }));
}

// Guards against LOST: jobs that together need more memory than a leader has were accepted.
TEST_CASE("an entry refuses at once what a leader cannot hold and what the store cannot take")
{
    batch_site site(1, 1, {}, false, 1, {"--max-job-state-mb", "1"});
    site.configure(1, {"key-a"});
    REQUIRE(batch_site::wait_for([&] { return site.call(0, "GET", "").status == 200; }));
    CHECK(site.call(0, "POST", job_name(1), layered_body(190, 500)).status == 200);
    REQUIRE(site.wait_for_state(job_name(1), "queued"));
    const auto second = site.call(0, "POST", job_name(2), layered_body(190, 500));
    CHECK(second.status == 429);
    CHECK(second.body.find("unfinished jobs") != std::string::npos);
    // One that needs over half of the memory by itself is not told to come back.
    CHECK(site.call(0, "POST", job_name(3), layered_body(215, 1)).status == 400);
    // 62,500 dependencies do not fit into a row.
    const auto wide = site.call(0, "POST", job_name(4), layered_body(250, 1));
    CHECK(wide.status == 400);
    CHECK(wide.body.find("as it is stored") != std::string::npos);
    CHECK(site.call(0, "POST", job_name(5), testing::job_body("100", 1, 1, false)).status == 200);
    CHECK(site.call(0, "DELETE", job_name(1)).status == 200);
    CHECK(batch_site::wait_for(
        [&] { return site.call(0, "POST", job_name(2), layered_body(190, 500)).status == 200; }));
}

// Guards against LOST: starts for one worker outgrew the largest message and never arrived.
TEST_CASE("all units of a job with the longest payload start, however many one worker takes")
{
    batch_site site(1, 3);
    site.configure(1, {"key-a"});
    REQUIRE(batch_site::wait_for([&] { return site.call(0, "GET", "").status == 200; }));
    REQUIRE(batch_site::wait_for([&] { return site.leader() >= 0; }));
    constexpr int units = 4000;
    constexpr std::size_t longest_payload = 4000;
    std::string payload = "300";
    payload.resize(longest_payload, 'x');
    REQUIRE(site.call(0, "POST", job_name(1),
                      R"({"spec":")" + payload + R"(","steps":[{"count":)" + std::to_string(units) +
                          R"(,"cpu":20,"memMb":50,"estimateMs":300}]})")
                .status == 200);
    CHECK(site.wait_for_state(job_name(1), "completed", seconds{40}));
    CHECK(site.workers().records().done.size() == units);
    CHECK(site.workers().records().violations.empty());
}

// Guards against LOST: the repetition of an accepted job was answered as if the job did not exist.
TEST_CASE("a job that was accepted under other limits is still accepted when it is repeated")
{
    batch_site site(1, 1, {}, false, 1, {"--max-job-state-mb", "1"});
    site.configure(1, {"key-a"});
    REQUIRE(batch_site::wait_for([&] { return site.call(0, "GET", "").status == 200; }));
    job_spec job = layered_job(job_name(1), 215, 1);
    job.organisation = core::organisation_id("a");
    site.store().put("jobs", job_name(1) + "/accepted", site::to_row(job).SerializeAsString(),
                     "site");
    REQUIRE(site.wait_for_state(job_name(1), "queued"));
    CHECK(site.call(0, "POST", job_name(1), layered_body(215, 1)).status == 200);
    CHECK(site.call(0, "POST", job_name(2), layered_body(215, 1)).status == 400);
}

// Guards against LOST: the ended units of one job outgrew its row, and the store then rejected the
// progress of all jobs.
TEST_CASE("the progress of the largest job fits into a row, and is read as it was written")
{
    constexpr std::size_t row_bytes = 65'536;
    job_progress progress;
    progress.steps = 2;
    SUBCASE("every second unit of one step")
    {
        std::vector<std::int64_t> units;
        for (std::int64_t unit = 0; unit < max_units; unit += 2)
        {
            units.push_back(unit);
        }
        progress.completed.push_back({0, 1, units});
    }
    SUBCASE("most occurrences of a scheduled job")
    {
        for (std::int64_t occurrence = 0; occurrence < max_units / 2; ++occurrence)
        {
            progress.completed.push_back({occurrence, occurrence % 2, {}});
        }
    }
    SUBCASE("few units, as programs of earlier versions read them")
    {
        progress.completed.push_back({0, 0, {}});
        progress.completed.push_back({0, 1, {0, 3, 77}});
        CHECK(site::to_row(progress).done_size() == 2);
    }
    const std::string value = site::to_row(progress).SerializeAsString();
    CHECK(value.size() <= row_bytes);
    wire::batch_progress row;
    REQUIRE(row.ParseFromString(value));
    const job_progress read = site::from_row(row);
    REQUIRE(read.completed.size() == progress.completed.size());
    for (std::size_t index = 0; index < read.completed.size(); ++index)
    {
        CHECK(read.completed[index].occurrence == progress.completed[index].occurrence);
        CHECK(read.completed[index].step == progress.completed[index].step);
        CHECK(read.completed[index].units == progress.completed[index].units);
    }
}
