#include "net/async_http_server.hpp"
#include "net/buffer_budget.hpp"
#include "net/request_head.hpp"
#include "platform/http_codec.hpp"
#include "platform/json_reader.hpp"
#include "site/refusal_log.hpp"

#include <doctest/doctest.h>
#include <memory>
#include <random>

/// Tests of the limits on what callers make a process hold, without a network.
namespace
{

using namespace chicorylift;
using net::buffer_account;
using net::buffer_budget;
using std::chrono::milliseconds;

constexpr std::size_t base = 100;

core::instant at(std::int64_t count)
{
    return core::instant_at(milliseconds{count});
}

/// Connection of a budget without a socket.
struct fake_connection
{
    fake_connection(buffer_budget& budget, std::int64_t now) : budget(budget)
    {
        this->opened = budget.open(
            this->account, base,
            [this]
            {
                this->closed = true;
                this->budget.remove(this->account);
            },
            at(now));
    }
    fake_connection(const fake_connection&) = delete;
    fake_connection& operator=(const fake_connection&) = delete;
    ~fake_connection() { this->budget.remove(this->account); }

    /// @return whether the bytes that arrived could be charged.
    bool receive(std::size_t bytes, std::int64_t now)
    {
        this->received += bytes;
        this->budget.add_progress(this->account, bytes, at(now));
        return this->budget.charge(this->account, this->received, at(now));
    }

