#include "support/golden.hpp"
#include "support/site.hpp"

#include <algorithm>
#include <csignal>
#include <doctest/doctest.h>
#include <map>
#include <thread>

/// Process tests of gangs under faults: all parts start and stop together, gangs that are not
/// idempotent run at most once, and guaranteed capacity is reclaimed in time.
namespace
{

using namespace chicorylift;
using testing::compare_golden;
using testing::recorded_run;
using testing::site;
using testing::site_options;
using testing::usual_job;

constexpr core::milliseconds ready_timeout{15'000};
constexpr core::milliseconds job_timeout{30'000};
// A part stops at the latest when its lease expires and its worker is told to stop: 2 s plus a
// margin.
constexpr std::int64_t stop_bound_ms = 4000;

struct part_run
{
    int worker{};
    std::int64_t started_at{};
    std::int64_t ended = -1;
    bool completed = false;
};

/// @return the longest time in ms that an attempt ran with only some of its parts.
///
/// Computed from the workers' records. A part that succeeded does not make the attempt partial;
/// an unfinished part on a killed worker ends at its time in @p killed_at.
std::int64_t longest_partial_run(const site& cluster, std::size_t gang_size,
                                 const std::map<int, std::int64_t>& killed_at)
{
    std::map<std::string, std::vector<part_run>> attempts;
    for (const recorded_run& run : cluster.runs())
    {
        std::vector<part_run>& parts = attempts[run.name];
        if (run.event == "task")
        {
            parts.push_back({run.worker, run.at_ms, -1, false});
        }
        for (part_run& part : parts)
        {
            if (run.event == "end" && part.worker == run.worker)
            {
                part.ended = run.at_ms;
                part.completed = run.detail == "succeeded";
            }
        }
    }
    std::int64_t longest = 0;
    const std::int64_t now = core::boot_clock::now().time_since_epoch().count();
    for (auto& [name, parts] : attempts)
    {
        std::int64_t all_started_at = 0;
        std::int64_t first_stop_at = now;
        std::int64_t first = now;
        std::int64_t last = 0;
        for (part_run& part : parts)
        {
            const auto killed = killed_at.find(part.worker);
            if (part.ended < 0)
            {
                part.ended = killed != killed_at.end() ? killed->second : now;
            }
            all_started_at = std::max(all_started_at, part.started_at);
            first_stop_at = part.completed ? first_stop_at : std::min(first_stop_at, part.ended);
            first = std::min(first, part.started_at);
            last = std::max(last, part.ended);
        }
        if (parts.size() < gang_size)
        {
            longest = std::max(longest, last - first);
            continue;
        }
        longest = std::max({longest, all_started_at - first, last - first_stop_at});
    }
    return longest;
}

std::string partial_run_report(std::int64_t partial_ms)
{
    return partial_ms <= stop_bound_ms
               ? "parts of a gang running without the rest beyond the stop bound: 0\n"
               : "a part ran without the rest for " + std::to_string(partial_ms) + " ms\n";
}

/// A single organisation, which may fill every worker with work that is not preemptible.
site_options one_organisation_options()
{
    site_options options;
    options.organisations = {"volunteers"};
    return options;
}

/// @return a worker of the job other than the leader's, or -1. Killing the leader has its own
/// tests.
int follower_among(const site& cluster, const wire::job_document& job)
{
    const int leader = cluster.leader_index();
    int follower = -1;
    for (const auto& placed : job.placement())
    {
        const int index = placed.worker().back() - '0';
        follower = index == leader ? follower : index;
    }
    return follower;
}

/// @return the number of the job's attempts of which at least one part ran.
int attempts_run(const site& cluster, const std::string& job)
{
    constexpr int attempt_limit = 9;
    int count = 0;
    for (int attempt = 1; attempt < attempt_limit; ++attempt)
    {
        count += cluster.times_run("task", job + "/" + std::to_string(attempt)) > 0 ? 1 : 0;
    }
    return count;
}

std::int64_t now_ms()
{
    return core::boot_clock::now().time_since_epoch().count();
}

TEST_CASE("killing a worker and its agent leaves no partial gang running")
{
    site cluster({});
    cluster.configure();
    REQUIRE(cluster.wait_ready(ready_timeout));
    const auto job = cluster.submit(0, "volunteers", usual_job(3, 8, 3000));
    REQUIRE(job.ok());
    REQUIRE(site::wait_until([&] { return cluster.times_run("task", job->id() + "/1") == 3; },
                             job_timeout));
    const auto running = cluster.job(0, job->id());
    REQUIRE(running.ok());
    const int victim = follower_among(cluster, *running);
    REQUIRE(victim >= 0);
    cluster.upstream(victim).kill_now();
    cluster.agent(victim).kill_now();
    const std::map<int, std::int64_t> killed{{victim, now_ms()}};
    const std::string state = cluster.wait_job(job->id(), job_timeout);
    CHECK(compare_golden("gang-kill-worker",
                         "job ended: " + state + "\n" +
                             partial_run_report(longest_partial_run(cluster, 3, killed))) == "");
}

TEST_CASE("a non-idempotent gang is not retried after a worker is killed")
{
    site cluster(one_organisation_options());
    cluster.configure();
    REQUIRE(cluster.wait_ready(ready_timeout));
    auto request = usual_job(3, 8, 60'000);
    request.set_idempotent(false);
    request.mutable_per_task()->set_accelerators(2);
    request.mutable_per_task()->set_cores(17);
    const auto job = cluster.submit(0, "volunteers", request);
    REQUIRE(job.ok());
    REQUIRE(site::wait_until([&] { return cluster.times_run("task", job->id() + "/1") == 3; },
                             job_timeout));
    const auto running = cluster.job(0, job->id());
    const int victim = follower_among(cluster, *running);
    REQUIRE(victim >= 0);
    cluster.upstream(victim).kill_now();
    cluster.agent(victim).kill_now();
    const std::map<int, std::int64_t> killed{{victim, now_ms()}};
    const std::string state = cluster.wait_job(job->id(), job_timeout);
    const int second_attempt_parts = cluster.times_run("task", job->id() + "/2");
    CHECK(compare_golden("gang-not-idempotent",
                         "job ended: " + state + "\nparts of a second attempt: " +
                             std::to_string(second_attempt_parts) + "\n" +
                             partial_run_report(longest_partial_run(cluster, 3, killed))) == "");
}

TEST_CASE("killing the leader during a gang's start neither duplicates nor splits the gang")
{
    // The steps of a start are a few ms apart; the delays place the kill in each of them.
    for (const int delay_ms : {0, 3, 6, 10, 20, 60, 250})
    {
        site cluster(one_organisation_options());
        cluster.configure();
        REQUIRE(cluster.wait_ready(ready_timeout));
        auto request = usual_job(4, 2, 1500);
        request.set_idempotent(false);
        // One task per worker, so that the leader's worker runs a part too.
        request.mutable_per_task()->set_cores(17);
        request.mutable_per_task()->set_accelerators(2);
        const int leader = cluster.leader_index();
        REQUIRE(leader >= 0);
        // Delays the store's responses, so that the kill can also hit the commit.
        cluster.platform_fault("delay_ms", "4");
        const auto job = cluster.submit(0, "volunteers", request);
        REQUIRE(job.ok());
        std::this_thread::sleep_for(std::chrono::milliseconds(delay_ms));
        cluster.agent(leader).kill_now();
        cluster.agent(leader).restart();
        cluster.platform_fault("delay_ms", "0");
        const std::string state = cluster.wait_job(job->id(), job_timeout);
        const bool consistent = state == "succeeded" || state == "unknown";
        const int attempts = attempts_run(cluster, job->id());
        INFO("delay ", delay_ms, " state ", state, " attempts ", attempts);
        CHECK(compare_golden("gang-kill-lead",
                             std::string("job ended truthfully: ") + (consistent ? "yes" : "no") +
                                 "\nattempts that ran beyond one: " +
                                 std::to_string(std::max(0, attempts - 1)) + "\n" +
                                 partial_run_report(longest_partial_run(cluster, 4, {}))) == "");
    }
}

TEST_CASE("a gang starts once when the store loses responses or writes or is down")
{
    for (const std::string fault : {"lose_answers", "lose_writes", "down"})
    {
        site cluster(one_organisation_options());
        cluster.configure();
        REQUIRE(cluster.wait_ready(ready_timeout));
        auto request = usual_job(3, 2, 500);
        request.set_idempotent(false);
        request.mutable_per_task()->set_cores(17);
        const auto job = cluster.submit(0, "volunteers", request);
        REQUIRE(job.ok());
        cluster.platform_fault("prefix", "job");
        cluster.platform_fault(fault, "2");
        std::this_thread::sleep_for(std::chrono::milliseconds(1500));
        cluster.platform_fault(fault, "0");
        const std::string state = cluster.wait_job(job->id(), job_timeout);
        const int attempts = attempts_run(cluster, job->id());
        INFO(fault);
        CHECK(compare_golden("gang-store-fault",
                             "job ended: " + state +
                                 "\nattempts that ran: " + std::to_string(attempts) + "\n" +
                                 partial_run_report(longest_partial_run(cluster, 3, {}))) == "");
    }
}

TEST_CASE("a leader that resumes after its lease expired does not start a second attempt")
{
    site cluster(one_organisation_options());
    cluster.configure();
    REQUIRE(cluster.wait_ready(ready_timeout));
    auto request = usual_job(4, 2, 6000);
    request.set_idempotent(false);
    request.mutable_per_task()->set_cores(17);
    const auto job = cluster.submit(0, "volunteers", request);
    REQUIRE(job.ok());
    REQUIRE(site::wait_until([&] { return cluster.times_run("task", job->id() + "/1") == 4; },
                             job_timeout));
    const int leader = cluster.leader_index();
    cluster.agent(leader).signal(SIGSTOP);
    const bool replaced =
        site::wait_until([&] { return cluster.leader_index() != leader; }, job_timeout);
    cluster.agent(leader).signal(SIGCONT);
    const std::string state = cluster.wait_job(job->id(), job_timeout);
    const bool consistent = state == "succeeded" || state == "unknown";
    CHECK(compare_golden("gang-freeze-lead",
                         std::string("lead replaced: ") + (replaced ? "yes" : "no") +
                             "\njob ended truthfully: " + (consistent ? "yes" : "no") +
                             "\nparts of a second attempt: " +
                             std::to_string(cluster.times_run("task", job->id() + "/2")) + "\n" +
                             partial_run_report(longest_partial_run(cluster, 4, {}))) == "");
}

TEST_CASE(
    "guaranteed capacity is reclaimed from borrowers within 5.2 s, also across a leader change")
{
    constexpr std::int64_t urgent_bound_ms = 5200;
    for (const std::string fault : {"none", "kill-lead", "store-answers"})
    {
        site cluster({});
        cluster.configure();
        REQUIRE(cluster.wait_ready(ready_timeout));
        std::vector<std::string> borrowers;
        for (int number = 0; number < 4; ++number)
        {
            const auto job = cluster.submit(0, "volunteers", usual_job(1, 8, 120'000));
            REQUIRE(job.ok());
            borrowers.push_back(job->id());
        }
        for (const std::string& id : borrowers)
        {
            REQUIRE(cluster.wait_state(id, "committed", job_timeout));
        }
        auto urgent = usual_job(2, 4, 300);
        urgent.set_class_("urgent");
        urgent.set_within("rack");
        urgent.set_idempotent(false);
        if (fault == "store-answers")
        {
            cluster.platform_fault("prefix", "job");
            cluster.platform_fault("lose_answers", "1");
        }
        const int leader = cluster.leader_index();
        const std::int64_t requested_at = now_ms();
        const auto job = cluster.submit(0, "families", urgent);
        REQUIRE(job.ok());
        if (fault == "kill-lead")
        {
            cluster.agent(leader).kill_now();
            cluster.agent(leader).restart();
        }
        const std::string state = cluster.wait_job(job->id(), job_timeout);
        std::int64_t started_at = 0;
        for (const recorded_run& run : cluster.runs())
        {
            started_at =
                run.event == "task" && run.name.starts_with(job->id()) ? run.at_ms : started_at;
        }
        INFO(fault, " started after ", started_at - requested_at, " ms");
        const bool in_time = started_at > 0 && started_at - requested_at <= urgent_bound_ms;
        CHECK(compare_golden("reclaim", "guaranteed job ended: " + state +
                                            "\nstarted within 5.2 s: " + (in_time ? "yes" : "no") +
                                            "\n") == "");
    }
}

} // namespace
