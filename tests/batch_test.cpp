#include "batch/placement.hpp"
#include "chicorylift/batch/election.hpp"
#include "chicorylift/batch/leadership_confirmation.hpp"
#include "chicorylift/batch/run_table.hpp"
#include "chicorylift/batch/site_config.hpp"
#include "chicorylift/batch/store_health.hpp"
#include "chicorylift/batch/takeover_guard.hpp"
#include "chicorylift/batch/worker_lease.hpp"
#include "chicorylift/batch/worker_liveness.hpp"
#include "chicorylift/batch/worker_registration.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <optional>
#include <random>

/// Unit tests of the batch scheduling decisions that need no processes or network.
namespace
{

using namespace chicorylift;
using namespace chicorylift::batch;
using core::instant_at;
using std::chrono::milliseconds;

unit_key unit(const std::string& job, std::int64_t index = 0)
{
    return {core::job_id(job), 0, 0, index};
}

candidate_worker worker_with(const std::string& agent, const std::string& rack,
                             std::int64_t accelerators)
{
    candidate_worker one;
    one.agent = agent_id(agent);
    one.rack = core::rack_id(rack);
    one.free = {32000, 131072, accelerators};
    return one;
}

step_spec gang_of(std::int64_t units, std::int64_t accelerators)
{
    step_spec step;
    step.units = units;
    step.gang = true;
    step.per_unit = {1000, 1000, accelerators};
    return step;
}

TEST_CASE("a unit key survives a round trip as text, and malformed keys are rejected")
{
    const unit_key key{core::job_id("5c0e7a21d94b36f8"), 1, 2, 17};
    CHECK(to_text(key) == "5c0e7a21d94b36f8.1.2.17");
    CHECK(parse_unit_key(to_text(key)).value() == key);
    CHECK(!parse_unit_key("abc.1.2").ok());
    CHECK(!parse_unit_key("abc.1.x.2").ok());
    CHECK(!parse_unit_key(".1.2.3").ok());
}

TEST_CASE("a job with a dependency on a later step or a step without units is rejected")
{
    job_spec job;
    job.steps.resize(2);
    CHECK(validate_job(job).ok());
    job.steps[0].depends_on = {1};
    CHECK(!validate_job(job).ok());
    job.steps[0].depends_on = {};
    job.steps[1].units = 0;
    CHECK(!validate_job(job).ok());
}

TEST_CASE("the critical path is the longest chain of dependent steps")
{
    job_spec job;
    job.steps.resize(3);
    job.steps[0].estimate = milliseconds{100};
    job.steps[1].estimate = milliseconds{500};
    job.steps[2].estimate = milliseconds{50};
    job.steps[2].depends_on = {0};
    CHECK(job.critical_path() == milliseconds{500});
    job.steps[2].depends_on = {1};
    CHECK(job.critical_path() == milliseconds{550});
}

TEST_CASE("a unit goes to the fullest worker on which it fits")
{
    const auto placed =
        place_units(gang_of(1, 2), {0}, {worker_with("a", "r", 8), worker_with("b", "r", 2)}, {});
    REQUIRE(placed.has_value());
    CHECK(placed->front().agent.str() == "b");
}

TEST_CASE("a rack-local gang is placed on one rack as a whole or not at all")
{
    const std::vector<candidate_worker> workers{
        worker_with("a", "r1", 8), worker_with("b", "r2", 8), worker_with("c", "r2", 8)};
    const auto placed = place_units(gang_of(2, 8), {0, 1}, workers, {.one_rack = true});
    REQUIRE(placed.has_value());
    CHECK(placed->at(0).agent.str() == "b");
    CHECK(placed->at(1).agent.str() == "c");
    CHECK(!place_units(gang_of(3, 8), {0, 1, 2}, workers, {.one_rack = true}).has_value());
    CHECK(place_units(gang_of(3, 8), {0, 1, 2}, workers, {}).has_value());
}

TEST_CASE("max_per_worker limits the units of a step on one worker")
{
    step_spec step = gang_of(2, 1);
    step.max_per_worker = 1;
    CHECK(!place_units(step, {0, 1}, {worker_with("a", "r", 8)}, {}).has_value());
    CHECK(place_units(step, {0, 1}, {worker_with("a", "r", 8), worker_with("b", "r", 8)}, {})
              .has_value());
}

TEST_CASE("preemption stops the run with the lowest cost")
{
    const std::vector<candidate_worker> workers{worker_with("a", "r", 0), worker_with("b", "r", 0)};
    const std::vector<victim> victims{
        {1, 50, {{agent_id("a"), {1000, 1000, 8}}}},
        {2, 5, {{agent_id("b"), {1000, 1000, 8}}}},
    };
    const auto plan = plan_preemption(gang_of(1, 8), {0}, workers, victims, {});
    REQUIRE(plan.has_value());
    CHECK(plan->preempted_runs == std::vector<run_number>{2});
    CHECK(plan->placements.front().agent.str() == "b");
    CHECK(!plan_preemption(gang_of(3, 8), {0, 1, 2}, workers, victims, {}).has_value());
}

TEST_CASE("preemption stops no run whose room the placed units do not need")
{
    const std::vector<candidate_worker> workers{worker_with("a", "r", 0), worker_with("b", "r", 0)};
    // The run on "a" costs least, but the one on "b" is needed anyway and frees enough.
    const auto wide = plan_preemption(gang_of(4, 1), {0, 1, 2, 3}, workers,
                                      std::vector<victim>{
                                          {1, 5, {{agent_id("a"), {1000, 1000, 1}}}},
                                          {2, 50, {{agent_id("b"), {8000, 8000, 4}}}},
                                      },
                                      {});
    REQUIRE(wide.has_value());
    CHECK(wide->preempted_runs == std::vector<run_number>{2});
    CHECK(wide->cost == 50);
    // The cheap run on the same worker frees too little and becomes unnecessary.
    const auto large = plan_preemption(gang_of(1, 8), {0}, {worker_with("a", "r", 0)},
                                       std::vector<victim>{
                                           {1, 5, {{agent_id("a"), {1000, 1000, 1}}}},
                                           {2, 50, {{agent_id("a"), {8000, 8000, 8}}}},
                                       },
                                       {});
    REQUIRE(large.has_value());
    CHECK(large->preempted_runs == std::vector<run_number>{2});
}

TEST_CASE("every run of a preemption plan is needed, for plans over random workers")
{
    std::mt19937 random(7);
    const auto below = [&random](unsigned limit)
    { return static_cast<std::int64_t>(random() % limit); };
    int plans = 0;
    for (int round = 0; round < 3000; ++round)
    {
        std::vector<candidate_worker> workers;
        std::vector<victim> victims;
        for (int number = 0; number < 5; ++number)
        {
            const std::string name(1, static_cast<char>('a' + number));
            workers.push_back(worker_with(name, "r", below(3)));
            for (std::int64_t run = below(4); run > 0; --run)
            {
                victim each{victims.size() + 1,
                            static_cast<double>(1 + below(90)),
                            {{agent_id(name), {1000, 1000, 1 + below(4)}}}};
                if (below(4) == 0)
                {
                    // A gang with a member on another worker.
                    each.frees.emplace_back(
                        agent_id(std::string(1, static_cast<char>('a' + below(5)))),
                        resource_amount{1000, 1000, 1 + below(4)});
                }
                victims.push_back(std::move(each));
            }
        }
        std::vector<std::int64_t> units(static_cast<std::size_t>(1 + below(6)));
        const step_spec step = gang_of(static_cast<std::int64_t>(units.size()), 1 + below(4));
        const auto plan = plan_preemption(step, units, workers, victims, {});
        plans += plan.has_value() ? 1 : 0;
        for (std::size_t left_out = 0; plan.has_value() && left_out < plan->preempted_runs.size();
             ++left_out)
        {
            std::vector<candidate_worker> freed = workers;
            for (std::size_t index = 0; index < plan->preempted_runs.size(); ++index)
            {
                for (const auto& [agent, amount] : victims[plan->preempted_runs[index] - 1].frees)
                {
                    if (index != left_out)
                    {
                        freed[static_cast<std::size_t>(agent.str().front() - 'a')].free += amount;
                    }
                }
            }
            CHECK(!place_units(step, units, freed, {}).has_value());
        }
    }
    CHECK(plans > 500);
}

TEST_CASE("a lease starts when the acknowledged report was sent")
{
    worker_lease lease(milliseconds{5000});
    lease.on_clock(milliseconds{100'000}, instant_at(milliseconds{1000}));
    CHECK(lease.expiry_on_worker_clock(instant_at(milliseconds{1000})).count() == 0);
    lease.on_report_sent(1, instant_at(milliseconds{1000}));
    lease.on_report_sent(2, instant_at(milliseconds{1600}));
    lease.on_report_acknowledged(1, milliseconds{0});
    CHECK(lease.expires_at() == instant_at(milliseconds{6000}));
    // A second acknowledgement, or one for a report that was never sent, changes nothing.
    lease.on_report_acknowledged(1, milliseconds{0});
    lease.on_report_acknowledged(7, milliseconds{0});
    CHECK(lease.expires_at() == instant_at(milliseconds{6000}));
    CHECK(lease.expiry_on_worker_clock(instant_at(milliseconds{2000})) == milliseconds{105'000});
    CHECK(lease.expiry_on_worker_clock(instant_at(milliseconds{6000})).count() == 0);
}

TEST_CASE("a worker is unresponsive without any responses, but not after a few lost ones")
{
    worker_liveness liveness(instant_at(milliseconds{0}));
    liveness.on_response(instant_at(milliseconds{100}));
    // A long poll fails, then an ordinary call.
    liveness.on_failure();
    CHECK(!liveness.is_unresponsive(instant_at(milliseconds{1700})));
    CHECK(!liveness.last_call_succeeded());
    liveness.on_failure();
    CHECK(!liveness.is_unresponsive(instant_at(milliseconds{2400})));
    liveness.on_failure();
    CHECK(liveness.is_unresponsive(instant_at(milliseconds{2600})));
    liveness.on_response(instant_at(milliseconds{2700}));
    CHECK(!liveness.is_unresponsive(instant_at(milliseconds{9000})));
    CHECK(liveness.last_call_succeeded());
    // Refused connections fail immediately, so five failures take no time: the worker may be
    // restarting.
    for (int call = 0; call < 5; ++call)
    {
        liveness.on_failure();
    }
    CHECK(!liveness.is_unresponsive(instant_at(milliseconds{3700})));
}

TEST_CASE("a run whose start got no response is kept until a stop is acknowledged")
{
    run_table table;
    worker_command start;
    start.unit = unit("j");
    start.run = 5;
    const run_table::run_key key{start.unit, 5};
    REQUIRE(table.on_start_command(start, instant_at(milliseconds{0})).has_value());
    CHECK(!table.on_start_command(start, instant_at(milliseconds{1})).has_value());
    table.on_start_result(key, start_result::unknown, "", instant_at(milliseconds{700}));
    CHECK(table.runs().size() == 1);
    // The start is retried once; then a stop bars the run.
    REQUIRE(table.take_due_retries(instant_at(milliseconds{701})).size() == 1);
    table.on_start_result(key, start_result::unknown, "", instant_at(milliseconds{1400}));
    const auto stops = table.take_due_retries(instant_at(milliseconds{1401}));
    REQUIRE(stops.size() == 1);
    CHECK(stops.front().what == worker_command::kind::stop);
    // Before the stop is acknowledged, lists without the run do not show that it is gone. Neither
    // do lists that were requested before the acknowledgement.
    table.on_run_lists({}, instant_at(milliseconds{1500}), instant_at(milliseconds{1501}));
    CHECK(table.runs().size() == 1);
    table.on_stop_result(key, true, instant_at(milliseconds{1600}));
    table.on_run_lists({}, instant_at(milliseconds{1550}), instant_at(milliseconds{1601}));
    CHECK(table.runs().size() == 1);
    table.on_run_lists({}, instant_at(milliseconds{1700}), instant_at(milliseconds{1701}));
    CHECK(table.runs().empty());
    REQUIRE(table.ends().size() == 1);
    CHECK(table.ends().front().outcome == run_outcome::never_started);
    table.on_unlisted_end_acknowledged(key);
    CHECK(table.ends().empty());
}

TEST_CASE("a refused retry does not show that the first attempt started no run")
{
    run_table table;
    worker_command start;
    start.unit = unit("j");
    start.run = 5;
    const run_table::run_key key{start.unit, 5};
    REQUIRE(table.on_start_command(start, instant_at(milliseconds{0})).has_value());
    table.on_start_result(key, start_result::unknown, "", instant_at(milliseconds{700}));
    REQUIRE(table.take_due_retries(instant_at(milliseconds{701})).size() == 1);
    table.on_start_result(key, start_result::refused, "room", instant_at(milliseconds{702}));
    CHECK(table.ends().empty());
    REQUIRE(table.take_due_retries(instant_at(milliseconds{703})).size() == 1);
}

// Guards against TWICE: by the time of the renewal the leader may have placed the unit elsewhere.
TEST_CASE("a start without a response is barred, not retried, once its lease has lapsed")
{
    run_table table;
    worker_command start;
    start.unit = unit("j");
    start.run = 5;
    const run_table::run_key key{start.unit, 5};
    REQUIRE(table.on_start_command(start, instant_at(milliseconds{0})).has_value());
    table.on_lease_renewed_after_lapse(instant_at(milliseconds{6000}));
    // The response of the first attempt times out after that.
    table.on_start_result(key, start_result::unknown, "", instant_at(milliseconds{6001}));
    const auto commands = table.take_due_retries(instant_at(milliseconds{6002}));
    REQUIRE(commands.size() == 1);
    CHECK(commands.front().what == worker_command::kind::stop);
}

// Guards against TWICE: a worker lists 500 ends at a time, and the end of a run may be beyond them.
TEST_CASE("a run that is missing from incomplete lists is kept")
{
    run_table table;
    worker_command start;
    start.unit = unit("j");
    start.run = 5;
    REQUIRE(table.on_start_command(start, instant_at(milliseconds{0})).has_value());
    table.on_start_result({start.unit, 5}, start_result::accepted, "",
                          instant_at(milliseconds{10}));
    run_lists lists;
    lists.ends_complete = false;
    table.on_run_lists(lists, instant_at(milliseconds{20}), instant_at(milliseconds{21}));
    CHECK(table.runs().size() == 1);
    CHECK(table.ends().empty());
    // Whether a table knows all runs is open until it has seen complete lists once.
    CHECK(!table.is_complete());
    lists.running.push_back({start.unit, 5, run_phase::running, "", 20});
    lists.ends_complete = true;
    table.on_run_lists(lists, instant_at(milliseconds{30}), instant_at(milliseconds{31}));
    CHECK(table.is_complete());
    lists.running.clear();
    lists.ends_complete = false;
    table.on_run_lists(lists, instant_at(milliseconds{40}), instant_at(milliseconds{41}));
    CHECK(table.is_complete());
    CHECK(table.runs().size() == 1);
    table.on_worker_restarted();
    CHECK(!table.is_complete());
}

TEST_CASE("lists requested before a start was accepted do not remove its run")
{
    run_table table;
    worker_command start;
    start.unit = unit("j");
    start.run = 5;
    REQUIRE(table.on_start_command(start, instant_at(milliseconds{10})).has_value());
    table.on_start_result({start.unit, 5}, start_result::accepted, "",
                          instant_at(milliseconds{20}));
    table.on_run_lists({}, instant_at(milliseconds{15}), instant_at(milliseconds{30}));
    CHECK(table.runs().size() == 1);
    CHECK(table.ends().empty());
}

worker_info announced_worker(const std::string& id, std::int64_t started_at)
{
    worker_info worker;
    worker.id = core::worker_id(id);
    worker.started_at = unix_time{started_at};
    worker.service = core::service_id("s");
    worker.capacity = {1000, 1000, 8};
    worker.announced = true;
    return worker;
}

// Guards against LOST: only the worker's responses tell which process it is.
TEST_CASE("a worker is registered only after its response has named the announced process")
{
    worker_registration registration;
    const worker_info own = announced_worker("own", 500);
    CHECK(registration.on_announcement(own, 1) == registration_result::waiting);
    CHECK(!registration.worker().announced);
    CHECK(registration.on_response(unix_time{500}) == registration_result::accepted);
    CHECK(registration.worker().id == own.id);
    CHECK(registration.on_announcement(own, 2) == registration_result::accepted);
    CHECK(registration.on_announcement(own, 1) == registration_result::outdated);

    CHECK(registration.on_announcement(announced_worker("other", 900), 1) ==
          registration_result::waiting);
    CHECK(registration.worker().id == own.id);
    CHECK(registration.on_response(unix_time{500}) == registration_result::rejected);
    CHECK(registration.worker().id == own.id);
    CHECK(!registration.on_response(unix_time{500}).has_value());

    // The worker restarts on a machine whose clock has been set back.
    CHECK(registration.on_announcement(announced_worker("own", 400), 1) ==
          registration_result::waiting);
    CHECK(registration.on_response(unix_time{400}) == registration_result::accepted);
    CHECK(registration.worker().started_at == unix_time{400});
    // Its response may come before its announcement.
    CHECK(!registration.on_response(unix_time{600}).has_value());
    CHECK(!registration.worker().announced);
    CHECK(registration.on_announcement(announced_worker("own", 600), 1) ==
          registration_result::accepted);
}

TEST_CASE("one odd announcement of the worker's process is rejected, and a repeated one accepted")
{
    worker_registration registration;
    const worker_info own = announced_worker("own", 500);
    worker_info odd = own;
    odd.service = core::service_id("unnamed");
    static_cast<void>(registration.on_announcement(own, 1));
    static_cast<void>(registration.on_response(unix_time{500}));
    CHECK(registration.on_announcement(odd, 1'000'000) == registration_result::rejected);
    CHECK(registration.on_announcement(own, 2) == registration_result::accepted);
    // If the odd one came first, the worker's own take over.
    worker_registration odd_first;
    static_cast<void>(odd_first.on_announcement(odd, 1'000'000));
    static_cast<void>(odd_first.on_response(unix_time{500}));
    CHECK(odd_first.on_announcement(own, 2) == registration_result::rejected);
    CHECK(odd_first.on_announcement(own, 3) == registration_result::accepted);
    CHECK(odd_first.worker().service == own.service);
}

TEST_CASE("a member does not campaign while another member receives heartbeats")
{
    election member({}, instant_at(milliseconds{0}));
    CHECK(member.tick(true, instant_at(milliseconds{1000})) == election_action::nothing);
    CHECK(member.tick(true, instant_at(milliseconds{1400})) == election_action::probe);
    member.on_probe_answer(true, instant_at(milliseconds{1450}));
    CHECK(member.tick(true, instant_at(milliseconds{1700})) == election_action::nothing);
    CHECK(member.tick(true, instant_at(milliseconds{1800})) == election_action::nothing);
}

TEST_CASE("the campaign backoff of an isolated member grows")
{
    election member({}, instant_at(milliseconds{0}));
    const auto time_to_campaign = [&member](milliseconds from)
    {
        for (milliseconds now = from; now < from + std::chrono::minutes{2}; now += milliseconds{50})
        {
            if (member.tick(true, instant_at(now)) == election_action::campaign)
            {
                return now - from;
            }
        }
        return milliseconds{-1};
    };
    const milliseconds first = time_to_campaign(milliseconds{0});
    member.on_leader_heartbeat(instant_at(std::chrono::minutes{5}));
    const milliseconds second = time_to_campaign(std::chrono::minutes{5});
    CHECK(first >= milliseconds{4000});
    CHECK(second >= first + milliseconds{2000});
}

TEST_CASE("a step that does not fit costs one placement attempt, not one per unit")
{
    constexpr int jobs = 40;
    constexpr int units = 30;
    scheduler_settings settings;
    site_scheduler scheduler(settings, instant_at(milliseconds{0}));
    worker_report report;
    report.agent = agent_id("w");
    report.worker.announced = true;
    report.worker.started_at = milliseconds{1};
    report.worker.service = core::service_id("s");
    report.worker.capacity = {32000, 131072, 8};
    report.lists_valid = true;
    scheduler.on_report(report, instant_at(milliseconds{10}));
    scheduler.on_renewal_sent(report.agent, instant_at(milliseconds{10}));
    for (int number = 0; number < jobs; ++number)
    {
        job_spec job;
        job.id = core::job_id("j" + std::to_string(number));
        job.policy.queue = queue_id("q");
        job.policy.service = core::service_id("s");
        job.policy.priority = 1;
        step_spec step;
        step.units = units;
        step.per_unit = {1000, 1000, 1};
        step.estimate = milliseconds{5000};
        job.steps.push_back(step);
        scheduler.add_job(job, {}, false, instant_at(milliseconds{11}));
    }
    static_cast<void>(scheduler.schedule(instant_at(milliseconds{20}), milliseconds{0}, false));
    // Eight units fit; after that, each job costs one attempt.
    CHECK(scheduler.pending_units() == jobs * units);
    CHECK(scheduler.placement_attempts() <= 8 + jobs);
}

/// Schedules one step of the given number of units on 12 workers with room for 8 units each.
void schedule_wide_step(site_scheduler& scheduler, std::int64_t units)
{
    for (int number = 0; number < 12; ++number)
    {
        worker_report report;
        report.agent = agent_id("w" + std::to_string(number));
        report.worker.announced = true;
        report.worker.started_at = milliseconds{1};
        report.worker.service = core::service_id("s");
        report.worker.capacity = {32000, 131072, 8};
        report.lists_valid = true;
        scheduler.on_report(report, instant_at(milliseconds{10}));
        scheduler.on_renewal_sent(report.agent, instant_at(milliseconds{10}));
    }
    job_spec job;
    job.id = core::job_id("j");
    job.policy.service = core::service_id("s");
    step_spec step;
    step.units = units;
    step.per_unit = {1000, 1000, 1};
    step.estimate = milliseconds{5000};
    job.steps.push_back(step);
    scheduler.add_job(job, {}, false, instant_at(milliseconds{11}));
    static_cast<void>(scheduler.schedule(instant_at(milliseconds{20}), milliseconds{0}, false));
}

TEST_CASE("the units of a wide step that fits cost one placement attempt together")
{
    site_scheduler scheduler({}, instant_at(milliseconds{0}));
    schedule_wide_step(scheduler, 90);
    CHECK(scheduler.active_runs() == 90);
    CHECK(scheduler.placement_attempts() == 1);
}

TEST_CASE("of a step wider than the site the units that fit are placed")
{
    site_scheduler scheduler({}, instant_at(milliseconds{0}));
    schedule_wide_step(scheduler, 120);
    CHECK(scheduler.active_runs() == 96);
    CHECK(scheduler.placement_attempts() == 2);
}

/// A scheduler with a single worker, which one unit fills completely, and a first job "j".
class single_worker_site
{
public:
    explicit single_worker_site(const scheduler_settings& settings = {})
        : scheduler(settings, instant_at(milliseconds{10'000}))
    {
        this->report.agent = agent_id("a");
        this->report.worker.id = core::worker_id("w");
        this->report.worker.started_at = unix_time{1};
        this->report.worker.service = core::service_id("service");
        this->report.worker.capacity = {32000, 131072, 8};
        this->report.worker.announced = true;
        this->report.lists_valid = true;
        this->add("j", 1);
    }

    /// Adds a job of one unit that writes checkpoints.
    void add(const std::string& name, std::int64_t priority)
    {
        job_spec job;
        job.id = core::job_id(name);
        job.policy.service = core::service_id("service");
        job.policy.priority = priority;
        // High enough that no job misses its latency objective during a test.
        job.policy.max_slowdown = 100;
        job.steps = {gang_of(1, 8)};
        job.steps.front().gang = false;
        job.steps.front().checkpointing = true;
        job.steps.front().estimate = milliseconds{2000};
        this->scheduler.add_job(job, {}, false, instant_at(this->now));
    }

    /// Advances the clock, reports and runs a scheduling pass.
    /// @return the first command of the pass, if any.
    std::optional<agent_command> pass(milliseconds forward, milliseconds lists_age = {})
    {
        this->now += forward;
        this->report.lists_age = lists_age;
        this->scheduler.on_report(this->report, instant_at(this->now));
        this->scheduler.on_renewal_sent(this->report.agent, instant_at(this->now));
        const auto orders = this->scheduler.schedule(instant_at(this->now), {}, true);
        return orders.empty() ? std::nullopt : std::optional(orders.front());
    }

    /// Runs passes until the unit is started, and reports it as running from then on.
    void run(std::int64_t percent)
    {
        auto ordered = this->pass(milliseconds{100});
        while (!ordered.has_value() || ordered->what != agent_command::action::start)
        {
            ordered = this->pass(milliseconds{100});
        }
        this->report.runs = {{unit("j"), ordered->run, run_phase::running, "", percent}};
    }

    /// Starts the unit and reports no progress.
    /// @return the time until the scheduler stops the run.
    milliseconds time_until_stopped()
    {
        this->run(0);
        const milliseconds began = this->now;
        auto ordered = this->pass(milliseconds{100});
        while (!ordered.has_value() || ordered->what != agent_command::action::stop)
        {
            ordered = this->pass(milliseconds{100});
        }
        const milliseconds waited = this->now - began;
        this->report.runs.clear();
        this->report.ends = {{++this->ends, unit("j"), ordered->run, run_outcome::stopped, "", ""}};
        return waited;
    }

private:
    site_scheduler scheduler;
    worker_report report;
    // Later than any backoff after time 0, so that no default time stamp counts as recent.
    milliseconds now{10'000};
    std::uint64_t ends = 0;
};

TEST_CASE("a run is not stopped for lack of progress while its worker's lists are stale")
{
    single_worker_site site;
    site.run(10);
    CHECK(!site.pass(milliseconds{500}).has_value());
    CHECK(!site.pass(milliseconds{3000}, milliseconds{2900}).has_value());
    CHECK(site.pass(milliseconds{100}).value().what == agent_command::action::stop);
}

TEST_CASE("the preemption cost of a run with checkpoints includes its restore time")
{
    scheduler_settings settings;
    // The unit performs 65 core-seconds of work per second: 1 core, and 8 accelerators that count
    // as 8 cores each.
    settings.weights.preemption_cost_base = 20;
    settings.weights.preemption_cost_factor = 0;
    const auto is_stopped = [&settings](milliseconds restore_time)
    {
        settings.restore_time = restore_time;
        single_worker_site site(settings);
        site.run(10);
        site.add("urgent", 0);
        const auto ordered = site.pass(milliseconds{500});
        return ordered.has_value() && ordered->what == agent_command::action::stop;
    };
    CHECK(is_stopped(milliseconds{250}));
    CHECK(!is_stopped(milliseconds{600}));
}

TEST_CASE(
    "the progress timeout grows with each stop, so that a unit without progress reports can finish")
{
    constexpr milliseconds step{100};
    single_worker_site site;
    const milliseconds first = site.time_until_stopped();
    CHECK(first >= milliseconds{1500});
    const milliseconds second = site.time_until_stopped();
    CHECK(second >= 2 * first - 2 * step);
    CHECK(site.time_until_stopped() >= 2 * second - 2 * step);
}

TEST_CASE(
    "a new leader places no work before most agents or a lease timeout rule out unpersisted runs")
{
    const milliseconds lease_timeout{5500};
    takeover_guard guard(instant_at(milliseconds{0}), lease_timeout);
    for (const char* const name : {"a", "b", "c", "d"})
    {
        guard.add_agent(agent_id(name));
    }
    guard.on_report(agent_id("a"),
                    {.confirmed = false, .earlier_unpersisted = false, .informed = true},
                    instant_at(milliseconds{50}));
    guard.on_report(agent_id("b"),
                    {.confirmed = false, .earlier_unpersisted = false, .informed = true},
                    instant_at(milliseconds{50}));
    CHECK(!guard.may_place(instant_at(milliseconds{100})));
    guard.on_report(agent_id("c"),
                    {.confirmed = false, .earlier_unpersisted = true, .informed = true},
                    instant_at(milliseconds{50}));
    CHECK(guard.may_place(instant_at(milliseconds{100})));
    CHECK(guard.predecessor_may_have_unpersisted_runs());
    // The new leader repeats the announcement until it has accounted for these runs.
    CHECK(guard.is_announcing());
    // Half of the agents do not report: they may follow an earlier leader for as long as it may do
    // without the store, and their runs have ended a lease timeout after that.
    takeover_guard half_reporting(instant_at(milliseconds{0}), lease_timeout);
    half_reporting.add_agent(agent_id("a"));
    half_reporting.add_agent(agent_id("b"));
    half_reporting.on_report(agent_id("a"),
                             {.confirmed = false, .earlier_unpersisted = false, .informed = true},
                             instant_at(milliseconds{50}));
    CHECK(
        !half_reporting.may_place(instant_at(unconfirmed_leadership_timeout + milliseconds{5400})));
    CHECK(
        half_reporting.may_place(instant_at(unconfirmed_leadership_timeout + milliseconds{5600})));
}

// Guards against TWICE: agents that have restarted since then know of no announcement.
TEST_CASE("a new leader assumes unpersisted starts if most agents may have forgotten them")
{
    const takeover_report forgotten{};
    const takeover_report remembers{
        .confirmed = false, .earlier_unpersisted = false, .informed = true};
    const auto guard_after = [](std::initializer_list<takeover_report> reports)
    {
        takeover_guard guard(instant_at(milliseconds{0}), milliseconds{5500});
        for (const char* const name : {"a", "b", "c", "d", "e"})
        {
            guard.add_agent(agent_id(name));
        }
        char name = 'a';
        for (const takeover_report& report : reports)
        {
            guard.on_report(agent_id(std::string(1, name++)), report, instant_at(milliseconds{50}));
        }
        return guard;
    };
    const core::instant now = instant_at(milliseconds{100});
    const takeover_guard most_restarted = guard_after({forgotten, remembers, forgotten, forgotten});
    CHECK(most_restarted.may_place(now));
    CHECK(most_restarted.predecessor_may_have_unpersisted_runs());
    CHECK(most_restarted.is_announcing());
    // A majority has reported, but it is still open whether most agents are informed.
    CHECK(!guard_after({forgotten, remembers, remembers}).may_place(now));
    const takeover_guard one_restarted = guard_after({forgotten, remembers, remembers, remembers});
    CHECK(one_restarted.may_place(now));
    CHECK(!one_restarted.predecessor_may_have_unpersisted_runs());
}

// Guards against LOST: the wait for agents that may follow another leader is not for one that most
// agents follow.
TEST_CASE("a leader that most agents follow waits no longer than a lease for the others")
{
    const milliseconds lease_timeout{5500};
    takeover_guard guard(instant_at(milliseconds{0}), lease_timeout);
    for (const char* const name : {"a", "b", "c", "d", "e"})
    {
        guard.add_agent(agent_id(name));
    }
    // Neither most agents are informed, nor will most never be: the reports are not conclusive.
    for (const char* const name : {"a", "b", "c"})
    {
        guard.on_report(agent_id(name),
                        {.confirmed = false,
                         .earlier_unpersisted = false,
                         .informed = std::string(name) != "c"},
                        instant_at(milliseconds{200}));
    }
    CHECK(!guard.may_place(instant_at(milliseconds{200} + lease_timeout)));
    CHECK(guard.may_place(instant_at(milliseconds{201} + lease_timeout)));
}

// Guards against TWICE: a process that leads again gets reports meant for its earlier epoch, while
// their senders may still follow the leader in between.
TEST_CASE("agents that follow an earlier epoch do not count as following a new leader")
{
    takeover_guard guard(instant_at(milliseconds{0}), milliseconds{5500});
    for (const char* const name : {"a", "b", "c"})
    {
        guard.add_agent(agent_id(name));
        guard.on_report(
            agent_id(name),
            {.confirmed = true, .earlier_unpersisted = false, .informed = true, .follows = false},
            instant_at(milliseconds{50}));
    }
    guard.announce_unpersisted_starts(true);
    CHECK(!guard.may_place(instant_at(milliseconds{100})));
    CHECK(!guard.may_start_unpersisted());
    for (const char* const name : {"b", "c"})
    {
        guard.on_report(agent_id(name),
                        {.confirmed = false, .earlier_unpersisted = true, .informed = true},
                        instant_at(milliseconds{110}));
    }
    CHECK(guard.may_place(instant_at(milliseconds{120})));
    CHECK(guard.predecessor_may_have_unpersisted_runs());
    CHECK(guard.followed_since() == instant_at(milliseconds{110}));
}

TEST_CASE("unpersisted starts wait until most agents have confirmed the announcement")
{
    takeover_guard guard(instant_at(milliseconds{0}), milliseconds{5500});
    for (const char* const name : {"a", "b", "c"})
    {
        guard.add_agent(agent_id(name));
        guard.on_report(agent_id(name),
                        {.confirmed = false, .earlier_unpersisted = false, .informed = true},
                        instant_at(milliseconds{50}));
    }
    CHECK(!guard.may_start_unpersisted());
    guard.announce_unpersisted_starts(true);
    guard.on_report(agent_id("a"),
                    {.confirmed = true, .earlier_unpersisted = false, .informed = true},
                    instant_at(milliseconds{50}));
    CHECK(!guard.may_start_unpersisted());
    guard.on_report(agent_id("b"),
                    {.confirmed = true, .earlier_unpersisted = false, .informed = true},
                    instant_at(milliseconds{50}));
    CHECK(guard.may_start_unpersisted());
    guard.announce_unpersisted_starts(false);
    CHECK(!guard.may_start_unpersisted());
}

TEST_CASE("a leader that cannot reach the store is replaced by a member that can")
{
    election member({}, instant_at(milliseconds{0}));
    member.on_leader_heartbeat(instant_at(milliseconds{100}));
    CHECK(member.tick(true, instant_at(milliseconds{110})) == election_action::nothing);
    member.on_leader_store_unreachable(instant_at(milliseconds{120}));
    CHECK(member.tick(true, instant_at(milliseconds{130})) == election_action::campaign);
    // No member reaches the store: the next attempt waits for takeover_retry_delay instead of the
    // leader's next heartbeat.
    member.on_campaign_failed(instant_at(milliseconds{200}));
    member.on_leader_heartbeat(instant_at(milliseconds{300}));
    member.on_leader_store_unreachable(instant_at(milliseconds{300}));
    CHECK(member.tick(true, instant_at(milliseconds{700})) == election_action::nothing);
    CHECK(member.tick(true, instant_at(milliseconds{1200})) == election_action::campaign);
    member.on_campaign_failed(instant_at(milliseconds{1300}));
    member.on_leader_heartbeat(instant_at(milliseconds{1400}));
    member.on_leader_store_reachable();
    CHECK(member.tick(true, instant_at(milliseconds{2500})) == election_action::nothing);
}

TEST_CASE("a leader is not replaced right after a store outage that affected all members")
{
    election member({}, instant_at(milliseconds{0}));
    member.on_leader_heartbeat(instant_at(milliseconds{100}));
    member.on_leader_store_unreachable(instant_at(milliseconds{120}));
    REQUIRE(member.tick(true, instant_at(milliseconds{130})) == election_action::campaign);
    member.on_store_unreachable(instant_at(milliseconds{140}));
    member.on_leader_heartbeat(instant_at(milliseconds{1100}));
    REQUIRE(member.tick(true, instant_at(milliseconds{1200})) == election_action::campaign);
    // The store has recovered, and this member notices before the leader.
    CHECK(!member.on_store_reachable(instant_at(milliseconds{1210})));
    CHECK(!member.is_campaigning());
    member.on_leader_heartbeat(instant_at(milliseconds{1700}));
    member.on_leader_store_reachable();
    CHECK(member.tick(true, instant_at(milliseconds{2500})) == election_action::nothing);
}

TEST_CASE("a leader that cannot reach the store after the grace period is replaced")
{
    election member({}, instant_at(milliseconds{0}));
    member.on_leader_heartbeat(instant_at(milliseconds{100}));
    member.on_leader_store_unreachable(instant_at(milliseconds{120}));
    REQUIRE(member.tick(true, instant_at(milliseconds{130})) == election_action::campaign);
    member.on_store_unreachable(instant_at(milliseconds{140}));
    member.on_leader_heartbeat(instant_at(milliseconds{1100}));
    REQUIRE(member.tick(true, instant_at(milliseconds{1200})) == election_action::campaign);
    CHECK(!member.on_store_reachable(instant_at(milliseconds{1210})));
    member.on_leader_heartbeat(instant_at(milliseconds{2200}));
    REQUIRE(member.tick(true, instant_at(milliseconds{2220})) == election_action::campaign);
    CHECK(member.on_store_reachable(instant_at(milliseconds{2230})));
}

TEST_CASE("a store that fails only writes does not trigger a change of leader")
{
    constexpr milliseconds none{0};
    constexpr milliseconds outage{2000};
    const store_health writes_failing = assess_store_health(outage, none);
    CHECK(writes_failing.not_writable);
    CHECK(!writes_failing.unreachable);
    CHECK(assess_store_health(none, outage).unreachable);
    CHECK(assess_store_health(none, outage).not_writable);
    CHECK(!assess_store_health(none, none).not_writable);
    // One call that needed a retry.
    CHECK(!assess_store_health(milliseconds{400}, none).not_writable);
}

TEST_CASE("a leader that is the only member without the store is replaced at once")
{
    election member({}, instant_at(milliseconds{0}));
    member.on_leader_heartbeat(instant_at(milliseconds{100}));
    member.on_leader_store_unreachable(instant_at(milliseconds{120}));
    REQUIRE(member.tick(true, instant_at(milliseconds{130})) == election_action::campaign);
    CHECK(member.on_store_reachable(instant_at(milliseconds{140})));
}

TEST_CASE("a member without heartbeats does not wait for the leader to reach the store")
{
    election member({}, instant_at(milliseconds{0}));
    member.on_leader_heartbeat(instant_at(milliseconds{100}));
    member.on_leader_store_unreachable(instant_at(milliseconds{120}));
    CHECK(member.on_store_reachable(instant_at(milliseconds{2000})));
}

TEST_CASE("a member that misses the leader before the others soon probes again")
{
    election member({}, instant_at(milliseconds{0}));
    member.on_leader_heartbeat(instant_at(milliseconds{100}));
    milliseconds now{1500};
    REQUIRE(member.tick(true, instant_at(now)) == election_action::probe);
    // The others received their last heartbeat one report interval later.
    member.on_probe_answer(true, instant_at(now));
    int probes = 1;
    election_action step = election_action::nothing;
    while (step != election_action::campaign && now < milliseconds{5000})
    {
        now += milliseconds{10};
        step = member.tick(true, instant_at(now));
        probes += step == election_action::probe ? 1 : 0;
        member.on_probe_answer(now < milliseconds{2000}, instant_at(now));
    }
    // The leader fails at 0.1 s, and all members have detected it at 2.0 s. The campaign must
    // follow soon, since placement has to resume within 2 s of a failure plus the time to detect
    // it.
    CHECK(now < milliseconds{2800});
    CHECK(probes <= 3);
}

TEST_CASE("a member with low store latency campaigns before one with high latency")
{
    const election_settings longest_jitter{.jitter = milliseconds{220}};
    election near(longest_jitter, instant_at(milliseconds{0}));
    near.on_store_round_trip(milliseconds{90});
    near.on_store_round_trip(milliseconds{6});
    election far({}, instant_at(milliseconds{0}));
    far.on_store_round_trip(milliseconds{66});
    near.on_leader_lost(instant_at(milliseconds{100}));
    far.on_leader_lost(instant_at(milliseconds{100}));
    const auto campaigns_at = [](election& member)
    {
        for (milliseconds now{100}; now < milliseconds{5000}; now += milliseconds{10})
        {
            if (member.tick(true, instant_at(now)) == election_action::campaign)
            {
                return now;
            }
            member.on_probe_answer(false, instant_at(now));
        }
        return milliseconds{5000};
    };
    CHECK(campaigns_at(near) < campaigns_at(far));
}

TEST_CASE("a leader that announces its exit is replaced without waiting for the election timeout")
{
    election member({}, instant_at(milliseconds{0}));
    member.on_leader_lost(instant_at(milliseconds{100}));
    CHECK(member.tick(true, instant_at(milliseconds{101})) == election_action::probe);
    member.on_probe_answer(false, instant_at(milliseconds{150}));
    CHECK(member.tick(true, instant_at(milliseconds{400})) == election_action::campaign);
}

site_config config_with_two_queues()
{
    site_config config;
    config.version = 3;
    queue_route wide;
    wide.host = "a.example";
    wide.path_prefix = "/jobs/";
    wide.policy.queue = queue_id("wide");
    queue_route narrow = wide;
    narrow.path_prefix = "/jobs/night/";
    narrow.policy.queue = queue_id("narrow");
    narrow.is_public = true;
    config.routes = {wide, narrow};
    config.organisation_by_key["k1"] = core::organisation_id("one");
    return config;
}

TEST_CASE("a request is routed to the longest matching prefix of its host")
{
    const site_config config = config_with_two_queues();
    const config_freshness fresh{milliseconds{10}, milliseconds{3000}};
    api_request call{http_method::post, "A.example:80", "/jobs/night/0123456789abcdef", ""};
    resolved_request found = resolve_request(call, &config, fresh);
    CHECK(found.rejection == rejection_reason::none);
    CHECK(found.route.policy.queue.str() == "narrow");
    CHECK(found.operation == api_operation::submit);
    call.path = "/jobs/0123456789abcdef";
    CHECK(resolve_request(call, &config, fresh).rejection == rejection_reason::unknown_key);
    call.key = "k1";
    found = resolve_request(call, &config, fresh);
    CHECK(found.organisation.str() == "one");
    call.path = "/jobs/not-an-id";
    CHECK(resolve_request(call, &config, fresh).rejection == rejection_reason::unknown_path);
    call.host = "b.example";
    CHECK(resolve_request(call, &config, fresh).rejection == rejection_reason::unknown_queue);
    CHECK(resolve_request(call, nullptr, fresh).rejection == rejection_reason::no_config);
}

TEST_CASE("a key is rejected while the configuration is stale")
{
    const site_config config = config_with_two_queues();
    const milliseconds allowed{3000};
    api_request call{http_method::get, "a.example", "/jobs/0123456789abcdef", "k1"};
    CHECK(resolve_request(call, &config, {milliseconds{3000}, allowed}).rejection ==
          rejection_reason::none);
    CHECK(resolve_request(call, &config, {milliseconds{3001}, allowed}).rejection ==
          rejection_reason::stale_config);
    // An unknown key may be in the newer configuration, so the answer is not unknown_key. A public
    // queue needs no key and stays available.
    call.key = "unknown";
    CHECK(resolve_request(call, &config, {milliseconds{3001}, allowed}).rejection ==
          rejection_reason::stale_config);
    call.path = "/jobs/night/";
    CHECK(resolve_request(call, &config, {milliseconds{3001}, allowed}).rejection ==
          rejection_reason::none);
}

TEST_CASE("a public queue is not served on a stale configuration that is known to be replaced")
{
    const site_config config = config_with_two_queues();
    const milliseconds allowed{3000};
    const api_request call{http_method::get, "a.example", "/jobs/night/", ""};
    CHECK(resolve_request(call, &config, {milliseconds{3001}, allowed, false}).rejection ==
          rejection_reason::none);
    CHECK(resolve_request(call, &config, {milliseconds{3000}, allowed, true}).rejection ==
          rejection_reason::none);
    CHECK(resolve_request(call, &config, {milliseconds{3001}, allowed, true}).rejection ==
          rejection_reason::stale_config);
}

} // namespace