    buffer_budget& budget;
    buffer_account account;
    std::size_t received{};
    bool opened = false;
    bool closed = false;
};

TEST_CASE("a budget closes the connection that holds most for longest, and the ones that move last")
{
    buffer_budget budget(100'000);
    fake_connection stalled(budget, 0);
    fake_connection moving(budget, 0);
    fake_connection small(budget, 0);
    CHECK(stalled.receive(40'000, 0));
    CHECK(small.receive(1000, 0));
    CHECK(moving.receive(20'000, 0));
    CHECK(moving.receive(20'000, 900));
    CHECK(moving.receive(20'000, 1000));
    CHECK(stalled.closed);
    CHECK_FALSE(small.closed);
    CHECK_FALSE(moving.closed);
    CHECK(budget.held() == 3 * base - base + 61'000);
}

TEST_CASE("a connection that sends single bytes counts as one without progress")
{
    buffer_budget budget(100'000);
    fake_connection trickling(budget, 0);
    fake_connection moving(budget, 0);
    CHECK(trickling.receive(40'000, 0));
    CHECK(moving.receive(40'000, 500));
    for (std::int64_t now = 1; now < 1000; now += 10)
    {
        CHECK(trickling.receive(1, now));
    }
    fake_connection next(budget, 1000);
    CHECK(next.receive(30'000, 1000));
    CHECK(trickling.closed);
    CHECK_FALSE(moving.closed);
}

TEST_CASE("a charge beyond the budget closes the one that asks if it holds most")
{
    buffer_budget budget(100'000);
    fake_connection greedy(budget, 0);
    fake_connection small(budget, 0);
    CHECK(small.receive(2000, 0));
    CHECK(greedy.receive(90'000, 0));
    CHECK_FALSE(greedy.receive(10'000, 0));
    CHECK_FALSE(small.closed);
}

TEST_CASE("idle connections are closed only for new ones, longest idle first")
{
    buffer_budget budget(10 * base);
    std::vector<std::unique_ptr<fake_connection>> idle;
    for (std::int64_t number = 0; number < 10; ++number)
    {
        idle.push_back(std::make_unique<fake_connection>(budget, number));
        CHECK(idle.back()->opened);
    }
    CHECK_FALSE(idle[5]->receive(2 * base, 20));
    CHECK_FALSE(idle[0]->closed);
    const fake_connection next(budget, 20);
    CHECK(next.opened);
    CHECK(idle[0]->closed);
    CHECK_FALSE(idle[1]->closed);
}

TEST_CASE("a connection whose request is in progress is not closed to make room")
{
    buffer_budget budget(100'000);
    fake_connection busy(budget, 0);
    CHECK(busy.receive(80'000, 0));
    budget.set_closable(busy.account, false);
    fake_connection other(budget, 5000);
    CHECK_FALSE(other.receive(50'000, 5000));
    CHECK_FALSE(busy.closed);
    budget.set_closable(busy.account, true);
    CHECK(other.receive(0, 5000));
    CHECK(busy.closed);
}

TEST_CASE("a budget holds what its accounts hold after any series of changes")
{
    std::mt19937 random(7);
    buffer_budget budget(50'000);
    std::vector<std::unique_ptr<fake_connection>> all(40);
    for (std::int64_t step = 0; step < 20'000; ++step)
    {
        auto& one = all[random() % all.size()];
        if (one == nullptr || one->closed)
        {
            one = std::make_unique<fake_connection>(budget, step);
        }
        else if (one->opened && random() % 8 == 0)
        {
            budget.set_closable(one->account, random() % 2 == 0);
        }
        else if (one->opened)
        {
            static_cast<void>(budget.charge(one->account, random() % 5000, at(step)));
        }
        std::size_t held = 0;
        for (const auto& each : all)
        {
            held += each == nullptr ? 0 : each->account.held();
        }
        REQUIRE(held == budget.held());
        REQUIRE(held <= budget.limit());
    }
}

TEST_CASE("the limits of a machine admit every request of the documented size")
{
    site::settings values;
    // The smallest machine; nothing is known of it.
    CHECK(site::make_buffer_budget(values)->limit() == 32U << 20U);
    CHECK(site::max_client_connections(values) == 3000);
    values.memory_mb = 160;
    values.max_descriptors = 4096;
    CHECK(site::make_buffer_budget(values)->limit() == 40U << 20U);
    CHECK(site::max_client_connections(values) == 3000);
    values.max_descriptors = 1000;
    CHECK(site::max_client_connections(values) == 608);
    values.buffer_mb = 3;
    CHECK(site::make_buffer_budget(values)->limit() == 3U << 20U);
}

TEST_CASE("request heads beyond the limits are rejected with their status")
{
    const net::head_limits limits{100, 1000};
    net::request_head head;
    const auto status_of = [&](const std::string& fields)
    {
        const auto error =
            net::parse_request_head("POST /a/b?c HTTP/1.1\r\n" + fields + "\r\n", limits, head);
        return error.has_value() ? error->status : 200;
    };
    CHECK(status_of("Content-Length: 1000\r\n") == 200);
    CHECK(head.body_length == 1000);
    CHECK(head.request.path_segments == std::vector<std::string>{"a", "b"});
    CHECK(status_of("Content-Length: 1001\r\n") == 413);
    CHECK(status_of("Content-Length: 1x\r\n") == 400);
    CHECK(status_of("Content-Length: -1\r\n") == 400);
    CHECK(status_of("Transfer-Encoding: chunked\r\n") == 411);
    std::string fields;
    for (int number = 0; number < 100; ++number)
    {
        fields += "a:\r\n";
    }
    CHECK(status_of(fields) == 200);
    CHECK(status_of(fields + "a:\r\n") == 400);
}

TEST_CASE("JSON values are counted before they are built, and strings do not count")
{
    CHECK(platform::measure_json("").values == 0);
    CHECK(platform::measure_json(R"({"a":1,"b":[2,3],"c":"[,\",{"})").values ==
          2 * platform::container_weight + 4);
    CHECK(platform::measure_json(R"({"a":"\\","b":["\"]",1]})").values ==
          2 * platform::container_weight + 3);
    CHECK(platform::measure_json(R"({"a":"\)").depth == 1);
    CHECK(platform::measure_json(R"([[],[[]]])").depth == 3);
    const std::string list = R"({"steps":[{},{},{},{}]})";
    CHECK(platform::json_reader::parse(list, 6 * platform::container_weight + 4).ok());
    CHECK_FALSE(platform::json_reader::parse(list, 6 * platform::container_weight + 3).ok());
}

TEST_CASE("no valid job of the documented body size has more values than the default limit")
{
    constexpr std::size_t max_body_bytes = 262'144;
    constexpr std::size_t steps = batch::max_job_steps;
    std::string text = R"({"steps":[{})";
    for (std::size_t step = 1; step < steps; ++step)
    {
        const std::size_t length = (max_body_bytes - text.size()) / (steps - step);
        std::string list = R"(,{"after":[0)";
        while (list.size() + 5 < length)
        {
            list += ",0";
        }
        text += list + "]}";
    }
    text += "]}";
    CHECK(text.size() <= max_body_bytes);
    CHECK(text.size() > max_body_bytes - steps);
    const auto job = platform::parse_job(text, site::settings{}.max_json_values);
    CHECK_MESSAGE(job.ok(), job.status().message());
}

TEST_CASE("JSON of very many short objects is refused before it is built")
{
    std::string text = R"({"steps":[{}],"x":[{})";
    for (int number = 0; number < 5000; ++number)
    {
        text += ",{}";
    }
    CHECK_FALSE(platform::parse_job(text + "]}", site::settings{}.max_json_values).ok());
}

TEST_CASE("JSON of every accepted nesting is still accepted, and deeper JSON is refused")
{
    const auto nested = [](int depth)
    { return R"({"x":)" + std::string(depth - 1, '[') + std::string(depth - 1, ']') + "}"; };
    CHECK(platform::json_reader::parse(nested(31)).ok());
    CHECK(platform::json_reader::parse(nested(32)).ok());
    CHECK_FALSE(platform::json_reader::parse(nested(33)).ok());
    CHECK_FALSE(platform::json_reader::parse(nested(200'000)).ok());
}

TEST_CASE("a job with too many steps is refused as before, without reading them")
{
    std::string text = R"({"steps":[{})";
    for (int number = 0; number < 1000; ++number)
    {
        text += ",{}";
    }
    const auto job = platform::parse_job(text + "]}", 262'144);
    CHECK(job.status().message() == "the job has 1001 steps; the allowed range is 1 to 1000");
}

TEST_CASE("a string of many escapes is measured in one pass")
{
    std::string text = "[\"";
    for (int count = 0; count < 2'000'000; ++count)
    {
        text += "\\n";
    }
    const core::instant start = core::boot_clock::now();
    CHECK(platform::measure_json(text + "\"]").values == platform::container_weight + 1);
    CHECK(core::boot_clock::now() - start < milliseconds{1000});
}

TEST_CASE("a field that an object has twice is an error, not one of its values")
{
    auto object = platform::json_reader::parse(R"({"a":1,"a":2,"b":3})");
    REQUIRE(object.ok());
    CHECK(object->get_integer("b") == 3);
    CHECK(object->status().ok());
    static_cast<void>(object->get_integer("a"));
    CHECK_FALSE(object->status().ok());
}

} // namespace
