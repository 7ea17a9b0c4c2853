#include "net/http_client.hpp"
#include "support/batch_site.hpp"

#include <csignal>
#include <doctest/doctest.h>

/// Tests of the configuration's way to entries whose links to the store are thin and long.
namespace
{

using namespace chicorylift;
using testing::batch_site;
using namespace std::chrono_literals;

constexpr int thin_link_bytes_per_second = 1'250'000;
constexpr int one_way_delay_ms = 30;
// 1.6 MB in the store's answer, 1.3 s on the link.
constexpr int many_routes = 6000;
// 2.6 MB, 2.1 s: longer than an entry stays ready without an answer of its store.
constexpr int most_routes = 10000;
// A version must be in force this long after the store has acknowledged it.
constexpr core::milliseconds apply_limit = 4s;
// An entry must be ready this long after it has started beside a store that answers.
constexpr core::milliseconds catch_up_limit = 6s;

void make_thin(batch_site& site, int entry)
{
    site.entry_link(entry).set_delay_ms(one_way_delay_ms);
    site.entry_link(entry).set_rate(thin_link_bytes_per_second);
}

bool is_in_force(const batch_site& site, int entry, int version)
{
    return site.get(entry, "/version" + std::to_string(version) + "/").status == 200;
}

bool is_ready(const batch_site& site, int entry)
{
    net::client_request request;
    request.address = site.ready(entry);
    request.path = "/v1/ready";
    const auto answer = net::send_request(request);
    return answer.ok() && answer->status == 200;
}

/// Callers with a valid key that ask an entry without pause.
class steady_callers
{
public:
    steady_callers(const batch_site& site, int entry)
        : thread(
              [this, &site, entry]
              {
                  while (!this->stopping)
                  {
                      this->refused += site.call(entry, "GET", "").status == 200 ? 0 : 1;
                      ++this->calls;
                      std::this_thread::sleep_for(20ms);
                  }
              })
    {
    }
    ~steady_callers() { this->stop(); }
    steady_callers(const steady_callers&) = delete;
    steady_callers& operator=(const steady_callers&) = delete;

    void stop()
    {
        this->stopping = true;
        if (this->thread.joinable())
        {
            this->thread.join();
        }
    }

