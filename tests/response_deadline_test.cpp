#include "net/response_deadline.hpp"

#include <doctest/doctest.h>

/// Tests of the rule that decides when a response is given up, without a network.
namespace
{

using namespace chicorylift;
using net::response_deadline;
using std::chrono::milliseconds;

constexpr milliseconds first_byte{1200};
constexpr milliseconds stall{600};

core::instant at(std::int64_t count)
{
    return core::instant_at(milliseconds{count});
}

TEST_CASE("a response that does not begin is given up after the limit on its first byte")
{
    const response_deadline deadline(at(0), first_byte, stall);
    CHECK(deadline.at() == at(1200));
}

TEST_CASE("a response that keeps coming is not given up however long it takes")
{
    response_deadline deadline(at(0), first_byte, stall);
    for (std::int64_t now = 1000; now < 60'000; now += 500)
    {
        REQUIRE(deadline.at() > at(now));
        deadline.on_bytes(response_deadline::min_progress_bytes, at(now));
    }
}

TEST_CASE("a response that stalls is given up no later than one that never began")
{
    response_deadline deadline(at(0), first_byte, stall);
    deadline.on_bytes(100'000, at(300));
    CHECK(deadline.at() == at(900));
    deadline.on_bytes(100'000, at(700));
    CHECK(deadline.at() == at(1300));
}

TEST_CASE("single bytes do not keep a response open")
{
    response_deadline deadline(at(0), first_byte, stall);
    std::int64_t now = 0;
    while (deadline.at() > at(now) && now < 60'000)
    {
        deadline.on_bytes(1, at(now));
        now += 10;
    }
    CHECK(now == 600);
}

TEST_CASE("without a limit on stalls the first limit covers the whole response")
{
    response_deadline deadline(at(0), first_byte, milliseconds{0});
    deadline.on_bytes(100'000, at(1000));
    CHECK(deadline.at() == at(1200));
}

} // namespace
