#include "chicorylift/batch/scheduler.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <string>

/// Decisions about room for guaranteed work.
namespace
{

using namespace chicorylift;
using namespace chicorylift::batch;
using core::instant_at;
using std::chrono::milliseconds;

job_spec urgent_job(const std::string& id, const std::string& organisation)
{
    job_spec job;
    job.id = core::job_id(id);
    job.organisation = core::organisation_id(organisation);
    job.policy.queue = queue_id("q");
    job.policy.service = core::service_id("s");
    job.policy.max_slowdown = 100;
    step_spec step;
    step.per_unit = {1000, 1000, 8};
    step.estimate = milliseconds{60'000};
    job.steps.push_back(step);
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

// Guards against RECLAIM: urgent runs of an organisation beyond its guarantee kept their room.
TEST_CASE("guaranteed work reclaims room from urgent work of an organisation beyond its guarantee")
{
    site_scheduler scheduler({}, instant_at(milliseconds{10'000}));
    std::int64_t guaranteed_to_other = 0;
    SUBCASE("beyond its guarantee") {}
    SUBCASE("within its guarantee")
    {
        guaranteed_to_other = 8;
    }
    scheduler.set_policies({}, {{core::organisation_id("own"), 8},
                                {core::organisation_id("other"), guaranteed_to_other}});
    worker_report report = report_of_worker();
    scheduler.add_job(urgent_job("first", "other"), {}, false, instant_at(milliseconds{10'000}));
    const auto pass = [&](milliseconds at)
    {
        scheduler.on_report(report, instant_at(at));
        scheduler.on_renewal_sent(report.agent, instant_at(at));
        return scheduler.schedule(instant_at(at), {}, true);
    };
    const auto started = pass(milliseconds{10'010});
    REQUIRE(started.size() == 1);
    report.runs = {{started.front().unit, started.front().run, run_phase::running, "", 1}};
    CHECK(pass(milliseconds{10'500}).empty());
    scheduler.add_job(urgent_job("second", "own"), {}, false, instant_at(milliseconds{10'600}));
    CHECK(pass(milliseconds{10'610}).empty());
    const auto commands = pass(milliseconds{11'700});
    const bool stops = std::any_of(commands.begin(), commands.end(),
                                   [](const agent_command& command)
                                   { return command.what == agent_command::action::stop; });
    CHECK(stops == (guaranteed_to_other == 0));
}

} // namespace
