#include "batch/packing.hpp"
#include "batch/placement.hpp"
#include "support/virtual_site.hpp"

#include <doctest/doctest.h>
#include <numeric>

/// Work thrown away, packing and preemption, without network.
namespace
{

using namespace chicorylift;
using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::job_truth;
using testing::one_step_job;
using testing::virtual_site;

batch::queue_policy queue_with(std::int64_t priority)
{
    batch::queue_policy policy;
    policy.queue = batch::queue_id("q" + std::to_string(priority));
    policy.service = core::service_id("service");
    policy.priority = priority;
    policy.max_attempts = 3;
    policy.max_slowdown = 3;
    policy.latency_allowance = milliseconds{1500};
    return policy;
}

batch::step_spec step_of(std::int64_t units, std::int64_t accelerators, milliseconds estimate)
{
    batch::step_spec step;
    step.units = units;
    step.per_unit = {3000, 8000, accelerators};
    step.estimate = estimate;
    return step;
}

/// One rack with two workers of 8 accelerators, and a job "long" that fills both for 20 s.
std::unique_ptr<virtual_site> filled_site(bool checkpointing, bool gang)
{
    testing::site_shape shape;
    shape.racks = 1;
    shape.workers_a_rack = 2;
    auto site = std::make_unique<virtual_site>(1, shape);
    site->set_terms({}, {{core::organisation_id("owner"), 8}});
    batch::step_spec step = step_of(2, 8, seconds{20});
    step.checkpointing = checkpointing;
    step.gang = gang;
    site->submit(milliseconds{1500}, one_step_job("long", "x", queue_with(2), step),
                 {{seconds{20}}});
    return site;
}

void submit_owner_job(virtual_site& site, milliseconds at)
{
    site.submit(at, one_step_job("owned", "owner", queue_with(0), step_of(1, 8, seconds{1})),
                {{seconds{1}}});
}

/// @return core-seconds thrown away for the reason; all other reasons must have none.
double only_loss(const virtual_site& site, const std::string& reason)
{
    double found = 0;
    for (const auto& loss : site.thrown_away())
    {
        CAPTURE(loss.first);
        CHECK((loss.first == reason || loss.second == 0));
        found += loss.first == reason ? loss.second : 0;
    }
    return found;
}

// One unit on eight accelerators and three cores.
constexpr double unit_rate = 67;

TEST_CASE("the work of a preempted run since its start is reported, once and with the reason")
{
    auto site = filled_site(/*checkpointing=*/false, /*gang=*/false);
    submit_owner_job(*site, seconds{8});
    site->play(seconds{12});
    const double lost = only_loss(*site, "preempted");
    CHECK(lost > 6 * unit_rate);
    CHECK(lost < 7.5 * unit_rate);
    CHECK(lost == doctest::Approx(site->wasted()).epsilon(0.05));
    // The record of the stop states what it is expected to lose; it does not count.
    const auto stop =
        std::find_if(site->records().begin(), site->records().end(),
                     [](const auto& record) { return record.event == "run_stopped"; });
    REQUIRE(stop != site->records().end());
    REQUIRE(stop->lost.has_value());
    CHECK(!stop->lost->is_final);
    CHECK(stop->lost->core_seconds == doctest::Approx(lost).epsilon(0.1));
}

TEST_CASE(
    "a run that has saved its work since the last checkpoint loses nothing when it is stopped")
{
    auto site = filled_site(/*checkpointing=*/true, /*gang=*/false);
    submit_owner_job(*site, seconds{8});
    site->play(seconds{12});
    CHECK(site->decisions("run_stopped") == 1);
    CHECK(only_loss(*site, "preempted") < 1);
}

TEST_CASE("all members of a preempted gang count as thrown away")
{
    auto site = filled_site(/*checkpointing=*/false, /*gang=*/true);
    submit_owner_job(*site, seconds{8});
    site->play(seconds{12});
    const double lost = only_loss(*site, "preempted");
    CHECK(lost > 2 * 6 * unit_rate);
    CHECK(lost < 2 * 7.5 * unit_rate);
}

TEST_CASE("the work of a lost worker and of its gang is reported with different reasons")
{
    auto site = filled_site(/*checkpointing=*/false, /*gang=*/true);
    site->cut(seconds{8}, 0, seconds{60});
    site->play(seconds{16});
    const auto& losses = site->thrown_away();
    REQUIRE(losses.contains("worker lost"));
    REQUIRE(losses.contains("gang member ended"));
    CHECK(losses.at("worker lost") > 6 * unit_rate);
    CHECK(losses.at("gang member ended") > 6 * unit_rate);
    CHECK(losses.size() == 2);
}

TEST_CASE("the work of a cancelled job is reported")
{
    auto site = filled_site(/*checkpointing=*/false, /*gang=*/false);
    site->cancel(seconds{8}, core::job_id("long"));
    site->play(seconds{12});
    CHECK(only_loss(*site, "cancelled") == doctest::Approx(site->wasted()).epsilon(0.05));
    CHECK(site->wasted() > 2 * 6 * unit_rate);
}

TEST_CASE("the work of a run that stalls is reported, and that of one that succeeds is not")
{
    auto site = filled_site(/*checkpointing=*/false, /*gang=*/false);
    // The first worker stands still when the second unit starts there.
    site->hang(milliseconds{1000}, 0, seconds{2});
    site->play(seconds{60});
    CHECK(site->results().at(core::job_id("long")).completed);
    // The stall limit of a unit of 20 s is 9 s.
    const double lost = only_loss(*site, "stalled");
    CHECK(lost > 8 * unit_rate);
    CHECK(lost < 11 * unit_rate);
}

TEST_CASE("the reported losses of a varied load with failures are near the true ones")
{
    // No worker is lost: a unit that succeeds on a lost worker is repeated, which wasted() omits.
    for (std::uint32_t seed = 1; seed <= 6; ++seed)
    {
        CAPTURE(seed);
        virtual_site site(seed);
        site.set_terms({}, {{core::organisation_id("owner"), 24}});
        auto& random = site.random();
        for (int number = 0; number < 80; ++number)
        {
            const milliseconds length{800 + static_cast<int>(random() % 6000)};
            batch::step_spec step =
                step_of(1 + static_cast<int>(random() % 5), 1 << (random() % 4), length);
            step.gang = random() % 2 == 0;
            step.checkpointing = random() % 3 == 0;
            const core::job_id id("j" + std::to_string(number));
            const milliseconds at{2000 + static_cast<int>(random() % 20'000)};
            site.submit(at,
                        one_step_job(id.str(), random() % 3 == 0 ? "owner" : "x",
                                     queue_with(static_cast<int>(random() % 3)), step),
                        {{length}});
            if (random() % 10 == 0)
            {
                site.cancel(at + milliseconds{2500}, id);
            }
        }
        site.fail_all(seconds{9}, 3, seconds{2});
        site.play(seconds{120});
        const double reported =
            std::accumulate(site.thrown_away().begin(), site.thrown_away().end(), 0.0,
                            [](double sum, const auto& each) { return sum + each.second; });
        // Members of a gang that wait for the others count as well.
        const double lost = site.wasted() + site.waited_in_vain();
        MESSAGE("seed " << seed << ": reported " << reported << " core-seconds, true " << lost);
        CHECK(reported > 0.9 * lost);
        CHECK(reported < 1.1 * lost);
        CHECK(site.violations().empty());
    }
}

batch::candidate_worker packed_worker(const std::string& agent, const std::string& rack,
                                      std::int64_t accelerators, std::int64_t added_quarters = 0)
{
    batch::candidate_worker worker;
    worker.agent = batch::agent_id(agent);
    worker.rack = core::rack_id(rack);
    worker.free = {accelerators * 4000, 131072, accelerators};
    worker.capacity = {32000, 131072, 8};
    worker.added_quarters = added_quarters;
    return worker;
}

std::string placed_on(const batch::step_spec& step,
                      const std::vector<batch::candidate_worker>& workers,
                      batch::placement_constraints constraints = {})
{
    std::vector<std::int64_t> units(static_cast<std::size_t>(step.units));
    std::iota(units.begin(), units.end(), 0);
    std::string agents;
    for (const auto& each :
         batch::place_units(step, units, workers, constraints)
             .value_or(decltype(batch::place_units_that_fit(step, units, workers, constraints)){}))
    {
        agents += each.agent.str();
    }
    return agents;
}

TEST_CASE("a small unit does not keep a worker in use for longer than the worker's other runs")
{
    const batch::step_spec small = step_of(1, 1, seconds{4});
    CHECK(placed_on(small, {packed_worker("a", "r", 2, 3), packed_worker("b", "r", 5, 0)}) == "b");
    // Among workers that it does not keep in use for longer, the one that it fills best.
    CHECK(placed_on(small, {packed_worker("a", "r", 2), packed_worker("b", "r", 5)}) == "a");
    CHECK(batch::added_quarters(seconds{4}, seconds{4}) == 0);
    CHECK(batch::added_quarters(seconds{4}, milliseconds{3900}) == 1);
    CHECK(batch::added_quarters(seconds{4}, milliseconds{0}) == 4);
    CHECK(batch::added_quarters(milliseconds{0}, milliseconds{0}) == 0);
}

TEST_CASE("a unit goes where its scarcest resource is used up, not where accelerators are few")
{
    batch::step_spec step = step_of(1, 1, seconds{4});
    step.per_unit.millicores = 8000;
    batch::candidate_worker few_cores = packed_worker("a", "r", 6);
    few_cores.free.millicores = 8000;
    CHECK(placed_on(step, {few_cores, packed_worker("b", "r", 3)}) == "a");
}

TEST_CASE("a gang of one rack leaves racks with whole workers alone")
{
    const batch::step_spec pair = step_of(2, 4, seconds{4});
    // Rack 1 has fewer free accelerators, but the gang would break a whole worker there.
    CHECK(placed_on(pair,
                    {packed_worker("a", "1", 4), packed_worker("b", "1", 3),
                     packed_worker("c", "1", 8), packed_worker("d", "2", 4),
                     packed_worker("e", "2", 4), packed_worker("f", "2", 8)},
                    {.one_rack = true}) == "de");
}

TEST_CASE("demand for whole workers decays, and keeps at most a quarter of the workers")
{
    batch::whole_worker_demand demand;
    const auto at = [](int second) { return core::instant_at(seconds{second}); };
    CHECK(demand.workers_to_keep(40, at(1)) == 0);
    demand.record(8, at(1));
    CHECK(demand.workers_to_keep(40, at(1)) == 8);
    CHECK(demand.workers_to_keep(40, at(6)) == 4);
    CHECK(demand.workers_to_keep(12, at(1)) == 3);
    CHECK(demand.workers_to_keep(40, at(120)) == 0);
}

/// Four workers, a job that needs a whole one, and then one of four small units on each.
milliseconds wait_beside_kept_workers(std::int64_t priority, bool guaranteed)
{
    testing::site_shape shape;
    shape.racks = 1;
    shape.workers_a_rack = 4;
    shape.keep_whole_workers = true;
    virtual_site site(1, shape);
    site.set_terms({}, {{core::organisation_id("owner"), guaranteed ? 32 : 0}});
    site.submit(milliseconds{2000},
                one_step_job("whole", "x", queue_with(1), step_of(3, 8, seconds{1})),
                {{seconds{1}}});
    site.submit(milliseconds{4000},
                one_step_job("small", "owner", queue_with(priority), step_of(4, 5, seconds{8})),
                {{seconds{8}}});
    site.play(seconds{20});
    CHECK(site.violations().empty());
    const auto& result = site.results().at(core::job_id("small"));
    return result.all_started.value() - result.accepted;
}

TEST_CASE("kept workers are given up after a second, and at once to urgent and guaranteed work")
{
    const milliseconds waited = wait_beside_kept_workers(2, false);
    CHECK(waited >= milliseconds{900});
    CHECK(waited <= milliseconds{1500});
    CHECK(wait_beside_kept_workers(0, false) < milliseconds{300});
    CHECK(wait_beside_kept_workers(0, true) < milliseconds{300});
}

} // namespace
