#include "chicorylift/batch/run_time_model.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <numeric>
#include <random>
#include <vector>

/// Run times and worker speeds as learned from samples: few, wrong, with a long tail.
namespace
{

using namespace chicorylift;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds declared{10000};

batch::run_kind kind_of(const std::string& organisation, const std::string& queue,
                        const std::string& step = {})
{
    return {core::organisation_id(organisation), batch::queue_id(queue),
            core::service_id("service"), false, step};
}

batch::agent_id worker_named(int number)
{
    return batch::agent_id("w" + std::to_string(number));
}

milliseconds times(milliseconds time, double factor)
{
    return milliseconds{static_cast<std::int64_t>(static_cast<double>(time.count()) * factor)};
}

void finish_runs(batch::run_time_model& model, const batch::run_kind& kind, int count, double ratio)
{
    for (int number = 0; number < count; ++number)
    {
        model.record_finished(kind, worker_named(number % 4), declared, times(declared, ratio));
    }
}

/// Workers of a service on which steps with declared times that are wrong run: one in four takes
/// 2.2 times as long, and 3 % of the units run 7 times as long as the others of their step.
struct busy_workers
{
    static constexpr int count = 16;

    explicit busy_workers(std::uint32_t seed) : random(seed)
    {
        for (int number = 0; number < count; ++number)
        {
            this->speeds.push_back(number % 4 == 3 ? 0.55 : 1.2);
        }
    }

    /// Runs one unit of a step on each worker.
    /// @param same_step whether the units belong to one step; otherwise they share the queue only.
    void run_round(batch::run_time_model& model, bool same_step)
    {
        std::lognormal_distribution<double> error(0, 0.5);
        std::uniform_real_distribution<double> noise(0.95, 1.05);
        double ratio = error(this->random);
        ++this->round;
        std::vector<int> order(count);
        std::iota(order.begin(), order.end(), 0);
        std::shuffle(order.begin(), order.end(), this->random);
        for (const int number : order)
        {
            ratio = same_step ? ratio : error(this->random);
            const double tail = this->random() % 100 < 3 ? 7 : 1;
            const double speed = this->speeds[static_cast<std::size_t>(number)];
            model.record_finished(
                kind_of("x", "q", same_step ? "job" + std::to_string(this->round) : ""),
                worker_named(number), declared,
                times(declared, ratio * tail * noise(this->random) / speed));
        }
    }

