#include "ctl/evacuations.hpp"
#include "ctl/trace.hpp"
#include "support/events.hpp"

#include <doctest/doctest.h>
#include <fstream>
#include <iterator>
#include <sstream>

/// Tests of the event log's format and list of kinds, and of chicoryctl trace.
namespace
{

using namespace chicorylift;
namespace events = support::events;

TEST_CASE("values with quotes, backslashes and line breaks are escaped in a log line")
{
    CHECK(events::to_line("t", "p", "i", "job_accepted",
                          {{"job", "a\"b\\c\n"}, {"tries", std::int64_t{2}}}) ==
          "{\"time\":\"t\",\"process\":\"p\",\"incarnation\":\"i\",\"event\":\"job_accepted\","
          "\"job\":\"a\\\"b\\\\c\\u000a\",\"tries\":2}");
}

TEST_CASE("every kind of event is documented in OPERATIONS.md")
{
    std::ifstream page(std::string(CHICORYLIFT_DOCS) + "/OPERATIONS.md");
    const std::string text{std::istreambuf_iterator<char>(page), {}};
    for (const events::event_kind& kind : events::event_kinds())
    {
        CAPTURE(std::string(kind.name));
        CHECK(text.find("`" + std::string(kind.name) + "`") != std::string::npos);
        CHECK(kind.max_lines_per_second > 0);
    }
}

TEST_CASE("a trace merges the lines of several processes by time, with context events between them")
{
    std::istringstream entry(
        R"({"time":"10:00:03","process":"entry","event":"job_shown","job":"j1","state":2})"
        "\n"
        R"(  1.5 entry {"time":"10:00:01","process":"entry","event":"job_accepted","job":"j1"})"
        "\n"
        R"({"time":"10:00:01","process":"entry","event":"job_accepted","job":"j2"})"
        "\nnot a log line\n");
    std::istringstream agent(
        R"({"time":"10:00:02","process":"agent","event":"run_started","unit":"j1.0.0.0"})"
        "\n"
        R"({"time":"10:00:00","process":"agent","event":"lead_taken","epoch":1})"
        "\n"
        R"({"time":"10:00:02","process":"agent","event":"store_lost","at":"lead"})"
        "\n");
    ctl::trace job_trace("j1");
    job_trace.read(entry);
    job_trace.read(agent);
    std::ostringstream out;
    CHECK(job_trace.print(out) == 3);
    CHECK(out.str() == "10:00:01  entry  job_accepted  \"job\":\"j1\"\n"
                       "10:00:02  agent  run_started  \"unit\":\"j1.0.0.0\"\n"
                       "10:00:02  . agent  store_lost  \"at\":\"lead\"\n"
                       "10:00:03  entry  job_shown  \"job\":\"j1\",\"state\":2\n");
}

// An operator switches a zone off by this output: the state of a replaced leader must not stand for
// the present one.
TEST_CASE("the state of an evacuated zone is the newest of the leader in force")
{
    const std::string state =
        R"({"time":"10:00:05","process":"agent-1","event":"evacuation_state","zone":"a",)"
        R"("row_version":9,"epoch":2,"workers":3,"running_units":0,"unconfirmed_starts":0,)"
        R"("unpersisted_ends":0,"unread_workers":0,"unknown_workers":0,"expected_ms":0,)"
        R"("leader_in_zone":"no","may_switch_off":"yes"})"
        "\n";
    const std::string others =
        R"({"time":"10:00:04","process":"agent-1","event":"evacuation_begun","zone":"a",)"
        R"("row_version":9,"epoch":2})"
        "\n"
        R"({"time":"10:00:09","process":"agent-0","event":"evacuation_state","zone":"a",)"
        R"("row_version":9,"epoch":1,"running_units":4,"may_switch_off":"no"})"
        "\n"
        R"({"time":"10:00:08","process":"agent-1","event":"evacuation_ended","zone":"b",)"
        R"("row_version":12,"epoch":2})"
        "\n";
    ctl::evacuation_report report;
    std::istringstream log(others + state);
    report.read(log);
    std::ostringstream out;
    CHECK(report.print(out) == 2);
    CHECK(out.str().starts_with("10:00:05  a  row 9  may be switched off: yes  running units 0,"));
    CHECK(out.str().find("b  row 12  restored to service\n") != std::string::npos);
    std::istringstream later(
        R"({"time":"10:00:10","process":"agent-2","event":"lead_taken","epoch":3})");
    report.read(later);
    std::ostringstream unknown;
    CHECK(report.print(unknown) == 2);
    CHECK(unknown.str().find("switched off: yes") == std::string::npos);
    CHECK(unknown.str().find("not known: the leader of epoch 3") != std::string::npos);
}

TEST_CASE("a trace of an unknown id prints nothing")
{
    ctl::trace job_trace("nobody");
    std::istringstream log(R"({"time":"t","process":"p","event":"lead_taken","epoch":1})");
    job_trace.read(log);
    std::ostringstream out;
    CHECK(job_trace.print(out) == 0);
    CHECK(out.str().empty());
}

} // namespace
