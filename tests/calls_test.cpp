#include "support/golden.hpp"
#include "support/load.hpp"
#include "support/site.hpp"

#include <csignal>
#include <doctest/doctest.h>

/// Process sessions about calls: own answers, truthful "not run", at most once, leaving, stops.
namespace
{

using namespace chicorylift;
using testing::call_load;
using testing::call_outcome;
using testing::compare_golden;
using testing::count_answered;
using testing::count_lost;
using testing::count_violations;
using testing::site;
using testing::site_options;

constexpr core::milliseconds ready_patience{15'000};
constexpr core::milliseconds load_patience{40'000};
constexpr int callers = 8;
constexpr int calls_each = 60;
constexpr int first_part = 100;
constexpr int slow_answer_ms = 15;

/// Three workers that answer slowly enough for calls to be open whenever something happens.
struct loaded_site
{
    loaded_site() : place(shape())
    {
        this->place.configure();
        REQUIRE(this->place.wait_ready(ready_patience));
        for (int index = 0; index < this->place.worker_count(); ++index)
        {
            this->place.upstream_fault(index, "delay_ms", slow_answer_ms);
        }
    }

    static site_options shape()
    {
        site_options options;
        options.workers = 3;
        return options;
    }

    site place;
};

TEST_CASE("calls while an agent is killed and restarted")
{
    loaded_site all;
    call_load load(all.place, callers, calls_each, "kill-agent");
    REQUIRE(load.wait_ended(first_part, load_patience));
    all.place.agent(0).kill_now();
    REQUIRE(load.wait_ended(2 * first_part, load_patience));
    all.place.agent(0).restart();
    const std::vector<call_outcome> outcomes = load.finish();
    CHECK(count_answered(outcomes) > static_cast<int>(outcomes.size()) * 8 / 10);
    CHECK(compare_golden("calls-kill-agent",
                         to_transcript(count_violations(all.place, outcomes))) == "");
}

TEST_CASE("calls while an upstream is killed and an entry too")
{
    loaded_site all;
    call_load load(all.place, callers, calls_each, "kill-entry");
    REQUIRE(load.wait_ended(first_part, load_patience));
    all.place.entry(1).kill_now();
    all.place.upstream(1).kill_now();
    REQUIRE(load.wait_ended(2 * first_part, load_patience));
    all.place.entry(1).restart();
    all.place.upstream(1).restart();
    const std::vector<call_outcome> outcomes = load.finish();
    CHECK(compare_golden("calls-kill-entry",
                         to_transcript(count_violations(all.place, outcomes))) == "");
}

TEST_CASE("calls while an agent is frozen past its callers' patience")
{
    loaded_site all;
    call_load load(all.place, callers, calls_each, "freeze-agent");
    REQUIRE(load.wait_ended(first_part, load_patience));
    all.place.agent(2).signal(SIGSTOP);
    REQUIRE(load.wait_ended(3 * first_part, load_patience));
    all.place.agent(2).signal(SIGCONT);
    const std::vector<call_outcome> outcomes = load.finish();
    CHECK(compare_golden("calls-freeze-agent",
                         to_transcript(count_violations(all.place, outcomes))) == "");
}

TEST_CASE("calls go on while the platform's store is down")
{
    loaded_site all;
    all.place.platform_fault("down", "1");
    call_load load(all.place, callers, calls_each, "store-down");
    const std::vector<call_outcome> outcomes = load.finish();
    all.place.platform_fault("down", "0");
    CHECK(count_answered(outcomes) == static_cast<int>(outcomes.size()));
    CHECK(compare_golden("calls-store-down",
                         to_transcript(count_violations(all.place, outcomes))) == "");
}

TEST_CASE("an upstream that fails everything does not take the calls down")
{
    loaded_site all;
    all.place.upstream_fault(0, "fail_calls", 1);
    call_load load(all.place, callers, calls_each, "failing");
    const std::vector<call_outcome> outcomes = load.finish();
    CHECK(count_answered(outcomes) > static_cast<int>(outcomes.size()) * 7 / 10);
    CHECK(compare_golden("calls-failing-upstream",
                         to_transcript(count_violations(all.place, outcomes))) == "");
}

TEST_CASE("an upstream that leaves gets no new work after its bound")
{
    constexpr std::int64_t leaving_bound_ms = 2000;
    for (const bool store_down : {false, true})
    {
        loaded_site all;
        call_load load(all.place, callers, 4 * calls_each, "leaving");
        REQUIRE(load.wait_ended(first_part, load_patience));
        if (store_down)
        {
            all.place.platform_fault("down", "1");
        }
        else
        {
            all.place.entry(0).kill_now();
            all.place.entry(0).restart();
        }
        all.place.upstream_fault(1, "leave", 1);
        const std::int64_t left = core::boot_clock::now().time_since_epoch().count();
        const std::vector<call_outcome> outcomes = load.finish();
        int late = 0;
        for (const testing::recorded_run& run : all.place.runs())
        {
            late += run.worker == 1 && run.event == "call" && run.at_ms > left + leaving_bound_ms
                        ? 1
                        : 0;
        }
        CHECK(compare_golden("calls-leaving",
                             to_transcript(count_violations(all.place, outcomes)) +
                                 "work sent to a leaving upstream after its bound: " +
                                 std::to_string(late) + "\n") == "");
    }
}

TEST_CASE("a planned stop of each role in turn cuts no request short")
{
    for (const bool store_down : {false, true})
    {
        loaded_site all;
        if (store_down)
        {
            // Agents that start anew cannot announce themselves then, so only entries restart.
            all.place.platform_fault("down", "1");
        }
        call_load load(all.place, callers, 4 * calls_each, "rolling");
        REQUIRE(load.wait_ended(first_part, load_patience));
        int unclean = 0;
        for (int index = 0; index < 2 && !store_down; ++index)
        {
            unclean += all.place.agent(index).stop() != 0 ? 1 : 0;
            all.place.agent(index).restart();
            REQUIRE(all.place.wait_ready(ready_patience));
        }
        unclean += all.place.entry(1).stop() != 0 ? 1 : 0;
        const std::vector<call_outcome> outcomes = load.finish();
        int cut = count_lost(outcomes);
        for (const call_outcome& outcome : outcomes)
        {
            cut += !outcome.answered && !outcome.connection_lost && !outcome.not_run ? 1 : 0;
            if (!outcome.answered)
            {
                MESSAGE(outcome.body, " ", outcome.error);
            }
        }
        CHECK(compare_golden("calls-planned-stop",
                             to_transcript(count_violations(all.place, outcomes)) +
                                 "requests cut by a planned stop: " + std::to_string(cut) +
                                 "\nprocesses that ended uncleanly: " + std::to_string(unclean) +
                                 "\n") == "");
    }
}

TEST_CASE("a key runs once although the entry dies and the store loses answers")
{
    constexpr int keys = 20;
    loaded_site all;
    all.place.platform_fault("prefix", "claim");
    int more_than_once = 0;
    int unsettled = 0;
    for (int number = 0; number < keys; ++number)
    {
        const std::string key = "match-" + std::to_string(number);
        if (number % 3 == 0)
        {
            all.place.platform_fault("lose_answers", "1");
        }
        std::thread first(
            [&] {
                static_cast<void>(all.place.call(0, "families", key, {{"Idempotency-Key", key}}));
            });
        if (number % 5 == 1)
        {
            all.place.entry(0).kill_now();
        }
        first.join();
        const auto again = all.place.call(1, "families", key, {{"Idempotency-Key", key}});
        unsettled += again.ok() ? 0 : 1;
        if (!all.place.entry(0).is_running())
        {
            all.place.entry(0).restart();
            REQUIRE(site::wait_until([&] { return all.place.status(0).ok(); }, ready_patience));
        }
        more_than_once += all.place.times_run("call", key) > 1 ? 1 : 0;
    }
    CHECK(compare_golden("calls-claimed-keys",
                         "keys run more than once: " + std::to_string(more_than_once) +
                             "\nsecond tries without an answer: " + std::to_string(unsettled) +
                             "\n") == "");
}

} // namespace
