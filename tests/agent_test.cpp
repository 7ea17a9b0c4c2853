#include "support/batch_site.hpp"
#include "support/fake_leader.hpp"

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

} // namespace
