#include "support/golden.hpp"
#include "support/site.hpp"

#include <doctest/doctest.h>
#include <sstream>
#include <thread>

/// Process sessions about configuration: in force everywhere within its bound, never going back.
namespace
{

using namespace chicorylift;
using testing::compare_golden;
using testing::site;
using testing::site_options;

constexpr core::milliseconds ready_patience{15'000};
constexpr core::milliseconds in_force_bound{7000};
constexpr int status_conflict = 409;

/// Counts versions in a process's log that are not above the one before, in each incarnation.
int versions_gone_back(const std::string& log)
{
    int back = 0;
    long last = 0;
    std::istringstream lines(log);
    std::string line;
    while (std::getline(lines, line))
    {
        // The first line of a process; its configuration may come before it is ready.
        if (line.find("\"message\":\"starting\"") != std::string::npos)
        {
            last = 0;
        }
        // A lead's copy of the configuration lives beside its agent's.
        if (line.find("\"message\":\"configuration in force\"") == std::string::npos ||
            line.find("\"component\":\"lead\"") != std::string::npos)
        {
            continue;
        }
        const std::string name = "\"version\":\"";
        const long version = std::stol(line.substr(line.find(name) + name.size()));
        back += version <= last ? 1 : 0;
        last = version;
    }
    return back;
}

int all_gone_back(site& place)
{
    int back = 0;
    for (int index = 0; index < place.worker_count(); ++index)
    {
        back += versions_gone_back(place.agent(index).output());
    }
    return back + versions_gone_back(place.entry(0).output()) +
           versions_gone_back(place.entry(1).output());
}

TEST_CASE("of two operators who race one wins and the other is told")
{
    constexpr int races = 10;
    site place({});
    place.configure();
    REQUIRE(place.wait_ready(ready_patience));
    int both_refused = 0;
    int untold = 0;
    int late = 0;
    for (int race = 0; race < races; ++race)
    {
        int first = 0;
        int second = 0;
        std::thread other(
            [&]
            {
                const auto answer = place.use_preset(1, "maintenance", "bela");
                second = answer.ok() ? answer->status : 0;
            });
        const auto answer = place.use_preset(0, "peak", "anna");
        first = answer.ok() ? answer->status : 0;
        other.join();
        both_refused += first != 200 && second != 200 ? 1 : 0;
        untold += (first != 200 && first != status_conflict) ||
                          (second != 200 && second != status_conflict)
                      ? 1
                      : 0;
        late += place.wait_ready(in_force_bound) ? 0 : 1;
    }
    CHECK(compare_golden("config-race",
                         "races that both lost: " + std::to_string(both_refused) +
                             "\noperators not told the truth: " + std::to_string(untold) +
                             "\nswitches not in force everywhere within 7 s: " +
                             std::to_string(late) + "\nversions that went back: " +
                             std::to_string(all_gone_back(place)) + "\n") == "");
}

TEST_CASE("a switch is in force everywhere although a lead or an entry is killed")
{
    for (const bool kill_lead : {true, false})
    {
        site place({});
        place.configure();
        REQUIRE(place.wait_ready(ready_patience));
        const int lead = place.leader_index();
        const auto answer = place.use_preset(0, "peak", "anna");
        REQUIRE(answer.ok());
        testing::process& victim = kill_lead ? place.agent(lead) : place.entry(0);
        victim.kill_now();
        victim.restart();
        const bool in_force = place.wait_ready(in_force_bound);
        CHECK(compare_golden("config-kill", std::string("in force everywhere within 7 s: ") +
                                                (in_force ? "yes" : "no") +
                                                "\nversions that went back: " +
                                                std::to_string(all_gone_back(place)) + "\n") == "");
    }
}

TEST_CASE("a switch whose answer the store loses is settled, not repeated blindly")
{
    site place({});
    place.configure();
    REQUIRE(place.wait_ready(ready_patience));
    const auto before = place.status(0);
    REQUIRE(before.ok());
    place.platform_fault("prefix", "config");
    place.platform_fault("lose_answers", "1");
    const auto answer = place.use_preset(0, "peak", "anna");
    REQUIRE(answer.ok());
    const bool in_force = place.wait_ready(in_force_bound);
    const auto after = place.status(1);
    REQUIRE(after.ok());
    CHECK(compare_golden("config-lost-answer",
                         "answer: " + std::to_string(answer->status) + "\nversions made: " +
                             std::to_string(after->config_version() - before->config_version()) +
                             "\nin force everywhere within 7 s: " + (in_force ? "yes" : "no") +
                             "\nversions that went back: " + std::to_string(all_gone_back(place)) +
                             "\n") == "");
}

TEST_CASE("a preset that cannot be kept is refused with what is missing")
{
    site_options options;
    options.workers = 1;
    options.organisations = {"volunteers"};
    const site place(options);
    place.configure();
    REQUIRE(place.wait_ready(ready_patience));
    const auto answer = place.request(
        0, site::operator_token, "PUT", "/v1/config/contracts",
        R"({"organisation":"volunteers","guarantees":[{"name":"press","tasks":5,"unit":"crate",
            "units_per_task":2,"within":"rack"}],"limit_unit":"crate","limit_units":1000,
            "calls_per_second":10})");
    REQUIRE(answer.ok());
    CHECK(answer->status == 422);
    CHECK(answer->body.find("organisation \\\"volunteers\\\": shape \\\"press\\\"") !=
          std::string::npos);
}

} // namespace
