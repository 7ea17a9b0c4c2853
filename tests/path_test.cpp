#include "chicorylift/core/error.hpp"
#include "support/site.hpp"
#include "wire/json.hpp"

#include <Poco/Net/ServerSocket.h>
#include <csignal>
#include <doctest/doctest.h>

/// The whole path, with real processes.
namespace
{

using namespace chicorylift;
using testing::site;
using testing::site_options;
using testing::usual_job;

constexpr core::milliseconds ready_patience{15'000};
constexpr core::milliseconds job_patience{15'000};

TEST_CASE("a call reaches a slot and its whole answer comes back")
{
    site_options options;
    options.workers = 2;
    const site place(options);
    place.configure();
    REQUIRE(place.wait_ready(ready_patience));
    for (int entry = 0; entry < 2; ++entry)
    {
        const auto answer = place.call(entry, "volunteers", "photo-" + std::to_string(entry));
        REQUIRE(answer.ok());
        CHECK(answer->status == 200);
        CHECK(answer->body == "answer to photo-" + std::to_string(entry));
    }
}

TEST_CASE("a gang starts whole, ends, and its state is read from any entry")
{
    const site place({});
    place.configure();
    REQUIRE(place.wait_ready(ready_patience));
    const auto job = place.submit(0, "volunteers", usual_job(3, 8, 300));
    REQUIRE(job.ok());
    CHECK(place.wait_job(job->id(), job_patience) == "succeeded");
    const auto seen = place.job(1, job->id());
    REQUIRE(seen.ok());
    CHECK(seen->state() == "succeeded");
    CHECK(seen->placement_size() == 3);
    CHECK(place.times_run("task", job->id() + "/1") == 3);
}

TEST_CASE("a running gang is cancelled whole")
{
    const site place({});
    place.configure();
    REQUIRE(place.wait_ready(ready_patience));
    const auto job = place.submit(0, "families", usual_job(2, 8, 60'000));
    REQUIRE(job.ok());
    REQUIRE(place.wait_state(job->id(), "committed", job_patience));
    const auto cancelled = place.cancel(1, job->id());
    REQUIRE(cancelled.ok());
    CHECK(place.wait_job(job->id(), job_patience) == "cancelled");
}

TEST_CASE("a job that can never run is refused at once")
{
    site_options options;
    options.workers = 2;
    const site place(options);
    place.configure();
    REQUIRE(place.wait_ready(ready_patience));
    const auto job = place.submit(0, "families", usual_job(1, 9, 1000));
    REQUIRE_FALSE(job.ok());
    CHECK(core::kind_of(job.status()) == core::error_kind::never_runnable);
}

TEST_CASE("a peer that never answers costs no more than the patience")
{
    // A listener that accepts into its backlog and stays silent.
    const Poco::Net::ServerSocket silent(Poco::Net::SocketAddress("127.0.0.1:0"));
    net::client_request request;
    request.address = silent.address().toString();
    request.path = "/";
    request.response_timeout = core::milliseconds{200};
    const core::instant begun = core::boot_clock::now();
    const auto answer = net::send_request(request);
    CHECK(core::boot_clock::now() - begun < core::milliseconds{2000});
    REQUIRE_FALSE(answer.ok());
    CHECK(core::kind_of(answer.status()) == core::error_kind::outcome_unknown);
}

} // namespace
