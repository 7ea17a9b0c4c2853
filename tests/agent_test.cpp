#include "net/http_client.hpp"
#include "support/batch_site.hpp"
#include "support/fake_leader.hpp"

#include <atomic>
#include <doctest/doctest.h>
#include <string>
#include <thread>

/// Process tests of an agent whose leader is a fake, so that any order of messages can be sent.
namespace
{

using namespace chicorylift;
using std::chrono::milliseconds;
using testing::batch_site;
using testing::fake_leader;
using testing::start_order;

/// Sends an announcement to the site's only agent.
/// @return the status of the response; 0 if there was none.
int announce(const batch_site& site, const std::string& id, const std::string& body)
{
    net::client_request request;
    request.address = site.control(0);
    request.method = "PUT";
    request.path = "/v1/instances/" + id;
    request.body = body;
    const auto answer = net::send_request(request);
    return answer.ok() ? answer->status : 0;
}

std::string announcement_of(const std::string& service, std::int64_t born)
{
    return R"({"service":")" + service +
           R"(","address":"127.0.0.1:9","zone":"z","slots":8,"state":"ready","born":)" +
           std::to_string(born) +
           R"(,"clockMs":1,"seq":1000,"capacity":{"cpu":1000,"memMb":1000,"gpu":0},)"
           R"("labels":["a","r9"]})";
}

// Guards against TWICE and LIMIT: after a cut, orders that were held up on the old connection
// arrive behind newer ones, when the leader has placed the unit elsewhere.
TEST_CASE("a start is not carried out after newer orders of the leader")
{
    const std::string unit = "0000000000000001.0.0.0";
    batch_site site(0, 1);
    fake_leader leader(site.agent_address(0));
    REQUIRE(leader.wait_for_report().has_value());
    const std::int64_t held_up = leader.advance_clock();
    leader.send({}, leader.advance_clock());
    // The agent gets its lease with the answers to these reports.
    REQUIRE(leader.wait_for_report().has_value());
    REQUIRE(leader.wait_for_report().has_value());
    leader.send({}, held_up);
    leader.send(start_order(unit, 7, "60000"), held_up + 1);
    std::this_thread::sleep_for(milliseconds{500});
    CHECK(site.workers().records().starts.empty());
    // The leader sends it again if it still wants the unit there.
    leader.send(start_order(unit, 7, "60000"), leader.advance_clock());
    CHECK(batch_site::wait_for([&] { return site.workers().records().starts.contains(unit); },
                               milliseconds{3000}));
}

// Guards against LOST: an agent that takes another program for its worker drops the worker's lists
// and lets its lease expire.
TEST_CASE("an announcement of another program does not replace the agent's worker")
{
    batch_site site(0, 1);
    fake_leader leader(site.agent_address(0));
    const auto registered = [&leader]
    {
        const auto report = leader.wait_for_report();
        return report.has_value() && report->worker().announced() ? report->worker()
                                                                  : wire::batch_worker();
    };
    REQUIRE(batch_site::wait_for([&] { return registered().id() == "i-0"; }));
    const std::int64_t own_born = registered().born_ms();
    // Later and earlier than the worker's start, without one, and under the worker's own id.
    CHECK(announce(site, "i-other", announcement_of("unnamed", own_born + 1'000'000)) == 200);
    CHECK(announce(site, "i-other", announcement_of("unnamed", own_born - 1)) == 200);
    CHECK(announce(site, "i-other", announcement_of("unnamed", 0)) == 200);
    CHECK(announce(site, "i-0", announcement_of("unnamed", own_born)) == 200);
    for (int report = 0; report < 3; ++report)
    {
        const wire::batch_worker worker = registered();
        CHECK(worker.id() == "i-0");
        CHECK(worker.born_ms() == own_born);
        CHECK(worker.service() == "svc");
        CHECK(worker.capacity().accelerators() == 8);
    }
    leader.send(start_order("0000000000000001.0.0.0", 7, "60000"), leader.advance_clock());
    CHECK(batch_site::wait_for([&] { return !site.workers().records().starts.empty(); },
                               milliseconds{3000}));
}

