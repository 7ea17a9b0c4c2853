#include "chicorylift/core/error.hpp"
#include "site/mirrored_table.hpp"

#include <doctest/doctest.h>
#include <optional>

/// Tests of the calls that a mirrored table makes, against a fake table service.
namespace
{

using namespace chicorylift;
using std::chrono::milliseconds;

constexpr std::size_t large_value = 600'000;

/// Keeps the calls made to it, which the test answers.
struct fake_table : ports::table_service
{
    void commit(const ports::transaction&, core::milliseconds, commit_receiver) override {}
    void read(const std::string&, const std::string&, const std::string&, std::size_t,
              core::milliseconds, page_receiver on_page, extent_receiver on_extent) override
    {
        ++this->listings;
        this->on_page = std::move(on_page);
        this->on_extent = std::move(on_extent);
    }
    void watch(const std::string&, ports::revision after, core::milliseconds, page_receiver on_page,
               extent_receiver on_extent) override
    {
        ++this->watches;
        this->watched_after = after;
        this->on_page = std::move(on_page);
        this->on_extent = std::move(on_extent);
    }

    /// Answers the latest call with one row.
    void answer(ports::revision version, std::size_t value_bytes)
    {
        ports::row_page page;
        page.version = version;
        page.rows.push_back({{"op", "", "config"}, std::string(value_bytes, 'x'), version, false});
        std::exchange(this->on_page, {})(page);
    }

    /// Lets the latest call's answer begin to arrive. If the caller gives it up, the call fails.
    /// @return whether the caller goes on receiving.
    bool begin_answer(std::size_t expected_bytes)
    {
        if (this->on_extent({16'384, expected_bytes}))
        {
            return true;
        }
        std::exchange(this->on_page, {})(
            core::make_error(core::error_kind::store_unavailable, "given up by the caller"));
        return false;
    }

    int listings = 0;
    int watches = 0;
    ports::revision watched_after{};
    page_receiver on_page;
    extent_receiver on_extent;
};

struct mirrored_config
{
    mirrored_config()
    {
        // The first call is made by the loop.
        this->loop.run_after(milliseconds{20}, [this] { this->loop.stop(); });
        this->loop.run();
    }

    net::event_loop loop;
    fake_table service;
    std::vector<ports::revision> seen;
    site::mirrored_table rows{loop,
                              service,
                              {"op", "", milliseconds{2000}, "test", nullptr},
                              [this](const ports::row& row) { this->seen.push_back(row.version); },
                              [] {}};
};

TEST_CASE("changes that hold replaced versions are given up for a listing of the newest")
{
    mirrored_config config;
    config.service.answer(1, large_value);
    REQUIRE(config.service.watches == 1);
    CHECK_FALSE(config.service.begin_answer(3 * large_value * 4 / 3));
    REQUIRE(config.service.listings == 2);
    CHECK(config.rows.failing_for(core::boot_clock::now()) == milliseconds{0});
    config.service.answer(4, large_value);
    CHECK(config.seen == std::vector<ports::revision>{1, 4});
    CHECK(config.service.watches == 2);
    CHECK(config.service.watched_after == 4);
}

TEST_CASE("a single new version is received from the changes")
{
    mirrored_config config;
    config.service.answer(1, large_value);
    CHECK(config.service.begin_answer(large_value * 4 / 3 + 1000));
    config.service.answer(2, large_value);
    CHECK(config.seen == std::vector<ports::revision>{1, 2});
    CHECK(config.service.listings == 1);
}

TEST_CASE("changes count as pending from their first bytes until they are received")
{
    mirrored_config config;
    config.service.answer(1, large_value);
    CHECK_FALSE(config.rows.changes_pending_since().has_value());
    REQUIRE(config.service.begin_answer(large_value * 4 / 3));
    CHECK(config.rows.changes_pending_since().has_value());
    config.service.answer(2, large_value);
    CHECK_FALSE(config.rows.changes_pending_since().has_value());
}

TEST_CASE("a confirmation asked for while changes arrive does not receive them twice")
{
    mirrored_config config;
    config.service.answer(1, large_value);
    REQUIRE(config.service.begin_answer(large_value * 4 / 3));
    config.rows.confirm_soon();
    CHECK(config.service.watches == 1);
    config.service.answer(2, large_value);
    CHECK(config.service.watches == 2);
}

TEST_CASE("small changes are received even if they exceed the rows")
{
    CHECK_FALSE(site::is_listing_cheaper(60'000, 0));
    CHECK(site::is_listing_cheaper(200'000, 20'000));
    CHECK_FALSE(site::is_listing_cheaper(1'600'000, 1'100'000));
    CHECK(site::is_listing_cheaper(2'200'000, 1'100'000));
}

} // namespace
