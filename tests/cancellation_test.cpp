#include "chicorylift/batch/withdrawal_quota.hpp"
#include "support/batch_site.hpp"

#include <doctest/doctest.h>
#include <string>
#include <thread>

/// Process tests of cancellations that meet submissions on their way.
namespace
{

using namespace chicorylift;
using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::batch_site;
using testing::job_body;

const std::string job = "00000000000000a7";
const std::string key_a = "key-a";
const std::string key_b = "key-b";

/// Two organisations with a queue for both.
void configure(batch_site& site)
{
    site.store().put(
        "op", "config",
        R"({"version":1,"routes":[{"name":"q","host":"jobs.example","pathPrefix":"/q/",)"
        R"("kind":"unsafe","timeoutMs":3000,"targetLatencyMs":500,"priority":0,"service":"svc",)"
        R"("attempts":2,"slowdown":2.0,"public":false}],"services":[{"name":"svc"}],)"
        R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,)"
        R"("idleTimeoutMs":15000},"tenants":[{"name":"a","apiKeys":["key-a"],)"
        R"("guaranteed":{"gpu":8}},{"name":"b","apiKeys":["key-b"],"guaranteed":{"gpu":8}}]})");
    REQUIRE(batch_site::wait_for(
        [&]
        {
            return site.call(0, "GET", "").status == 200 && site.call(1, "GET", "").status == 200 &&
                   site.leader() >= 0;
        }));
}

bool has_started(batch_site& site)
{
    return site.workers().records().starts.contains(job + ".0.0.0");
}

} // namespace

// Guards against UNASKED: the store performs a submission after its job's cancelling was answered.
TEST_CASE("a job that was cancelled while its submission was on its way does not run")
{
    batch_site site(2, 2);
    configure(site);
    testing::store_faults faults;
    faults.lose_answers = 1;
    faults.late = seconds{2};
    site.store().set_faults(faults);
    int submitted = 0;
    std::thread requester(
        [&] { submitted = site.call(0, "POST", job, job_body("100", 1, 1, false)).status; });
    std::this_thread::sleep_for(milliseconds{300});
    site.store().set_faults({});
    CHECK(site.call(1, "DELETE", job).status == 410);
    requester.join();
    CHECK(submitted == 429);
    // The requester's own repetition, at another entry.
    CHECK(site.call(1, "POST", job, job_body("100", 1, 1, false)).status == 429);
    std::this_thread::sleep_for(faults.late);
    CHECK(site.call(0, "GET", job).status == 410);
    CHECK(site.call(1, "GET", job).status == 410);
    CHECK(!has_started(site));
}

// Guards against UNASKED: a cancelling is acknowledged that the store may never perform.
TEST_CASE("a cancelling whose write has no answer is not acknowledged")
{
    batch_site site(2, 1);
    configure(site);
    testing::store_faults faults;
    faults.lose_answers = 1;
    faults.late = seconds{30};
    site.store().set_faults(faults);
    CHECK(site.call(0, "DELETE", job).status == 504);
    site.store().set_faults({});
    CHECK(site.call(0, "DELETE", job).status == 410);
    CHECK(site.call(0, "POST", job, job_body("100", 1, 1, false)).status == 429);
}

// Guards against LOST: an accepted job was never stored, since another organisation had its ID.
TEST_CASE("an organisation neither takes over nor cancels another one's job of the same ID")
{
    batch_site site(2, 2);
    configure(site);
    SUBCASE("the other job is stored")
    {
        CHECK(site.call(0, "POST", job, job_body("1500", 1, 1, false), key_a).status == 200);
        for (const int entry : {0, 1})
        {
            CHECK(site.call(entry, "POST", job, job_body("100", 1, 1, false), key_b).status == 409);
            CHECK(site.call(entry, "GET", job, {}, key_b).status == 410);
            CHECK(site.call(entry, "DELETE", job, {}, key_b).status == 410);
        }
        CHECK(site.call(0, "POST", job, job_body("1500", 1, 1, false), key_a).status == 200);
        CHECK(site.wait_for_state(job, "completed"));
    }
    SUBCASE("the other job was cancelled before it was stored")
    {
        CHECK(site.call(0, "DELETE", job, {}, key_a).status == 410);
        CHECK(site.call(1, "POST", job, job_body("100", 1, 1, false), key_b).status == 200);
        CHECK(batch_site::wait_for([&] { return has_started(site); }));
        CHECK(site.call(0, "POST", job, job_body("100", 1, 1, false), key_a).status == 409);
    }
}

TEST_CASE("the row of a cancelled job that was never stored is removed after the retention period")
{
    batch_site site(2, 1, {"--keep-ended-s", "1"});
    configure(site);
    CHECK(site.call(0, "DELETE", job).status == 410);
    CHECK(site.store().rows("withdrawn") == 1);
    CHECK(batch_site::wait_for([&] { return site.store().rows("withdrawn") == 0; }));
    CHECK(site.call(1, "POST", job, job_body("100", 1, 1, false)).status == 200);
    CHECK(site.wait_for_state(job, "completed"));
}

TEST_CASE("cancellations of invented jobs are bounded, for each organisation and for all")
{
    batch::withdrawal_quota quota;
    core::instant now = core::instant_at(seconds{100});
    const auto taken_in = [&](const std::string& organisation, seconds length)
    {
        int taken = 0;
        const core::instant end = now + length;
        for (; now < end; now += milliseconds{10})
        {
            taken += quota.take(core::organisation_id(organisation), now).count() == 0 ? 1 : 0;
        }
        return taken;
    };
    const int flood = taken_in("flood", seconds{60});
    CHECK(flood >= 60 * 5);
    CHECK(flood <= 60 * 5 + 50);
    static_cast<void>(quota.take(core::organisation_id("flood"), now));
    CHECK(quota.take(core::organisation_id("flood"), now).count() > 0);
    CHECK(quota.take(core::organisation_id("flood"), now).count() <= 200);
    CHECK(quota.take(core::organisation_id("other"), now).count() == 0);
    int taken = 0;
    for (int number = 0; number < 1000; ++number)
    {
        taken +=
            quota.take(core::organisation_id(std::to_string(number)), now).count() == 0 ? 1 : 0;
    }
    CHECK(taken <= 100);
}
