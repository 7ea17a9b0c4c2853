#include "batch/placement.hpp"
#include "support/virtual_site.hpp"

#include <array>
#include <cmath>
#include <cstdlib>
#include <doctest/doctest.h>
#include <iomanip>
#include <iostream>
#include <limits>
#include <map>
#include <numeric>
#include <optional>
#include <sstream>

/// Sites with workers of unequal speed, wrong declared run times and long tails, in virtual time:
/// what callers get with learned run times and without.
namespace
{

using namespace chicorylift;
using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::one_step_job;
using testing::virtual_site;

constexpr int workers = 16;

/// One queue of the load.
struct queue_load
{
    const char* name;
    std::int64_t priority;
    double jobs_a_second;
    std::vector<std::int64_t> units;
    std::vector<std::int64_t> accelerators;
    milliseconds mean_time;
    double gang_share;
    double slowdown;
    milliseconds allowance;
};

const std::vector<queue_load>& queues()
{
    static const std::vector<queue_load> all{
        {"urgent", 0, 0.16, {1, 2, 4, 8, 16, 32}, {1, 2, 4, 8}, seconds{4}, 0.8, 2.5, seconds{2}},
        {"normal", 1, 0.22, {1, 2, 4, 8}, {1, 2, 4, 8}, seconds{8}, 0.4, 3, seconds{5}},
        {"filler", 2, 0.09, {39}, {1}, seconds{12}, 0, 4, seconds{20}},
    };
    return all;
}

batch::queue_policy policy_of(const queue_load& load)
{
    batch::queue_policy policy;
    policy.queue = batch::queue_id(load.name);
    policy.service = core::service_id("service");
    policy.priority = load.priority;
    policy.max_attempts = 4;
    policy.max_slowdown = load.slowdown;
    policy.latency_allowance = load.allowance;
    return policy;
}

testing::site_shape uneven_shape(bool learn)
{
    testing::site_shape shape;
    shape.workers_a_rack = workers / shape.racks;
    shape.learn_run_times = learn;
    for (int worker = 0; worker < workers; ++worker)
    {
        // One in four, spread over the racks.
        shape.speeds.push_back((worker + worker / 4) % 4 == 3 ? 0.55 : 1.2);
    }
    return shape;
}

/// Submits the load of all queues for @p span. The same seed submits the same jobs to each site.
void add_load(virtual_site& site, std::uint32_t seed, milliseconds span,
              std::map<core::job_id, batch::job_spec>& submitted)
{
    std::mt19937 random(seed);
    std::lognormal_distribution<double> error(0, 0.5);
    std::uniform_real_distribution<double> part(0, 1);
    const auto one_of = [&random](const std::vector<std::int64_t>& values)
    { return values[random() % values.size()]; };
    for (const queue_load& load : queues())
    {
        std::exponential_distribution<double> next(load.jobs_a_second / 1000);
        int number = 0;
        for (double at = 2000 + next(random); at < static_cast<double>(span.count());
             at += next(random))
        {
            batch::step_spec step;
            step.units = one_of(load.units);
            step.per_unit = {1000, 4000, one_of(load.accelerators)};
            // At most half of the site.
            step.units = std::min<std::int64_t>(step.units, 64 / step.per_unit.accelerators);
            step.gang = step.units > 1 && part(random) < load.gang_share;
            step.checkpointing = part(random) < 0.5;
            const double real =
                static_cast<double>(load.mean_time.count()) * (0.3 + 1.4 * part(random));
            step.estimate =
                milliseconds{std::max<std::int64_t>(500, std::llround(real / error(random)))};
            testing::job_truth truth{{milliseconds{std::llround(real)}}};
            for (std::int64_t unit = 0; unit < step.units; ++unit)
            {
                // A gang's units do the same work, so they are long together.
                if (part(random) < 0.03 && (!step.gang || unit == 0))
                {
                    truth.tail_units.insert(unit);
                }
            }
            batch::job_spec job =
                one_step_job(load.name + std::to_string(++number),
                             "o" + std::to_string(random() % 12), policy_of(load), step);
            submitted[job.id] = job;
            site.submit(milliseconds{std::llround(at)}, std::move(job), truth);
        }
    }
}

struct queue_outcome
{
    int jobs = 0;
    int on_time = 0;
    /// Sum of the times from acceptance to end.
    milliseconds turnaround{};
};

struct site_outcome
{
    std::map<std::string, queue_outcome> queues;
    double wasted = 0;
    int stopped = 0;
    int recognised = 0;
    std::size_t violations = 0;
    std::size_t unfinished = 0;
};

site_outcome play_load(std::uint32_t seed, bool learn)
{
    virtual_site site(seed, uneven_shape(learn));
    std::map<core::job_id, batch::job_spec> submitted;
    add_load(site, seed, seconds{240}, submitted);
    site.play(seconds{700});
    site_outcome outcome;
    outcome.wasted = site.wasted();
    outcome.stopped = site.decisions("run_stopped");
    outcome.recognised = site.decisions("worker_speed");
    for (const std::string& violation : site.violations())
    {
        FAIL_CHECK(violation);
    }
    outcome.violations = site.violations().size();
    for (const auto& [id, job] : submitted)
    {
        queue_outcome& queue = outcome.queues[job.policy.queue.str()];
        const testing::job_result& result = site.results().at(id);
        const milliseconds objective{std::llround(static_cast<double>(job.critical_path().count()) *
                                                  job.policy.max_slowdown) +
                                     job.policy.latency_allowance.count()};
        ++queue.jobs;
        queue.on_time += result.completed && *result.ended - result.accepted <= objective ? 1 : 0;
        queue.turnaround +=
            result.ended.has_value() ? *result.ended - result.accepted : milliseconds{};
        outcome.unfinished += result.ended.has_value() ? 0 : 1;
    }
    return outcome;
}

/// @return the seeds to play: the first ones, or as CHICORYLIFT_SEEDS=FIRST,COUNT names them.
std::pair<std::uint32_t, std::uint32_t> seeds_to_play()
{
    std::uint32_t first = 1;
    std::uint32_t count = 3;
    if (const char* const wanted = std::getenv("CHICORYLIFT_SEEDS"))
    {
        std::istringstream text(wanted);
        char comma = 0;
        REQUIRE((text >> first >> comma >> count));
    }
    return {first, count};
}

TEST_CASE("jobs on workers of unequal speed with learned run times and without")
{
    const auto [first, count] = seeds_to_play();
    std::array<site_outcome, 2> sums;
    for (std::uint32_t seed = first; seed < first + count; ++seed)
    {
        CAPTURE(seed);
        for (const bool learn : {false, true})
        {
            CAPTURE(learn);
            const site_outcome outcome = play_load(seed, learn);
            site_outcome& sum = sums.at(learn ? 1 : 0);
            CHECK(outcome.violations == 0);
            CHECK(outcome.unfinished == 0);
            CHECK((learn || outcome.recognised == 0));
            for (const auto& [name, queue] : outcome.queues)
            {
                sum.queues[name].jobs += queue.jobs;
                sum.queues[name].on_time += queue.on_time;
                sum.queues[name].turnaround += queue.turnaround;
            }
            sum.wasted += outcome.wasted;
            sum.stopped += outcome.stopped;
            sum.recognised += outcome.recognised;
        }
    }
    for (const bool learn : {false, true})
    {
        const site_outcome& sum = sums.at(learn ? 1 : 0);
        std::cout << (learn ? "learned " : "declared") << " seeds " << first << "+" << count;
        for (const auto& [name, queue] : sum.queues)
        {
            std::cout << "  " << name << " " << queue.on_time << "/" << queue.jobs << " mean "
                      << queue.turnaround.count() / queue.jobs << " ms";
        }
        std::cout << "  wasted " << std::lround(sum.wasted) << " accelerator-s, " << sum.stopped
                  << " runs stopped, " << sum.recognised << " speed lines\n";
    }
    // Urgent work gains most: it gets the fast workers. Which of the other figures rise is chance
    // with few seeds, so they are only printed.
    const queue_outcome& declared = sums[0].queues["urgent"];
    const queue_outcome& learned = sums[1].queues["urgent"];
    CHECK(learned.on_time >= declared.on_time);
    CHECK(learned.turnaround < declared.turnaround);
}

batch::candidate_worker candidate(std::size_t index, std::int64_t accelerators, int speed_order)
{
    batch::candidate_worker worker;
    worker.agent = batch::agent_id("w" + std::to_string(index));
    worker.rack = core::rack_id("rack" + std::to_string(index / 4));
    worker.free = {32000, 131072, accelerators};
    worker.index = index;
    worker.speed_order = speed_order;
    return worker;
}

batch::step_spec step_with(std::int64_t units, std::int64_t accelerators, bool gang)
{
    batch::step_spec step;
    step.units = units;
    step.per_unit = {1000, 4000, accelerators};
    step.gang = gang;
    return step;
}

std::vector<std::size_t> placed_on(const batch::step_spec& step,
                                   const std::vector<batch::candidate_worker>& workers,
                                   batch::placement_constraints rules = {})
{
    std::vector<std::int64_t> units(static_cast<std::size_t>(step.units));
    std::iota(units.begin(), units.end(), 0);
    std::vector<std::size_t> used;
    const auto placed = batch::place_units(step, units, workers, rules);
    REQUIRE(placed.has_value());
    for (const batch::unit_placement& placement : *placed)
    {
        used.push_back(placement.worker);
    }
    return used;
}

TEST_CASE("workers of the preferred speed come first, and the others are used all the same")
{
    const std::vector<batch::candidate_worker> some{candidate(0, 8, 1), candidate(1, 8, 0),
                                                    candidate(2, 8, -1), candidate(3, 4, 1)};
    CHECK(placed_on(step_with(1, 8, false), some) == std::vector<std::size_t>{2});
    CHECK(placed_on(step_with(4, 4, false), some) == std::vector<std::size_t>{2, 2, 1, 1});
    CHECK(placed_on(step_with(7, 4, false), some) == std::vector<std::size_t>{2, 2, 1, 1, 3, 0, 0});
}

// Guards against a gang that holds fast workers at the speed of its slowest member.
TEST_CASE("a gang that needs a slow worker leaves the fast ones to other work")
{
    const std::vector<batch::candidate_worker> some{candidate(0, 8, 1), candidate(1, 8, 0),
                                                    candidate(2, 8, 0), candidate(3, 8, 1)};
    CHECK(placed_on(step_with(2, 8, true), some) == std::vector<std::size_t>{1, 2});
    CHECK(placed_on(step_with(3, 8, true), some) == std::vector<std::size_t>{0, 3, 1});
}

TEST_CASE("a gang in one rack takes a rack where it needs no slow worker")
{
    std::vector<batch::candidate_worker> some;
    for (std::size_t index = 0; index < 8; ++index)
    {
        some.push_back(candidate(index, 8, index == 1 ? 1 : 0));
    }
    // The second rack has more free, and would be kept whole for its size alone.
    some[0].free.accelerators = 4;
    CHECK(placed_on(step_with(3, 8, true), some, {.one_rack = true}) ==
          std::vector<std::size_t>{4, 5, 6});
}

/// Submits fillers of 39 units from 2 s on, one each @p interval.
void add_fillers(virtual_site& site, int count, milliseconds interval)
{
    for (int number = 0; number < count; ++number)
    {
        batch::step_spec step = step_with(39, 1, false);
        step.estimate = seconds{6};
        site.submit(
            milliseconds{2000 + number * interval.count()},
            one_step_job("filler" + std::to_string(number), "x", policy_of(queues()[2]), step),
            {{seconds{number % 3 == 0 ? 3 : 8}}});
    }
}

// Guards against speeds that are lost for minutes when the leader changes.
TEST_CASE("slow workers are recognised seconds after the load begins and after a leader change")
{
    constexpr int slow_workers = 4;
    virtual_site site(3, uneven_shape(true));
    add_fillers(site, 40, seconds{3});
    const auto time_to_recognise = [&site](milliseconds from)
    {
        const int before = site.decisions("worker_speed");
        milliseconds at = from;
        while (site.decisions("worker_speed") < before + slow_workers && at < from + seconds{60})
        {
            at += milliseconds{250};
            site.play(at);
        }
        return at - from;
    };
    site.play(seconds{2});
    const milliseconds first = time_to_recognise(seconds{2});
    site.replace_leader(seconds{70}, milliseconds{500});
    site.play(milliseconds{70500});
    const milliseconds again = time_to_recognise(milliseconds{70500});
    std::cout << "slow workers recognised after " << first.count() << " ms of load, and "
              << again.count() << " ms after a leader change\n";
    CHECK(first < seconds{30});
    CHECK(again < seconds{20});
    CHECK(site.violations().empty());
}

// Guards against capacity that stands idle because it is slow.
TEST_CASE("an urgent gang starts at once where only slow workers have room")
{
    virtual_site site(4, uneven_shape(true));
    add_fillers(site, 15, seconds{2});
    site.play(seconds{65});
    REQUIRE(site.decisions("worker_speed") >= 4);
    // Urgent units, which nothing may preempt, fill the workers of typical speed first.
    batch::step_spec fill = step_with(12, 8, false);
    fill.estimate = seconds{40};
    site.submit(seconds{66}, one_step_job("fill", "x", policy_of(queues()[0]), fill),
                {{seconds{40}}});
    batch::step_spec gang = step_with(4, 8, true);
    gang.estimate = seconds{3};
    site.submit(seconds{70}, one_step_job("gang", "x", policy_of(queues()[0]), gang),
                {{seconds{3}}});
    site.play(seconds{80});
    const testing::job_result& result = site.results().at(core::job_id("gang"));
    REQUIRE(result.all_started.has_value());
    CHECK(*result.all_started - result.accepted < seconds{1});
    // 3 s of work at 0.55: the gang got the four slow workers, as the fast ones were taken first.
    REQUIRE(result.ended.has_value());
    CHECK(*result.ended - *result.all_started > seconds{5});
    CHECK(site.violations().empty());
}

// Guards against workers that count as many times faster: a restored run is reported with no
// progress at first, and then with all that its checkpoint holds.
TEST_CASE("workers of equal speed have no speed, whatever is preempted and restored")
{
    int different = 0;
    for (std::uint32_t seed = 4; seed <= 6; ++seed)
    {
        testing::site_shape equal = uneven_shape(true);
        equal.speeds.clear();
        virtual_site site(seed, equal);
        std::map<core::job_id, batch::job_spec> submitted;
        add_load(site, seed, seconds{120}, submitted);
        site.play(seconds{200});
        CHECK(site.decisions("work_reclaimed") > 0);
        different += site.decisions("worker_speed");
        CHECK(site.violations().empty());
    }
    CHECK(different == 0);
}

/// One worker of a scheduler that learns run times, and a job of one unit that runs on it.
struct one_run
{
    one_run() : scheduler(settings(), core::instant_at(seconds{1}))
    {
        this->report.agent = batch::agent_id("w0");
        this->report.lists_valid = true;
        this->report.worker.announced = true;
        this->report.worker.started_at = milliseconds{1};
        this->report.worker.service = core::service_id("service");
        this->report.worker.capacity = {32000, 131072, 8};
        this->scheduler.add_agent(this->report.agent);
        batch::step_spec step = step_with(1, 1, false);
        step.estimate = seconds{10};
        this->scheduler.add_job(one_step_job("job", "x", policy_of(queues()[1]), step), {}, false,
                                core::instant_at(seconds{2}));
        this->report_at(seconds{2}, std::nullopt);
        this->run.unit = {core::job_id("job"), 0, 0, 0};
        this->run.run = this->orders.at(0).run;
        this->run.phase = batch::run_phase::running;
    }

