#include "batch/placement.hpp"
#include "chicorylift/batch/election.hpp"
#include "chicorylift/batch/run_table.hpp"
#include "chicorylift/batch/site_config.hpp"
#include "chicorylift/batch/store_health.hpp"
#include "chicorylift/batch/takeover_guard.hpp"
#include "chicorylift/batch/worker_lease.hpp"
#include "chicorylift/batch/worker_liveness.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <optional>

/// Pure decisions about batch jobs, each with the failures that it is for.
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

candidate_worker room(const std::string& agent, const std::string& rack, std::int64_t accelerators)
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

TEST_CASE("unit names are read back, and others are refused by name")
{
    const unit_key key{core::job_id("5c0e7a21d94b36f8"), 1, 2, 17};
    CHECK(to_text(key) == "5c0e7a21d94b36f8.1.2.17");
    CHECK(parse_unit_key(to_text(key)).value() == key);
    CHECK(!parse_unit_key("abc.1.2").ok());
    CHECK(!parse_unit_key("abc.1.x.2").ok());
    CHECK(!parse_unit_key(".1.2.3").ok());
}

TEST_CASE("a job whose step follows a later one is refused")
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

TEST_CASE("the longest chain follows the steps' order")
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

TEST_CASE("the fullest worker that has room is filled first")
{
    const auto placed = place_units(gang_of(1, 2), {0}, {room("a", "r", 8), room("b", "r", 2)}, {});
    REQUIRE(placed.has_value());
    CHECK(placed->front().agent.str() == "b");
}

TEST_CASE("a gang bound to one rack goes to one that holds all of it, or nowhere")
{
    const std::vector<candidate_worker> rooms{room("a", "r1", 8), room("b", "r2", 8),
                                              room("c", "r2", 8)};
    const auto placed = place_units(gang_of(2, 8), {0, 1}, rooms, {.one_rack = true});
    REQUIRE(placed.has_value());
    CHECK(placed->at(0).agent.str() == "b");
    CHECK(placed->at(1).agent.str() == "c");
    CHECK(!place_units(gang_of(3, 8), {0, 1, 2}, rooms, {.one_rack = true}).has_value());
    CHECK(place_units(gang_of(3, 8), {0, 1, 2}, rooms, {}).has_value());
}

TEST_CASE("no more units of a step go to one worker than it allows")
{
    step_spec step = gang_of(2, 1);
    step.max_per_worker = 1;
    CHECK(!place_units(step, {0, 1}, {room("a", "r", 8)}, {}).has_value());
    CHECK(place_units(step, {0, 1}, {room("a", "r", 8), room("b", "r", 8)}, {}).has_value());
}

TEST_CASE("room is reclaimed from the run whose stop loses least")
{
    const std::vector<candidate_worker> rooms{room("a", "r", 0), room("b", "r", 0)};
    const std::vector<victim> victims{
        {1, 50, {{agent_id("a"), {1000, 1000, 8}}}},
        {2, 5, {{agent_id("b"), {1000, 1000, 8}}}},
    };
    const auto plan = plan_preemption(gang_of(1, 8), {0}, rooms, victims, {});
    REQUIRE(plan.has_value());
    CHECK(plan->preempted_runs == std::vector<run_number>{2});
    CHECK(plan->placements.front().agent.str() == "b");
    CHECK(!plan_preemption(gang_of(3, 8), {0, 1, 2}, rooms, victims, {}).has_value());
}

