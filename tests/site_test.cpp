#include "net/http_client.hpp"
#include "site/job_view.hpp"
#include "site/row_codec.hpp"
#include "support/batch_site.hpp"
#include "wire/batch.pb.h"

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <algorithm>
#include <array>
#include <csignal>
#include <doctest/doctest.h>
#include <fstream>
#include <limits>
#include <sstream>
#include <thread>
#include <unistd.h>

/// Process tests of the batch service: real entries and agents against a simulated store and
/// simulated workers.
namespace
{

using namespace chicorylift;
using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::batch_site;
using testing::job_body;
using testing::worker_records;

std::string job_name(int number)
{
    std::string text = std::to_string(number);
    return std::string(16 - text.size(), '0') + text;
}

bool is_serving(const batch_site& site, int entry = 0)
{
    return batch_site::wait_for([&] { return site.call(entry, "GET", "").status == 200; }) &&
           batch_site::wait_for([&] { return site.leader() >= 0; });
}

void check_units_ran_once(batch_site& site, int units)
{
    const worker_records records = site.workers().records();
    for (const std::string& violation : records.violations)
    {
        FAIL_CHECK(violation);
    }
    CHECK(static_cast<int>(records.done.size()) == units);
}

int ready_status(const batch_site& site)
{
    net::client_request probe;
    probe.address = site.ready(0);
    probe.path = "/v1/ready";
    const auto answer = net::send_request(probe);
    return answer.ok() ? answer->status : 0;
}

/// @return the bytes that an entry sends until it closes the connection; ends in "still open" if
/// nothing arrives for 3 s.
std::string read_to_end(const batch_site& site, const std::string& request)
{
    Poco::Net::StreamSocket connection{Poco::Net::SocketAddress(site.front(0))};
    connection.setReceiveTimeout(Poco::Timespan(3, 0));
    connection.sendBytes(request.data(), static_cast<int>(request.size()));
    std::string text;
    std::array<char, 1024> buffer{};
    try
    {
        for (int received = 1; received > 0;)
        {
            received = connection.receiveBytes(buffer.data(), buffer.size());
            text.append(buffer.data(), static_cast<std::size_t>(std::max(0, received)));
        }
    }
    catch (const Poco::TimeoutException&)
    {
        text += "still open";
    }
    return text;
}

/// Submits a job and, like a real caller, retries until the status is 200, at most 20 times.
/// @return the last status.
int submit(const batch_site& site, int number, const std::string& body, int entries = 1)
{
    int status = 0;
    for (int attempt = 0; attempt < 20 && status != 200; ++attempt)
    {
        status = site.call(attempt % entries, "POST", job_name(number), body).status;
        if (status != 200)
        {
            std::this_thread::sleep_for(milliseconds{200});
        }
    }
    return status;
}

TEST_CASE("single jobs, gangs and jobs with steps run every unit once and end as completed")
{
    batch_site site(1, 4);
    site.configure(1, {"key-a"});
    REQUIRE(is_serving(site));
    CHECK(submit(site, 1, job_body("200", 3, 2, false)) == 200);
    CHECK(submit(site, 2, job_body("300/4", 4, 4, true)) == 200);
    CHECK(submit(site, 3,
                 R"({"spec":"100","steps":[{"count":2,"gpu":1,"estimateMs":100},)"
                 R"({"count":1,"gpu":1,"estimateMs":100,"after":[0]}]})") == 200);
    // Submitting the same job again does not create a second one.
    CHECK(submit(site, 1, job_body("200", 3, 2, false)) == 200);
    for (int number = 1; number <= 3; ++number)
    {
        CAPTURE(number);
        CHECK(site.wait_for_state(job_name(number), "completed"));
    }
    check_units_ran_once(site, 3 + 4 + 3);
    CHECK(site.workers().records().alone == 0);
    CHECK(site.call(0, "GET", job_name(9)).status == 410);
    CHECK(site.call(0, "GET", "").body.find("\"pending\":0") != std::string::npos);
}

// Guards against TWICE: a worker lists 500 ends at a time, and nobody can write them down.
TEST_CASE("units whose ends exceed a worker's list during a store outage run once")
{
    constexpr int units = 560;
    batch_site site(1, 1);
    site.configure(1, {"key-a"});
    REQUIRE(is_serving(site));
    REQUIRE(submit(site, 1,
                   R"({"spec":"8000","steps":[{"count":)" + std::to_string(units) +
                       R"(,"cpu":40,"memMb":10,"estimateMs":40000}]})") == 200);
    REQUIRE(batch_site::wait_for(
        [&] { return static_cast<int>(site.workers().records().starts.size()) == units; }));
    testing::store_faults busy;
    busy.busy = true;
    site.store().set_faults(busy);
    CHECK(batch_site::wait_for(
        [&] { return static_cast<int>(site.workers().records().done.size()) == units; }));
    std::this_thread::sleep_for(seconds{1});
    site.store().set_faults({});
    CHECK(site.wait_for_state(job_name(1), "completed"));
    check_units_ran_once(site, units);
}

/// Rows that no process of the system writes: addresses and numbers out of range, foreign bytes.
void put_odd_rows(batch_site& site)
{
    const std::string partition = "site";
    int number = 0;
    for (const char* const address :
         {"127.0.0.1:99999", "127.0.0.1:-1", "127.0.0.1", "[::", "not an address"})
    {
        const std::string name = "odd-" + std::to_string(number++);
        wire::batch_member member;
        member.set_agent(name);
        member.set_address(address);
        site.store().put("members", name, member.SerializeAsString(), partition);
    }
    site.store().put("members", "odd-bytes", std::string(70'000, '\xff'), partition);
    wire::batch_job job;
    job.set_id("00000000000000aa");
    job.mutable_terms()->set_queue("q");
    job.mutable_terms()->set_service("svc");
    job.add_steps()->set_units(std::numeric_limits<std::int64_t>::max());
    site.store().put("jobs", "00000000000000aa/accepted", job.SerializeAsString(), partition);
    job.set_id("00000000000000ab");
    job.mutable_steps(0)->set_units(1);
    job.mutable_steps(0)->add_after(std::numeric_limits<std::int64_t>::max());
    site.store().put("jobs", "00000000000000ab/accepted", job.SerializeAsString(), partition);
    wire::batch_progress progress;
    progress.set_outcome(static_cast<wire::batch_outcome>(77));
    site.store().put("jobs", "00000000000000ab/progress", progress.SerializeAsString(), partition);
    site.store().put("jobs", "00000000000000ac/accepted", std::string(100, '\xff'), partition);
}

// Guards against processes that end again and again: other programs may leave odd rows.
TEST_CASE("odd rows of other writers end no process and stop none from following the store")
{
    batch_site site(1, 3);
    site.configure(1, {"key-a"});
    REQUIRE(is_serving(site));
    put_odd_rows(site);
    CHECK(submit(site, 1, job_body("200", 3, 2, false)) == 200);
    CHECK(site.wait_for_state(job_name(1), "completed"));
    check_units_ran_once(site, 3);
    // A new leader reads all rows again.
    site.agent(site.leader()).kill_now();
    CHECK(submit(site, 2, job_body("200", 2, 2, false)) == 200);
    CHECK(site.wait_for_state(job_name(2), "completed"));
    CHECK(site.workers().records().violations.empty());
    for (int index = 0; index < 3; ++index)
    {
        CHECK(site.agent(index).output().find("terminate called") == std::string::npos);
    }
}

TEST_CASE("a worker that lists rows which cannot be read keeps its work")
{
    batch_site site(1, 2);
    site.configure(1, {"key-a"});
    REQUIRE(is_serving(site));
    REQUIRE(submit(site, 1,
                   R"({"spec":"4000","steps":[{"count":2,"cpu":1000,"memMb":1000,"gpu":8,)"
                   R"("estimateMs":40000}]})") == 200);
    REQUIRE(site.wait_for_state(job_name(1), "running"));
    site.workers().list_odd_rows("i-0");
    CHECK(site.wait_for_state(job_name(1), "completed"));
    check_units_ran_once(site, 2);
    CHECK(site.workers().records().starts[job_name(1) + ".0.0.0"] == 1);
    CHECK(site.workers().records().starts[job_name(1) + ".0.0.1"] == 1);
}

TEST_CASE("a leader row that another writer has overwritten is replaced")
{
    batch_site site(1, 2);
    site.configure(1, {"key-a"});
    REQUIRE(is_serving(site));
    site.store().put("lead", "lead", std::string(40, '\xff'), "site");
    CHECK(submit(site, 1, job_body("200", 2, 2, false)) == 200);
    CHECK(site.wait_for_state(job_name(1), "completed"));
    check_units_ran_once(site, 2);
}

TEST_CASE("a job ends as failed after its queue's maximum number of attempts")
{
    batch_site site(1, 2);
    site.configure(1, {"key-a"});
    REQUIRE(is_serving(site));
    CHECK(submit(site, 1, job_body("fail", 1, 1, false)) == 200);
    CHECK(site.wait_for_state(job_name(1), "failed"));
    CHECK(site.workers().records().starts[job_name(1) + ".0.0.0"] == 2);
}

TEST_CASE("a cancelled job stops, frees its accelerators and stays cancelled")
{
    batch_site site(1, 2);
    site.configure(1, {"key-a"});
    REQUIRE(is_serving(site));
    CHECK(submit(site, 1, job_body("60000", 1, 8, false)) == 200);
    CHECK(site.wait_for_state(job_name(1), "running"));
    CHECK(site.call(0, "DELETE", job_name(1)).status == 200);
    CHECK(site.wait_for_state(job_name(1), "cancelled"));
    CHECK(site.call(0, "DELETE", job_name(2)).status == 410);
    // The cancelled job's accelerators are available again.
    CHECK(submit(site, 3, job_body("100", 2, 8, false)) == 200);
    CHECK(site.wait_for_state(job_name(3), "completed"));
    CHECK(site.call(0, "GET", job_name(1)).body.find("cancelled") != std::string::npos);
}

TEST_CASE(
    "completed and cancelled jobs are deleted after the retention time, running ones are kept")
{
    batch_site site(1, 2, {"--keep-ended-s", "1"});
    site.configure(1, {"key-a"});
    REQUIRE(is_serving(site));
    CHECK(submit(site, 1, job_body("50", 1, 1, false)) == 200);
    CHECK(submit(site, 2, job_body("60000", 1, 1, false)) == 200);
    CHECK(submit(site, 3, job_body("60000", 1, 1, false)) == 200);
    CHECK(site.wait_for_state(job_name(1), "completed"));
    CHECK(site.call(0, "DELETE", job_name(2)).status == 200);
    CHECK(batch_site::wait_for([&] { return site.call(0, "GET", job_name(1)).status == 410; }));
    CHECK(batch_site::wait_for([&] { return site.call(0, "GET", job_name(2)).status == 410; }));
    CHECK(site.wait_for_state(job_name(3), "running"));
    // Remaining rows: the running job's accepted row and its progress row.
    CHECK(site.store().rows("jobs") == 2);
}

TEST_CASE("killing the leader neither loses an accepted job nor runs a unit twice")
{
    batch_site site(1, 4);
    site.configure(1, {"key-a"});
    REQUIRE(is_serving(site));
    for (int number = 1; number <= 6; ++number)
    {
        CHECK(submit(site, number, job_body("1500", 2, 2, false)) == 200);
    }
    for (int round = 0; round < 2; ++round)
    {
        const int leader = site.leader();
        REQUIRE(leader >= 0);
        site.agent(leader).kill_now();
        CHECK(submit(site, 10 + round, job_body("400/2", 2, 4, true)) == 200);
        CHECK(batch_site::wait_for([&] { return site.leader() != leader; }));
        site.agent(leader).restart();
    }
    for (const int number : {1, 2, 3, 4, 5, 6, 10, 11})
    {
        CAPTURE(number);
        CHECK(site.wait_for_state(job_name(number), "completed"));
    }
    check_units_ran_once(site, 6 * 2 + 2 * 2);
}

// Guards against LOST: a job waits for an agent that answers while its worker is gone.
TEST_CASE("jobs of a worker that left run elsewhere after its agent and the leader restarted")
{
    constexpr int agents = 4;
    batch_site site(1, agents);
    site.configure(1, {"key-a"});
    REQUIRE(is_serving(site));
    REQUIRE(submit(site, 1, job_body("2000", agents, 8, false)) == 200);
    REQUIRE(batch_site::wait_for(
        [&] { return static_cast<int>(site.workers().records().starts.size()) == agents; }));
    const int leader = site.leader();
    const int left = leader == 0 ? 1 : 0;
    site.workers().set_silent("i-" + std::to_string(left), true);
    site.agent(left).kill_now();
    site.agent(left).restart();
    site.agent(leader).kill_now();
    REQUIRE(batch_site::wait_for([&] { return site.leader() != leader; }));
    site.agent(leader).restart();
    CHECK(site.wait_for_state(job_name(1), "completed"));
    for (const std::string& violation : site.workers().records().violations)
    {
        FAIL_CHECK(violation);
    }
}

TEST_CASE("a leader that resumes after it was replaced starts no work")
{
    batch_site site(1, 4);
    site.configure(1, {"key-a"});
    REQUIRE(is_serving(site));
    for (int number = 1; number <= 4; ++number)
    {
        CHECK(submit(site, number, job_body("1200", 2, 2, false)) == 200);
    }
    const int leader = site.leader();
    site.agent(leader).signal(SIGSTOP);
    CHECK(batch_site::wait_for([&] { return site.leader() != leader; }));
    site.agent(leader).signal(SIGCONT);
    CHECK(submit(site, 9, job_body("100/3", 3, 4, true)) == 200);
    for (const int number : {1, 2, 3, 4, 9})
    {
        CAPTURE(number);
        CHECK(site.wait_for_state(job_name(number), "completed"));
    }
    check_units_ran_once(site, 4 * 2 + 3);
}

TEST_CASE("while the store is down accepted jobs continue and rejected jobs never run")
{
    batch_site site(1, 3);
    site.configure(1, {"key-a"});
    REQUIRE(is_serving(site));
    CHECK(submit(site, 1, job_body("1500", 3, 2, false)) == 200);
    CHECK(site.wait_for_state(job_name(1), "running"));
    site.store().set_faults({.busy = true});
    const auto refused = site.call(0, "POST", job_name(2), job_body("100", 1, 1, false));
    CHECK(refused.status == 503);
    // Longer than a lease, so that work whose lease is not renewed would stop.
    std::this_thread::sleep_for(seconds{7});
    site.store().set_faults({});
    CHECK(site.wait_for_state(job_name(1), "completed"));
    CHECK(site.workers().records().starts.contains(job_name(2) + ".0.0.0") == false);
    CHECK(submit(site, 3, job_body("100", 1, 1, false)) == 200);
    CHECK(site.wait_for_state(job_name(3), "completed"));
    check_units_ran_once(site, 3 + 1);
}

TEST_CASE("an entry whose store stops responding rejects requests in time for a retry elsewhere")
{
    batch_site site(1, 1);
    site.configure(1, {"key-a"});
    REQUIRE(is_serving(site));
    site.store().set_faults({.silent = true});
    std::this_thread::sleep_for(milliseconds{1200});
    const auto requested_at = std::chrono::steady_clock::now();
    const auto answer = site.call(0, "POST", job_name(1), job_body("100", 1, 1, false));
    CHECK(answer.status == 503);
    // Callers time out after 3 s in all; half of that remains for a retry at another entry.
    CHECK(std::chrono::steady_clock::now() - requested_at < milliseconds{1500});
    // The entry closes the connection, so that the load balancer can pick another entry.
    const std::string refused =
        read_to_end(site, "POST /q/" + job_name(3) +
                              " HTTP/1.1\r\nHost: jobs.example\r\nX-Api-Key: key-a\r\n"
                              "Content-Length: " +
                              std::to_string(job_body("1", 1, 1, false).size()) + "\r\n\r\n" +
                              job_body("1", 1, 1, false));
    CAPTURE(refused);
    CHECK(refused.find("503") != std::string::npos);
    CHECK(refused.find("still open") == std::string::npos);
    // The load balancer probes every second and removes an entry after two failed probes.
    CHECK(batch_site::wait_for([&] { return ready_status(site) == 503; }, milliseconds{500}));
    site.store().set_faults({});
    CHECK(batch_site::wait_for([&] { return ready_status(site) == 200; }, milliseconds{2000}));
    CHECK(submit(site, 2, job_body("100", 1, 1, false)) == 200);
    CHECK(site.call(0, "GET", job_name(1)).status == 410);
    CHECK(site.wait_for_state(job_name(2), "completed"));
}

TEST_CASE("store writes with lost or late responses create one job each")
{
    batch_site site(2, 3);
    site.configure(1, {"key-a"});
    REQUIRE(is_serving(site));
    REQUIRE(is_serving(site, 1));
    site.store().set_faults({.lose_answers = 0.4, .late = milliseconds{900}});
    for (int number = 1; number <= 8; ++number)
    {
        CHECK(submit(site, number, job_body("150", 1, 2, false), 2) == 200);
    }
    site.store().set_faults({});
    for (int number = 1; number <= 8; ++number)
    {
        CAPTURE(number);
        CHECK(site.wait_for_state(job_name(number), "completed"));
    }
    check_units_ran_once(site, 8);
}

TEST_CASE("a store that lost its change history is read again in full")
{
    batch_site site(1, 3);
    site.configure(1, {"key-a"});
    REQUIRE(is_serving(site));
    for (int number = 1; number <= 4; ++number)
    {
        site.store().forget_history();
        CHECK(submit(site, number, job_body("100", 1, 2, false)) == 200);
        site.store().forget_history();
        CHECK(site.wait_for_state(job_name(number), "completed"));
    }
    check_units_ran_once(site, 4);
}

TEST_CASE("units are run again on workers that restart under the same id")
{
    batch_site site(1, 3);
    site.configure(1, {"key-a"});
    REQUIRE(is_serving(site));
    for (int number = 1; number <= 4; ++number)
    {
        CHECK(submit(site, number, job_body("1200", 1, 4, false)) == 200);
    }
    CHECK(site.wait_for_state(job_name(4), "running"));
    for (const char* const id : {"i-0", "i-1", "i-2"})
    {
        site.workers().reboot(id);
    }
    for (int number = 1; number <= 4; ++number)
    {
        CAPTURE(number);
        CHECK(site.wait_for_state(job_name(number), "completed"));
    }
    check_units_ran_once(site, 4);
}

TEST_CASE("units of a silent worker move to other workers after its lease expires")
{
    batch_site site(1, 3);
    site.configure(1, {"key-a"});
    REQUIRE(is_serving(site));
    CHECK(submit(site, 1, job_body("2500", 3, 8, false)) == 200);
    CHECK(site.wait_for_state(job_name(1), "running"));
    site.workers().set_silent("i-1", true);
    CHECK(site.wait_for_state(job_name(1), "completed", seconds{40}));
    site.workers().set_silent("i-1", false);
    check_units_ran_once(site, 3);
}

/// Stores a job whose second step has been interrupted with 1000 checkpoints.
void put_interrupted_job(batch_site& site, int number)
{
    const std::string partition = "site";
    constexpr int units = 1000;
    constexpr std::size_t checkpoint_length = 32;
    wire::batch_job job;
    job.set_id(job_name(number));
    job.set_organisation("a");
    job.mutable_terms()->set_queue("q");
    job.mutable_terms()->set_service("svc");
    job.set_payload("60000");
    for (int step = 0; step < 2; ++step)
    {
        wire::batch_step& each = *job.add_steps();
        each.set_units(step == 0 ? 1 : units);
        each.mutable_per_unit()->set_millicores(1000);
        each.mutable_per_unit()->set_memory_mb(1000);
        each.set_estimate_ms(60'000);
    }
    job.mutable_steps(1)->add_after(0);
    wire::batch_progress progress;
    for (int unit = 0; unit < units; ++unit)
    {
        wire::batch_saved_unit& saved = *progress.add_saved();
        saved.set_step(1);
        saved.set_unit(unit);
        saved.set_checkpoint(std::string(checkpoint_length, 'c'));
    }
    site.store().put("jobs", job.id() + "/accepted", job.SerializeAsString(), partition);
    site.store().put("jobs", job.id() + "/progress", progress.SerializeAsString(), partition);
}

// Guards against LOST: the store refuses a call of more than 1 MB, however often it is repeated.
TEST_CASE("jobs with many checkpoints that change together do not keep progress from being stored")
{
    constexpr int jobs = 30;
    batch_site site(1, 3);
    for (int number = 1; number <= jobs; ++number)
    {
        put_interrupted_job(site, number);
    }
    site.configure(1, {"key-a"});
    REQUIRE(is_serving(site));
    REQUIRE(submit(site, jobs + 1, job_body("100", 1, 1, false)) == 200);
    CHECK(site.wait_for_state(job_name(jobs + 1), "completed", seconds{10}));
    CHECK(batch_site::wait_for([&] { return site.workers().records().starts.size() > jobs; }));
    CHECK(site.workers().records().violations.empty());
    CHECK(site.agent(site.leader()).output().find("store_lost") == std::string::npos);
}

/// Kills an agent that does not lead and restarts it after its worker has become silent for good.
/// @return the unit of job 1 that ran there.
std::string restart_agent_of_silent_worker(batch_site& site, int agents, int units)
{
    const int leader = site.leader();
    for (int agent = 0; agent < agents; ++agent)
    {
        const std::string log = site.agent(agent).output();
        for (int unit = 0; unit < units && agent != leader; ++unit)
        {
            std::string name = job_name(1) + ".0.0." + std::to_string(unit);
            if (log.find(R"("event":"run_started","unit":")" + name) != std::string::npos)
            {
                site.workers().set_silent("i-" + std::to_string(agent), true);
                site.agent(agent).kill_now();
                site.agent(agent).restart();
                return name;
            }
        }
    }
    return {};
}

/// Starts three units that run for a minute on a worker each.
void run_long_units(batch_site& site)
{
    // Not stopped for want of progress, as the estimate is long.
    REQUIRE(submit(site, 1,
                   R"({"spec":"60000","steps":[{"count":3,"cpu":1000,"memMb":1000,"gpu":8,)"
                   R"("estimateMs":60000}]})") == 200);
    REQUIRE(batch_site::wait_for([&] { return site.workers().records().starts.size() == 3; }));
}

// Guards against LOST: the leader counted the lease of the silent worker as renewed without end.
TEST_CASE("units of a silent worker move to other workers though its agent restarts")
{
    batch_site site(1, 5);
    site.configure(1, {"key-a"});
    REQUIRE(is_serving(site));
    run_long_units(site);
    const std::string unit = restart_agent_of_silent_worker(site, 5, 3);
    REQUIRE(!unit.empty());
    CHECK(batch_site::wait_for([&] { return site.workers().records().starts[unit] == 2; },
                               seconds{10}));
    CHECK(site.workers().records().violations.empty());
}

// Guards against LOST: the next leader waited for the silent worker's run lists without end.
TEST_CASE("a new leader waits for a silent worker whose agent has restarted until its lease ends")
{
    batch_site site(1, 5);
    site.configure(1, {"key-a"});
    REQUIRE(is_serving(site));
    run_long_units(site);
    const std::string unit = restart_agent_of_silent_worker(site, 5, 3);
    REQUIRE(!unit.empty());
    site.agent(site.leader()).kill_now();
    CHECK(batch_site::wait_for([&] { return site.workers().records().starts[unit] == 2; },
                               seconds{15}));
    CHECK(site.workers().records().violations.empty());
}

TEST_CASE("starts that a worker executes 2.5 s late neither duplicate nor block a gang")
{
    batch_site site(1, 3);
    site.configure(1, {"key-a"});
    REQUIRE(is_serving(site));
    site.workers().delay_starts(3, milliseconds{2500});
    CHECK(submit(site, 1, job_body("300", 2, 4, false)) == 200);
    CHECK(submit(site, 2, job_body("300/2", 2, 4, true)) == 200);
    CHECK(site.wait_for_state(job_name(1), "completed"));
    CHECK(site.wait_for_state(job_name(2), "completed"));
    check_units_ran_once(site, 4);
}

TEST_CASE("a removed API key is rejected, and an entry without its store accepts no key after 5 s")
{
    batch_site site(1, 1);
    site.configure(1, {"key-a", "key-b"});
    REQUIRE(is_serving(site));
    CHECK(site.call(0, "GET", "", "", "key-b").status == 200);
    site.configure(2, {"key-a"});
    CHECK(batch_site::wait_for([&] { return site.call(0, "GET", "", "", "key-b").status == 401; },
                               seconds{3}));
    site.store().set_faults({.silent = true});
    // A removed key must be rejected within 5 s.
    std::this_thread::sleep_for(seconds{5});
    CHECK(site.call(0, "GET", "").status == 503);
    site.store().set_faults({});
    CHECK(batch_site::wait_for([&] { return site.call(0, "GET", "").status == 200; }, seconds{3}));
}

TEST_CASE("SIGHUP reloads the settings, and a graceful stop still answers received requests")
{
    batch_site site(1, 2);
    site.configure(1, {"key-a"});
    REQUIRE(is_serving(site));
    site.entry(0).signal(SIGHUP);
    site.agent(0).signal(SIGHUP);
    CHECK(batch_site::wait_for(
        [&] { return site.entry(0).output().find("\"reloaded\"") != std::string::npos; }));
    CHECK(batch_site::wait_for(
        [&] { return site.agent(0).output().find("\"reloaded\"") != std::string::npos; }));
    CHECK(site.call(0, "GET", "").status == 200);
    site.entry(0).signal(SIGTERM);
    CHECK(site.call(0, "POST", job_name(1), job_body("50", 1, 1, false)).status == 200);
    CHECK(site.entry(0).stop() == 0);
    CHECK(site.agent(1).stop() == 0);
}

// Guards against a bound that counts jobs that no longer wait, or those of other organisations.
TEST_CASE("an organisation's backlog follows the rows of its jobs")
{
    using site::job_row_kind;
    site::job_view view;
    const core::instant now = core::instant_at(seconds{100});
    const core::organisation_id organisation("o");
    const auto write = [&](const std::string& id, job_row_kind kind, const std::string& value)
    {
        ports::row row;
        row.id = site::job_row_id(core::job_id(id), kind);
        row.version = 1;
        row.value = value;
        row.removed = value.empty();
        view.apply(row, now);
    };
    const auto accept = [&](const std::string& id, const std::string& owner, std::int64_t priority)
    {
        batch::job_spec job;
        job.id = core::job_id(id);
        job.organisation = core::organisation_id(owner);
        job.policy.queue = batch::queue_id("q");
        job.policy.priority = priority;
        job.steps.emplace_back();
        write(id, job_row_kind::accepted, site::to_row(job).SerializeAsString());
    };
    accept(job_name(1), "o", 1);
    accept(job_name(2), "o", 1);
    accept(job_name(3), "o", 2);
    accept(job_name(4), "other", 1);
    accept(job_name(5), "o", 1);
    CHECK(view.backlog_of(organisation, 1, now) == std::pair<std::size_t, std::uint64_t>(3, 0));
    CHECK(view.backlog_of(organisation, 2, now).first == 4);
    wire::batch_progress placed;
    placed.add_agents("agent");
    write(job_name(1), job_row_kind::progress, placed.SerializeAsString());
    write(job_name(1), job_row_kind::progress, placed.SerializeAsString());
    write(job_name(2), job_row_kind::cancel, "cancelled");
    CHECK(view.backlog_of(organisation, 1, now) == std::pair<std::size_t, std::uint64_t>(1, 1));
    write(job_name(1), job_row_kind::accepted, {});
    write(job_name(5), job_row_kind::accepted, {});
    CHECK(view.backlog_of(organisation, 1, now) == std::pair<std::size_t, std::uint64_t>(0, 1));
}

// Guards against an entry that takes more submissions than the store can, and against a refusal
// that is not true: a refused job must not exist, and an accepted one is never refused.
TEST_CASE("beyond the bound on pending submissions an entry refuses jobs that it does not store")
{
    setenv("CHICORYLIFT_MAX_PENDING_SUBMISSIONS", "2", 1);
    batch_site site(1, 1);
    unsetenv("CHICORYLIFT_MAX_PENDING_SUBMISSIONS");
    site.configure(1, {"key-a"});
    REQUIRE(is_serving(site));
    const std::string body = job_body("60000", 1, 1, false);
    REQUIRE(submit(site, 1, body) == 200);
    const std::size_t rows_before = site.store().rows("jobs");
    REQUIRE(rows_before >= 1);
    testing::store_faults slow;
    slow.delay = milliseconds{300};
    site.store().set_faults(slow);
    std::array<int, 12> statuses{};
    std::vector<std::thread> callers;
    for (std::size_t index = 0; index < statuses.size(); ++index)
    {
        callers.emplace_back(
            [&, index]
            {
                statuses.at(index) =
                    site.call(0, "POST", job_name(100 + static_cast<int>(index)), body).status;
            });
    }
    CHECK(site.call(0, "POST", job_name(1), body).status == 200);
    CHECK(site.call(0, "GET", job_name(1)).status == 200);
    CHECK(site.call(0, "DELETE", job_name(1)).status == 200);
    for (std::thread& caller : callers)
    {
        caller.join();
    }
    site.store().set_faults({});
    CHECK(std::count(statuses.begin(), statuses.end(), 429) > 0);
    CHECK(std::count(statuses.begin(), statuses.end(), 200) >= 2);
    for (std::size_t index = 0; index < statuses.size(); ++index)
    {
        CAPTURE(index);
        const int status = site.call(0, "GET", job_name(100 + static_cast<int>(index))).status;
        CHECK((statuses.at(index) == 200 || statuses.at(index) == 429));
        CHECK(status == (statuses.at(index) == 200 ? 200 : 410));
    }
}

TEST_CASE("an unknown environment variable with the CHICORYLIFT_ prefix is reported at start")
{
    const std::string program = testing::daemon_path();
    ::setenv("CHICORYLIFT_LEESE", "3", 1);
    testing::process agent({program, "batch", "--role", "agent"},
                           "/tmp/chicorylift-wrong-variable-" + std::to_string(::getpid()) +
                               ".log");
    CHECK(batch_site::wait_for(
        [&] { return agent.output().find("CHICORYLIFT_LEESE") != std::string::npos; }));
    ::unsetenv("CHICORYLIFT_LEESE");
    CHECK(agent.stop() != 0);
}

/// @return the resident memory of a process in kB, 0 if it cannot be read.
long resident_kb(pid_t id)
{
    std::ifstream status("/proc/" + std::to_string(id) + "/status");
    std::string line;
    while (std::getline(status, line))
    {
        if (line.starts_with("VmRSS:"))
        {
            return std::atol(line.c_str() + 6);
        }
    }
    return 0;
}

TEST_CASE("2500 connections with incomplete headers do not block other callers or exhaust memory")
{
    batch_site site(1, 1);
    site.configure(1, {"key-a"});
    REQUIRE(is_serving(site));
    std::vector<Poco::Net::StreamSocket> incomplete;
    for (int number = 0; number < 2500; ++number)
    {
        incomplete.emplace_back(Poco::Net::SocketAddress(site.front(0)));
        const std::string partial_request = "GET /q/ HTTP/1.1\r\nHost: jobs.exam";
        incomplete.back().sendBytes(partial_request.data(),
                                    static_cast<int>(partial_request.size()));
    }
    CHECK(site.call(0, "GET", "").status == 200);
    net::client_request probe;
    probe.address = site.ready(0);
    probe.path = "/v1/ready";
    CHECK(net::send_request(probe).value().status == 200);
    probe.address = site.metrics(0);
    probe.path = "/metrics";
    CHECK(net::send_request(probe).value().status == 200);
    // The smallest entry VM has 160 MB of memory.
    CHECK(resident_kb(site.entry(0).id()) < 160 * 1024);
    // The header timeout is set to 3 s, after which the connections are closed.
    CHECK(batch_site::wait_for(
        [&]
        {
            char answer[64];
            return incomplete.front().poll(0, Poco::Net::Socket::SELECT_READ) &&
                   incomplete.front().receiveBytes(answer, sizeof answer) >= 0;
        },
        seconds{6}));
}

TEST_CASE("malformed, oversized and wrongly typed requests get the matching 4xx status")
{
    batch_site site(1, 1);
    site.configure(1, {"key-a"});
    REQUIRE(is_serving(site));
    CHECK(site.call(0, "POST", job_name(1), "{").status == 400);
    CHECK(site.call(0, "POST", job_name(1), "[]").status == 400);
    CHECK(site.call(0, "POST", job_name(1), R"({"spec":7,"steps":[{}]})").status == 400);
    CHECK(site.call(0, "POST", job_name(1), R"({"spec":"1","steps":[{"count":-1}]})").status ==
          400);
    CHECK(site.call(0, "POST", job_name(1), R"({"spec":"1","steps":[{"after":[3]}]})").status ==
          400);
    // Beyond the range of a signed integer.
    CHECK(site.call(0, "POST", job_name(1),
                    R"({"spec":"1","steps":[{"after":[18446744073709551615]}]})")
              .status == 400);
    CHECK(site.call(0, "POST", job_name(1),
                    R"({"spec":"1","steps":[{"count":18446744073709551615}]})")
              .status == 400);
    CHECK(site.call(0, "POST", job_name(1), std::string(300000, ' ')).status == 413);
    CHECK(site.call(0, "PUT", job_name(1)).status == 405);
    CHECK(site.call(0, "GET", "not-a-job").status == 404);
    CHECK(site.call(0, "GET", "", "", "no-such-key").status == 401);
    // Unknown fields are ignored.
    CHECK(site.call(0, "POST", job_name(2), R"({"spec":"10","new":1,"steps":[{"newer":[]}]})")
              .status == 200);
    CHECK(site.wait_for_state(job_name(2), "completed"));
}

} // namespace
