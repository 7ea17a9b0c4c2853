#include "support/golden.hpp"
#include "support/load.hpp"
#include "support/site.hpp"

#include <doctest/doctest.h>
#include <thread>

/// Process sessions about links that are cut or slow, and about planned changes of lead.
namespace
{

using namespace chicorylift;
using testing::compare_golden;
using testing::site;
using testing::site_options;
using testing::usual_job;

constexpr core::milliseconds ready_patience{15'000};
constexpr core::milliseconds job_patience{30'000};
// Long enough for the lead to take the silent member as lost if it asked nobody.
constexpr std::chrono::milliseconds cut_length{1500};

site_options with_relays()
{
    site_options options;
    options.organisations = {"volunteers"};
    options.relays = true;
    return options;
}

/// Starts a firm gang with one part on each worker.
std::string start_gang(const site& place, std::uint32_t run_ms)
{
    auto request = usual_job(4, 2, run_ms);
    request.set_idempotent(false);
    request.mutable_per_task()->set_cores(17);
    const auto job = place.submit(0, "volunteers", request);
    REQUIRE(job.ok());
    REQUIRE(site::wait_until([&] { return place.times_run("task", job->id() + "/1") == 4; },
                             job_patience));
    return job->id();
}

TEST_CASE("a gang outlives a cut of all links to its lead")
{
    site place(with_relays());
    place.configure();
    REQUIRE(place.wait_ready(ready_patience));
    const int lead = place.leader_index();
    const std::string job = start_gang(place, 6000);
    // The lead hears nobody, but its own messages arrive.
    place.link_to_agent(lead).set_cut(true);
    std::this_thread::sleep_for(cut_length);
    place.link_to_agent(lead).set_cut(false);
    const std::string state = place.wait_job(job, job_patience);
    const bool truthful = state == "succeeded" || state == "unknown";
    CHECK(compare_golden("links-lead-deaf",
                         std::string("job ended truthfully: ") + (truthful ? "yes" : "no") +
                             "\nparts of a second attempt: " +
                             std::to_string(place.times_run("task", job + "/2")) + "\n") == "");
}

TEST_CASE("slow links delay work and break none")
{
    constexpr int delay_ms = 30;
    site place(with_relays());
    place.configure();
    REQUIRE(place.wait_ready(ready_patience));
    for (int index = 0; index < place.worker_count(); ++index)
    {
        place.link_to_agent(index).set_delay_ms(delay_ms);
    }
    testing::call_load load(place, 4, 40, "slow");
    const std::string job = start_gang(place, 500);
    const auto outcomes = load.finish();
    int unanswered = 0;
    for (const testing::call_outcome& outcome : outcomes)
    {
        // Odd callers belong to an organisation without a contract here.
        const bool has_contract =
            outcome.body.find("slow-0") == 0 || outcome.body.find("slow-2") == 0;
        unanswered += has_contract && !outcome.answered ? 1 : 0;
    }
    CHECK(compare_golden("links-slow",
                         to_transcript(testing::count_violations(place, outcomes)) +
                             "calls without an answer: " + std::to_string(unanswered) +
                             "\njob ended: " + place.wait_job(job, job_patience) + "\n") == "");
}

TEST_CASE("a planned stop of the lead hands the cell over and cuts no gang")
{
    site place(with_relays());
    place.configure();
    REQUIRE(place.wait_ready(ready_patience));
    const std::string job = start_gang(place, 4000);
    const int lead = place.leader_index();
    const int code = place.agent(lead).stop();
    place.agent(lead).restart();
    const bool replaced = site::wait_until(
        [&] { return place.leader_index() >= 0 && place.leader_index() != lead; }, job_patience);
    CHECK(compare_golden("links-planned-lead",
                         "exit code: " + std::to_string(code) +
                             "\nlead replaced: " + (replaced ? "yes" : "no") + "\njob ended: " +
                             place.wait_job(job, job_patience) + "\nparts of a second attempt: " +
                             std::to_string(place.times_run("task", job + "/2")) + "\n") == "");
}

TEST_CASE("a member that its lead cannot reach directly keeps its gang")
{
    site place(with_relays());
    place.configure();
    REQUIRE(place.wait_ready(ready_patience));
    const std::string job = start_gang(place, 5000);
    const int lead = place.leader_index();
    const int member = lead == 0 ? 1 : 0;
    // Nothing reaches the member; its heartbeats still arrive at the lead.
    place.link_to_agent(member).set_cut(true);
    std::this_thread::sleep_for(std::chrono::milliseconds(600));
    place.link_to_agent(member).set_cut(false);
    CHECK(compare_golden("links-member-deaf",
                         "job ended: " + place.wait_job(job, job_patience) +
                             "\nparts of a second attempt: " +
                             std::to_string(place.times_run("task", job + "/2")) + "\n") == "");
}

TEST_CASE("a member whose link to its lead alone is cut keeps its gang")
{
    site place(with_relays());
    place.configure();
    REQUIRE(place.wait_ready(ready_patience));
    const std::string job = start_gang(place, 5000);
    const int lead = place.leader_index();
    const int member = lead == 0 ? 1 : 0;
    place.link_to_agent(lead).set_cut_from(place.agent(member).id());
    std::this_thread::sleep_for(2 * cut_length);
    place.link_to_agent(lead).set_cut_from(0);
    const std::string state = place.wait_job(job, job_patience);
    const bool asked = place.agent(lead).output().find("worker reached through another member") !=
                       std::string::npos;
    CHECK(compare_golden("links-member-mute",
                         "job ended: " + state + "\nparts of a second attempt: " +
                             std::to_string(place.times_run("task", job + "/2")) +
                             "\nworker reached through another member: " + (asked ? "yes" : "no") +
                             "\n") == "");
}

TEST_CASE("killed agents come back as live members, whoever leads")
{
    site place({});
    place.configure();
    REQUIRE(place.wait_ready(ready_patience));
    int missing = 0;
    int not_replaced = 0;
    for (int round = 0; round < 3; ++round)
    {
        const int lead = place.leader_index();
        place.agent(lead).kill_now();
        not_replaced +=
            site::wait_until([&] { return place.leader_index() != lead; }, ready_patience) ? 0 : 1;
        place.agent(lead).restart();
        missing += place.wait_ready(ready_patience) ? 0 : 1;
    }
    CHECK(compare_golden("links-members-return",
                         "leads not replaced: " + std::to_string(not_replaced) +
                             "\nkilled agents that did not come back: " + std::to_string(missing) +
                             "\n") == "");
}

} // namespace
