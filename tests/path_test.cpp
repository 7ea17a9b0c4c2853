#include "chicorylift/core/error.hpp"
#include "support/site.hpp"
#include "wire/json.hpp"

#include <Poco/Net/ServerSocket.h>
#include <csignal>
#include <doctest/doctest.h>

/// End-to-end tests of calls and jobs with real entry and agent processes.
namespace
{

using namespace chicorylift;
using testing::site;
using testing::site_options;
using testing::usual_job;

constexpr core::milliseconds ready_timeout{15'000};
constexpr core::milliseconds job_timeout{15'000};

TEST_CASE("a call through any entry returns the upstream's complete response")
{
    site_options options;
    options.workers = 2;
    const site cluster(options);
    cluster.configure();
    REQUIRE(cluster.wait_ready(ready_timeout));
    for (int entry = 0; entry < 2; ++entry)
    {
        const auto answer = cluster.call(entry, "volunteers", "photo-" + std::to_string(entry));
        REQUIRE(answer.ok());
        CHECK(answer->status == 200);
        CHECK(answer->body == "answer to photo-" + std::to_string(entry));
    }
}

TEST_CASE("a gang runs all parts and its final state is readable from another entry")
{
    const site cluster({});
    cluster.configure();
    REQUIRE(cluster.wait_ready(ready_timeout));
    const auto job = cluster.submit(0, "volunteers", usual_job(3, 8, 300));
    REQUIRE(job.ok());
    CHECK(cluster.wait_job(job->id(), job_timeout) == "succeeded");
    const auto finished_job = cluster.job(1, job->id());
    REQUIRE(finished_job.ok());
    CHECK(finished_job->state() == "succeeded");
    CHECK(finished_job->placement_size() == 3);
    CHECK(cluster.times_run("task", job->id() + "/1") == 3);
}

TEST_CASE("cancelling a running gang through another entry ends the job as cancelled")
{
    const site cluster({});
    cluster.configure();
    REQUIRE(cluster.wait_ready(ready_timeout));
    const auto job = cluster.submit(0, "families", usual_job(2, 8, 60'000));
    REQUIRE(job.ok());
    REQUIRE(cluster.wait_state(job->id(), "committed", job_timeout));
    const auto cancelled = cluster.cancel(1, job->id());
    REQUIRE(cancelled.ok());
    CHECK(cluster.wait_job(job->id(), job_timeout) == "cancelled");
}

TEST_CASE("a job larger than any worker is rejected at submission")
{
    site_options options;
    options.workers = 2;
    const site cluster(options);
    cluster.configure();
    REQUIRE(cluster.wait_ready(ready_timeout));
    const auto job = cluster.submit(0, "families", usual_job(1, 9, 1000));
    REQUIRE_FALSE(job.ok());
    CHECK(core::kind_of(job.status()) == core::error_kind::never_runnable);
}

TEST_CASE("a peer that never responds does not block longer than the response timeout")
{
    // Connections complete in the listen backlog, but nothing reads or responds.
    const Poco::Net::ServerSocket silent(Poco::Net::SocketAddress("127.0.0.1:0"));
    net::client_request request;
    request.address = silent.address().toString();
    request.path = "/";
    request.response_timeout = core::milliseconds{200};
    const core::instant started_at = core::boot_clock::now();
    const auto answer = net::send_request(request);
    CHECK(core::boot_clock::now() - started_at < core::milliseconds{2000});
    REQUIRE_FALSE(answer.ok());
    CHECK(core::kind_of(answer.status()) == core::error_kind::outcome_unknown);
}

} // namespace
