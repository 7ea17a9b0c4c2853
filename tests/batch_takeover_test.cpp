#include "chicorylift/batch/leadership_confirmation.hpp"
#include "chicorylift/batch/message_order.hpp"
#include "chicorylift/batch/pass_pacing.hpp"
#include "chicorylift/batch/probe_sample.hpp"
#include "chicorylift/batch/report_pacing.hpp"
#include "chicorylift/batch/scheduler.hpp"
#include "chicorylift/batch/takeover_guard.hpp"
#include "chicorylift/batch/worker_lease.hpp"

#include <algorithm>
#include <ctime>
#include <doctest/doctest.h>
#include <set>
#include <string>

/// Decisions of a leader that takes over from another one, in virtual time.
namespace
{

using namespace chicorylift;
using namespace chicorylift::batch;
using core::instant_at;
using std::chrono::milliseconds;
using std::chrono::seconds;

job_spec one_unit_job()
{
    job_spec job;
    job.id = core::job_id("j");
    job.policy.queue = queue_id("q");
    job.policy.service = core::service_id("s");
    step_spec step;
    step.per_unit = {1000, 1000, 8};
    step.estimate = milliseconds{5000};
    job.steps.push_back(step);
    return job;
}

worker_report report_of(const std::string& agent)
{
    worker_report report;
    report.agent = agent_id(agent);
    report.worker.announced = true;
    report.worker.started_at = unix_time{1};
    report.worker.service = core::service_id("s");
    report.worker.capacity = {32000, 131072, 8};
    report.lists_valid = true;
    return report;
}

scheduler_settings settings_of_epoch(std::uint64_t epoch)
{
    scheduler_settings settings;
    settings.epoch = epoch;
    return settings;
}

// The first leader starts a unit without persisting its agent, the second one adopts the run, and
// the third one takes over while the run's agent has not reported yet. Unless the second leader
// persists the agent, the third one starts the unit a second time.
TEST_CASE("a run adopted from an unpersisted start is not started again by the next leader")
{
    const unit_key unit{core::job_id("j"), 0, 0, 0};
    site_scheduler second(settings_of_epoch(2), instant_at(milliseconds{10'000}));
    second.add_job(one_unit_job(), {}, false, instant_at(milliseconds{10'000}));
    second.add_agent(agent_id("far"));
    second.assume_runs_on_unreported_agents();
    worker_report running = report_of("far");
    running.runs = {{unit, (1U << 20U) + 125, run_phase::running, "", 20}};
    second.on_report(running, instant_at(milliseconds{10'050}));
    second.on_renewal_sent(agent_id("far"), instant_at(milliseconds{10'050}));
    CHECK(second.schedule(instant_at(milliseconds{10'060}), {}, false).empty());

    REQUIRE(second.unpersisted_jobs() == std::vector{unit.job});
    CHECK(second.is_write_urgent(unit.job));
    const job_progress persisted = second.progress_of(unit.job);
    CHECK(persisted.agents.contains(agent_id("far")));
    second.on_persisted(unit.job, second.unpersisted_version(unit.job));
    CHECK(second.unpersisted_jobs().empty());

    site_scheduler third(settings_of_epoch(3), instant_at(milliseconds{12'000}));
    third.add_job(one_unit_job(), persisted, false, instant_at(milliseconds{12'000}));
    third.on_report(report_of("near"), instant_at(milliseconds{12'010}));
    third.on_renewal_sent(agent_id("near"), instant_at(milliseconds{12'010}));
    CHECK(third.schedule(instant_at(milliseconds{12'020}), {}, true).empty());
    third.on_report(running, instant_at(milliseconds{12'080}));
    CHECK(third.schedule(instant_at(milliseconds{12'090}), {}, true).empty());
    CHECK(third.active_runs() == 1);
}

TEST_CASE("a member of a large fleet probes few others, spread over all of them")
{
    CHECK(probe_sample(1, 0).empty());
    CHECK(probe_sample(3, 1) == std::vector<std::size_t>{2, 0});
    for (const std::size_t members : {9U, 240U, 22'000U})
    {
        std::vector<int> probed_by(members);
        for (std::size_t self = 0; self < members; ++self)
        {
            const std::vector<std::size_t> sample = probe_sample(members, self);
            CHECK(sample.size() == probe_sample_size);
            CHECK(std::set<std::size_t>(sample.begin(), sample.end()).size() == sample.size());
            CHECK(std::count(sample.begin(), sample.end(), self) == 0);
            for (const std::size_t other : sample)
            {
                ++probed_by[other];
            }
            // No gap between two probed members is wider than their share of the fleet.
            const std::size_t first = (sample[0] + members - self) % members;
            const std::size_t second = (sample[1] + members - self) % members;
            CHECK(second - first <= members / probe_sample_size + 1);
        }
        CHECK(std::all_of(probed_by.begin(), probed_by.end(),
                          [](int count) { return count == static_cast<int>(probe_sample_size); }));
    }
}

// A leader that is cut off from the store and from all agents but its own keeps answering its own
// agent. A later leader counts that agent's runs as ended one lease timeout after it took over.
TEST_CASE("a leader that is cut off renews no lease beyond what its successor waits for")
{
    const milliseconds lease_length{5100};
    const milliseconds lease_timeout{5552};
    leadership_confirmation confirmation;
    worker_lease lease(lease_length);
    for (const char* const name : {"own", "a", "b", "c"})
    {
        confirmation.add_agent(agent_id(name));
    }
    const auto exchange = [&](const char* name, std::uint64_t sequence, milliseconds at)
    {
        confirmation.on_report(agent_id(name), instant_at(at - milliseconds{600}));
        if (std::string(name) == "own")
        {
            lease.on_report_sent(sequence, instant_at(at));
            lease.on_report_acknowledged(sequence, instant_at(at) - confirmation.confirmed_at());
        }
    };
    for (const char* const name : {"a", "b", "c", "own"})
    {
        exchange(name, 1, milliseconds{10'000});
    }
    confirmation.on_store_confirmed(instant_at(milliseconds{9900}));
    // The cut begins. The successor takes over at 11.6 s; the old leader notices at 12.6 s.
    const core::instant takeover = instant_at(milliseconds{11'600});
    std::uint64_t sequence = 2;
    for (milliseconds at{10'600}; at <= milliseconds{12'600}; at += milliseconds{600})
    {
        exchange("own", sequence++, at);
    }
    CHECK(lease.expires_at() <= takeover + lease_timeout);
    CHECK(lease.expires_at() == instant_at(milliseconds{9900}) + lease_length);
}

// Guards against TWICE: most agents are cut off with their leader, and the store's side elects
// another.
TEST_CASE(
    "a leader without the store renews no lease that a successor without most agents gives up")
{
    const milliseconds lease_timeout{5552};
    const milliseconds lease_length{5100};
    const core::instant cut = instant_at(milliseconds{10'000});
    leadership_confirmation confirmation;
    for (const char* const name : {"own", "a", "b", "c", "d"})
    {
        confirmation.add_agent(agent_id(name));
        confirmation.on_report(agent_id(name), cut);
    }
    confirmation.on_store_confirmed(cut);
    takeover_guard successor(cut, lease_timeout);
    for (const char* const name : {"own", "a", "b", "c", "d"})
    {
        successor.add_agent(agent_id(name));
    }
    for (milliseconds passed{0}; passed < seconds{40}; passed += milliseconds{100})
    {
        for (const char* const name : {"own", "a", "b"})
        {
            confirmation.on_report(agent_id(name), cut + passed);
        }
        const core::instant lease_end = confirmation.confirmed_at() + lease_length;
        CHECK((!successor.may_place(cut + passed) || lease_end < cut + passed));
    }
    CHECK(successor.may_place(cut + seconds{40}));
    // With the store away for all, no agent is with a successor, and the work goes on.
    for (const char* const name : {"own", "a", "b", "c", "d"})
    {
        confirmation.on_report(agent_id(name), cut + seconds{60});
    }
    CHECK(confirmation.confirmed_at() == cut + seconds{60});
}

// Guards against TWICE: a leader without the store gave up the work of agents that a later leader
// kept alive.
TEST_CASE(
    "a leader that the store does not confirm gives up no work of agents that it does not hear")
{
    site_scheduler scheduler(settings_of_epoch(1), instant_at(milliseconds{10'000}));
    scheduler.add_job(one_unit_job(), {}, false, instant_at(milliseconds{10'000}));
    scheduler.confirm_leadership(instant_at(milliseconds{10'000}));
    const auto report = [&scheduler](const worker_report& sent, milliseconds at)
    {
        scheduler.on_report(sent, instant_at(at));
        scheduler.on_renewal_sent(sent.agent, instant_at(at));
    };
    report(report_of("a"), milliseconds{10'010});
    const auto started = scheduler.schedule(instant_at(milliseconds{10'020}), {}, true);
    REQUIRE(started.size() == 1);
    worker_report running = report_of("a");
    running.runs = {{started.front().unit, started.front().run, run_phase::running, "", 1}};
    report(running, milliseconds{10'500});
    const auto moved_at = [&](milliseconds at, bool heard)
    {
        report(report_of("b"), at);
        if (heard)
        {
            running.worker.unresponsive = true;
            running.lists_valid = false;
            report(running, at);
        }
        const auto commands = scheduler.schedule(instant_at(at), {}, true);
        return !commands.empty() && commands.front().agent == agent_id("b");
    };
    SUBCASE("until the store confirms it")
    {
        CHECK(!moved_at(milliseconds{30'000}, false));
        scheduler.confirm_leadership(instant_at(milliseconds{16'600}));
        CHECK(!moved_at(milliseconds{30'100}, false));
        scheduler.confirm_leadership(instant_at(milliseconds{16'800}));
        CHECK(moved_at(milliseconds{30'200}, false));
    }
    SUBCASE("but that of a worker whose agent still follows it and finds it silent")
    {
        CHECK(!moved_at(milliseconds{11'000}, true));
        CHECK(!moved_at(milliseconds{17'100}, true));
        CHECK(moved_at(milliseconds{17'300}, true));
    }
}

// Guards against TWICE: when the store is back, the old leader may read a job before the row of the
// leader that has replaced it, and that leader does not wait for starts of jobs newer than its row.
TEST_CASE("a job accepted since the leader's row was last seen starts only once that is settled")
{
    site_scheduler scheduler(settings_of_epoch(1), instant_at(milliseconds{10'000}));
    scheduler.confirm_version(58);
    scheduler.on_report(report_of("a"), instant_at(milliseconds{10'010}));
    scheduler.on_renewal_sent(agent_id("a"), instant_at(milliseconds{10'010}));
    scheduler.add_job(one_unit_job(), {}, false, instant_at(milliseconds{10'020}),
                      job_origin::this_leader, 61);
    CHECK(scheduler.schedule(instant_at(milliseconds{10'030}), {}, true).empty());
    CHECK(scheduler.due_commands(instant_at(milliseconds{10'040}), true).empty());
    SUBCASE("or its agent is written")
    {
        const core::job_id job("j");
        scheduler.on_persisted(job, scheduler.unpersisted_version(job));
        CHECK(scheduler.due_commands(instant_at(milliseconds{10'050}), false).size() == 1);
    }
    SUBCASE("or no other row is found")
    {
        scheduler.confirm_version(61);
        CHECK(scheduler.due_commands(instant_at(milliseconds{10'050}), true).size() == 1);
    }
}

TEST_CASE("a report that was delayed on its way does not confirm a leader")
{
    leadership_confirmation confirmation;
    confirmation.add_agent(agent_id("a"));
    confirmation.add_agent(agent_id("b"));
    confirmation.add_agent(agent_id("c"));
    confirmation.on_report(agent_id("a"), instant_at(milliseconds{1000}));
    CHECK(confirmation.confirmed_at() == core::instant{});
    // Arrives seconds later; the agent had received orders of 1.2 s when it sent the report.
    confirmation.on_report(agent_id("b"), instant_at(milliseconds{1200}));
    CHECK(confirmation.confirmed_at() == instant_at(milliseconds{1000}));
}

// Guards against TWICE: a report that arrives late undoes what later ones have told.
TEST_CASE("a leader ignores reports that arrive after later ones of the agent")
{
    report_sequence reports;
    const auto accept = [&reports](const char* process, std::uint64_t sequence,
                                   milliseconds orders_sent_at, milliseconds now)
    { return reports.accept(process, sequence, instant_at(orders_sent_at), instant_at(now)); };
    CHECK(accept("first", 5000, milliseconds{0}, milliseconds{100}));
    CHECK(accept("first", 5002, milliseconds{150}, milliseconds{200}));
    CHECK(!accept("first", 5001, milliseconds{100}, milliseconds{300}));
    CHECK(!accept("first", 5002, milliseconds{150}, milliseconds{300}));
    // The agent's process restarts, and the first one's last report arrives late.
    CHECK(accept("second", 9000, milliseconds{0}, milliseconds{900}));
    CHECK(!accept("first", 5003, milliseconds{250}, milliseconds{1000}));
    CHECK(accept("second", 9001, milliseconds{950}, milliseconds{1100}));
    // The machine restarts, and its boot clock with it: accepted once it has received orders.
    CHECK(!accept("third", 40, milliseconds{0}, milliseconds{2000}));
    CHECK(accept("third", 41, milliseconds{2050}, milliseconds{2100}));
    CHECK(!accept("second", 9002, milliseconds{1150}, milliseconds{2200}));
}

TEST_CASE("a new leader counts leases from when most agents followed it")
{
    takeover_guard guard(instant_at(milliseconds{0}), milliseconds{5552});
    for (const char* const name : {"a", "b", "c"})
    {
        guard.add_agent(agent_id(name));
    }
    CHECK(guard.followed_since() == instant_at(unconfirmed_leadership_timeout));
    guard.on_report(agent_id("a"),
                    {.confirmed = false, .earlier_unpersisted = false, .informed = true},
                    instant_at(milliseconds{100}));
    guard.on_report(agent_id("b"),
                    {.confirmed = false, .earlier_unpersisted = false, .informed = true},
                    instant_at(milliseconds{900}));
    guard.on_report(agent_id("c"),
                    {.confirmed = false, .earlier_unpersisted = false, .informed = true},
                    instant_at(milliseconds{3000}));
    CHECK(guard.followed_since() == instant_at(milliseconds{900}));

    site_scheduler scheduler(settings_of_epoch(2), instant_at(milliseconds{10'000}));
    job_progress progress;
    progress.agents = {agent_id("silent")};
    scheduler.add_job(one_unit_job(), progress, false, instant_at(milliseconds{10'000}));
    scheduler.count_leases_from(instant_at(milliseconds{11'000}));
    const auto placed_at = [&scheduler](milliseconds at)
    {
        scheduler.on_report(report_of("near"), instant_at(at));
        scheduler.on_renewal_sent(agent_id("near"), instant_at(at));
        return !scheduler.schedule(instant_at(at), {}, true).empty();
    };
    // The default lease timeout is 6.2 s.
    CHECK(!placed_at(milliseconds{17'100}));
    CHECK(placed_at(milliseconds{17'300}));
}

TEST_CASE("periodic reports to one leader stay below its capacity, and small fleets report often")
{
    constexpr std::size_t milliseconds_per_second = 1000;
    CHECK(pacing_for(0).interval == milliseconds{600});
    CHECK(pacing_for(60).interval == milliseconds{600});
    CHECK(pacing_for(60).report_delay <= milliseconds{10});
    for (const std::size_t agents : {11U, 60U, 240U, 340U, 400U})
    {
        const report_pacing pacing = pacing_for(agents);
        const auto interval = static_cast<std::size_t>(pacing.interval.count());
        CHECK(agents * milliseconds_per_second / interval <= 301);
        // One lost report or answer must not look like a lost leader.
        CHECK(pacing.election_timeout > pacing.interval + pacing.report_delay + pacing.reply_delay);
    }
    // Three reports within the shortest lease of 5.1 s, whatever the fleet's size.
    CHECK(pacing_for(22'000).interval * 3 < milliseconds{5100});
    CHECK(pacing_for(22'000).report_delay <= milliseconds{40});
}

TEST_CASE("scheduling passes leave a leader four fifths of its time")
{
    pass_pacing passes;
    core::instant now = instant_at(milliseconds{1000});
    milliseconds in_passes{0};
    for (const milliseconds duration : {milliseconds{20}, milliseconds{150}, milliseconds{250}})
    {
        passes.on_pass(now, now + duration);
        in_passes += duration;
        now += duration + passes.delay(now + duration);
    }
    CHECK(now - instant_at(milliseconds{1000}) == in_passes * 5);
    // Changes that arrive together share a pass.
    CHECK(passes.delay(now) > milliseconds{0});
    // Guaranteed work that needs two passes of half a second, and 0.9 s for runs to stop, starts
    // within 3.4 s.
    const milliseconds slow_pass{500};
    passes.on_pass(now, now + slow_pass);
    CHECK(slow_pass * 2 + passes.delay(now + slow_pass) + milliseconds{900} < milliseconds{3400});
}

TEST_CASE("the stop of a cancelled job does not wait for the next scheduling pass")
{
    const unit_key unit{core::job_id("j"), 0, 0, 0};
    site_scheduler scheduler(settings_of_epoch(1), instant_at(milliseconds{0}));
    scheduler.add_job(one_unit_job(), {}, false, instant_at(milliseconds{1990}));
    scheduler.on_report(report_of("a"), instant_at(milliseconds{1990}));
    scheduler.on_renewal_sent(agent_id("a"), instant_at(milliseconds{1990}));
    REQUIRE(scheduler.schedule(instant_at(milliseconds{2000}), {}, true).size() == 1);
    scheduler.cancel_job(unit.job);
    const auto commands = scheduler.due_commands(instant_at(milliseconds{2001}), false);
    REQUIRE(commands.size() == 1);
    CHECK(commands.front().what == agent_command::action::stop);
}

// A leader has 0.15 of a core, and other agents suspect it after 2.4 s without its orders.
TEST_CASE("a leader is not silent for longer than the election timeout while it takes over "
          "unpersisted starts")
{
    constexpr int jobs = 300;
    constexpr int agents = 340;
    constexpr double core_share = 0.15;
    const std::clock_t start = std::clock();
    site_scheduler scheduler(settings_of_epoch(2), instant_at(milliseconds{0}));
    for (int number = 0; number < agents; ++number)
    {
        scheduler.add_agent(agent_id("side-" + std::to_string(number)));
    }
    scheduler.assume_runs_on_unreported_agents();
    for (int number = 0; number < jobs; ++number)
    {
        job_spec job = one_unit_job();
        job.id = core::job_id("j" + std::to_string(number));
        scheduler.add_job(job, {}, false, instant_at(milliseconds{10}));
    }
    for (int number = 0; number < agents; ++number)
    {
        scheduler.assume_runs_on_unreported_agents();
        scheduler.on_report(report_of("side-" + std::to_string(number)),
                            instant_at(milliseconds{20}));
    }
    const double seconds = static_cast<double>(std::clock() - start) / CLOCKS_PER_SEC / core_share;
    CHECK(seconds * 1000 < pacing_for(agents).election_timeout.count());
}

TEST_CASE("runs are assumed on agents that become known after the takeover too")
{
    site_scheduler scheduler(settings_of_epoch(2), instant_at(milliseconds{0}));
    scheduler.add_job(one_unit_job(), {}, false, instant_at(milliseconds{10}));
    scheduler.on_report(report_of("a"), instant_at(milliseconds{10}));
    scheduler.on_renewal_sent(agent_id("a"), instant_at(milliseconds{10}));
    scheduler.assume_runs_on_unreported_agents();
    scheduler.add_agent(agent_id("late"));
    scheduler.assume_runs_on_unreported_agents();
    CHECK(scheduler.schedule(instant_at(milliseconds{20}), {}, true).empty());
    scheduler.on_report(report_of("late"), instant_at(milliseconds{30}));
    CHECK(scheduler.schedule(instant_at(milliseconds{40}), {}, true).size() == 1);
}

// An agent whose machine was removed long ago stays silent until its lease timeout.
TEST_CASE("a job that no earlier leader knew does not wait for silent agents")
{
    site_scheduler scheduler(settings_of_epoch(2), instant_at(milliseconds{10'000}));
    scheduler.add_job(one_unit_job(), {}, false, instant_at(milliseconds{10'000}));
    scheduler.add_agent(agent_id("removed"));
    scheduler.assume_runs_on_unreported_agents();
    job_spec fresh = one_unit_job();
    fresh.id = core::job_id("fresh");
    scheduler.add_job(fresh, {}, false, instant_at(milliseconds{10'010}), job_origin::this_leader);
    scheduler.add_agent(agent_id("late"));
    scheduler.on_report(report_of("a"), instant_at(milliseconds{10'020}));
    scheduler.on_renewal_sent(agent_id("a"), instant_at(milliseconds{10'020}));
    const auto commands = scheduler.schedule(instant_at(milliseconds{10'030}), {}, true);
    REQUIRE(commands.size() == 1);
    CHECK(commands.front().unit.job == fresh.id);
}

// Guards against LOST: an agent drops starts for a draining worker, which may drain for long.
TEST_CASE("a unit that has not started on a worker that begins to drain is placed elsewhere")
{
    const unit_key unit{core::job_id("j"), 0, 0, 0};
    site_scheduler scheduler(settings_of_epoch(1), instant_at(milliseconds{10'000}));
    scheduler.add_job(one_unit_job(), {}, false, instant_at(milliseconds{10'000}));
    const auto report = [&scheduler](const worker_report& sent, milliseconds at)
    {
        scheduler.on_report(sent, instant_at(at));
        scheduler.on_renewal_sent(sent.agent, instant_at(at));
    };
    report(report_of("a"), milliseconds{10'010});
    auto commands = scheduler.schedule(instant_at(milliseconds{10'020}), {}, true);
    REQUIRE(commands.size() == 1);
    REQUIRE(commands.front().agent == agent_id("a"));
    const run_number run = commands.front().run;
    worker_report draining = report_of("a");
    draining.worker.draining = true;
    report(report_of("b"), milliseconds{10'040});
    // The agent has passed the start on.
    draining.runs = {{unit, run, run_phase::starting, "", 0}};
    report(draining, milliseconds{10'040});
    CHECK(scheduler.schedule(instant_at(milliseconds{10'050}), {}, true).empty());
    // The worker drained when the start arrived.
    draining.runs = {};
    report(draining, milliseconds{10'100});
    commands = scheduler.schedule(instant_at(milliseconds{10'110}), {}, true);
    REQUIRE(commands.size() == 1);
    CHECK(commands.front().what == agent_command::action::stop);
    CHECK(commands.front().run == run);
    draining.ends = {{0, unit, run, run_outcome::never_started, "", "barred"}};
    report(draining, milliseconds{10'200});
    commands = scheduler.schedule(instant_at(milliseconds{10'400}), {}, true);
    REQUIRE(commands.size() == 1);
    CHECK(commands.front().what == agent_command::action::start);
    CHECK(commands.front().agent == agent_id("b"));
}

// Guards against LOST: an agent goes on reporting the last run lists of a worker that has left.
TEST_CASE("runs in lists older than the lease timeout are neither adopted nor stopped")
{
    const unit_key unit{core::job_id("j"), 0, 0, 0};
    site_scheduler scheduler(settings_of_epoch(1), instant_at(milliseconds{10'000}));
    scheduler.add_job(one_unit_job(), {}, false, instant_at(milliseconds{10'000}));
    worker_report left = report_of("a");
    left.runs = {{unit, 7, run_phase::running, "", 20}};
    scheduler.on_report(left, instant_at(milliseconds{10'010}));
    CHECK(scheduler.schedule(instant_at(milliseconds{10'020}), {}, true).empty());
    left.worker.unresponsive = true;
    const auto place_at = [&](milliseconds at)
    {
        left.lists_age = at - milliseconds{10'010};
        scheduler.on_report(left, instant_at(at));
        scheduler.on_renewal_sent(left.agent, instant_at(at));
        scheduler.on_report(report_of("b"), instant_at(at));
        scheduler.on_renewal_sent(agent_id("b"), instant_at(at));
        return scheduler.schedule(instant_at(at + milliseconds{10}), {}, true);
    };
    CHECK(place_at(milliseconds{10'100}).empty());
    // The default lease timeout is 6.2 s.
    const auto commands = place_at(milliseconds{16'400});
    REQUIRE(commands.size() == 1);
    CHECK(commands.front().agent == agent_id("b"));
    scheduler.on_persisted(unit.job, scheduler.unpersisted_version(unit.job));
    static_cast<void>(scheduler.take_records());
    for (const milliseconds at : {milliseconds{16'600}, milliseconds{17'000}})
    {
        CHECK(place_at(at).empty());
        CHECK(scheduler.unpersisted_jobs().empty());
        CHECK(scheduler.take_records().empty());
    }
}

TEST_CASE("a start whose agent has been persisted does not wait for the next scheduling pass")
{
    site_scheduler scheduler(settings_of_epoch(1), instant_at(milliseconds{10'000}));
    scheduler.add_job(one_unit_job(), {}, false, instant_at(milliseconds{10'000}));
    scheduler.on_report(report_of("a"), instant_at(milliseconds{10'010}));
    scheduler.on_renewal_sent(agent_id("a"), instant_at(milliseconds{10'010}));
    CHECK(scheduler.schedule(instant_at(milliseconds{10'020}), {}, false).empty());
    CHECK(scheduler.due_commands(instant_at(milliseconds{10'030}), false).empty());
    const core::job_id job("j");
    scheduler.on_persisted(job, scheduler.unpersisted_version(job));
    const auto commands = scheduler.due_commands(instant_at(milliseconds{10'040}), false);
    REQUIRE(commands.size() == 1);
    CHECK(commands.front().what == agent_command::action::start);
    // The command is not repeated before it is due again.
    CHECK(scheduler.due_commands(instant_at(milliseconds{10'050}), false).empty());
}

/// @return the reason of each `job_waiting` record of the last passes.
std::vector<std::string> wait_reasons(site_scheduler& scheduler)
{
    std::vector<std::string> reasons;
    for (const decision_record& record : scheduler.take_records())
    {
        if (record.event == "job_waiting")
        {
            reasons.emplace_back(record.reason);
        }
    }
    return reasons;
}

// Guards against waits that no event explains.
TEST_CASE("a job that waits for a second is recorded with the reason, and then less often")
{
    site_scheduler scheduler(settings_of_epoch(2), instant_at(milliseconds{10'000}));
    job_progress progress;
    progress.agents = {agent_id("away")};
    scheduler.add_job(one_unit_job(), progress, false, instant_at(milliseconds{10'000}));
    const auto play = [&](std::int64_t from, std::int64_t to, bool persist)
    {
        std::vector<std::string> reasons;
        for (std::int64_t time = from; time < to; time += 100)
        {
            const core::instant now = instant_at(milliseconds{time});
            for (const char* const agent : {"a", "away"})
            {
                worker_report report = report_of(agent);
                report.lists_valid = report.agent == agent_id("a");
                scheduler.on_report(report, now);
                scheduler.on_renewal_sent(report.agent, now);
            }
            static_cast<void>(scheduler.schedule(now, {}, false));
            if (persist)
            {
                scheduler.on_persisted(core::job_id("j"),
                                       scheduler.unpersisted_version(core::job_id("j")));
            }
            const std::vector<std::string> found = wait_reasons(scheduler);
            reasons.insert(reasons.end(), found.begin(), found.end());
        }
        return reasons;
    };
    CHECK(play(10'010, 10'900, false).empty());
    // Lines after 1 s, 2 s and 4 s.
    CHECK(play(10'910, 15'000, false) == std::vector<std::string>(3, "unreported runs"));
    scheduler.on_report(report_of("away"), instant_at(milliseconds{15'010}));
    CHECK(play(15'020, 19'000, false) == std::vector<std::string>{"store write"});
    // Placed and written, but no agent confirms the start.
    CHECK(play(19'010, 27'000, true) == std::vector<std::string>{"start not confirmed"});
}

TEST_CASE("a job whose run is on a silent worker is recorded as waiting")
{
    site_scheduler scheduler(settings_of_epoch(1), instant_at(milliseconds{10'000}));
    scheduler.add_job(one_unit_job(), {}, false, instant_at(milliseconds{10'000}));
    worker_report report = report_of("a");
    scheduler.on_report(report, instant_at(milliseconds{10'010}));
    const auto started = scheduler.schedule(instant_at(milliseconds{10'020}), {}, true);
    REQUIRE(started.size() == 1);
    report.runs = {{started.front().unit, started.front().run, run_phase::running, "", 1}};
    std::vector<std::string> reasons;
    for (milliseconds at{10'100}; at < milliseconds{12'600}; at += milliseconds{100})
    {
        report.worker.unresponsive = at > milliseconds{11'000};
        scheduler.on_report(report, instant_at(at));
        static_cast<void>(scheduler.schedule(instant_at(at), {}, true));
        const std::vector<std::string> found = wait_reasons(scheduler);
        reasons.insert(reasons.end(), found.begin(), found.end());
    }
    CHECK(reasons == std::vector<std::string>{"worker or agent silent"});
}

TEST_CASE("jobs whose lines do not fit into a second are recorded in the next ones")
{
    site_scheduler scheduler(settings_of_epoch(1), instant_at(milliseconds{10'000}));
    constexpr int jobs = 400;
    for (int number = 0; number < jobs; ++number)
    {
        job_spec job = one_unit_job();
        job.id = core::job_id("j" + std::to_string(number));
        scheduler.add_job(job, {}, false, instant_at(milliseconds{10'000}));
    }
    std::set<core::job_id> recorded;
    constexpr int most_in_a_second = 100;
    for (std::int64_t second = 10'000; second < 22'000; second += 1000)
    {
        int lines = 0;
        for (std::int64_t time = second; time < second + 1000; time += 50)
        {
            static_cast<void>(scheduler.schedule(instant_at(milliseconds{time}), {}, false));
            for (const decision_record& record : scheduler.take_records())
            {
                CHECK(record.event == "job_waiting");
                CHECK(record.reason == "no worker");
                recorded.insert(record.job);
                ++lines;
            }
        }
        CHECK(lines < most_in_a_second);
    }
    CHECK(recorded.size() == jobs);
}

// Guards against writes that the store refuses: a job's progress row holds 64 KB.
TEST_CASE("failed runs of a long-running unit do not add to its job's progress")
{
    job_spec job = one_unit_job();
    job.steps.front().long_running = true;
    site_scheduler scheduler(settings_of_epoch(1), instant_at(milliseconds{10'000}));
    scheduler.add_job(job, {}, false, instant_at(milliseconds{10'000}));
    std::uint64_t ends = 0;
    for (milliseconds now{10'010}; now < milliseconds{70'000}; now += milliseconds{1000})
    {
        worker_report report = report_of("a");
        scheduler.on_report(report, instant_at(now));
        scheduler.on_renewal_sent(report.agent, instant_at(now));
        for (const agent_command& command : scheduler.schedule(instant_at(now), {}, true))
        {
            report.ends.push_back({++ends, command.unit, command.run, run_outcome::failed, {}, {}});
        }
        scheduler.on_report(report, instant_at(now + milliseconds{10}));
    }
    CHECK(ends > 3);
    CHECK(scheduler.progress_of(job.id).failed.empty());
}

// Guards against ROUTE: after a loss of power a worker may come back as another kind.
TEST_CASE("a worker that has restarted gets no units by the properties of its earlier process")
{
    site_scheduler scheduler(settings_of_epoch(1), instant_at(milliseconds{10'000}));
    const auto starts_a_unit = [&scheduler](const worker_report& report, milliseconds at)
    {
        scheduler.on_report(report, instant_at(at));
        scheduler.on_renewal_sent(report.agent, instant_at(at));
        return !scheduler.schedule(instant_at(at), {}, true).empty();
    };
    CHECK(!starts_a_unit(report_of("a"), milliseconds{10'010}));
    worker_report restarted = report_of("a");
    restarted.worker = {};
    restarted.worker.started_at = unix_time{2};
    scheduler.on_report(restarted, instant_at(milliseconds{10'500}));
    scheduler.add_job(one_unit_job(), {}, false, instant_at(milliseconds{10'510}));
    CHECK(!starts_a_unit(restarted, milliseconds{10'600}));
    worker_report registered = report_of("a");
    registered.worker.started_at = unix_time{2};
    CHECK(starts_a_unit(registered, milliseconds{11'000}));
}

// An agent that restarts does not know its worker's state until the worker registers again.
TEST_CASE("a worker that was leaving gets no new units after its agent or the leader restarts")
{
    const auto starts_a_unit =
        [](site_scheduler& scheduler, const worker_report& report, milliseconds at)
    {
        scheduler.on_report(report, instant_at(at));
        scheduler.on_renewal_sent(report.agent, instant_at(at));
        return !scheduler.schedule(instant_at(at), {}, true).empty();
    };
    worker_report leaving = report_of("a");
    leaving.worker.draining = true;
    worker_report after_restart = report_of("a");
    after_restart.worker = {};
    after_restart.worker.started_at = unix_time{1};

    site_scheduler same_leader(settings_of_epoch(1), instant_at(milliseconds{10'000}));
    same_leader.add_job(one_unit_job(), {}, false, instant_at(milliseconds{10'000}));
    CHECK(!starts_a_unit(same_leader, leaving, milliseconds{10'010}));
    CHECK(!starts_a_unit(same_leader, after_restart, milliseconds{11'000}));

    site_scheduler next_leader(settings_of_epoch(2), instant_at(milliseconds{12'000}));
    next_leader.add_job(one_unit_job(), {}, false, instant_at(milliseconds{12'000}));
    CHECK(!starts_a_unit(next_leader, after_restart, milliseconds{12'010}));
    CHECK(!starts_a_unit(next_leader, leaving, milliseconds{13'000}));
}

// Guards against TWICE: a leader whose members took longer to read than a lease lasts counts the
// agents that it has answered meanwhile as lost.
TEST_CASE("leases that a leader renews before it has read its members are counted")
{
    site_scheduler scheduler(settings_of_epoch(2), instant_at(milliseconds{10'000}));
    scheduler.count_leases_from(instant_at(milliseconds{10'000}));
    scheduler.on_renewal_sent(agent_id("far"), instant_at(milliseconds{17'000}));
    scheduler.add_agent(agent_id("far"));
    job_progress progress;
    progress.agents = {agent_id("far")};
    scheduler.add_job(one_unit_job(), progress, false, instant_at(milliseconds{17'100}));
    const auto placed_at = [&scheduler](milliseconds at)
    {
        scheduler.on_report(report_of("near"), instant_at(at));
        scheduler.on_renewal_sent(agent_id("near"), instant_at(at));
        return !scheduler.schedule(instant_at(at), {}, true).empty();
    };
    CHECK(!placed_at(milliseconds{17'120}));
    // The default lease timeout is 6.2 s.
    CHECK(!placed_at(milliseconds{23'100}));
    CHECK(placed_at(milliseconds{23'300}));
}

// Guards against TWICE: a new leader settles its takeover by the agents that report before it has
// read its members, and misses the warning of unpersisted starts that the others carry.
TEST_CASE("a new leader counts no majority before it has read its members")
{
    takeover_guard guard(instant_at(milliseconds{0}), milliseconds{5552});
    guard.await_members();
    guard.on_report(agent_id("own"),
                    {.confirmed = false, .earlier_unpersisted = false, .informed = true},
                    instant_at(milliseconds{20}));
    CHECK(!guard.may_place(instant_at(milliseconds{20})));
    for (const char* const name : {"own", "a", "b"})
    {
        guard.add_agent(agent_id(name));
    }
    guard.on_members_read(instant_at(milliseconds{50}));
    CHECK(!guard.may_place(instant_at(milliseconds{50})));
    CHECK(!guard.predecessor_may_have_unpersisted_runs());
    guard.on_report(agent_id("a"),
                    {.confirmed = false, .earlier_unpersisted = true, .informed = true},
                    instant_at(milliseconds{100}));
    CHECK(guard.may_place(instant_at(milliseconds{100})));
    CHECK(guard.predecessor_may_have_unpersisted_runs());
    CHECK(guard.followed_since() == instant_at(milliseconds{100}));
}

// Guards against TWICE: while the members cannot be read for longer than a lease, agents are told
// that the takeover is settled and pass for informed.
TEST_CASE("agents informed by a leader that has not read its members do not vouch for earlier ones")
{
    takeover_guard guard(instant_at(milliseconds{0}), milliseconds{5552});
    guard.await_members();
    const auto report_all = [&guard](bool informed, milliseconds at)
    {
        for (const char* const name : {"own", "a", "b"})
        {
            guard.on_report(
                agent_id(name),
                {.confirmed = false, .earlier_unpersisted = false, .informed = informed},
                instant_at(at));
        }
    };
    // The processes of all agents have restarted and forgotten an announcement.
    report_all(false, milliseconds{100});
    // Each answer carries may_place() as the word that the takeover is settled.
    const bool settled = guard.may_place(instant_at(seconds{60}));
    report_all(settled, milliseconds{60'100});
    guard.on_members_read(instant_at(seconds{61}));
    REQUIRE(guard.may_place(instant_at(seconds{61})));
    CHECK(guard.predecessor_may_have_unpersisted_runs());
}

// Guards against LOST: each end of a run restarts the time for which the other units of its step
// have waited, and they wait for their data's rack, or beside spare capacity, without limit.
TEST_CASE("a unit that waits for its rack is placed though other units of its step end and restart")
{
    job_spec job = one_unit_job();
    step_spec& step = job.steps.front();
    step.units = 2;
    step.long_running = true;
    step.data_rack = "r1";
    site_scheduler scheduler(settings_of_epoch(1), instant_at(milliseconds{10'000}));
    scheduler.add_job(job, {}, false, instant_at(milliseconds{10'000}));
    worker_report near = report_of("near");
    near.worker.rack = core::rack_id("r1");
    worker_report far = report_of("far");
    far.worker.rack = core::rack_id("r2");
    far.worker.capacity = {320'000, 1'310'720, 80};
    bool placed_far = false;
    std::uint64_t next_end = 1;
    milliseconds started_at{0};
    for (milliseconds at{10'010}; at < milliseconds{20'000} && !placed_far; at += milliseconds{100})
    {
        near.ends.clear();
        if (!near.runs.empty() && at - started_at >= milliseconds{1000})
        {
            const reported_run run = near.runs.front();
            near.ends = {{next_end++, run.unit, run.run, run_outcome::succeeded, "", ""}};
            near.runs.clear();
        }
        for (const worker_report& report : {near, far})
        {
            scheduler.on_report(report, instant_at(at));
            scheduler.on_renewal_sent(report.agent, instant_at(at));
        }
        for (const agent_command& command :
             scheduler.schedule(instant_at(at + milliseconds{10}), {}, true))
        {
            placed_far = placed_far || command.agent == agent_id("far");
            if (command.agent == agent_id("near") && near.runs.empty())
            {
                near.runs = {{command.unit, command.run, run_phase::running, "", 100}};
                started_at = at;
            }
        }
    }
    CHECK(next_end > 1);
    CHECK(placed_far);
}

// Guards against TWICE: a leader that is cut off before it has read its members takes its own agent
// for most agents, and renews its leases while its successor counts them as ended.
TEST_CASE("agents that report before the members are read do not confirm a leader")
{
    leadership_confirmation confirmation;
    confirmation.on_store_confirmed(instant_at(milliseconds{1000}));
    confirmation.on_report(agent_id("own"), instant_at(seconds{60}));
    CHECK(confirmation.confirmed_at() == instant_at(milliseconds{1000}));
}

} // namespace