    static batch::scheduler_settings settings()
    {
        batch::scheduler_settings result;
        result.learn_run_times = true;
        return result;
    }

    /// @return the ignored values that were recorded.
    std::vector<std::string> report_at(milliseconds at, std::optional<std::int64_t> percent)
    {
        this->report.runs.clear();
        if (percent.has_value())
        {
            this->run.progress_percent = *percent;
            this->report.runs.push_back(this->run);
        }
        const core::instant now = core::instant_at(at);
        this->scheduler.on_report(this->report, now);
        this->scheduler.on_renewal_sent(this->report.agent, now);
        this->orders = this->scheduler.schedule(now, at, true);
        if (this->orders.empty())
        {
            this->scheduler.on_persisted(core::job_id("job"),
                                         this->scheduler.unpersisted_version(core::job_id("job")));
            this->orders = this->scheduler.schedule(now, at, true);
        }
        std::vector<std::string> ignored;
        for (const batch::decision_record& record : this->scheduler.take_records())
        {
            if (record.event == "run_time_ignored")
            {
                ignored.push_back(record.detail);
            }
        }
        return ignored;
    }

    batch::site_scheduler scheduler;
    batch::worker_report report;
    batch::reported_run run;
    std::vector<batch::agent_command> orders;
};

// Guards against estimates from values that a broken worker sends, and against a log that they
// fill.
TEST_CASE("progress that is not plausible is recorded by name, at most once a second")
{
    one_run one;
    CHECK(one.report_at(milliseconds{2600}, 5).empty());
    const auto negative = one.report_at(milliseconds{3200}, -7);
    REQUIRE(negative.size() == 1);
    CHECK(negative[0].find("w0: progress of -7 %; 1 values") != std::string::npos);
    CHECK(one.report_at(milliseconds{3500}, 140).empty());
    const auto later = one.report_at(milliseconds{4300}, std::numeric_limits<std::int64_t>::max());
    REQUIRE(later.size() == 1);
    CHECK(later[0].find("2 values") != std::string::npos);
    // Progress that falls begins anew; then 90 % of 10 s in a millisecond.
    CHECK(one.report_at(milliseconds{5400}, 4).empty());
    CHECK(one.report_at(milliseconds{5401}, 94).size() == 1);
    CHECK(one.scheduler.take_run_times().empty());
}

// Guards against log lines and state of the model on sites that have not enabled it.
TEST_CASE("without the setting nothing is learned")
{
    virtual_site site(5, uneven_shape(false));
    add_fillers(site, 10, seconds{2});
    site.play(seconds{60});
    CHECK(site.decisions("worker_speed") == 0);
    CHECK(site.violations().empty());
}

// Guards against TWICE, OVER and LOST with learned run times: faults between speeds that are
// learned and forgotten.
TEST_CASE("faults break no invariant with learned run times")
{
    for (std::uint32_t seed = 1; seed <= 10; ++seed)
    {
        CAPTURE(seed);
        virtual_site site(seed, uneven_shape(true));
        std::map<core::job_id, batch::job_spec> submitted;
        add_load(site, seed, seconds{60}, submitted);
        const int worker = static_cast<int>(seed) % workers;
        site.reboot(milliseconds{15000 + seed * 370}, worker);
        site.cut(milliseconds{22000 + seed * 290}, (worker + 3) % workers, seconds{4});
        site.replace_leader(milliseconds{30000 + seed * 410}, milliseconds{600});
        site.hang(milliseconds{36000 + seed * 130}, (worker + 7) % workers, seconds{5});
        site.store_out(milliseconds{44000 + seed * 230}, seconds{3});
        site.restart_agent(milliseconds{50000 + seed * 170}, (worker + 9) % workers);
        // A unit of the tail takes up to 260 s on a slow worker, and may begin again once.
        site.play(seconds{600});
        for (const std::string& violation : site.violations())
        {
            FAIL_CHECK(violation);
        }
        for (const auto& each : site.results())
        {
            CAPTURE(each.first.str());
            CHECK(each.second.ended.has_value());
        }
    }
}

} // namespace
