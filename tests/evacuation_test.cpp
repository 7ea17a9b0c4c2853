#include "support/batch_site.hpp"

#include <csignal>
#include <doctest/doctest.h>
#include <string>
#include <thread>
#include <vector>

/// Process tests of zone evacuations: real entries and agents against a simulated store and
/// simulated workers, which report starts that come later than the limit.
namespace
{

using namespace chicorylift;
using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::batch_site;
using testing::job_body;

constexpr milliseconds limit{5000};
constexpr int agent_count = 8;

std::string job_name(int number)
{
    std::string text = std::to_string(number);
    return std::string(16 - text.size(), '0') + text;
}

/// A site of two zones with four workers each.
class zoned_site
{
public:
    zoned_site() : site(1, agent_count, {"--evacuation-ms", "5000"}, false, 2)
    {
        this->site.configure(1, {"key-a"});
        REQUIRE(
            batch_site::wait_for([this] { return this->site.call(0, "GET", "").status == 200; }));
        REQUIRE(batch_site::wait_for([this] { return this->site.leader() >= 0; }));
    }

    void evacuate(const std::string& zone)
    {
        this->site.workers().evacuate(zone, limit);
        this->site.store().put("op", "evacuate/" + zone, "{}");
    }

    void restore(const std::string& zone)
    {
        this->site.store().remove("op", "evacuate/" + zone);
        this->site.workers().restore(zone);
    }

    /// Submits a job, and repeats the request as a caller does until it is accepted.
    void submit(const std::string& body)
    {
        const int number = ++this->jobs;
        CHECK(batch_site::wait_for(
            [&] { return this->site.call(0, "POST", job_name(number), body).status == 200; }));
    }

    /// Submits small jobs for as long, so that starts are in flight at every moment.
    void load_for(milliseconds length)
    {
        const core::instant end = core::boot_clock::now() + length;
        while (core::boot_clock::now() < end)
        {
            this->submit(job_body("600", 3, 2, false));
            std::this_thread::sleep_for(milliseconds{150});
        }
    }

    [[nodiscard]] int starts_in(const std::string& zone)
    {
        return this->site.workers().records().zone_starts[zone];
    }

    /// @return whether a process has logged the text.
    [[nodiscard]] bool logged(const std::string& text)
    {
        for (int agent = 0; agent < agent_count; ++agent)
        {
            if (this->site.agent(agent).output().find(text) != std::string::npos)
            {
                return true;
            }
        }
        return false;
    }

    void check_all_completed()
    {
        for (int number = 1; number <= this->jobs; ++number)
        {
            CAPTURE(number);
            CHECK(this->site.wait_for_state(job_name(number), "completed"));
        }
        for (const std::string& violation : this->site.workers().records().violations)
        {
            FAIL_CHECK(violation);
        }
    }

