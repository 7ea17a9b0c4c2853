#include "chicorylift/batch/fair_share.hpp"
#include "chicorylift/batch/group_order.hpp"
#include "chicorylift/batch/scheduler.hpp"
#include "chicorylift/batch/submission_admission.hpp"

#include <doctest/doctest.h>
#include <string>

/// Order of competing groups, without a network.
namespace
{

using namespace chicorylift;
using namespace chicorylift::batch;
using core::instant_at;
using std::chrono::milliseconds;
using std::chrono::seconds;

completion_outlook outlook(milliseconds age, milliseconds remaining, milliseconds objective)
{
    return {age, remaining, objective};
}

order_terms terms(milliseconds age, double weight = 1, double demand = 1)
{
    order_terms result;
    result.outlook = outlook(age, seconds{2}, seconds{10});
    result.allowed_wait = seconds{8};
    result.weight = weight;
    result.demand = demand;
    return result;
}

// Guards against giving up on a job that its caller still gains from.
TEST_CASE("a job is late after its objective and hopeless after three times the objective")
{
    CHECK(urgency_of(outlook(seconds{8}, seconds{2}, seconds{10})) == urgency::on_time);
    CHECK(urgency_of(outlook(milliseconds{8001}, seconds{2}, seconds{10})) == urgency::late);
    CHECK(urgency_of(outlook(seconds{28}, seconds{2}, seconds{10})) == urgency::late);
    CHECK(urgency_of(outlook(milliseconds{28001}, seconds{2}, seconds{10})) == urgency::hopeless);
    CHECK(value_of(outlook(seconds{1}, seconds{2}, seconds{10})) == doctest::Approx(1));
    CHECK(value_of(outlook(seconds{18}, seconds{2}, seconds{10})) == doctest::Approx(0.5));
    CHECK(value_of(outlook(seconds{40}, seconds{2}, seconds{10})) == doctest::Approx(0));
    CHECK(value_of(outlook({}, seconds{2}, {})) == doctest::Approx(0));
}

// Guards against late jobs that delay jobs whose callers still get the full value.
TEST_CASE("jobs on time go before late ones, and hopeless ones go last")
{
    const double on_time = rank_of(terms(seconds{1}, 1, 1e6));
    const double late = rank_of(terms(seconds{9}, 1e6, 1e-6));
    const double hopeless = rank_of(terms(seconds{90}, 1e6, 1e-6));
    CHECK(on_time < late);
    CHECK(late < hopeless);
    CHECK(hopeless < rank_ranges);
    // The longest wait goes first among those that nobody gains from, so that each has its turn.
    CHECK(rank_of(terms(seconds{91})) < hopeless);
}

// Guards against an order that ignores what capacity costs, or how little time is left.
TEST_CASE("value for the capacity, the time that is left and the remaining work decide the order")
{
    CHECK(rank_of(terms(seconds{1}, 1, 1)) < rank_of(terms(seconds{1}, 1, 2)));
    CHECK(rank_of(terms(seconds{1}, 2, 1)) < rank_of(terms(seconds{1}, 1, 1)));
    CHECK(rank_of(terms(seconds{7})) < rank_of(terms(seconds{1})));
    // Of two late jobs, the one that has lost more yields less.
    CHECK(rank_of(terms(seconds{10})) < rank_of(terms(seconds{25})));
    order_terms large = terms(seconds{10}, 1, 1000);
    large.underserved = true;
    CHECK(rank_of(large) < rank_of(terms(seconds{7}, 1, 1e-3)));
}

// Guards against values that cannot be compared: the order of a pass must always be defined.
TEST_CASE("ranks are defined for odd values")
{
    for (const double odd : {0.0, -1.0, 1e-300, 1e300})
    {
        for (const milliseconds age :
             {milliseconds{-5000}, milliseconds{0}, milliseconds{1} * 1'000'000'000'000})
        {
            order_terms each = terms(age, odd, odd);
            for (const milliseconds objective :
                 {milliseconds{-1}, milliseconds{0}, milliseconds{10}})
            {
                each.outlook.objective = objective;
                each.allowed_wait = objective;
                CAPTURE(odd);
                CAPTURE(age.count());
                CHECK(rank_of(each) >= 0);
                CHECK(rank_of(each) < rank_ranges);
            }
        }
    }
}

// Guards against starving the largest jobs, which yield least for their capacity.
TEST_CASE("the largest tenth of a queue counts as underserved before it gets half of the service")
{
    const auto service_of = [](int large_served, int small_served)
    {
        std::vector<service_sample> samples;
        samples.reserve(100);
        for (int index = 0; index < 10; ++index)
        {
            samples.push_back({100.0 + index, index < large_served});
        }
        for (int index = 0; index < 90; ++index)
        {
            samples.push_back({1.0, index < small_served});
        }
        return summarise(std::move(samples));
    };
    const queue_service service = service_of(3, 70);
    CHECK(service.large_jobs == 10);
    CHECK(service.large_served == 3);
    CHECK(service.served == 73);
    CHECK(service.large_work == doctest::Approx(100));
    CHECK(is_large_underserved(service));
    CHECK_FALSE(is_large_underserved(service_of(8, 70)));
    CHECK_FALSE(is_large_underserved(service_of(0, 0)));
    CHECK_FALSE(is_large_underserved(summarise({})));
    CHECK_FALSE(is_large_underserved(summarise({{100, false}, {1, true}})));
}

job_spec job_of(const std::string& id, const std::string& organisation, std::int64_t accelerators,
                milliseconds estimate)
{
    job_spec job;
    job.id = core::job_id(id);
    job.organisation = core::organisation_id(organisation);
    job.policy.queue = queue_id("q");
    job.policy.service = core::service_id("s");
    job.policy.priority = 1;
    job.policy.max_slowdown = 3;
    job.policy.latency_allowance = seconds{4};
    step_spec step;
    step.per_unit = {1000, 1000, accelerators};
    step.estimate = estimate;
    job.steps.push_back(step);
    return job;
}

/// A scheduler with one worker of eight accelerators.
struct one_worker
{
    explicit one_worker(scheduler_settings settings, milliseconds takeover = milliseconds{1000})
        : scheduler(settings, instant_at(takeover))
    {
        this->report(takeover);
    }