TEST_CASE("a lease counts from when the answered report was sent")
{
    worker_lease lease(milliseconds{5000});
    lease.on_clock(milliseconds{100'000}, instant_at(milliseconds{1000}));
    CHECK(lease.expiry_on_worker_clock(instant_at(milliseconds{1000})).count() == 0);
    lease.on_report_sent(1, instant_at(milliseconds{1000}));
    lease.on_report_sent(2, instant_at(milliseconds{1600}));
    lease.on_report_acknowledged(1);
    CHECK(lease.expires_at() == instant_at(milliseconds{6000}));
    // An answer to a report that was never sent, or again to an old one, changes nothing.
    lease.on_report_acknowledged(1);
    lease.on_report_acknowledged(7);
    CHECK(lease.expires_at() == instant_at(milliseconds{6000}));
    CHECK(lease.expiry_on_worker_clock(instant_at(milliseconds{2000})) == milliseconds{105'000});
    CHECK(lease.expiry_on_worker_clock(instant_at(milliseconds{6000})).count() == 0);
}

TEST_CASE("a worker of whose answers some are lost is not silent, one without any is")
{
    worker_liveness contact(instant_at(milliseconds{0}));
    contact.on_response(instant_at(milliseconds{100}));
    // A call that waited for news, then one that did not.
    contact.on_failure();
    CHECK(!contact.is_unresponsive(instant_at(milliseconds{1700})));
    CHECK(!contact.last_call_succeeded());
    contact.on_failure();
    CHECK(!contact.is_unresponsive(instant_at(milliseconds{2400})));
    contact.on_failure();
    CHECK(contact.is_unresponsive(instant_at(milliseconds{2600})));
    contact.on_response(instant_at(milliseconds{2700}));
    CHECK(!contact.is_unresponsive(instant_at(milliseconds{9000})));
    CHECK(contact.last_call_succeeded());
    // Refused connections fail at once; the worker may be starting again.
    for (int call = 0; call < 5; ++call)
    {
        contact.on_failure();
    }
    CHECK(!contact.is_unresponsive(instant_at(milliseconds{3700})));
}

TEST_CASE("a start without an answer stays possible until a stop is acknowledged")
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
    // Sent once more, then barred.
    REQUIRE(table.take_due_retries(instant_at(milliseconds{701})).size() == 1);
    table.on_start_result(key, start_result::unknown, "", instant_at(milliseconds{1400}));
    const auto stops = table.take_due_retries(instant_at(milliseconds{1401}));
    REQUIRE(stops.size() == 1);
    CHECK(stops.front().what == worker_command::kind::stop);
    // Lists that do not show the run prove nothing before the stop is acknowledged.
    table.on_run_lists({}, {}, instant_at(milliseconds{1500}), instant_at(milliseconds{1501}));
    CHECK(table.runs().size() == 1);
    table.on_stop_result(key, true, instant_at(milliseconds{1600}));
    table.on_run_lists({}, {}, instant_at(milliseconds{1550}), instant_at(milliseconds{1601}));
    CHECK(table.runs().size() == 1);
    table.on_run_lists({}, {}, instant_at(milliseconds{1700}), instant_at(milliseconds{1701}));
    CHECK(table.runs().empty());
    REQUIRE(table.ends().size() == 1);
    CHECK(table.ends().front().outcome == run_outcome::never_started);
    table.on_not_started_acknowledged(key);
    CHECK(table.ends().empty());
}

TEST_CASE("a refused second try does not prove that the first did not start")
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

TEST_CASE("lists that were asked for before a start do not deny it")
{
    run_table table;
    worker_command start;
    start.unit = unit("j");
    start.run = 5;
    REQUIRE(table.on_start_command(start, instant_at(milliseconds{10})).has_value());
    table.on_start_result({start.unit, 5}, start_result::accepted, "",
                          instant_at(milliseconds{20}));
    table.on_run_lists({}, {}, instant_at(milliseconds{15}), instant_at(milliseconds{30}));
    CHECK(table.runs().size() == 1);
    CHECK(table.ends().empty());
}

TEST_CASE("a member that others contradict does not stand")
{
    election vote({}, instant_at(milliseconds{0}));
    CHECK(vote.tick(true, instant_at(milliseconds{1000})) == election_action::nothing);
    CHECK(vote.tick(true, instant_at(milliseconds{1400})) == election_action::probe);
    vote.on_probe_answer(true, instant_at(milliseconds{1450}));
    CHECK(vote.tick(true, instant_at(milliseconds{1700})) == election_action::nothing);
    CHECK(vote.tick(true, instant_at(milliseconds{1800})) == election_action::nothing);
}

TEST_CASE("a member that nobody answers waits longer each time before it stands")
{
    election vote({}, instant_at(milliseconds{0}));
    const auto time_to_stand = [&vote](milliseconds from)
    {
        for (milliseconds now = from; now < from + std::chrono::minutes{2}; now += milliseconds{50})
        {
            if (vote.tick(true, instant_at(now)) == election_action::campaign)
            {
                return now - from;
            }
        }
        return milliseconds{-1};
    };
    const milliseconds first = time_to_stand(milliseconds{0});
    vote.on_leader_heartbeat(instant_at(std::chrono::minutes{5}));
    const milliseconds second = time_to_stand(std::chrono::minutes{5});
    CHECK(first >= milliseconds{4000});
    CHECK(second >= first + milliseconds{2000});
}

TEST_CASE("wide steps that find no room cost one try each, not one a unit")
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
    // Eight units have room; after that each job is tried once.
    CHECK(scheduler.pending_units() == jobs * units);
    CHECK(scheduler.placement_attempts() <= 8 + jobs);
}

/// A scheduler with one worker, which one unit fills, and a first job "j".
class lone_worker
{
public:
    explicit lone_worker(const scheduler_settings& settings = {})
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

    /// Adds a job of one unit that saves its state.
    void add(const std::string& name, std::int64_t priority)
    {
        job_spec job;
        job.id = core::job_id(name);
        job.policy.service = core::service_id("service");
        job.policy.priority = priority;
        // Enough to wait in for all that is tried here.
        job.policy.max_slowdown = 100;
        job.steps = {gang_of(1, 8)};
        job.steps.front().gang = false;
        job.steps.front().checkpointing = true;
        job.steps.front().estimate = milliseconds{2000};
        this->scheduler.add_job(job, {}, false, instant_at(this->now));
    }

    /// Reports after a while.
    /// @return the action ordered then, if any.
    std::optional<agent_command> pass(milliseconds forward, milliseconds lists_age = {})
    {
        this->now += forward;
        this->report.lists_age = lists_age;
        this->scheduler.on_report(this->report, instant_at(this->now));
        this->scheduler.on_renewal_sent(this->report.agent, instant_at(this->now));
        const auto orders = this->scheduler.schedule(instant_at(this->now), {}, true);
        return orders.empty() ? std::nullopt : std::optional(orders.front());
    }

    /// Waits for a start, carries it out and shows the unit as running.
    void run(std::int64_t percent)
    {
        auto ordered = this->pass(milliseconds{100});
        while (!ordered.has_value() || ordered->what != agent_command::action::start)
        {
            ordered = this->pass(milliseconds{100});
        }
        this->report.runs = {{unit("j"), ordered->run, run_phase::running, "", percent}};
    }

    /// @return how long the run may go without progress until it is stopped.
    milliseconds patience()
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
    // Later than any pause, so that nothing counts as done a moment ago.
    milliseconds now{10'000};
    std::uint64_t ends = 0;
};

TEST_CASE("work is not taken as standing still while its worker's lists are old")
{
    lone_worker site;
    site.run(10);
    CHECK(!site.pass(milliseconds{500}).has_value());
    CHECK(!site.pass(milliseconds{3000}, milliseconds{2900}).has_value());
    CHECK(site.pass(milliseconds{100}).value().what == agent_command::action::stop);
}

TEST_CASE("what a stop costs work that saves its state is the time to come back to it")
{
    scheduler_settings settings;
    // One unit does 65 core-seconds a second.
    settings.weights.preemption_cost_base = 20;
    settings.weights.preemption_cost_factor = 0;
    const auto is_stopped = [&settings](milliseconds restore_time)
    {
        settings.restore_time = restore_time;
        lone_worker site(settings);
        site.run(10);
        site.add("urgent", 0);
        const auto ordered = site.pass(milliseconds{500});
        return ordered.has_value() && ordered->what == agent_command::action::stop;
    };
    CHECK(is_stopped(milliseconds{250}));
    CHECK(!is_stopped(milliseconds{600}));
}

TEST_CASE("work whose worker tells no progress is stopped ever later, and so can end")
{
    constexpr milliseconds step{100};
    lone_worker site;
    const milliseconds first = site.patience();
    CHECK(first >= milliseconds{1500});
    const milliseconds second = site.patience();
    CHECK(second >= 2 * first - 2 * step);
    CHECK(site.patience() >= 2 * second - 2 * step);
}

TEST_CASE("a new lead places nothing before it has heard whether work was started unwritten")
{
    const milliseconds lapse{5500};
    takeover_guard guard(instant_at(milliseconds{0}), lapse);
    for (const char* const name : {"a", "b", "c", "d"})
    {
        guard.add_agent(agent_id(name));
    }
    guard.on_report(agent_id("a"), false, false);
    guard.on_report(agent_id("b"), false, false);
    CHECK(!guard.may_place(instant_at(milliseconds{100})));
    guard.on_report(agent_id("c"), false, true);
    CHECK(guard.may_place(instant_at(milliseconds{100})));
    CHECK(guard.predecessor_may_have_unpersisted_runs());
    // It passes the warning on until it has settled the matter itself.
    CHECK(guard.is_announcing());
    // Half of the agents do not answer: what they ran has ended after a lapse.
    takeover_guard alone(instant_at(milliseconds{0}), lapse);
    alone.add_agent(agent_id("a"));
    alone.add_agent(agent_id("b"));
    alone.on_report(agent_id("a"), false, false);
    CHECK(!alone.may_place(instant_at(milliseconds{5400})));
    CHECK(alone.may_place(instant_at(milliseconds{5600})));
}

TEST_CASE("work is started unwritten only once most agents know that it may be")
{
    takeover_guard guard(instant_at(milliseconds{0}), milliseconds{5500});
    for (const char* const name : {"a", "b", "c"})
    {
        guard.add_agent(agent_id(name));
        guard.on_report(agent_id(name), false, false);
    }
    CHECK(!guard.may_start_unpersisted());
    guard.announce_unpersisted_starts(true);
    guard.on_report(agent_id("a"), true, false);
    CHECK(!guard.may_start_unpersisted());
    guard.on_report(agent_id("b"), true, false);
    CHECK(guard.may_start_unpersisted());
    guard.announce_unpersisted_starts(false);
    CHECK(!guard.may_start_unpersisted());
}

TEST_CASE("a lead that cannot reach the store is replaced by a member that can")
{
    election vote({}, instant_at(milliseconds{0}));
    vote.on_leader_heartbeat(instant_at(milliseconds{100}));
    CHECK(vote.tick(true, instant_at(milliseconds{110})) == election_action::nothing);
    vote.on_leader_store_unreachable(instant_at(milliseconds{120}));
    CHECK(vote.tick(true, instant_at(milliseconds{130})) == election_action::campaign);
    // The store answers nobody: the next attempt comes after a pause, not at each word of the lead.
    vote.on_campaign_failed(instant_at(milliseconds{200}));
    vote.on_leader_heartbeat(instant_at(milliseconds{300}));
    vote.on_leader_store_unreachable(instant_at(milliseconds{300}));
    CHECK(vote.tick(true, instant_at(milliseconds{700})) == election_action::nothing);
    CHECK(vote.tick(true, instant_at(milliseconds{1200})) == election_action::campaign);
    vote.on_campaign_failed(instant_at(milliseconds{1300}));
    vote.on_leader_heartbeat(instant_at(milliseconds{1400}));
    vote.on_leader_store_reachable();
    CHECK(vote.tick(true, instant_at(milliseconds{2500})) == election_action::nothing);
}

TEST_CASE("a lead whose store was out for all keeps its place when the store is back")
{
    election vote({}, instant_at(milliseconds{0}));
    vote.on_leader_heartbeat(instant_at(milliseconds{100}));
    vote.on_leader_store_unreachable(instant_at(milliseconds{120}));
    REQUIRE(vote.tick(true, instant_at(milliseconds{130})) == election_action::campaign);
    vote.on_store_unreachable(instant_at(milliseconds{140}));
    vote.on_leader_heartbeat(instant_at(milliseconds{1100}));
    REQUIRE(vote.tick(true, instant_at(milliseconds{1200})) == election_action::campaign);
    // The store is back, and this member has noticed before the lead.
    CHECK(!vote.on_store_reachable(instant_at(milliseconds{1210})));
    CHECK(!vote.is_campaigning());
    vote.on_leader_heartbeat(instant_at(milliseconds{1700}));
    vote.on_leader_store_reachable();
    CHECK(vote.tick(true, instant_at(milliseconds{2500})) == election_action::nothing);
}

TEST_CASE("a lead that lacks the store for longer than the others is replaced")
{
    election vote({}, instant_at(milliseconds{0}));
    vote.on_leader_heartbeat(instant_at(milliseconds{100}));
    vote.on_leader_store_unreachable(instant_at(milliseconds{120}));
    REQUIRE(vote.tick(true, instant_at(milliseconds{130})) == election_action::campaign);
    vote.on_store_unreachable(instant_at(milliseconds{140}));
    vote.on_leader_heartbeat(instant_at(milliseconds{1100}));
    REQUIRE(vote.tick(true, instant_at(milliseconds{1200})) == election_action::campaign);
    CHECK(!vote.on_store_reachable(instant_at(milliseconds{1210})));
    vote.on_leader_heartbeat(instant_at(milliseconds{2200}));
    REQUIRE(vote.tick(true, instant_at(milliseconds{2220})) == election_action::campaign);
    CHECK(vote.on_store_reachable(instant_at(milliseconds{2230})));
}

TEST_CASE("a store that answers reads but no writes is no reason for another lead")
{
    constexpr milliseconds none{0};
    constexpr milliseconds lasting{2000};
    const store_health unanswered = assess_store_health(lasting, none);
    CHECK(unanswered.not_writable);
    CHECK(!unanswered.unreachable);
    CHECK(assess_store_health(none, lasting).unreachable);
    CHECK(assess_store_health(none, lasting).not_writable);
    CHECK(!assess_store_health(none, none).not_writable);
    // One call that had to be repeated.
    CHECK(!assess_store_health(milliseconds{400}, none).not_writable);
}

TEST_CASE("a lead that lacks the store alone is replaced at once")
{
    election vote({}, instant_at(milliseconds{0}));
    vote.on_leader_heartbeat(instant_at(milliseconds{100}));
    vote.on_leader_store_unreachable(instant_at(milliseconds{120}));
    REQUIRE(vote.tick(true, instant_at(milliseconds{130})) == election_action::campaign);
    CHECK(vote.on_store_reachable(instant_at(milliseconds{140})));
}

TEST_CASE("a member that hears no lead does not wait for one to reach the store")
{
    election vote({}, instant_at(milliseconds{0}));
    vote.on_leader_heartbeat(instant_at(milliseconds{100}));
    vote.on_leader_store_unreachable(instant_at(milliseconds{120}));
    CHECK(vote.on_store_reachable(instant_at(milliseconds{2000})));
}

TEST_CASE("a member that knew of a lost lead before the others asks them again soon")
{
    election vote({}, instant_at(milliseconds{0}));
    vote.on_leader_heartbeat(instant_at(milliseconds{100}));
    milliseconds now{1500};
    REQUIRE(vote.tick(true, instant_at(now)) == election_action::probe);
    // The others heard the lead a report's interval later.
    vote.on_probe_answer(true, instant_at(now));
    int probes = 1;
    election_action step = election_action::nothing;
    while (step != election_action::campaign && now < milliseconds{5000})
    {
        now += milliseconds{10};
        step = vote.tick(true, instant_at(now));
        probes += step == election_action::probe ? 1 : 0;
        vote.on_probe_answer(now < milliseconds{2000}, instant_at(now));
    }
    // Lost at 0.1 s, known to all at 2.0 s; the placing of work resumes within 2 s of a loss plus
    // the time that the others took to notice.
    CHECK(now < milliseconds{2800});
    CHECK(probes <= 3);
}

TEST_CASE("a member near the store stands before one that is far from it")
{
    const election_settings late_in_order{.jitter = milliseconds{220}};
    election near(late_in_order, instant_at(milliseconds{0}));
    near.on_store_round_trip(milliseconds{90});
    near.on_store_round_trip(milliseconds{6});
    election far({}, instant_at(milliseconds{0}));
    far.on_store_round_trip(milliseconds{66});
    near.on_leader_lost(instant_at(milliseconds{100}));
    far.on_leader_lost(instant_at(milliseconds{100}));
    const auto stands_at = [](election& vote)
    {
        for (milliseconds now{100}; now < milliseconds{5000}; now += milliseconds{10})
        {
            if (vote.tick(true, instant_at(now)) == election_action::campaign)
            {
                return now;
            }
            vote.on_probe_answer(false, instant_at(now));
        }
        return milliseconds{5000};
    };
    CHECK(stands_at(near) < stands_at(far));
}

TEST_CASE("a lead that says that it is gone is replaced without waiting for its silence")
{
    election vote({}, instant_at(milliseconds{0}));
    vote.on_leader_lost(instant_at(milliseconds{100}));
    CHECK(vote.tick(true, instant_at(milliseconds{101})) == election_action::probe);
    vote.on_probe_answer(false, instant_at(milliseconds{150}));
    CHECK(vote.tick(true, instant_at(milliseconds{400})) == election_action::campaign);
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

TEST_CASE("calls go to the longest matching prefix of their host")
{
    const site_config config = config_with_two_queues();
    const milliseconds fresh{10};
    const milliseconds allowed{3000};
    api_request call{http_method::post, "A.example:80", "/jobs/night/0123456789abcdef", ""};
    resolved_request found = resolve_request(call, &config, fresh, allowed);
    CHECK(found.rejection == rejection_reason::none);
    CHECK(found.route.policy.queue.str() == "narrow");
    CHECK(found.operation == api_operation::submit);
    call.path = "/jobs/0123456789abcdef";
    CHECK(resolve_request(call, &config, fresh, allowed).rejection ==
          rejection_reason::unknown_key);
    call.key = "k1";
    found = resolve_request(call, &config, fresh, allowed);
    CHECK(found.organisation.str() == "one");
    call.path = "/jobs/not-an-id";
    CHECK(resolve_request(call, &config, fresh, allowed).rejection ==
          rejection_reason::unknown_path);
    call.host = "b.example";
    CHECK(resolve_request(call, &config, fresh, allowed).rejection ==
          rejection_reason::unknown_queue);
    CHECK(resolve_request(call, nullptr, fresh, allowed).rejection == rejection_reason::no_config);
}

TEST_CASE("a key is not believed when the configuration was not confirmed in time")
{
    const site_config config = config_with_two_queues();
    const milliseconds allowed{3000};
    api_request call{http_method::get, "a.example", "/jobs/0123456789abcdef", "k1"};
    CHECK(resolve_request(call, &config, milliseconds{3000}, allowed).rejection ==
          rejection_reason::none);
    CHECK(resolve_request(call, &config, milliseconds{3001}, allowed).rejection ==
          rejection_reason::stale_config);
    // Neither is the lack of a key or queue.
    call.key = "unheard";
    CHECK(resolve_request(call, &config, milliseconds{3001}, allowed).rejection ==
          rejection_reason::stale_config);
    call.path = "/jobs/night/";
    CHECK(resolve_request(call, &config, milliseconds{3001}, allowed).rejection ==
          rejection_reason::none);
}

} // namespace
