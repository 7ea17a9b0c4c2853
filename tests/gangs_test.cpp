#include "support/golden.hpp"
#include "support/site.hpp"

#include <algorithm>
#include <csignal>
#include <doctest/doctest.h>
#include <map>
#include <thread>

/// Process sessions about gangs: whole starts, whole stops, reclaiming, at most once.
namespace
{

using namespace chicorylift;
using testing::compare_golden;
using testing::recorded_run;
using testing::site;
using testing::site_options;
using testing::usual_job;

constexpr core::milliseconds ready_patience{15'000};
constexpr core::milliseconds job_patience{30'000};
// A part stops at the latest when its lease lapses and its worker is asked: 2 s and a margin.
constexpr std::int64_t stop_bound_ms = 4000;

struct part_run
{
    int worker{};
    std::int64_t begun{};
    std::int64_t ended = -1;
    bool by_itself = false;
};

/// @return the longest time that some part of an attempt ran while another did not, in ms.
///
/// Counted from the workers' own records. A part that has come to its natural end counts as
/// whole; a worker that was killed stops running at @p killed_at.
std::int64_t longest_partial_run(const site& place, std::size_t gang_size,
                                 const std::map<int, std::int64_t>& killed_at)
{
    std::map<std::string, std::vector<part_run>> attempts;
    for (const recorded_run& run : place.runs())
    {
        std::vector<part_run>& parts = attempts[run.name];
        if (run.event == "task")
        {
            parts.push_back({run.worker, run.at_ms, -1, false});
        }
        for (part_run& known : parts)
        {
            if (run.event == "end" && known.worker == run.worker)
            {
                known.ended = run.at_ms;
                known.by_itself = run.detail == "succeeded";
            }
        }
    }
    std::int64_t longest = 0;
    const std::int64_t now = core::boot_clock::now().time_since_epoch().count();
    for (auto& [name, parts] : attempts)
    {
        std::int64_t whole_from = 0;
        std::int64_t whole_until = now;
        std::int64_t first = now;
        std::int64_t last = 0;
        for (part_run& known : parts)
        {
            const auto killed = killed_at.find(known.worker);
            if (known.ended < 0)
            {
                known.ended = killed != killed_at.end() ? killed->second : now;
            }
            whole_from = std::max(whole_from, known.begun);
            whole_until = known.by_itself ? whole_until : std::min(whole_until, known.ended);
            first = std::min(first, known.begun);
            last = std::max(last, known.ended);
        }
        if (parts.size() < gang_size)
        {
            longest = std::max(longest, last - first);
            continue;
        }
        longest = std::max({longest, whole_from - first, last - whole_until});
    }
    return longest;
}

std::string bounded(std::int64_t partial_ms)
{
    return partial_ms <= stop_bound_ms
               ? "parts of a gang running without the rest beyond the stop bound: 0\n"
               : "a part ran without the rest for " + std::to_string(partial_ms) + " ms\n";
}

/// A site whose one organisation may fill every worker with work that cannot be stopped.
site_options one_organisation()
{
    site_options options;
    options.organisations = {"volunteers"};
    return options;
}

/// @return a worker of the job other than the lead's, which has sessions of its own, or -1.
int follower_among(const site& place, const wire::job_document& job)
{
    const int lead = place.leader_index();
    int follower = -1;
    for (const auto& placed : job.placement())
    {
        const int index = placed.worker().back() - '0';
        follower = index == lead ? follower : index;
    }
    return follower;
}

/// @return the number of the job's attempts of which some part has run.
int attempts_run(const site& place, const std::string& job)
{
    constexpr int most_attempts = 9;
    int count = 0;
    for (int attempt = 1; attempt < most_attempts; ++attempt)
    {
        count += place.times_run("task", job + "/" + std::to_string(attempt)) > 0 ? 1 : 0;
    }
    return count;
}

std::int64_t now_ms()
{
    return core::boot_clock::now().time_since_epoch().count();
}

TEST_CASE("a gang stops whole when a worker and its agent are killed, and runs again")
{
    site place({});
    place.configure();
    REQUIRE(place.wait_ready(ready_patience));
    const auto job = place.submit(0, "volunteers", usual_job(3, 8, 3000));
    REQUIRE(job.ok());
    REQUIRE(site::wait_until([&] { return place.times_run("task", job->id() + "/1") == 3; },
                             job_patience));
    const auto running = place.job(0, job->id());
    REQUIRE(running.ok());
    const int victim = follower_among(place, *running);
    REQUIRE(victim >= 0);
    place.upstream(victim).kill_now();
    place.agent(victim).kill_now();
    const std::map<int, std::int64_t> killed{{victim, now_ms()}};
    const std::string state = place.wait_job(job->id(), job_patience);
    CHECK(compare_golden("gang-kill-worker", "job ended: " + state + "\n" +
                                                 bounded(longest_partial_run(place, 3, killed))) ==
          "");
}

TEST_CASE("a gang that is not idempotent is not run again after a worker is killed")
{
    site place(one_organisation());
    place.configure();
    REQUIRE(place.wait_ready(ready_patience));
    auto request = usual_job(3, 8, 60'000);
    request.set_idempotent(false);
    request.mutable_per_task()->set_accelerators(2);
    request.mutable_per_task()->set_cores(17);
    const auto job = place.submit(0, "volunteers", request);
    REQUIRE(job.ok());
    REQUIRE(site::wait_until([&] { return place.times_run("task", job->id() + "/1") == 3; },
                             job_patience));
    const auto running = place.job(0, job->id());
    const int victim = follower_among(place, *running);
    REQUIRE(victim >= 0);
    place.upstream(victim).kill_now();
    place.agent(victim).kill_now();
    const std::map<int, std::int64_t> killed{{victim, now_ms()}};
    const std::string state = place.wait_job(job->id(), job_patience);
    const int again = place.times_run("task", job->id() + "/2");
    CHECK(compare_golden("gang-not-idempotent",
                         "job ended: " + state +
                             "\nparts of a second attempt: " + std::to_string(again) + "\n" +
                             bounded(longest_partial_run(place, 3, killed))) == "");
}

TEST_CASE("the lead is killed at each step of a gang's start")
{
    // The steps follow each other within a few ms; the delays spread the kill over all of them.
    for (const int delay_ms : {0, 3, 6, 10, 20, 60, 250})
    {
        site place(one_organisation());
        place.configure();
        REQUIRE(place.wait_ready(ready_patience));
        auto request = usual_job(4, 2, 1500);
        request.set_idempotent(false);
        // One task a worker, so that the lead's worker takes part too.
        request.mutable_per_task()->set_cores(17);
        request.mutable_per_task()->set_accelerators(2);
        const int lead = place.leader_index();
        REQUIRE(lead >= 0);
        // Freezes the store's answers a little, so that the commit takes its time.
        place.platform_fault("delay_ms", "4");
        const auto job = place.submit(0, "volunteers", request);
        REQUIRE(job.ok());
        std::this_thread::sleep_for(std::chrono::milliseconds(delay_ms));
        place.agent(lead).kill_now();
        place.agent(lead).restart();
        place.platform_fault("delay_ms", "0");
        const std::string state = place.wait_job(job->id(), job_patience);
        const bool truthful = state == "succeeded" || state == "unknown";
        const int attempts = attempts_run(place, job->id());
        INFO("delay ", delay_ms, " state ", state, " attempts ", attempts);
        CHECK(compare_golden("gang-kill-lead",
                             std::string("job ended truthfully: ") + (truthful ? "yes" : "no") +
                                 "\nattempts that ran beyond one: " +
                                 std::to_string(std::max(0, attempts - 1)) + "\n" +
                                 bounded(longest_partial_run(place, 4, {}))) == "");
    }
}

TEST_CASE("a gang starts once while the store loses answers or goes down")
{
    for (const std::string fault : {"lose_answers", "lose_writes", "down"})
    {
        site place(one_organisation());
        place.configure();
        REQUIRE(place.wait_ready(ready_patience));
        auto request = usual_job(3, 2, 500);
        request.set_idempotent(false);
        request.mutable_per_task()->set_cores(17);
        const auto job = place.submit(0, "volunteers", request);
        REQUIRE(job.ok());
        place.platform_fault("prefix", "job");
        place.platform_fault(fault, "2");
        std::this_thread::sleep_for(std::chrono::milliseconds(1500));
        place.platform_fault(fault, "0");
        const std::string state = place.wait_job(job->id(), job_patience);
        const int attempts = attempts_run(place, job->id());
        INFO(fault);
        CHECK(compare_golden("gang-store-fault",
                             "job ended: " + state +
                                 "\nattempts that ran: " + std::to_string(attempts) + "\n" +
                                 bounded(longest_partial_run(place, 3, {}))) == "");
    }
}

TEST_CASE("a lead frozen past its lease does nothing when it wakes")
{
    site place(one_organisation());
    place.configure();
    REQUIRE(place.wait_ready(ready_patience));
    auto request = usual_job(4, 2, 6000);
    request.set_idempotent(false);
    request.mutable_per_task()->set_cores(17);
    const auto job = place.submit(0, "volunteers", request);
    REQUIRE(job.ok());
    REQUIRE(site::wait_until([&] { return place.times_run("task", job->id() + "/1") == 4; },
                             job_patience));
    const int lead = place.leader_index();
    place.agent(lead).signal(SIGSTOP);
    const bool replaced =
        site::wait_until([&] { return place.leader_index() != lead; }, job_patience);
    place.agent(lead).signal(SIGCONT);
    const std::string state = place.wait_job(job->id(), job_patience);
    const bool truthful = state == "succeeded" || state == "unknown";
    CHECK(compare_golden("gang-freeze-lead",
                         std::string("lead replaced: ") + (replaced ? "yes" : "no") +
                             "\njob ended truthfully: " + (truthful ? "yes" : "no") +
                             "\nparts of a second attempt: " +
                             std::to_string(place.times_run("task", job->id() + "/2")) + "\n" +
                             bounded(longest_partial_run(place, 4, {}))) == "");
}

TEST_CASE("a guaranteed shape is reclaimed from borrowers, also across a change of lead")
{
    constexpr std::int64_t urgent_bound_ms = 5200;
    for (const std::string fault : {"none", "kill-lead", "store-answers"})
    {
        site place({});
        place.configure();
        REQUIRE(place.wait_ready(ready_patience));
        std::vector<std::string> borrowers;
        for (int number = 0; number < 4; ++number)
        {
            const auto job = place.submit(0, "volunteers", usual_job(1, 8, 120'000));
            REQUIRE(job.ok());
            borrowers.push_back(job->id());
        }
        for (const std::string& id : borrowers)
        {
            REQUIRE(place.wait_state(id, "committed", job_patience));
        }
        auto urgent = usual_job(2, 4, 300);
        urgent.set_class_("urgent");
        urgent.set_within("rack");
        urgent.set_idempotent(false);
        if (fault == "store-answers")
        {
            place.platform_fault("prefix", "job");
            place.platform_fault("lose_answers", "1");
        }
        const int lead = place.leader_index();
        const std::int64_t asked = now_ms();
        const auto job = place.submit(0, "families", urgent);
        REQUIRE(job.ok());
        if (fault == "kill-lead")
        {
            place.agent(lead).kill_now();
            place.agent(lead).restart();
        }
        const std::string state = place.wait_job(job->id(), job_patience);
        std::int64_t begun = 0;
        for (const recorded_run& run : place.runs())
        {
            begun = run.event == "task" && run.name.starts_with(job->id()) ? run.at_ms : begun;
        }
        INFO(fault, " started after ", begun - asked, " ms");
        const bool in_time = begun > 0 && begun - asked <= urgent_bound_ms;
        CHECK(compare_golden("reclaim", "guaranteed job ended: " + state +
                                            "\nstarted within 5.2 s: " + (in_time ? "yes" : "no") +
                                            "\n") == "");
    }
}

} // namespace