// Guards against agents that end, or lose their worker, because of what another program sends.
TEST_CASE("odd announcements leave an agent and its worker's registration as they are")
{
    batch_site site(0, 1);
    fake_leader leader(site.agent_address(0));
    REQUIRE(leader.wait_for_report().has_value());
    const std::string nested(100'000, '[');
    const std::string ready = R"("zone":"z","state":"ready","born":1,"seq":1,"capacity":{"cpu":1})";
    std::string deep_service = R"({"service":)";
    deep_service.append(nested).append(nested.size(), ']').append(",").append(ready).append("}");
    for (const std::string& body :
         {nested, deep_service, R"({"service":"svc","seq":99999999999999999999999,)" + ready + "}",
          R"({"service":"svc",)" + ready + R"(,"born":1e400})",
          std::string(R"({"service":"svc","zone":"z","state":"ready","born":1,"seq":-1,)"
                      R"("capacity":{"cpu":1}})"),
          std::string(R"({"service":"svc","zone":"z","state":"ready","born":1,"seq":1,)"
                      R"("capacity":{"cpu":-9223372036854775808}})"),
          std::string(R"({"service":"svc","zone":"z","state":"gone","born":1,"seq":1,)"
                      R"("capacity":{}})"),
          std::string("\xff\xfe"), std::string()})
    {
        CAPTURE(body.substr(0, 100));
        CHECK(announce(site, "i-0", body) == 400);
    }
    // Well-formed, and of no worker: the address has no valid port.
    CHECK(announce(site, "i-odd",
                   R"({"service":"svc","address":"127.0.0.1:99999",)" + ready + "}") == 200);
    const auto report = leader.wait_for_report();
    REQUIRE(report.has_value());
    CHECK(report->worker().id() == "i-0");
    leader.send(start_order("0000000000000001.0.0.0", 7, "60000"), leader.advance_clock());
    CHECK(batch_site::wait_for([&] { return !site.workers().records().starts.empty(); },
                               milliseconds{3000}));
}

// Guards against LOST: jobs stood still for a lease after a worker that ran them had left.
TEST_CASE("the runs of a worker that has left are reported as ended at once")
{
    const std::string unit = "0000000000000001.0.0.0";
    batch_site site(0, 1);
    fake_leader leader(site.agent_address(0));
    REQUIRE(leader.wait_for_report().has_value());
    REQUIRE(leader.wait_for_report().has_value());
    leader.send(start_order(unit, 7, "60000"), leader.advance_clock());
    REQUIRE(batch_site::wait_for(
        [&]
        {
            const auto report = leader.wait_for_report();
            return report.has_value() && report->runs_size() == 1;
        }));
    site.workers().leave("i-0");
    CHECK(batch_site::wait_for(
        [&]
        {
            const wire::batch_report report = leader.latest_report();
            return report.lists_valid() && report.runs_size() == 0 && report.ends_size() == 1 &&
                   report.ends(0).unit() == unit && report.ends(0).run() == 7;
        },
        milliseconds{1500}));
}

// Guards against TWICE: a delayed departure of an earlier process must not end the runs of this
// one.
TEST_CASE("an announced departure of a worker that still answers ends no run")
{
    batch_site site(0, 1);
    fake_leader leader(site.agent_address(0));
    REQUIRE(leader.wait_for_report().has_value());
    REQUIRE(leader.wait_for_report().has_value());
    leader.send(start_order("0000000000000001.0.0.0", 7, "60000"), leader.advance_clock());
    REQUIRE(batch_site::wait_for([&] { return !site.workers().records().starts.empty(); }));
    net::client_request request;
    request.address = site.control(0);
    request.method = "DELETE";
    request.path = "/v1/instances/i-0";
    REQUIRE(net::send_request(request).ok());
    std::this_thread::sleep_for(milliseconds{1500});
    CHECK(leader.latest_report().runs_size() == 1);
    CHECK(leader.latest_report().ends_size() == 0);
}

// Guards against LOST: a leader that counts the lease of a silent worker as renewed waits for it.
TEST_CASE("an agent that has never heard its worker reports it as unresponsive")
{
    batch_site site(0, 1);
    fake_leader leader(site.agent_address(0));
    REQUIRE(leader.wait_for_report().has_value());
    CHECK_FALSE(leader.latest_report().worker().gone());
    site.workers().set_silent("i-0", true);
    site.agent(0).kill_now();
    const std::uint64_t sequence = leader.latest_report().sequence();
    site.agent(0).restart();
    const auto next_report = [&]
    {
        leader.send({}, leader.advance_clock());
        return leader.latest_report();
    };
    REQUIRE(batch_site::wait_for([&] { return next_report().sequence() > sequence; }));
    CHECK(leader.latest_report().worker().born_ms() == 0);
    CHECK(batch_site::wait_for([&] { return next_report().worker().gone(); }, milliseconds{2500}));
    site.workers().set_silent("i-0", false);
    CHECK(batch_site::wait_for([&] { return !next_report().worker().gone(); }));
    // Like a leader, repeat the start: the agent drops it until it has a lease.
    CHECK(batch_site::wait_for(
        [&]
        {
            leader.send(start_order("0000000000000001.0.0.0", 7, "60000"), leader.advance_clock());
            return !site.workers().records().starts.empty();
        },
        milliseconds{3000}));
}

/// Leader whose last word of the worker is that it is silent: later reports are held up.
class leader_of_silent_worker
{
public:
    explicit leader_of_silent_worker(const std::string& agent_address) : leader(agent_address)
    {
        this->leader.answer_only(
            [this](const wire::batch_report& report)
            {
                // An agent's first reports are made before it has heard its worker.
                this->heard = this->heard || !report.worker().gone();
                const bool silent = this->heard && report.worker().gone();
                if (silent && this->silent_since_ms == 0)
                {
                    this->silent_since_ms = core::boot_clock::now().time_since_epoch().count();
                }
                return silent || this->silent_since_ms == 0;
            });
    }

    fake_leader& orders() { return this->leader; }
    [[nodiscard]] bool knows_of_silence() const { return this->silent_since_ms != 0; }
    /// @return when the last lease ends that the leader knows of, in an agent of default settings.
    [[nodiscard]] core::instant end_of_leases() const
    {
        constexpr milliseconds lease_duration{5100};
        return core::instant_at(milliseconds{this->silent_since_ms}) + lease_duration;
    }

private:
    bool heard = false;
    std::atomic<std::int64_t> silent_since_ms{0};
    fake_leader leader;
};

// Guards against TWICE: runs go on after a silence of their worker that their leader counts as the
// end of the lease.
TEST_CASE("a worker that was silent gets no lease before the leader knows that it is back")
{
    batch_site site(0, 1);
    leader_of_silent_worker leader(site.agent_address(0));
    REQUIRE(leader.orders().wait_for_report().has_value());
    REQUIRE(leader.orders().wait_for_report().has_value());
    leader.orders().send(start_order("0000000000000001.0.0.0", 7, "60000"),
                         leader.orders().advance_clock());
    REQUIRE(batch_site::wait_for([&] { return !site.workers().records().starts.empty(); }));
    site.workers().set_silent("i-0", true);
    REQUIRE(batch_site::wait_for([&] { return leader.knows_of_silence(); }));
    std::this_thread::sleep_for(milliseconds{2000});
    site.workers().set_silent("i-0", false);
    std::this_thread::sleep_for(milliseconds{1500});
    CHECK(site.workers().records().leases.at("i-0") <= leader.end_of_leases());
}

// Guards against TWICE: the repetition of an unanswered start renews the leases of all runs of a
// worker that its leader counts as silent.
TEST_CASE("a start that is repeated to a silent worker renews no lease")
{
    batch_site site(0, 1);
    leader_of_silent_worker leader(site.agent_address(0));
    REQUIRE(leader.orders().wait_for_report().has_value());
    REQUIRE(leader.orders().wait_for_report().has_value());
    site.workers().lose_responses("i-0", true);
    // The first attempt is made before the agent finds the worker silent, the second one after.
    std::uint64_t number = 0;
    CHECK(batch_site::wait_for(
        [&]
        {
            ++number;
            leader.orders().send(
                start_order("0000000000000001.0.0." + std::to_string(number), number, "60000"),
                leader.orders().advance_clock());
            std::this_thread::sleep_for(milliseconds{100});
            return leader.knows_of_silence();
        }));
    std::this_thread::sleep_for(milliseconds{1500});
    CHECK(site.workers().records().leases.at("i-0") <= leader.end_of_leases());
}

// Guards against TWICE: a later leader learns of unpersisted starts from the members that know
// them.
TEST_CASE("an agent that leaves removes its member row unless it knows of unpersisted starts")
{
    batch_site site(0, 1);
    fake_leader leader(site.agent_address(0));
    REQUIRE(leader.wait_for_report().has_value());
    REQUIRE(batch_site::wait_for([&] { return site.store().rows("members") == 1; }));
    bool knows_of_starts = false;
    SUBCASE("it knows of none") {}
    SUBCASE("the leader announces some")
    {
        knows_of_starts = true;
        leader.answer_only([](const wire::batch_report&) { return false; });
        wire::batch_orders announcement;
        announcement.set_unwritten_starts(true);
        leader.send(announcement, leader.advance_clock());
        std::this_thread::sleep_for(milliseconds{200});
    }
    site.agent(0).stop();
    CHECK(site.store().rows("members") == (knows_of_starts ? 1 : 0));
    site.agent(0).restart();
    CHECK(batch_site::wait_for([&] { return site.store().rows("members") == 1; }));
}

} // namespace