    std::mt19937 random;
    std::vector<double> speeds;
    int round = 0;
};

TEST_CASE("without samples run times are as declared and speeds are 1")
{
    const batch::run_time_model model;
    const batch::run_kind kind = kind_of("x", "q");
    CHECK(model.speed_of(worker_named(0)) == 1);
    CHECK(!model.has_run_times(kind));
    CHECK(model.expected_total(kind, declared) == declared);
    CHECK(model.expected_remaining(kind, {declared, seconds{4}}) == seconds{6});
    CHECK(model.expected_remaining(kind, {declared, seconds{14}}) == seconds{0});
}

// Guards against slow workers that are not recognised, and typical ones that are held for slow
// because units of the tail ran on them.
TEST_CASE("slow workers are recognised among wrong declared times and long tails")
{
    for (std::uint32_t seed = 1; seed <= 20; ++seed)
    {
        CAPTURE(seed);
        batch::run_time_model model;
        busy_workers workers(seed);
        for (int round = 0; round < 8; ++round)
        {
            workers.run_round(model, true);
        }
        for (int number = 0; number < busy_workers::count; ++number)
        {
            CAPTURE(number);
            const double speed = model.speed_of(worker_named(number));
            CAPTURE(speed);
            // The true speed is 0.46; eight runs give it within a third.
            CHECK((number % 4 == 3 ? speed > 0.35 && speed < 0.6 : speed == 1));
        }
    }
}

// Guards against a fleet that looks uneven because callers declare wrong times: units of different
// steps say little about a worker.
TEST_CASE("units of different jobs are enough to recognise most slow workers, in more runs")
{
    int slow_found = 0;
    int typical_wrong = 0;
    constexpr std::uint32_t seeds = 20;
    for (std::uint32_t seed = 1; seed <= seeds; ++seed)
    {
        batch::run_time_model model;
        busy_workers workers(seed);
        for (int round = 0; round < 40; ++round)
        {
            workers.run_round(model, false);
        }
        for (int number = 0; number < busy_workers::count; ++number)
        {
            const double speed = model.speed_of(worker_named(number));
            slow_found += number % 4 == 3 && speed < 0.7 ? 1 : 0;
            typical_wrong += number % 4 != 3 && speed != 1 ? 1 : 0;
        }
    }
    CHECK(slow_found >= static_cast<int>(seeds) * 4 * 9 / 10);
    CHECK(typical_wrong <= static_cast<int>(seeds) * 12 * 3 / 100);
}

TEST_CASE("few samples do not make a worker slow or fast")
{
    batch::run_time_model model;
    busy_workers workers(1);
    for (int round = 0; round < 3; ++round)
    {
        workers.run_round(model, true);
    }
    for (int number = 0; number < busy_workers::count; ++number)
    {
        CHECK(model.speed_of(worker_named(number)) == 1);
    }
}

// Guards against placement that changes with differences of no weight.
TEST_CASE("a difference of a fifth does not count")
{
    batch::run_time_model model;
    busy_workers workers(2);
    workers.speeds.assign(busy_workers::count, 1);
    workers.speeds[3] = 0.8;
    workers.speeds[7] = 1.2;
    for (int round = 0; round < 30; ++round)
    {
        workers.run_round(model, true);
    }
    for (int number = 0; number < busy_workers::count; ++number)
    {
        CHECK(model.speed_of(worker_named(number)) == 1);
    }
}

TEST_CASE("a worker that was slow for a while counts as typical again")
{
    batch::run_time_model model;
    busy_workers workers(3);
    workers.speeds.assign(busy_workers::count, 1);
    workers.speeds[5] = 0.45;
    for (int round = 0; round < 30; ++round)
    {
        workers.run_round(model, true);
    }
    CHECK(model.speed_of(worker_named(5)) < 0.6);
    workers.speeds[5] = 1;
    for (int round = 0; round < 10; ++round)
    {
        workers.run_round(model, true);
    }
    CHECK(model.speed_of(worker_named(5)) == 1);
}

TEST_CASE("a restarted worker's speed is unknown")
{
    batch::run_time_model model;
    busy_workers workers(4);
    for (int round = 0; round < 10; ++round)
    {
        workers.run_round(model, true);
    }
    REQUIRE(model.speed_of(worker_named(3)) < 0.6);
    model.reset_worker(worker_named(3));
    CHECK(model.speed_of(worker_named(3)) == 1);
    CHECK(model.speed_of(worker_named(7)) < 0.6);
}

// Guards against a feedback: fillers run on slow workers only, and must not make them the measure.
TEST_CASE("a queue that only slow workers serve does not make them look typical")
{
    batch::run_time_model model;
    busy_workers workers(5);
    for (int round = 0; round < 10; ++round)
    {
        workers.run_round(model, true);
    }
    for (int round = 0; round < 60; ++round)
    {
        for (int number = 0; number < busy_workers::count; ++number)
        {
            const bool slow = number % 4 == 3;
            model.record_finished(kind_of("x", slow ? "fillers" : "urgent",
                                          (slow ? "filler" : "urgent") + std::to_string(round)),
                                  worker_named(number), declared,
                                  times(declared, slow ? 1 / 0.55 : 1 / 1.2));
        }
    }
    CHECK(model.speed_of(worker_named(3)) < 0.7);
    CHECK(model.speed_of(worker_named(0)) == 1);
}

TEST_CASE("progress shows a worker's speed before its runs have finished")
{
    batch::run_time_model model;
    for (int report = 0; report < 20; ++report)
    {
        for (int number = 0; number < 8; ++number)
        {
            const double slowness = number == 2 ? 2.2 : 1;
            model.record_progress(kind_of("x", "q", "job"), worker_named(number), declared, 25,
                                  times(declared, 0.25 * slowness));
        }
    }
    CHECK(model.speed_of(worker_named(2)) < 0.5);
    CHECK(model.speed_of(worker_named(1)) == 1);
}

// Guards against a worker of typical speed that counts as several times faster: a single run of the
// tail reports progress many times, and must not be the measure of its step.
TEST_CASE("one run of the tail does not make the other workers of its step fast")
{
    batch::run_time_model model;
    for (int round = 0; round < 20; ++round)
    {
        const batch::run_kind kind = kind_of("x", "q", "job" + std::to_string(round));
        const int tail = 1 + round % 3;
        for (int number = 1; number < 4; ++number)
        {
            if (number != tail)
            {
                model.record_finished(kind, worker_named(number), declared, declared);
            }
        }
        for (int report = 0; report < 4; ++report)
        {
            model.record_progress(kind, worker_named(tail), declared, 25,
                                  times(declared, 0.25 * 7));
        }
        model.record_finished(kind, worker_named(0), declared, declared);
    }
    for (int number = 0; number < 4; ++number)
    {
        CAPTURE(number);
        CHECK(model.speed_of(worker_named(number)) == 1);
    }
}

// Guards against fast workers that are held for slow: a gang's members wait for the slowest.
TEST_CASE("gangs say nothing about the speed of one worker")
{
    batch::run_time_model model;
    busy_workers workers(6);
    for (int round = 0; round < 10; ++round)
    {
        workers.run_round(model, true);
    }
    batch::run_kind gang = kind_of("x", "q", "gang");
    gang.gang = true;
    for (int run = 0; run < 50; ++run)
    {
        model.record_finished(gang, worker_named(0), declared, 3 * declared);
        model.record_progress(gang, worker_named(1), declared, 50, 3 * declared);
    }
    CHECK(model.speed_of(worker_named(0)) == 1);
    CHECK(model.speed_of(worker_named(1)) == 1);
    // Their run times have a distribution of their own.
    CHECK(model.expected_total(gang, declared) > 2 * declared);
    CHECK(model.expected_total(kind_of("x", "q"), declared) < 2 * declared);
}

TEST_CASE("run times follow the organisation and queue, with fallback to queue and service")
{
    batch::run_time_model model;
    finish_runs(model, kind_of("x", "q"), 40, 2);
    CHECK(model.expected_total(kind_of("x", "q"), declared) > times(declared, 1.9));
    CHECK(model.expected_total(kind_of("x", "q"), declared) < times(declared, 2.1));
    // The queue and the service know no other runs yet.
    CHECK(model.expected_total(kind_of("y", "q"), declared) > times(declared, 1.9));
    CHECK(model.expected_total(kind_of("y", "r"), declared) > times(declared, 1.9));
    finish_runs(model, kind_of("y", "q"), 40, 0.5);
    CHECK(model.expected_total(kind_of("x", "q"), declared) > times(declared, 1.9));
    CHECK(model.expected_total(kind_of("y", "q"), declared) < times(declared, 0.6));
    CHECK(model.expected_total(kind_of("y", "q"), declared, 0.5) ==
          2 * model.expected_total(kind_of("y", "q"), declared));
    batch::run_kind other = kind_of("z", "z");
    other.service = core::service_id("other");
    CHECK(model.expected_total(other, declared) == declared);
}

TEST_CASE("few finished runs do not change what is expected")
{
    batch::run_time_model model;
    finish_runs(model, kind_of("x", "q"), 7, 7);
    CHECK(!model.has_run_times(kind_of("x", "q")));
    CHECK(model.expected_total(kind_of("x", "q"), declared) == declared);
    finish_runs(model, kind_of("x", "q"), 2, 7);
    CHECK(model.has_run_times(kind_of("x", "q")));
}

TEST_CASE("run times that change are followed")
{
    batch::run_time_model model;
    finish_runs(model, kind_of("x", "q"), 200, 3);
    finish_runs(model, kind_of("x", "q"), 100, 1);
    CHECK(model.expected_total(kind_of("x", "q"), declared) < times(declared, 1.1));
}

// Guards against a run of the tail that is taken for one that is about to end.
TEST_CASE("a run beyond the usual time is expected to be one of the tail")
{
    batch::run_time_model model;
    const batch::run_kind kind = kind_of("x", "q");
    for (int run = 0; run < 200; ++run)
    {
        finish_runs(model, kind, 1, run % 33 == 0 ? 7 : 0.9 + 0.01 * (run % 20));
    }
    CHECK(model.expected_total(kind, declared) < times(declared, 1.1));
    CHECK(model.expected_remaining(kind, {declared, seconds{5}}) < seconds{6});
    CHECK(model.expected_remaining(kind, {declared, seconds{20}}) > seconds{40});
    CHECK(model.expected_remaining(kind, {declared, seconds{60}}) < seconds{20});
    // Beyond all that was seen, a run is expected to last as long again.
    CHECK(model.expected_remaining(kind, {declared, seconds{200}}) == seconds{200});
}

TEST_CASE("observed progress outweighs what is usual")
{
    batch::run_time_model model;
    const batch::run_kind kind = kind_of("x", "q");
    finish_runs(model, kind, 50, 1);
    // A restored run: 60 % done, of which 40 % were observed in 20 s.
    const milliseconds left =
        model.expected_remaining(kind, {declared, seconds{20}, 60, 40, seconds{20}});
    CHECK(left == seconds{20});
}

TEST_CASE("values that are not plausible are ignored")
{
    batch::run_time_model model;
    const batch::run_kind kind = kind_of("x", "q");
    const batch::agent_id worker = worker_named(0);
    CHECK(!model.record_finished(kind, worker, declared, seconds{0}));
    CHECK(!model.record_finished(kind, worker, declared, seconds{-5}));
    CHECK(!model.record_finished(kind, worker, seconds{-5}, seconds{5}));
    CHECK(!model.record_finished(kind, worker, seconds{0}, seconds{5}));
    CHECK(!model.record_finished(kind, worker, milliseconds{1}, seconds{5}));
    CHECK(!model.record_finished(kind, worker, declared, milliseconds{1}));
    CHECK(!model.record_finished(kind, worker, declared, milliseconds::max()));
    CHECK(!model.record_finished(kind, worker, declared, seconds{5}, 101));
    CHECK(!model.record_finished(kind, worker, declared, seconds{5}, -1));
    CHECK(!model.record_progress(kind, worker, declared, -3, seconds{1}));
    CHECK(!model.record_progress(kind, worker, declared, 0, seconds{1}));
    CHECK(!model.record_progress(kind, worker, declared, 400, seconds{1}));
    CHECK(!model.record_progress(kind, worker, declared, 10, seconds{0}));
    CHECK(!model.record_progress(kind, worker, declared, 10, milliseconds::max()));
    CHECK(!model.has_run_times(kind));
    // Questions with odd values have an answer in range.
    CHECK(model.expected_total(kind, declared, 0) == declared);
    CHECK(model.expected_total(kind, declared, -1) == declared);
    CHECK(model.expected_remaining(kind, {declared, seconds{-9}, -4, -4, seconds{-1}}) == declared);
    CHECK(model.expected_remaining(kind, {declared, seconds{3}, 400}).count() >= 0);
}

// Guards against memory that grows with the callers, and against losing those that are in use.
TEST_CASE("kinds beyond the bound replace those that were not used for longest")
{
    batch::run_time_model model;
    finish_runs(model, kind_of("old", "q"), 20, 0.25);
    for (int number = 0; number < 310; ++number)
    {
        for (int queue = 0; queue < 12; ++queue)
        {
            finish_runs(model, kind_of("o" + std::to_string(number), "q" + std::to_string(queue)),
                        9, 4);
        }
    }
    CHECK(model.expected_total(kind_of("o0", "q0"), declared) > 3 * declared);
    CHECK(model.expected_total(kind_of("old", "q"), declared) < declared);
    for (int number = 0; number < 500; ++number)
    {
        finish_runs(model, kind_of("more", "r" + std::to_string(number)), 9, 4);
    }
    CHECK(model.expected_total(kind_of("old", "q"), declared) > 3 * declared);
}

} // namespace
