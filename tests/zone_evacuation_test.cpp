#include "chicorylift/batch/scheduler.hpp"
#include "chicorylift/batch/zone_evacuations.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <set>
#include <string>
#include <vector>

/// Evacuation of availability zones: the decisions by themselves, without a network.
namespace
{

using namespace chicorylift;
using namespace chicorylift::batch;
using core::instant_at;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds limit{5000};
const core::zone_id zone_a("a");
const core::zone_id zone_b("b");

step_spec step_of(std::int64_t units, std::int64_t accelerators, bool gang = false)
{
    step_spec step;
    step.units = units;
    step.gang = gang;
    step.per_unit = {1000, 1000, accelerators};
    // Long enough that no run counts as stalled: the reported progress stays the same.
    step.estimate = seconds{60};
    return step;
}

job_spec job_of(const std::string& id, step_spec step, std::int64_t priority = 1)
{
    job_spec job;
    job.id = core::job_id(id);
    job.organisation = core::organisation_id("owner");
    job.policy.queue = queue_id("q" + std::to_string(priority));
    job.policy.service = core::service_id("s");
    job.policy.priority = priority;
    job.policy.max_attempts = 3;
    job.policy.max_slowdown = 2;
    job.policy.latency_allowance = milliseconds{500};
    job.steps.push_back(std::move(step));
    return job;
}

/// A scheduler whose workers are named after their zone and number, such as "a0". Those whose names
/// end in a letter, such as "b0x", are in another rack of their zone.
class zoned_scheduler
{
public:
    explicit zoned_scheduler(int workers_a_zone, std::uint64_t epoch = 1)
        : scheduler(settings_of(epoch), instant_at(milliseconds{10'000}))
    {
        for (const std::string zone : {"a", "b"})
        {
            for (int number = 0; number < workers_a_zone; ++number)
            {
                this->agents.push_back(zone + std::to_string(number));
            }
        }
        this->scheduler.set_policies({}, {{core::organisation_id("owner"), 64}});
        this->report_all();
    }

    void report(const std::string& agent)
    {
        worker_report sent;
        sent.agent = agent_id(agent);
        sent.worker.announced = true;
        sent.worker.started_at = unix_time{1};
        sent.worker.service = core::service_id("s");
        sent.worker.capacity = {32000, 131072, 8};
        sent.worker.zone = core::zone_id(agent.substr(0, 1));
        sent.worker.rack = core::rack_id("rack-" + agent.substr(0, 1) + agent.substr(2));
        sent.lists_valid = true;
        sent.runs = this->running[agent];
        sent.ends = std::exchange(this->ended[agent], {});
        this->scheduler.on_report(sent, instant_at(this->now));
        this->scheduler.on_renewal_sent(sent.agent, instant_at(this->now));
    }

    void report_all()
    {
        for (const std::string& agent : this->agents)
        {
            this->report(agent);
        }
    }

    void add(job_spec job)
    {
        this->scheduler.add_job(std::move(job), {}, false, instant_at(this->now));
    }

    /// Lets the time pass, with reports of all agents.
    std::vector<agent_command> pass(milliseconds later = milliseconds{10})
    {
        this->now += later;
        this->report_all();
        return this->scheduler.schedule(instant_at(this->now), {}, true);
    }

    void evacuate(const std::set<core::zone_id>& zones)
    {
        this->scheduler.set_evacuated_zones(zones, instant_at(this->now));
    }

    /// The workers carry out the commands, and their agents list the runs.
    void carry_out(const std::vector<agent_command>& commands)
    {
        for (const agent_command& command : commands)
        {
            auto& runs = this->running[command.agent.str()];
            std::erase_if(runs, [&command](const reported_run& run)
                          { return run.run == command.run && run.unit == command.unit; });
            if (command.what == agent_command::action::start)
            {
                runs.push_back({command.unit, command.run, run_phase::running, "", 10});
            }
            else
            {
                this->ended[command.agent.str()].push_back(
                    {0, command.unit, command.run, run_outcome::never_started, "", ""});
            }
        }
    }

    /// @return the zones to which the commands send starts, by the agents' names.
    static std::set<std::string> start_zones(const std::vector<agent_command>& commands)
    {
        std::set<std::string> zones;
        for (const agent_command& command : commands)
        {
            if (command.what == agent_command::action::start)
            {
                zones.insert(command.agent.str().substr(0, 1));
            }
        }
        return zones;
    }

    static std::int64_t count_of(const std::vector<agent_command>& commands,
                                 agent_command::action what)
    {
        return std::count_if(commands.begin(), commands.end(),
                             [what](const agent_command& each) { return each.what == what; });
    }

    /// @return the reasons of the `job_waiting` records since the last call.
    std::set<std::string> wait_reasons()
    {
        std::set<std::string> reasons;
        for (const decision_record& record : this->scheduler.take_records())
        {
            if (record.event == "job_waiting")
            {
                reasons.emplace(record.reason);
            }
        }
        return reasons;
    }

    [[nodiscard]] zone_use use_of(const core::zone_id& zone) const
    {
        return this->scheduler.use_of_zone(zone, instant_at(this->now));
    }

    static scheduler_settings settings_of(std::uint64_t epoch)
    {
        scheduler_settings settings;
        settings.epoch = epoch;
        return settings;
    }

    std::vector<std::string> agents;
    milliseconds now{10'000};
    site_scheduler scheduler;
    std::map<std::string, std::vector<reported_run>> running;
    std::map<std::string, std::vector<reported_end>> ended;
};

using action = agent_command::action;

// Guards against EVAC: a leader that places by an old view starts work in an evacuated zone.
TEST_CASE("work is held while the requests are unconfirmed and the store answers other reads")
{
    const zone_evacuations requests(limit);
    const auto current = [&requests](milliseconds confirmed, milliseconds other, milliseconds now) {
        return requests.is_current({instant_at(confirmed), instant_at(other)}, instant_at(now));
    };
    CHECK(current(milliseconds{1000}, milliseconds{4900}, milliseconds{5000}));
    CHECK(!current(milliseconds{1000}, milliseconds{4900}, milliseconds{5001}));
    // A store that answers nobody acknowledges no request either.
    CHECK(current(milliseconds{1000}, milliseconds{1400}, milliseconds{5001}));
    // It answers again, but not this read yet.
    CHECK(!current(milliseconds{1000}, milliseconds{9000}, milliseconds{9001}));
    CHECK(zone_evacuations(milliseconds{0}).is_current({}, instant_at(milliseconds{90'000})));
}

// Guards against EVAC: a process that was stopped goes on with what it knew.
TEST_CASE("after a pause the requests must be confirmed by a call that was sent later")
{
    zone_evacuations requests(limit);
    requests.on_pause(instant_at(milliseconds{20'000}));
    const auto current = [&requests](milliseconds confirmed, milliseconds other, milliseconds now) {
        return requests.is_current({instant_at(confirmed), instant_at(other)}, instant_at(now));
    };
    CHECK(!current(milliseconds{19'900}, milliseconds{19'900}, milliseconds{20'010}));
    CHECK(!current(milliseconds{19'900}, milliseconds{21'000}, milliseconds{22'000}));
    CHECK(current(milliseconds{20'001}, milliseconds{20'001}, milliseconds{20'010}));
    // The store answers nobody since the pause.
    CHECK(current(milliseconds{19'900}, milliseconds{19'900}, milliseconds{21'501}));
}

TEST_CASE("requests follow their rows, and odd sequences of them change nothing else")
{
    const auto now = instant_at(milliseconds{1000});
    zone_evacuations requests(limit);
    CHECK(requests.on_removal(zone_a) == evacuation_change::unseen);
    CHECK(requests.on_request(zone_a, 5, now) == evacuation_change::begun);
    CHECK(requests.on_request(zone_a, 5, now) == evacuation_change::none);
    CHECK(requests.on_request(zone_a, 7, now) == evacuation_change::repeated);
    CHECK(requests.in_force().at(zone_a).row_version == 7);
    CHECK(requests.on_request(zone_b, 8, now) == evacuation_change::begun);
    CHECK(requests.zones() == std::set<core::zone_id>{zone_a, zone_b});
    CHECK(requests.on_removal(zone_a) == evacuation_change::ended);
    CHECK(requests.zones() == std::set<core::zone_id>{zone_b});
}

// Two watches pass until the earlier one is known to have missed nothing.
TEST_CASE("watches are short enough that a calm store never makes the view too old")
{
    const zone_evacuations requests(limit);
    const milliseconds wait = requests.watch_wait(milliseconds{3000});
    const milliseconds answer_time{600};
    CHECK(requests.is_current({instant_at(milliseconds{0}), instant_at(milliseconds{3000})},
                              instant_at(2 * (wait + answer_time))));
    CHECK(zone_evacuations(milliseconds{0}).watch_wait(milliseconds{3000}) == milliseconds{3000});
}

TEST_CASE("work that runs in the zone continues, and no further work starts there")
{
    zoned_scheduler site(2);
    site.add(job_of("running", step_of(4, 8)));
    site.carry_out(site.pass());
    REQUIRE(site.use_of(zone_a).unconfirmed_starts == 2);
    CHECK(site.pass().empty());
    CHECK(site.use_of(zone_a).running_units == 2);
    site.evacuate({zone_a});
    // The running units of zone b end; the zone's own units are not stopped.
    for (const std::string agent : {"b0", "b1"})
    {
        const reported_run run = site.running[agent].front();
        site.running[agent].clear();
        site.ended[agent].push_back({1, run.unit, run.run, run_outcome::succeeded, "", ""});
    }
    site.add(job_of("next", step_of(4, 4)));
    const auto commands = site.pass();
    CHECK(zoned_scheduler::count_of(commands, action::stop) == 0);
    CHECK(zoned_scheduler::count_of(commands, action::start) == 4);
    CHECK(zoned_scheduler::start_zones(commands) == std::set<std::string>{"b"});
    CHECK(!site.use_of(zone_a).is_idle());
}

TEST_CASE("a gang with members in the zone continues")
{
    zoned_scheduler site(1);
    site.add(job_of("gang", step_of(2, 8, true)));
    site.carry_out(site.pass());
    CHECK(site.pass().empty());
    REQUIRE(site.use_of(zone_a).running_units == 1);
    REQUIRE(site.use_of(zone_b).running_units == 1);
    site.evacuate({zone_a});
    CHECK(site.pass().empty());
    CHECK(site.pass(seconds{1}).empty());
    CHECK(site.use_of(zone_a).running_units == 1);
}

// Guards against EVAC: a start that is on its way, or is sent again, reaches the zone late.
TEST_CASE("starts that are not confirmed when the request arrives are stopped and placed elsewhere")
{
    zoned_scheduler site(2);
    site.add(job_of("j", step_of(2, 8)));
    const auto starts = site.pass();
    REQUIRE(zoned_scheduler::start_zones(starts) == std::set<std::string>{"a"});
    // One agent has passed its start on to its worker, which has not answered.
    const agent_command& passed = starts.front();
    site.running[passed.agent.str()] = {{passed.unit, passed.run, run_phase::starting, "", 0}};
    CHECK(site.pass().empty());
    site.evacuate({zone_a});
    const auto stops = site.scheduler.due_commands(instant_at(site.now), true);
    REQUIRE(zoned_scheduler::count_of(stops, action::stop) == 2);
    CHECK(zoned_scheduler::count_of(stops, action::start) == 0);
    site.carry_out(stops);
    site.pass();
    const auto again = site.pass(milliseconds{300});
    CHECK(zoned_scheduler::count_of(again, action::start) == 2);
    CHECK(zoned_scheduler::start_zones(again) == std::set<std::string>{"b"});
}

// Guards against GANG: the members outside the zone would start without the one inside.
TEST_CASE("a gang with one unconfirmed member in the zone is stopped as a whole")
{
    zoned_scheduler site(2);
    site.add(job_of("gang", step_of(3, 8, true)));
    const auto starts = site.pass();
    REQUIRE(zoned_scheduler::start_zones(starts) == std::set<std::string>{"a", "b"});
    for (const agent_command& start : starts)
    {
        if (start.agent.str().starts_with("b"))
        {
            site.carry_out({start});
        }
    }
    CHECK(site.pass().empty());
    site.evacuate({zone_a});
    CHECK(zoned_scheduler::count_of(site.pass(), action::stop) == 3);
}

// Guards against EVAC: a new leader finds a start of the earlier one that its agent still repeats.
TEST_CASE("a new leader stops an unconfirmed start in the zone that it finds")
{
    zoned_scheduler site(0, 2);
    site.add(job_of("j", step_of(1, 8)));
    site.evacuate({zone_a});
    site.running["a0"] = {{{core::job_id("j"), 0, 0, 0}, 7, run_phase::starting, "", 0}};
    site.report("a0");
    site.report("b0");
    const auto commands = site.scheduler.schedule(instant_at(site.now), {}, true);
    REQUIRE(commands.size() == 1);
    CHECK(commands.front().what == action::stop);
    CHECK(commands.front().agent.str() == "a0");
}

// Guards against EVAC, and against guaranteed work that waits for room that it must not use.
TEST_CASE("room freed by preemption in the zone before the request is given up")
{
    zoned_scheduler site(1);
    site.add(job_of("filler", step_of(2, 8), 2));
    site.carry_out(site.pass());
    site.pass();
    site.add(job_of("urgent", step_of(1, 8), 0));
    const auto stops = site.pass();
    REQUIRE(zoned_scheduler::count_of(stops, action::stop) == 1);
    const std::string first = stops.front().agent.str().substr(0, 1);
    const std::string other = first == "a" ? "b" : "a";
    site.evacuate({core::zone_id(first)});
    // Room is made anew, outside the zone.
    const auto more = site.pass();
    REQUIRE(zoned_scheduler::count_of(more, action::stop) == 1);
    CHECK(more.front().agent.str().substr(0, 1) == other);
    site.carry_out(stops);
    site.carry_out(more);
    CHECK(zoned_scheduler::start_zones(site.pass()) == std::set<std::string>{other});
}

// Guards against LOST: room was kept for a gang whose other workers are in the zone.
TEST_CASE("backfill reservations made before the request are given up")
{
    zoned_scheduler site(2);
    site.add(job_of("filler", step_of(3, 8), 2));
    site.carry_out(site.pass());
    site.pass();
    // The one free worker is reserved for a gang that waits for two more.
    site.add(job_of("wide", step_of(3, 8, true), 1));
    CHECK(site.pass().empty());
    site.add(job_of("small", step_of(1, 1), 2));
    CHECK(site.pass().empty());
    site.evacuate({zone_a});
    const auto commands = site.pass();
    REQUIRE(commands.size() == 1);
    CHECK(commands.front().unit.job.str() == "small");
    CHECK(commands.front().agent.str().starts_with("b"));
}

// Guards against a service that counts as half empty by room that nobody may use.
TEST_CASE("room in the zone does not count as spare capacity")
{
    zoned_scheduler site(2);
    site.evacuate({zone_a});
    step_spec whole = step_of(1, 8);
    whole.per_unit.millicores = 32'000;
    site.add(job_of("filler", whole, 2));
    site.carry_out(site.pass());
    site.pass();
    site.add(job_of("wide", step_of(2, 8, true), 1));
    CHECK(site.pass().empty());
    // The one worker with room is reserved. Beside spare capacity that holds for 1.5 s only.
    site.add(job_of("small", step_of(1, 1), 2));
    CHECK(site.pass().empty());
    CHECK(site.pass(seconds{2}).empty());
}

// Guards against LOST: a gang waited for a rack, or for the rack of its data, in the zone.
TEST_CASE("a gang does not wait for a rack in the zone")
{
    // Only the rack of zone a holds the gang as a whole.
    zoned_scheduler site(0);
    site.agents = {"a0", "a1", "b0", "b0x"};
    site.report_all();
    site.evacuate({zone_a});
    step_spec local = step_of(2, 8, true);
    local.rack_local = true;
    site.add(job_of("local", local, 1));
    CHECK(zoned_scheduler::count_of(site.pass(), action::start) == 2);
}

TEST_CASE("a unit does not wait for the rack of its data in the zone")
{
    zoned_scheduler site(1);
    site.evacuate({zone_a});
    step_spec data = step_of(1, 2);
    data.data_rack = "rack-a";
    site.add(job_of("data", data, 1));
    CHECK(zoned_scheduler::start_zones(site.pass()) == std::set<std::string>{"b"});
}

TEST_CASE("a request that is withdrawn at once leaves no worker excluded")
{
    zoned_scheduler site(2);
    site.evacuate({zone_a});
    site.evacuate({});
    site.add(job_of("urgent", step_of(4, 8), 0));
    CHECK(zoned_scheduler::start_zones(site.pass()) == std::set<std::string>{"a", "b"});
}

TEST_CASE("with every zone evacuated work waits with the reason, and starts after one is restored")
{
    zoned_scheduler site(2);
    site.evacuate({zone_a, zone_b});
    site.add(job_of("j", step_of(2, 8)));
    CHECK(site.pass().empty());
    for (int second = 0; second < 3; ++second)
    {
        CHECK(site.pass(seconds{1}).empty());
    }
    CHECK(site.wait_reasons() == std::set<std::string>{"zone evacuated"});
    site.evacuate({zone_a});
    // Both workers of the zone have room, and the work has waited for more than 1.5 s.
    CHECK(zoned_scheduler::start_zones(site.pass()) == std::set<std::string>{"b"});
}

TEST_CASE("the last zone with room is not used while it is evacuated")
{
    zoned_scheduler site(1);
    site.add(job_of("filler", step_of(1, 8)));
    const auto starts = site.pass();
    site.carry_out(starts);
    site.pass();
    const std::string busy = starts.front().agent.str().substr(0, 1);
    const std::string free = busy == "a" ? "b" : "a";
    site.evacuate({core::zone_id(free)});
    site.add(job_of("urgent", step_of(1, 8), 0));
    const auto commands = site.pass();
    CHECK(zoned_scheduler::start_zones(commands).empty());
    CHECK(!site.use_of(core::zone_id(free)).unconfirmed_starts);
}

// Guards against EVAC: a leader with an old view goes on sending what it has placed.
TEST_CASE("held starts are not sent, and stops and ends are processed")
{
    zoned_scheduler site(2);
    site.add(job_of("placed", step_of(1, 8)));
    static_cast<void>(site.scheduler.schedule(instant_at(site.now), {}, false));
    site.scheduler.hold_starts(true);
    site.add(job_of("waiting", step_of(1, 8)));
    CHECK(site.pass().empty());
    CHECK(site.pass(milliseconds{1100}).empty());
    CHECK(site.wait_reasons() == std::set<std::string>{"starts are held"});
    site.scheduler.hold_starts(false);
    CHECK(zoned_scheduler::count_of(site.pass(), action::start) == 2);
}

// Workers of a zone that was restored may be cold.
TEST_CASE("a restored zone is filled gradually, after the others, except with urgent work")
{
    zoned_scheduler site(2);
    site.evacuate({zone_a});
    // More than half of the capacity is in use.
    site.add(job_of("filler", step_of(2, 8), 1));
    site.carry_out(site.pass());
    site.pass();
    site.add(job_of("backlog", step_of(16, 1), 1));
    CHECK(site.pass().empty());
    site.evacuate({});
    std::size_t started = 0;
    std::vector<std::size_t> by_pass;
    for (int step = 0; step < 6; ++step)
    {
        const auto commands = site.pass(milliseconds{500});
        site.carry_out(commands);
        started += static_cast<std::size_t>(zoned_scheduler::count_of(commands, action::start));
        by_pass.push_back(started);
    }
    CHECK(by_pass.front() <= 4);
    // Nothing stays idle for 3 s.
    CHECK(by_pass.back() == 16);
    zoned_scheduler urgent(2);
    urgent.evacuate({zone_a});
    urgent.pass();
    urgent.evacuate({});
    // The others are preferred for longer than the zone is filled gradually.
    urgent.pass(seconds{3});
    urgent.add(job_of("few", step_of(2, 8), 1));
    CHECK(zoned_scheduler::start_zones(urgent.pass()) == std::set<std::string>{"b"});
    urgent.add(job_of("urgent", step_of(2, 8), 0));
    CHECK(zoned_scheduler::start_zones(urgent.pass()) == std::set<std::string>{"a"});
}

TEST_CASE("a zone may be switched off once nothing would be lost")
{
    zoned_scheduler site(1);
    site.add(job_of("j", step_of(2, 8)));
    site.carry_out(site.pass());
    site.pass();
    site.evacuate({zone_a});
    CHECK(!site.use_of(zone_a).is_idle());
    const reported_run run = site.running["a0"].front();
    site.running["a0"].clear();
    site.ended["a0"].push_back({1, run.unit, run.run, run_outcome::succeeded, "", ""});
    site.pass();
    // Only the worker knows the end until it is persisted.
    CHECK(site.use_of(zone_a).unpersisted_ends == 1);
    const core::job_id job("j");
    site.scheduler.on_persisted(job, site.scheduler.unpersisted_version(job));
    CHECK(site.use_of(zone_a).is_idle());
    site.scheduler.add_agent(agent_id("unheard"));
    CHECK(!site.use_of(zone_a).is_idle());
    CHECK(site.use_of(core::zone_id("nowhere")).workers == 0);
}

} // namespace
