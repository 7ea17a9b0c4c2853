#include "support/golden.hpp"
#include "support/load.hpp"
#include "support/site.hpp"

#include <csignal>
#include <doctest/doctest.h>

/// Process tests of calls under faults: responses match their calls, "not run" is reported only
/// for calls that did not run, keyed calls run at most once, and graceful stops lose no request.
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

constexpr core::milliseconds ready_timeout{15'000};
constexpr core::milliseconds load_timeout{40'000};
constexpr int callers = 8;
constexpr int calls_per_caller = 60;
constexpr int first_phase_calls = 100;
constexpr int upstream_delay_ms = 15;

/// Three workers with delayed responses, so that calls are in flight when a fault is injected.
struct loaded_site
{
    loaded_site() : cluster(cluster_options())
    {
        this->cluster.configure();
        REQUIRE(this->cluster.wait_ready(ready_timeout));
        for (int index = 0; index < this->cluster.worker_count(); ++index)
        {
            this->cluster.upstream_fault(index, "delay_ms", upstream_delay_ms);
        }
    }

    static site_options cluster_options()
    {
        site_options options;
        options.workers = 3;
        return options;
    }

    site cluster;
};

TEST_CASE("killing an agent does not misreport or mix up calls")
{
    loaded_site loaded;
    call_load load(loaded.cluster, callers, calls_per_caller, "kill-agent");
    REQUIRE(load.wait_ended(first_phase_calls, load_timeout));
    loaded.cluster.agent(0).kill_now();
    REQUIRE(load.wait_ended(2 * first_phase_calls, load_timeout));
    loaded.cluster.agent(0).restart();
    const std::vector<call_outcome> outcomes = load.finish();
    CHECK(count_answered(outcomes) > static_cast<int>(outcomes.size()) * 8 / 10);
    CHECK(compare_golden("calls-kill-agent",
                         to_transcript(count_violations(loaded.cluster, outcomes))) == "");
}

TEST_CASE("killing an upstream and an entry does not misreport or mix up calls")
{
    loaded_site loaded;
    call_load load(loaded.cluster, callers, calls_per_caller, "kill-entry");
    REQUIRE(load.wait_ended(first_phase_calls, load_timeout));
    loaded.cluster.entry(1).kill_now();
    loaded.cluster.upstream(1).kill_now();
    REQUIRE(load.wait_ended(2 * first_phase_calls, load_timeout));
    loaded.cluster.entry(1).restart();
    loaded.cluster.upstream(1).restart();
    const std::vector<call_outcome> outcomes = load.finish();
    CHECK(compare_golden("calls-kill-entry",
                         to_transcript(count_violations(loaded.cluster, outcomes))) == "");
}

TEST_CASE("an agent frozen past the call timeout does not misreport or mix up calls")
{
    loaded_site loaded;
    call_load load(loaded.cluster, callers, calls_per_caller, "freeze-agent");
    REQUIRE(load.wait_ended(first_phase_calls, load_timeout));
    loaded.cluster.agent(2).signal(SIGSTOP);
    REQUIRE(load.wait_ended(3 * first_phase_calls, load_timeout));
    loaded.cluster.agent(2).signal(SIGCONT);
    const std::vector<call_outcome> outcomes = load.finish();
    CHECK(compare_golden("calls-freeze-agent",
                         to_transcript(count_violations(loaded.cluster, outcomes))) == "");
}

TEST_CASE("calls succeed while the platform's store is down")
{
    loaded_site loaded;
    loaded.cluster.platform_fault("down", "1");
    call_load load(loaded.cluster, callers, calls_per_caller, "store-down");
    const std::vector<call_outcome> outcomes = load.finish();
    loaded.cluster.platform_fault("down", "0");
    CHECK(count_answered(outcomes) == static_cast<int>(outcomes.size()));
    CHECK(compare_golden("calls-store-down",
                         to_transcript(count_violations(loaded.cluster, outcomes))) == "");
}

TEST_CASE("an upstream that fails every call does not fail most calls of the service")
{
    loaded_site loaded;
    loaded.cluster.upstream_fault(0, "fail_calls", 1);
    call_load load(loaded.cluster, callers, calls_per_caller, "failing");
    const std::vector<call_outcome> outcomes = load.finish();
    CHECK(count_answered(outcomes) > static_cast<int>(outcomes.size()) * 7 / 10);
    CHECK(compare_golden("calls-failing-upstream",
                         to_transcript(count_violations(loaded.cluster, outcomes))) == "");
}

TEST_CASE("a leaving upstream gets no new calls after 2 s")
{
    constexpr std::int64_t leave_timeout_ms = 2000;
    for (const bool store_down : {false, true})
    {
        loaded_site loaded;
        call_load load(loaded.cluster, callers, 4 * calls_per_caller, "leaving");
        REQUIRE(load.wait_ended(first_phase_calls, load_timeout));
        if (store_down)
        {
            loaded.cluster.platform_fault("down", "1");
        }
        else
        {
            loaded.cluster.entry(0).kill_now();
            loaded.cluster.entry(0).restart();
        }
        loaded.cluster.upstream_fault(1, "leave", 1);
        const std::int64_t leave_requested_ms = core::boot_clock::now().time_since_epoch().count();
        const std::vector<call_outcome> outcomes = load.finish();
        int late_calls = 0;
        for (const testing::recorded_run& run : loaded.cluster.runs())
        {
            late_calls += run.worker == 1 && run.event == "call" &&
                                  run.at_ms > leave_requested_ms + leave_timeout_ms
                              ? 1
                              : 0;
        }
        CHECK(compare_golden("calls-leaving",
                             to_transcript(count_violations(loaded.cluster, outcomes)) +
                                 "work sent to a leaving upstream after its bound: " +
                                 std::to_string(late_calls) + "\n") == "");
    }
}

TEST_CASE("a rolling graceful stop interrupts no request")
{
    for (const bool store_down : {false, true})
    {
        loaded_site loaded;
        if (store_down)
        {
            // Restarted agents cannot register without the store, so only an entry is stopped.
            loaded.cluster.platform_fault("down", "1");
        }
        call_load load(loaded.cluster, callers, 4 * calls_per_caller, "rolling");
        REQUIRE(load.wait_ended(first_phase_calls, load_timeout));
        int unclean = 0;
        for (int index = 0; index < 2 && !store_down; ++index)
        {
            unclean += loaded.cluster.agent(index).stop() != 0 ? 1 : 0;
            loaded.cluster.agent(index).restart();
            REQUIRE(loaded.cluster.wait_ready(ready_timeout));
        }
        unclean += loaded.cluster.entry(1).stop() != 0 ? 1 : 0;
        const std::vector<call_outcome> outcomes = load.finish();
        int interrupted = count_lost(outcomes);
        for (const call_outcome& outcome : outcomes)
        {
            interrupted +=
                !outcome.answered && !outcome.connection_lost && !outcome.not_run ? 1 : 0;
            if (!outcome.answered)
            {
                MESSAGE(outcome.body, " ", outcome.error);
            }
        }
        CHECK(compare_golden("calls-planned-stop",
                             to_transcript(count_violations(loaded.cluster, outcomes)) +
                                 "requests cut by a planned stop: " + std::to_string(interrupted) +
                                 "\nprocesses that ended uncleanly: " + std::to_string(unclean) +
                                 "\n") == "");
    }
}

TEST_CASE("an idempotency key runs once when the entry is killed or the store loses responses")
{
    constexpr int keys = 20;
    loaded_site loaded;
    loaded.cluster.platform_fault("prefix", "claim");
    int more_than_once = 0;
    int unanswered_retries = 0;
    for (int number = 0; number < keys; ++number)
    {
        const std::string key = "match-" + std::to_string(number);
        if (number % 3 == 0)
        {
            loaded.cluster.platform_fault("lose_answers", "1");
        }
        std::thread first(
            [&] {
                static_cast<void>(
                    loaded.cluster.call(0, "families", key, {{"Idempotency-Key", key}}));
            });
        if (number % 5 == 1)
        {
            loaded.cluster.entry(0).kill_now();
        }
        first.join();
        const auto retry = loaded.cluster.call(1, "families", key, {{"Idempotency-Key", key}});
        unanswered_retries += retry.ok() ? 0 : 1;
        if (!loaded.cluster.entry(0).is_running())
        {
            loaded.cluster.entry(0).restart();
            REQUIRE(site::wait_until([&] { return loaded.cluster.status(0).ok(); }, ready_timeout));
        }
        more_than_once += loaded.cluster.times_run("call", key) > 1 ? 1 : 0;
    }
    CHECK(compare_golden("calls-claimed-keys",
                         "keys run more than once: " + std::to_string(more_than_once) +
                             "\nsecond tries without an answer: " +
                             std::to_string(unanswered_retries) + "\n") == "");
}

} // namespace