    std::atomic<int> calls = 0;
    std::atomic<int> refused = 0;

private:
    std::atomic<bool> stopping = false;
    std::thread thread;
};

TEST_CASE("a configuration that outlasts a watch's time on a thin link comes into force in time")
{
    batch_site site(2, 1, {}, true);
    site.configure(1, {"key-a"});
    REQUIRE(batch_site::wait_for([&] { return is_ready(site, 0) && is_ready(site, 1); }));
    make_thin(site, 0);
    make_thin(site, 1);
    steady_callers callers(site, 0);
    site.configure(2, {"key-a"}, many_routes);
    CHECK(batch_site::wait_for([&] { return is_in_force(site, 0, 2) && is_in_force(site, 1, 2); },
                               apply_limit));
    std::this_thread::sleep_for(2s);
    callers.stop();
    CHECK(callers.calls > 20);
    CHECK(callers.refused == 0);
}

TEST_CASE("an entry stays ready while a large configuration arrives")
{
    batch_site site(1, 1, {}, true);
    site.configure(1, {"key-a"});
    REQUIRE(batch_site::wait_for([&] { return is_ready(site, 0); }));
    make_thin(site, 0);
    site.configure(2, {"key-a"}, most_routes);
    CHECK(batch_site::wait_for([&] { return is_in_force(site, 0, 2); }, apply_limit));
    CHECK(site.entry(0).output().find(R"("ready":"no")") == std::string::npos);
}

TEST_CASE("versions that come faster than a thin link carries them are skipped to the newest")
{
    constexpr int first_version = 2;
    constexpr int last_version = 13;
    constexpr int routes = 4000;
    batch_site site(1, 1, {}, true);
    site.configure(1, {"key-a"});
    REQUIRE(batch_site::wait_for([&] { return is_ready(site, 0); }));
    make_thin(site, 0);
    steady_callers callers(site, 0);
    site.configure(first_version, {"key-a"}, routes);
    REQUIRE(batch_site::wait_for([&] { return is_in_force(site, 0, first_version); }, apply_limit));
    const std::uint64_t bytes_per_version = site.entry_link(0).bytes_from_target();
    for (int version = first_version + 1; version <= last_version; ++version)
    {
        std::this_thread::sleep_for(330ms);
        site.configure(static_cast<std::uint64_t>(version), {"key-a"}, routes);
    }
    CHECK(batch_site::wait_for([&] { return is_in_force(site, 0, last_version); }, apply_limit));
    callers.stop();
    CHECK(callers.refused == 0);
    // The link carries 5 of the versions while they come, and the last one.
    CHECK(site.entry_link(0).bytes_from_target() <
          bytes_per_version * (last_version - first_version) * 2 / 3);
}

TEST_CASE("an entry that joins behind a large configuration gets ready")
{
    batch_site site(1, 1, {}, true);
    site.configure(1, {"key-a"}, many_routes);
    REQUIRE(batch_site::wait_for([&] { return is_ready(site, 0); }));
    make_thin(site, 0);
    site.entry(0).kill_now();
    site.entry(0).restart();
    CHECK(batch_site::wait_for([&] { return is_ready(site, 0); }, catch_up_limit));
    CHECK(is_in_force(site, 0, 1));
}

TEST_CASE("a store that falls silent within an answer makes an entry unready as soon as ever")
{
    // 1.3 s without an answer, and the next look at it.
    constexpr core::milliseconds unready_limit = 1800ms;
    batch_site site(1, 1, {}, true);
    site.configure(1, {"key-a"});
    REQUIRE(batch_site::wait_for([&] { return is_ready(site, 0); }));
    make_thin(site, 0);
    const std::uint64_t before = site.entry_link(0).bytes_from_target();
    site.configure(2, {"key-a"}, many_routes);
    REQUIRE(batch_site::wait_for(
        [&] { return site.entry_link(0).bytes_from_target() > before + 100'000; }));
    site.entry_link(0).set_frozen(true);
    CHECK(batch_site::wait_for([&] { return !is_ready(site, 0); }, unready_limit));
    CHECK(batch_site::wait_for(
        [&]
        { return site.entry(0).output().find("\"event\":\"store_lost\"") != std::string::npos; },
        5s));
    site.entry_link(0).set_frozen(false);
    CHECK(batch_site::wait_for([&] { return is_in_force(site, 0, 2); }, apply_limit));
}

TEST_CASE("a leader that takes over behind a large configuration on a thin link places work")
{
    // Traffic is served again this long after the loss of machines.
    constexpr core::milliseconds recovery_limit = 15s;
    const std::string job = "00000000000000aa";
    batch_site site(1, 3, {}, true);
    site.configure(1, {"key-a"}, many_routes);
    REQUIRE(batch_site::wait_for([&] { return is_ready(site, 0) && site.leader() >= 0; }));
    const int first = site.leader();
    for (int agent = 0; agent < 3; ++agent)
    {
        site.store_link(agent).set_delay_ms(one_way_delay_ms);
        site.store_link(agent).set_rate(thin_link_bytes_per_second);
    }
    site.agent(first).kill_now();
    REQUIRE(batch_site::wait_for([&] { return site.leader() != first; }));
    REQUIRE(site.call(0, "POST", job, testing::job_body("300", 1, 1, false)).status == 200);
    CHECK(site.wait_for_state(job, "completed", recovery_limit));
}

TEST_CASE("public queues are served without the store, unless a newer version is known to exist")
{
    constexpr std::string_view stale_event = R"("event":"config_stale")";
    const auto is_stale = [&](batch_site& site)
    { return site.entry(0).output().find(stale_event) != std::string::npos; };
    for (const bool newer_known : {false, true})
    {
        batch_site site(1, 1, {}, true);
        site.configure(1, {"key-a"}, 1);
        REQUIRE(batch_site::wait_for([&] { return is_ready(site, 0); }));
        make_thin(site, 0);
        const std::uint64_t before = site.entry_link(0).bytes_from_target();
        if (newer_known)
        {
            site.configure(2, {"key-a"}, many_routes);
            REQUIRE(batch_site::wait_for(
                [&] { return site.entry_link(0).bytes_from_target() > before + 100'000; }));
        }
        site.entry_link(0).set_frozen(true);
        REQUIRE(batch_site::wait_for([&] { return is_stale(site); }));
        CHECK(site.call(0, "GET", "").status == 503);
        CHECK(site.get(0, "/version1/").status == (newer_known ? 503 : 200));
    }
}

} // namespace