    void report(milliseconds at)
    {
        worker_report report;
        report.agent = agent_id("w");
        report.worker.announced = true;
        report.worker.started_at = unix_time{1};
        report.worker.service = core::service_id("s");
        report.worker.capacity = {32000, 131072, 8};
        report.lists_valid = true;
        for (const agent_command& command : this->started)
        {
            report.runs.push_back({command.unit, command.run, run_phase::running, "", 0});
        }
        this->scheduler.on_report(report, instant_at(at));
        this->scheduler.on_renewal_sent(report.agent, instant_at(at));
    }

    /// @return the jobs that a pass starts, in its order.
    std::string pass(milliseconds at, milliseconds wall_time)
    {
        std::string jobs;
        for (const agent_command& command :
             this->scheduler.schedule(instant_at(at), wall_time, true))
        {
            jobs += (jobs.empty() ? "" : " ") + command.unit.job.str();
            this->started.push_back(command);
        }
        return jobs;
    }

    site_scheduler scheduler;
    std::vector<agent_command> started;
};

scheduler_settings settings_with(bool order_by_value)
{
    scheduler_settings settings;
    settings.order_by_value = order_by_value;
    return settings;
}

// Guards against a late job that never runs: before, a missed objective ranked last for good, and
// jobs without any value left went before it by their waiting time.
TEST_CASE("a late job runs before a hopeless one that has waited longer")
{
    for (const bool order_by_value : {false, true})
    {
        CAPTURE(order_by_value);
        one_worker site(settings_with(order_by_value));
        // Objectives: 3 x 1 s + 4 s.
        site.scheduler.add_job(job_of("first", "o", 8, seconds{1}), {}, false,
                               instant_at(seconds{1}), job_origin::this_leader);
        site.scheduler.add_job(job_of("late", "o", 8, seconds{1}), {}, false,
                               instant_at(seconds{21}), job_origin::this_leader);
        site.report(seconds{31});
        CHECK(site.pass(seconds{31}, seconds{31}) ==
              std::string(order_by_value ? "late" : "first"));
    }
}

// Guards against a hopeless job that is dropped: it still runs when there is room.
TEST_CASE("a hopeless job runs when there is room for it")
{
    one_worker site(settings_with(true));
    site.scheduler.add_job(job_of("old", "o", 4, seconds{1}), {}, false, instant_at(seconds{1}),
                           job_origin::this_leader);
    site.scheduler.add_job(job_of("new", "o", 4, seconds{1}), {}, false, instant_at(seconds{90}),
                           job_origin::this_leader);
    site.report(seconds{91});
    CHECK(site.pass(seconds{91}, seconds{91}) == "new old");
}

// Guards against two faults of a new leader: it took every job for new, and a clock that was wrong
// by an hour made jobs hopeless that had just come.
TEST_CASE("a new leader reads the age of a job, and a wrong clock does not make it hopeless")
{
    constexpr milliseconds now = seconds{100};
    constexpr milliseconds wall_time = seconds{1'000'000};
    one_worker site(settings_with(true), seconds{60});
    // Objectives: 3 x 1 s + 4 s.
    site.scheduler.add_job(job_of("hopeless", "o", 2, seconds{1}), {}, false,
                           instant_at(seconds{70}), job_origin::this_leader);
    for (const auto& [name, age] :
         {std::pair("strange", 3600), std::pair("late", 10), std::pair("new", -3600)})
    {
        job_spec job = job_of(name, "o", 2, seconds{1});
        job.accepted = wall_time - seconds{age};
        site.scheduler.add_job(job, {}, false, instant_at(now), job_origin::earlier_leader);
    }
    site.report(now);
    CHECK(site.pass(now, wall_time) == "new late strange hopeless");
}

// Guards against one organisation that holds everything because it submits most.
TEST_CASE("an organisation above its fair share goes behind others, and none below it does")
{
    const core::organisation_id large("large");
    const core::organisation_id small("small");
    const core::organisation_id owner("owner");
    const std::map<core::organisation_id, std::int64_t> guaranteed{{owner, 2}};
    organisation_shares shares(guaranteed);
    for (const auto& each : {large, small, owner})
    {
        shares.add_competitor(each);
    }
    // Weights are 1, 1 and 2.
    CHECK(shares.fair_share(large) == doctest::Approx(0.25));
    CHECK(shares.fair_share(owner) == doctest::Approx(0.5));
    shares.add_held(large, 0.24);
    CHECK(shares.level_of(large) == 0);
    shares.add_held(large, 0.02);
    CHECK(shares.level_of(large) == 1);
    shares.add_held(large, 0.25);
    CHECK(shares.level_of(large) == 2);
    CHECK(shares.level_of(small) == 0);
    // A gang that is wider than the share counts as the share only.
    shares.add_waiting(small, 0.9);
    CHECK(shares.level_of(small) == 1);
    // Where other priorities hold half, the shares are halves too.
    shares.set_available(0.5);
    CHECK(shares.fair_share(owner) == doctest::Approx(0.25));
    CHECK(dominant_share({1000, 100, 1}, {4000, 1000, 2}) == doctest::Approx(0.5));
    CHECK(dominant_share({1000, 0, 1}, {}) >= 1);
}

// Guards against shares that are known to the first leader only, and against one organisation's
// backlog that takes all free room in one pass.
TEST_CASE("fair shares count running work and what comes before a group in the same pass")
{
    for (const bool fair_shares : {false, true})
    {
        CAPTURE(fair_shares);
        scheduler_settings settings;
        settings.fair_shares = fair_shares;
        one_worker site(settings);
        for (int number = 0; number < 6; ++number)
        {
            site.scheduler.add_job(job_of("a" + std::to_string(number), "a", 2, seconds{1}), {},
                                   false, instant_at(seconds{2}));
        }
        site.scheduler.add_job(job_of("b", "b", 2, seconds{1}), {}, false, instant_at(seconds{2}));
        site.report(seconds{2});
        CHECK(site.pass(seconds{2}, seconds{2}) == (fair_shares ? "a0 a1 b a2" : "a0 a1 a2 a3"));
    }
}

admission_load busy_load()
{
    admission_load load;
    load.queued = 100;
    load.started = 9;
    load.starts_known = true;
    load.lapse = seconds{30};
    return load;
}

// Guards against refusing a job whose caller still gains from waiting, and against a refusal whose
// cause nobody can tell.
TEST_CASE("a job is refused only at a full bound and where it would surely lapse")
{
    const admission_limits limits{8, 50};
    // 100 jobs at twice the rate of 10 in 20 s take 100 s.
    const admission_decision refused = admit_submission(limits, busy_load());
    CHECK_FALSE(refused.admitted);
    CHECK(refused.reason.find("100 jobs of the organisation") != std::string::npos);
    CHECK(refused.drain_rate == doctest::Approx(0.5));
    const auto admits = [&limits](void (*change)(admission_load&))
    {
        admission_load load = busy_load();
        change(load);
        return admit_submission(limits, load).admitted;
    };
    CHECK(admits([](admission_load& load) { load.lapse = seconds{100}; }));
    CHECK(admits([](admission_load& load) { load.started = 99; }));
    CHECK(admits([](admission_load& load) { load.queued = 49; }));
    CHECK(admits([](admission_load& load) { load.starts_known = false; }));
    CHECK(admits([](admission_load& load) { load.lapse = {}; }));
    CHECK_FALSE(admits(
        [](admission_load& load)
        {
            load.pending_submissions = 8;
            load.queued = 0;
        }));
    CHECK(admit_submission({}, busy_load()).admitted);
}

// Guards against urgent, scheduled and long-running jobs that are refused for a backlog which does
// not decide when they run.
TEST_CASE("only jobs that wait behind their organisation's backlog lapse")
{
    job_spec job = job_of("j", "o", 1, seconds{2});
    CHECK(lapse_of(job, 8) == seconds{30});
    job.occurrences = 2;
    CHECK(lapse_of(job, 0).count() == 0);
    job.occurrences = 0;
    job.steps[0].long_running = true;
    CHECK(lapse_of(job, 0).count() == 0);
    job.steps[0].long_running = false;
    job.policy.priority = 0;
    CHECK(lapse_of(job, 8).count() == 0);
    CHECK(lapse_of(job, 0) == seconds{30});
}

// Guards against callers that are refused together and come back together.
TEST_CASE("refused callers come back at the rate at which the backlog drains")
{
    retry_schedule schedule;
    const core::instant now = instant_at(seconds{100});
    CHECK(schedule.next(now, 4, 0) == seconds{1});
    CHECK(schedule.next(now, 4, 0) == milliseconds{1250});
    CHECK(schedule.next(now, 4, 0) == milliseconds{1500});
    for (int caller = 0; caller < 200; ++caller)
    {
        const milliseconds wait = schedule.next(now, 4, 0.5);
        CHECK(wait >= retry_schedule::min_delay);
        CHECK(wait <= retry_schedule::max_delay);
    }
    // The backlog has drained by then.
    CHECK(schedule.next(now + seconds{60}, 4, 0) == seconds{1});
    CHECK(schedule.next(now, 0, 1) <= retry_schedule::max_delay);
}

TEST_CASE("events count until they leave the window")
{
    event_rate rate;
    CHECK(rate.count(instant_at(seconds{0})) == 0);
    rate.record(instant_at(seconds{30}));
    rate.record(instant_at(milliseconds{30'900}));
    rate.record(instant_at(seconds{40}));
    CHECK(rate.count(instant_at(seconds{40})) == 3);
    CHECK(rate.count(instant_at(seconds{50})) == 1);
    CHECK(rate.count(instant_at(seconds{90})) == 0);
}

} // namespace
