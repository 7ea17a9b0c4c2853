#include "support/golden.hpp"
#include "support/site.hpp"

#include <doctest/doctest.h>
#include <sstream>
#include <thread>

/// Process tests of configuration changes: they reach every process within 7 s, and no process
/// returns to an older version.
namespace
{

using namespace chicorylift;
using testing::compare_golden;
using testing::site;
using testing::site_options;

constexpr core::milliseconds ready_timeout{15'000};
constexpr core::milliseconds propagation_timeout{7000};
constexpr int status_conflict = 409;

/// @return how often a process logged a version that is not above the previous one, counted
/// separately for each incarnation.
int count_version_regressions(const std::string& log)
{
    int regressions = 0;
    long previous_version = 0;
    std::istringstream lines(log);
    std::string line;
    while (std::getline(lines, line))
    {
        // First line of an incarnation; "ready" may be logged after the first configuration.
        if (line.find("\"message\":\"starting\"") != std::string::npos)
        {
            previous_version = 0;
        }
        // A leader keeps a second copy of the configuration in the agent's process.
        if (line.find("\"message\":\"configuration in force\"") == std::string::npos ||
            line.find("\"component\":\"lead\"") != std::string::npos)
        {
            continue;
        }
        const std::string name = "\"version\":\"";
        const long version = std::stol(line.substr(line.find(name) + name.size()));
        regressions += version <= previous_version ? 1 : 0;
        previous_version = version;
    }
    return regressions;
}

int count_all_version_regressions(site& cluster)
{
    int regressions = 0;
    for (int index = 0; index < cluster.worker_count(); ++index)
    {
        regressions += count_version_regressions(cluster.agent(index).output());
    }
    return regressions + count_version_regressions(cluster.entry(0).output()) +
           count_version_regressions(cluster.entry(1).output());
}

TEST_CASE("of two concurrent preset switches one succeeds, and a rejected one gets a conflict")
{
    constexpr int rounds = 10;
    site cluster({});
    cluster.configure();
    REQUIRE(cluster.wait_ready(ready_timeout));
    int both_refused = 0;
    int wrong_status = 0;
    int late_switches = 0;
    for (int round = 0; round < rounds; ++round)
    {
        int first = 0;
        int second = 0;
        std::thread second_operator(
            [&]
            {
                const auto answer = cluster.use_preset(1, "maintenance", "bela");
                second = answer.ok() ? answer->status : 0;
            });
        const auto answer = cluster.use_preset(0, "peak", "anna");
        first = answer.ok() ? answer->status : 0;
        second_operator.join();
        both_refused += first != 200 && second != 200 ? 1 : 0;
        wrong_status += (first != 200 && first != status_conflict) ||
                                (second != 200 && second != status_conflict)
                            ? 1
                            : 0;
        late_switches += cluster.wait_ready(propagation_timeout) ? 0 : 1;
    }
    CHECK(compare_golden("config-race",
                         "races that both lost: " + std::to_string(both_refused) +
                             "\noperators not told the truth: " + std::to_string(wrong_status) +
                             "\nswitches not in force everywhere within 7 s: " +
                             std::to_string(late_switches) + "\nversions that went back: " +
                             std::to_string(count_all_version_regressions(cluster)) + "\n") == "");
}

TEST_CASE("a preset switch takes effect everywhere when a leader or an entry is killed")
{
    for (const bool kill_leader : {true, false})
    {
        site cluster({});
        cluster.configure();
        REQUIRE(cluster.wait_ready(ready_timeout));
        const int leader = cluster.leader_index();
        const auto answer = cluster.use_preset(0, "peak", "anna");
        REQUIRE(answer.ok());
        testing::process& victim = kill_leader ? cluster.agent(leader) : cluster.entry(0);
        victim.kill_now();
        victim.restart();
        const bool in_force = cluster.wait_ready(propagation_timeout);
        CHECK(compare_golden("config-kill",
                             std::string("in force everywhere within 7 s: ") +
                                 (in_force ? "yes" : "no") + "\nversions that went back: " +
                                 std::to_string(count_all_version_regressions(cluster)) + "\n") ==
              "");
    }
}

TEST_CASE("a preset switch whose store response is lost is not applied twice")
{
    site cluster({});
    cluster.configure();
    REQUIRE(cluster.wait_ready(ready_timeout));
    const auto before = cluster.status(0);
    REQUIRE(before.ok());
    cluster.platform_fault("prefix", "config");
    cluster.platform_fault("lose_answers", "1");
    const auto answer = cluster.use_preset(0, "peak", "anna");
    REQUIRE(answer.ok());
    const bool in_force = cluster.wait_ready(propagation_timeout);
    const auto after = cluster.status(1);
    REQUIRE(after.ok());
    CHECK(compare_golden("config-lost-answer",
                         "answer: " + std::to_string(answer->status) + "\nversions made: " +
                             std::to_string(after->config_version() - before->config_version()) +
                             "\nin force everywhere within 7 s: " + (in_force ? "yes" : "no") +
                             "\nversions that went back: " +
                             std::to_string(count_all_version_regressions(cluster)) + "\n") == "");
}

TEST_CASE("a contract that the cell cannot satisfy is rejected with the shape's name")
{
    site_options options;
    options.workers = 1;
    options.organisations = {"volunteers"};
    const site cluster(options);
    cluster.configure();
    REQUIRE(cluster.wait_ready(ready_timeout));
    const auto answer = cluster.request(
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
