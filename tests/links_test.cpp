#include "support/golden.hpp"
#include "support/load.hpp"
#include "support/site.hpp"

#include <doctest/doctest.h>
#include <thread>

/// Process tests of cut and slow network links, and of planned and forced leader changes.
namespace
{

using namespace chicorylift;
using testing::compare_golden;
using testing::site;
using testing::site_options;
using testing::usual_job;

constexpr core::milliseconds ready_timeout{15'000};
constexpr core::milliseconds job_timeout{30'000};
// Long enough for the leader to consider a silent member lost if it did not ask other members.
constexpr std::chrono::milliseconds cut_duration{1500};

site_options relay_options()
{
    site_options options;
    options.organisations = {"volunteers"};
    options.relays = true;
    return options;
}

/// Starts a non-idempotent gang with one part on each worker and waits until all parts run.
/// @return the job's id.
std::string start_gang(const site& cluster, std::uint32_t run_ms)
{
    auto request = usual_job(4, 2, run_ms);
    request.set_idempotent(false);
    request.mutable_per_task()->set_cores(17);
    const auto job = cluster.submit(0, "volunteers", request);
    REQUIRE(job.ok());
    REQUIRE(site::wait_until([&] { return cluster.times_run("task", job->id() + "/1") == 4; },
                             job_timeout));
    return job->id();
}

TEST_CASE("cutting all links to the leader does not start a second attempt")
{
    site cluster(relay_options());
    cluster.configure();
    REQUIRE(cluster.wait_ready(ready_timeout));
    const int leader = cluster.leader_index();
    const std::string job = start_gang(cluster, 6000);
    // The leader receives nothing, but the messages that it sends arrive.
    cluster.link_to_agent(leader).set_cut(true);
    std::this_thread::sleep_for(cut_duration);
    cluster.link_to_agent(leader).set_cut(false);
    const std::string state = cluster.wait_job(job, job_timeout);
    const bool consistent = state == "succeeded" || state == "unknown";
    CHECK(compare_golden("links-lead-deaf",
                         std::string("job ended truthfully: ") + (consistent ? "yes" : "no") +
                             "\nparts of a second attempt: " +
                             std::to_string(cluster.times_run("task", job + "/2")) + "\n") == "");
}

TEST_CASE("slow links fail no call and no gang")
{
    constexpr int delay_ms = 30;
    site cluster(relay_options());
    cluster.configure();
    REQUIRE(cluster.wait_ready(ready_timeout));
    for (int index = 0; index < cluster.worker_count(); ++index)
    {
        cluster.link_to_agent(index).set_delay_ms(delay_ms);
    }
    testing::call_load load(cluster, 4, 40, "slow");
    const std::string job = start_gang(cluster, 500);
    const auto outcomes = load.finish();
    int unanswered = 0;
    for (const testing::call_outcome& outcome : outcomes)
    {
        // Callers with odd numbers belong to an organisation that has no contract in this test.
        const bool has_contract =
            outcome.body.find("slow-0") == 0 || outcome.body.find("slow-2") == 0;
        unanswered += has_contract && !outcome.answered ? 1 : 0;
    }
    CHECK(compare_golden("links-slow",
                         to_transcript(testing::count_violations(cluster, outcomes)) +
                             "calls without an answer: " + std::to_string(unanswered) +
                             "\njob ended: " + cluster.wait_job(job, job_timeout) + "\n") == "");
}

TEST_CASE("a graceful stop of the leader hands the cell over without restarting a gang")
{
    site cluster(relay_options());
    cluster.configure();
    REQUIRE(cluster.wait_ready(ready_timeout));
    const std::string job = start_gang(cluster, 4000);
    const int leader = cluster.leader_index();
    const int code = cluster.agent(leader).stop();
    cluster.agent(leader).restart();
    const bool replaced = site::wait_until(
        [&] { return cluster.leader_index() >= 0 && cluster.leader_index() != leader; },
        job_timeout);
    CHECK(compare_golden("links-planned-lead",
                         "exit code: " + std::to_string(code) +
                             "\nlead replaced: " + (replaced ? "yes" : "no") + "\njob ended: " +
                             cluster.wait_job(job, job_timeout) + "\nparts of a second attempt: " +
                             std::to_string(cluster.times_run("task", job + "/2")) + "\n") == "");
}

TEST_CASE("a member that receives no messages for 600 ms keeps its gang")
{
    site cluster(relay_options());
    cluster.configure();
    REQUIRE(cluster.wait_ready(ready_timeout));
    const std::string job = start_gang(cluster, 5000);
    const int leader = cluster.leader_index();
    const int member = leader == 0 ? 1 : 0;
    // The member receives nothing; its heartbeats still arrive at the leader.
    cluster.link_to_agent(member).set_cut(true);
    std::this_thread::sleep_for(std::chrono::milliseconds(600));
    cluster.link_to_agent(member).set_cut(false);
    CHECK(compare_golden("links-member-deaf",
                         "job ended: " + cluster.wait_job(job, job_timeout) +
                             "\nparts of a second attempt: " +
                             std::to_string(cluster.times_run("task", job + "/2")) + "\n") == "");
}

TEST_CASE("a member whose messages to the leader alone are lost keeps its gang")
{
    site cluster(relay_options());
    cluster.configure();
    REQUIRE(cluster.wait_ready(ready_timeout));
    const std::string job = start_gang(cluster, 5000);
    const int leader = cluster.leader_index();
    const int member = leader == 0 ? 1 : 0;
    cluster.link_to_agent(leader).set_cut_from(cluster.agent(member).id());
    std::this_thread::sleep_for(2 * cut_duration);
    cluster.link_to_agent(leader).set_cut_from(0);
    const std::string state = cluster.wait_job(job, job_timeout);
    const bool requested_at = cluster.agent(leader).output().find(
                                  "worker reached through another member") != std::string::npos;
    CHECK(compare_golden("links-member-mute",
                         "job ended: " + state + "\nparts of a second attempt: " +
                             std::to_string(cluster.times_run("task", job + "/2")) +
                             "\nworker reached through another member: " +
                             (requested_at ? "yes" : "no") + "\n") == "");
}

TEST_CASE("killed leaders are replaced and rejoin as members after a restart")
{
    site cluster({});
    cluster.configure();
    REQUIRE(cluster.wait_ready(ready_timeout));
    int missing = 0;
    int not_replaced = 0;
    for (int round = 0; round < 3; ++round)
    {
        const int leader = cluster.leader_index();
        cluster.agent(leader).kill_now();
        not_replaced +=
            site::wait_until([&] { return cluster.leader_index() != leader; }, ready_timeout) ? 0
                                                                                              : 1;
        cluster.agent(leader).restart();
        missing += cluster.wait_ready(ready_timeout) ? 0 : 1;
    }
    CHECK(compare_golden("links-members-return",
                         "leads not replaced: " + std::to_string(not_replaced) +
                             "\nkilled agents that did not come back: " + std::to_string(missing) +
                             "\n") == "");
}

} // namespace