    batch_site site;
    int jobs = 0;
};

// Guards against EVAC: the next leader knows neither the request nor the starts in flight, unless
// it reads them from the row and the agents' reports.
TEST_CASE("a leader killed at any step of an evacuation is followed by one that keeps to it")
{
    enum class step
    {
        before_row_is_read,
        before_starts_are_stopped,
        after_withdrawal,
    };
    for (const step killed_at :
         {step::before_row_is_read, step::before_starts_are_stopped, step::after_withdrawal})
    {
        CAPTURE(static_cast<int>(killed_at));
        zoned_site zoned;
        zoned.load_for(seconds{1});
        // Some starts stay unconfirmed for longer than the leader lives.
        zoned.site.workers().delay_starts(3, milliseconds{2500});
        zoned.load_for(milliseconds{300});
        const int leader = zoned.site.leader();
        if (killed_at == step::before_row_is_read)
        {
            zoned.site.agent(leader).signal(SIGSTOP);
            zoned.evacuate("z0");
            zoned.site.agent(leader).kill_now();
        }
        else
        {
            zoned.evacuate("z0");
            CHECK(batch_site::wait_for([&] { return zoned.logged("evacuation_begun"); }));
            if (killed_at == step::before_starts_are_stopped)
            {
                zoned.site.agent(leader).kill_now();
            }
        }
        zoned.load_for(seconds{7});
        const int before = zoned.starts_in("z0");
        const int elsewhere = zoned.starts_in("z1");
        zoned.load_for(seconds{1});
        CHECK(zoned.starts_in("z0") == before);
        CHECK(zoned.starts_in("z1") > elsewhere);
        zoned.restore("z0");
        if (killed_at == step::after_withdrawal)
        {
            zoned.site.agent(leader).kill_now();
        }
        zoned.site.agent(leader).restart();
        // Needs a worker of each zone for every pair of units.
        zoned.submit(job_body("300", agent_count, 8, false));
        zoned.check_all_completed();
        CHECK(zoned.starts_in("z0") > before);
    }
}

// Guards against EVAC: a store that answers all reads of a leader but those of the requests.
TEST_CASE("a leader whose reads of the requests are not answered starts nothing until they are")
{
    zoned_site zoned;
    // Its second step is ready when the leader's view is too old.
    zoned.submit(R"({"spec":"5400","steps":[{"count":1,"gpu":1,"estimateMs":5400},)"
                 R"({"count":4,"gpu":8,"estimateMs":5400,"after":[0]}]})");
    REQUIRE(
        batch_site::wait_for([&] { return zoned.site.workers().records().starts.size() == 1; }));
    testing::store_faults partial;
    partial.silent_table = "op";
    zoned.site.store().set_faults(partial);
    zoned.evacuate("z0");
    CHECK(batch_site::wait_for(
        [&] { return zoned.logged(R"("reason":"evacuations not confirmed by the store")"); }));
    CHECK(batch_site::wait_for([&] { return zoned.site.workers().records().done.size() == 1; }));
    std::this_thread::sleep_for(seconds{1});
    CHECK(zoned.site.workers().records().starts.size() == 1);
    zoned.site.store().set_faults({});
    zoned.check_all_completed();
    CHECK(zoned.logged("scheduling_resumed"));
}

// Guards against EVAC, and against a process that odd rows end or block.
TEST_CASE("odd requests are logged and followed, and a removal is seen without the store's history")
{
    zoned_site zoned;
    zoned.site.store().put("op", "evacuate/nowhere", "{}");
    zoned.site.store().put("op", "evacuate/", "{}");
    zoned.site.store().put("op", "evacuate/a b/\"c\"", R"({"version":7,"until":"noon"})");
    zoned.site.workers().evacuate("z0", limit);
    zoned.site.store().put("op", "evacuate/z0", "\x01 not JSON");
    for (const std::string reason :
         {"no worker is in this zone", "the key names no zone", "unknown field until, version",
          "the value is not a JSON object"})
    {
        CAPTURE(reason);
        CHECK(batch_site::wait_for([&] { return zoned.logged(reason); }));
    }
    zoned.site.store().put("op", "evacuate/z0", "{}");
    CHECK(batch_site::wait_for([&] { return zoned.logged("the request is in force already"); }));
    zoned.load_for(milliseconds{5500});
    CHECK(batch_site::wait_for([&] { return zoned.logged(R"("may_switch_off":"yes")"); }));
    const int before = zoned.starts_in("z0");
    zoned.load_for(seconds{1});
    CHECK(zoned.starts_in("z0") == before);
    testing::store_faults down;
    down.busy = true;
    zoned.site.store().set_faults(down);
    zoned.restore("z0");
    zoned.site.store().forget_history();
    std::this_thread::sleep_for(milliseconds{500});
    zoned.site.store().set_faults({});
    CHECK(batch_site::wait_for([&] { return zoned.logged("evacuation_ended"); }));
    zoned.submit(job_body("300", agent_count, 8, false));
    zoned.check_all_completed();
}

} // namespace
