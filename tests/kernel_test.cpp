#include "chicorylift/admit/call_admission.hpp"
#include "chicorylift/admit/part_table.hpp"
#include "chicorylift/core/error.hpp"
#include "chicorylift/gang/gang_driver.hpp"
#include "chicorylift/quota/quota.hpp"
#include "chicorylift/route/call_router.hpp"
#include "chicorylift/sched/run_time_estimator.hpp"

#include <doctest/doctest.h>

/// Unit tests of the deterministic components outside the cell scheduler: unit conversion, call
/// admission, part table, gang driver, call router and run-time estimator.
namespace
{

using namespace chicorylift;
using core::error_kind;
using core::instant_at;
using core::milliseconds;

quota::configuration crate_config()
{
    quota::configuration config;
    config.units["crate"] = {"crate", {3, 5, 7}, 2};
    config.units["huge"] = {"huge", {quota::max_config_amount, 0, 0}, 1};
    return config;
}

TEST_CASE("unit conversion rounds a guarantee down or a limit up")
{
    const quota::configuration config = crate_config();
    CHECK(*quota::convert_guarantee(config, "crate", 1, 100) == core::resources{2, 3, 4});
    CHECK(*quota::convert_limit(config, "crate", 1, 100) == core::resources{1, 2, 3});
    CHECK(*quota::convert_guarantee(config, "crate", 2, 50) == core::resources{2, 3, 4});
}

TEST_CASE("an error for an unknown unit or an overflow does not name the contract and the unit")
{
    const quota::configuration config = crate_config();
    quota::contract agreed;
    agreed.organisation = core::organisation_id("press");
    agreed.limit_unit = "barrel";
    agreed.limit_units = 1;
    CHECK(std::string(quota::check_contract(config, agreed).message()) ==
          "contract of organisation \"press\": unit \"barrel\" does not exist in the unit table");
    agreed.limit_unit = "huge";
    agreed.limit_units = 2;
    CHECK(std::string(quota::check_contract(config, agreed).message()) ==
          "contract of organisation \"press\": 2 of unit \"huge\" overflow 1000000000");
    agreed.limit_units = -1;
    CHECK_FALSE(quota::check_contract(config, agreed).ok());
}

TEST_CASE("the error table is out of order, or a name does not parse back")
{
    for (const core::error_descriptor& row : core::error_table())
    {
        CHECK(core::descriptor_for(row.kind).name == row.name);
        CHECK(core::kind_from_name(row.name) == row.kind);
        CHECK(core::kind_of(core::make_error(row.kind, "text")) == row.kind);
    }
}

TEST_CASE("a call starts although its cancellation arrived first")
{
    admit::call_admission admission;
    admission.set_slots(1);
    const core::request_id id("a");
    CHECK(admission.cancel(id, 1, instant_at(milliseconds{0})) == admit::cancel_result::not_seen);
    CHECK(admission.try_admit(id, 1, instant_at(milliseconds{1})) == error_kind::cancelled);
    const core::request_id other("b");
    CHECK_FALSE(admission.try_admit(other, 1, instant_at(milliseconds{2})).has_value());
    CHECK(admission.try_admit(core::request_id("c"), 1, instant_at(milliseconds{2})) ==
          error_kind::upstream_full);
    CHECK(admission.cancel(other, 1, instant_at(milliseconds{3})) == admit::cancel_result::not_run);
    CHECK_FALSE(admission.start(other, 1));
    CHECK(admission.in_flight() == 0);
}

TEST_CASE("a running call is reported as not run, or its duplicate is admitted")
{
    admit::call_admission admission;
    admission.set_slots(2);
    const core::request_id id("a");
    CHECK_FALSE(admission.try_admit(id, 1, instant_at(milliseconds{0})).has_value());
    CHECK(admission.start(id, 1));
    CHECK(admission.cancel(id, 1, instant_at(milliseconds{1})) == admit::cancel_result::running);
    CHECK(admission.try_admit(id, 1, instant_at(milliseconds{2})) == error_kind::outcome_unknown);
    admission.finish(id, 1, instant_at(milliseconds{3}));
    CHECK(admission.cancel(id, 1, instant_at(milliseconds{4})) == admit::cancel_result::ended);
    admission.set_leaving(true);
    CHECK(admission.try_admit(core::request_id("b"), 1, instant_at(milliseconds{5})) ==
          error_kind::upstream_leaving);
}

admit::part_table small_table()
{
    admit::part_settings settings;
    settings.capacity = {8, 32, 128};
    return admit::part_table(settings);
}

TEST_CASE("a part starts twice, without a reservation or after a stop")
{
    admit::part_table table = small_table();
    const admit::part_key key{core::job_id("g"), 1};
    CHECK_FALSE(table.start(key, instant_at(milliseconds{0})).ok());
    CHECK(table.reserve(key, 2, {4, 4, 4}, milliseconds{1000}, instant_at(milliseconds{0})).ok());
    CHECK_FALSE(table
                    .reserve({core::job_id("h"), 1}, 1, {1, 1, 1}, milliseconds{1000},
                             instant_at(milliseconds{0}))
                    .ok());
    CHECK(*table.start(key, instant_at(milliseconds{1})));
    CHECK_FALSE(*table.start(key, instant_at(milliseconds{2})));
    CHECK(table.stop(key, instant_at(milliseconds{3})));
    table.mark_ended(key, admit::part_phase::stopped, instant_at(milliseconds{4}));
    CHECK_FALSE(table.start(key, instant_at(milliseconds{5})).ok());
    const admit::part_key stopped_early{core::job_id("late"), 3};
    CHECK_FALSE(table.stop(stopped_early, instant_at(milliseconds{6})));
    CHECK_FALSE(
        table.reserve(stopped_early, 1, {1, 1, 1}, milliseconds{1}, instant_at(milliseconds{7}))
            .ok());
}

TEST_CASE("leases and reservations do not expire, or a previous leader's epoch is accepted")
{
    admit::part_table table = small_table();
    const admit::part_key running{core::job_id("r"), 1};
    const admit::part_key reserved{core::job_id("s"), 1};
    CHECK(table.accept_epoch(4).ok());
    CHECK(core::kind_of(table.accept_epoch(3)) == error_kind::stale_epoch);
    REQUIRE(
        table.reserve(running, 1, {1, 1, 1}, milliseconds{1}, instant_at(milliseconds{0})).ok());
    REQUIRE(
        table.reserve(reserved, 1, {1, 1, 1}, milliseconds{1}, instant_at(milliseconds{0})).ok());
    REQUIRE(table.start(running, instant_at(milliseconds{0})).ok());
    table.renew_leases(instant_at(milliseconds{5000}));
    CHECK(table.expire(instant_at(milliseconds{16'000})).empty());
    CHECK_FALSE(table.start(reserved, instant_at(milliseconds{16'000})).ok());
    CHECK(table.expire(instant_at(milliseconds{17'000})).size() == 1);
}

/// @return the driver's pending actions as space-separated text, such as "reserve:a reserve:b".
std::string action_names(gang::gang_driver& driver)
{
    std::string text;
    for (const gang::gang_action& action : driver.take_actions())
    {
        text += text.empty() ? "" : " ";
        if (const auto* reserve = std::get_if<gang::send_reserve>(&action))
        {
            text += "reserve:" + reserve->worker.str();
        }
        else if (const auto* start = std::get_if<gang::send_start>(&action))
        {
            text += "start:" + start->worker.str();
        }
        else if (const auto* stop = std::get_if<gang::send_stop>(&action))
        {
            text += "stop:" + stop->worker.str();
        }
        else if (const auto* result = std::get_if<gang::report_result>(&action))
        {
            text += "result:" + std::to_string(static_cast<int>(result->result));
        }
        else
        {
            text += "commit";
        }
    }
    return text;
}

gang::gang_driver two_part_driver()
{
    return gang::gang_driver({{core::worker_id("a"), 1}, {core::worker_id("b"), 1}}, false, {},
                             instant_at(milliseconds{0}));
}

TEST_CASE("a gang commits before all parts are reserved, or starts before the commit")
{
    gang::gang_driver driver = two_part_driver();
    const core::worker_id a("a");
    const core::worker_id b("b");
    CHECK(action_names(driver) == "reserve:a reserve:b");
    driver.part_reported(a, gang::part_event::reserved, instant_at(milliseconds{1}));
    CHECK(action_names(driver).empty());
    driver.part_reported(b, gang::part_event::reserved, instant_at(milliseconds{2}));
    CHECK(action_names(driver) == "commit");
    driver.commit_completed(true, instant_at(milliseconds{3}));
    CHECK(action_names(driver) == "start:a start:b");
    driver.part_reported(a, gang::part_event::started, instant_at(milliseconds{4}));
    driver.part_reported(b, gang::part_event::started, instant_at(milliseconds{5}));
    CHECK(action_names(driver) == "result:0");
    driver.worker_lost(b, instant_at(milliseconds{6}));
    CHECK(action_names(driver) == "stop:a stop:b");
    driver.part_reported(a, gang::part_event::stopped, instant_at(milliseconds{7}));
    driver.tick(instant_at(milliseconds{13'000}));
    CHECK_FALSE(driver.is_finished());
    driver.tick(instant_at(milliseconds{14'100}));
    CHECK(driver.is_finished());
}

TEST_CASE("an attempt continues after a refused reservation or a failed commit")
{
    gang::gang_driver refused = two_part_driver();
    static_cast<void>(action_names(refused));
    refused.part_reported(core::worker_id("a"), gang::part_event::refused,
                          instant_at(milliseconds{1}));
    CHECK(action_names(refused) == "stop:a stop:b");
    refused.part_reported(core::worker_id("a"), gang::part_event::stopped,
                          instant_at(milliseconds{2}));
    refused.part_reported(core::worker_id("b"), gang::part_event::stopped,
                          instant_at(milliseconds{2}));
    CHECK(action_names(refused) == "result:1");

    gang::gang_driver failed_commit = two_part_driver();
    failed_commit.part_reported(core::worker_id("a"), gang::part_event::reserved,
                                instant_at(milliseconds{1}));
    failed_commit.part_reported(core::worker_id("b"), gang::part_event::reserved,
                                instant_at(milliseconds{1}));
    static_cast<void>(action_names(failed_commit));
    failed_commit.commit_completed(false, instant_at(milliseconds{2}));
    CHECK(action_names(failed_commit) == "stop:a stop:b");
}

/// Router with one organisation and one upstream that has a single slot.
struct small_router
{
    small_router() : router({})
    {
        quota::resolved_config terms;
        terms.organisations = {{core::organisation_id("press"), {}, {}, 1000}};
        this->router.apply_config(terms, instant_at(milliseconds{0}));
        this->join("a", "first");
    }

    void join(const std::string& agent, const std::string& incarnation)
    {
        this->router.update_upstream({core::worker_id(agent), agent + ":1", incarnation,
                                      core::service_id("s"), "", "", 1, false});
    }

    std::vector<route::route_action> submit(const std::string& id, bool idempotent)
    {
        return this->router.submit({core::request_id(id), core::organisation_id("press"),
                                    core::service_id("s"), idempotent,
                                    instant_at(milliseconds{1000}), "body"},
                                   instant_at(milliseconds{0}));
    }

    std::vector<route::route_action> respond(const std::string& id, std::int64_t attempt,
                                             std::optional<error_kind> error)
    {
        return this->router.on_response(
            {core::request_id(id), attempt, core::worker_id("a"), error, "", 200, "answer"},
            instant_at(milliseconds{10}));
    }

    route::call_router router;
};

TEST_CASE("a cancellation is sent to an incarnation that never received the call")
{
    small_router fixture;
    REQUIRE(fixture.submit("r", false).size() == 1);
    // The agent restarts and registers under a new incarnation while the call is in flight.
    fixture.join("a", "second");
    const auto actions = fixture.router.tick(instant_at(milliseconds{1000}));
    REQUIRE(actions.size() == 1);
    CHECK(std::get<route::send_cancel>(actions[0]).incarnation == "first");
    const auto timed_out = fixture.router.tick(instant_at(milliseconds{1600}));
    REQUIRE(timed_out.size() == 1);
    CHECK(std::get<route::finish_call>(timed_out[0]).error == error_kind::outcome_unknown);
}

TEST_CASE("a non-idempotent call is retried although it may have run")
{
    small_router fixture;
    fixture.join("b", "first");
    std::vector<route::route_action> sent = fixture.submit("r", false);
    const core::worker_id first = std::get<route::send_call>(sent[0]).agent;
    const auto reply = [&](error_kind kind, std::int64_t attempt, const core::worker_id& agent)
    {
        return fixture.router.on_response({core::request_id("r"), attempt, agent, kind, "", 0, ""},
                                          instant_at(milliseconds{10}));
    };
    const auto retried = reply(error_kind::upstream_full, 1, first);
    REQUIRE(retried.size() == 1);
    const auto& second = std::get<route::send_call>(retried[0]);
    CHECK(second.agent != first);
    // A late response to the first attempt is ignored.
    CHECK(reply(error_kind::upstream_full, 1, first).empty());
    const auto failed = reply(error_kind::outcome_unknown, 2, second.agent);
    REQUIRE(failed.size() == 1);
    CHECK(std::get<route::finish_call>(failed[0]).error == error_kind::outcome_unknown);
}

TEST_CASE("a call of an organisation without quota is sent, or a freed slot leaves a call queued")
{
    small_router fixture;
    const auto unknown =
        fixture.router.submit({core::request_id("x"), core::organisation_id("other"),
                               core::service_id("s"), true, instant_at(milliseconds{1000}), ""},
                              instant_at(milliseconds{0}));
    CHECK(std::get<route::finish_call>(unknown[0]).error == error_kind::rate_limited);
    CHECK(std::holds_alternative<route::send_call>(fixture.submit("r0", true)[0]));
    CHECK(fixture.submit("r1", true).empty());
    CHECK(fixture.router.queued_calls() == 1);
    // The response to the first call frees the slot, so the queued call is sent.
    const auto actions = fixture.respond("r0", 1, std::nullopt);
    REQUIRE(actions.size() == 2);
    CHECK(std::get<route::finish_call>(actions[0]).body == "answer");
    CHECK(std::get<route::send_call>(actions[1]).id == core::request_id("r1"));
}

TEST_CASE("run-time estimates do not follow the recorded runs of their organisation and kind")
{
    sched::run_time_estimator estimator;
    const core::organisation_id press("press");
    CHECK(estimator.estimate(press, "grid", milliseconds{77}, 0.5) == milliseconds{77});
    for (int run = 1; run <= 100; ++run)
    {
        estimator.record(press, "grid", milliseconds{run * 1000});
    }
    const auto median = estimator.estimate(press, "grid", milliseconds{77}, 0.5);
    CHECK(median >= milliseconds{50'000});
    CHECK(median <= milliseconds{60'000});
    CHECK(estimator.estimate(press, "other", milliseconds{77}, 0.5) == milliseconds{77});
}

} // namespace
