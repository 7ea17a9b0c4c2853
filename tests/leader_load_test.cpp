#include "chicorylift/batch/call_backoff.hpp"
#include "chicorylift/batch/report_pacing.hpp"
#include "chicorylift/batch/report_window.hpp"
#include "chicorylift/batch/worker_lease.hpp"
#include "net/transport.hpp"
#include "site/message_inbox.hpp"
#include "support/process.hpp"

#include <algorithm>
#include <atomic>
#include <doctest/doctest.h>
#include <functional>
#include <random>
#include <string>
#include <thread>
#include <vector>

/// A leader that gets messages faster than it handles them, in virtual time.
namespace
{

using namespace chicorylift;
using core::instant;
using core::instant_at;
using std::chrono::milliseconds;

constexpr std::size_t fleet_size = 340;
constexpr milliseconds lease_length{5100};
constexpr milliseconds handling_time{1};

struct simulated_agent
{
    batch::worker_lease lease{lease_length};
    std::uint64_t sequence{};
    instant next_report{};
    instant next_change{};
};

struct observed_delays
{
    milliseconds max_answer_gap{};
    milliseconds min_lease_left{lease_length};
    std::size_t max_waiting{};
};

/// Plays a fleet whose agents report at the leader's pace, and after each change.
/// @param changes_per_second changes per agent and second.
observed_delays play(double changes_per_second, milliseconds length, std::uint32_t seed)
{
    const batch::report_pacing pacing = batch::pacing_for(fleet_size);
    std::minstd_rand random(seed);
    std::exponential_distribution<double> change(changes_per_second / 1000);
    std::uniform_int_distribution<std::int64_t> phase(0, pacing.interval.count());
    const auto next_change = [&](instant now)
    { return now + milliseconds{static_cast<std::int64_t>(change(random))} + pacing.report_delay; };

    std::vector<simulated_agent> agents(fleet_size);
    std::vector<instant> answered(fleet_size, instant_at(milliseconds{0}));
    for (simulated_agent& agent : agents)
    {
        agent.next_report = instant_at(milliseconds{phase(random)});
        agent.next_change = next_change(instant_at(milliseconds{0}));
    }
    site::message_inbox inbox;
    observed_delays seen;
    for (instant now = instant_at(milliseconds{1}); now < instant_at(length); now += handling_time)
    {
        for (std::size_t index = 0; index < agents.size(); ++index)
        {
            simulated_agent& agent = agents[index];
            if (now < std::min(agent.next_report, agent.next_change))
            {
                continue;
            }
            agent.next_report = now + pacing.interval;
            agent.next_change = now < agent.next_change ? agent.next_change : next_change(now);
            agent.lease.on_report_sent(++agent.sequence, now);
            wire::envelope message;
            message.set_from(std::to_string(index));
            message.mutable_unit_report()->set_sequence(agent.sequence);
            static_cast<void>(inbox.push(std::move(message), now));
        }
        for (const site::waiting_message& each : inbox.take(1, now))
        {
            const auto index = static_cast<std::size_t>(std::stoul(each.message.from()));
            agents[index].lease.on_report_acknowledged(each.message.unit_report().sequence(),
                                                       milliseconds{0});
            seen.max_answer_gap = std::max(seen.max_answer_gap, now - answered[index]);
            answered[index] = now;
        }
        for (std::size_t index = 0; now > instant_at(lease_length) && index < agents.size();
             ++index)
        {
            seen.min_lease_left =
                std::min(seen.min_lease_left, agents[index].lease.expires_at() - now);
        }
        seen.max_waiting = std::max(seen.max_waiting, inbox.take_load().waiting);
    }
    return seen;
}

wire::envelope report_from(const std::string& sender, const std::string& incarnation,
                           std::uint64_t sequence)
{
    wire::envelope message;
    message.set_from(sender);
    message.set_incarnation(incarnation);
    message.mutable_unit_report()->set_sequence(sequence);
    return message;
}

} // namespace

TEST_CASE("a leader that gets more reports than it can handle renews every lease in time")
{
    const observed_delays seen = play(8, std::chrono::seconds{30}, 25);
    CHECK(seen.min_lease_left > milliseconds{0});
    CHECK(seen.max_answer_gap <= batch::pacing_for(fleet_size).election_timeout);
    CHECK(seen.max_waiting <= fleet_size);
}

TEST_CASE("of one process's waiting reports only the last is handled, and no other message is lost")
{
    const instant now = instant_at(milliseconds{1});
    site::message_inbox inbox;
    CHECK(inbox.push(report_from("a", "1", 1), now));
    CHECK(!inbox.push(report_from("b", "1", 1), now));
    wire::envelope probe;
    probe.set_from("a");
    probe.mutable_lead_probe();
    CHECK(!inbox.push(probe, now));
    CHECK(!inbox.push(report_from("a", "1", 2), now));
    // A later process at the same address.
    CHECK(!inbox.push(report_from("a", "2", 1), now));

    const auto first = inbox.take(1, now);
    REQUIRE(first.size() == 1);
    CHECK(first.front().message.from() == "a");
    CHECK(first.front().message.unit_report().sequence() == 2);
    CHECK(!inbox.push(report_from("a", "1", 3), now));
    CHECK(inbox.take(10, now).size() == 4);
    // The reader has been woken and comes once more before a push wakes it again.
    CHECK(!inbox.push(probe, now));
    CHECK(inbox.needs_reader());
    CHECK(inbox.take(10, now).size() == 1);
    CHECK(!inbox.needs_reader());
    CHECK(inbox.push(probe, now));
}

// Guards against TWICE: an older report names an earlier process of the worker, or lacks runs.
TEST_CASE("a waiting report is not replaced by an older one of the same process")
{
    const instant now = instant_at(milliseconds{1});
    site::message_inbox inbox;
    CHECK(inbox.push(report_from("a", "1", 2), now));
    CHECK(!inbox.push(report_from("a", "1", 1), now));
    const auto taken = inbox.take(10, now);
    REQUIRE(taken.size() == 1);
    CHECK(taken.front().message.unit_report().sequence() == 2);
}

TEST_CASE("changes while a report is unanswered are sent in one report after the answer")
{
    batch::report_window window;
    CHECK(window.may_send());
    window.on_sent(7);
    CHECK(!window.may_send());
    CHECK(!window.may_send());
    // An answer to an earlier report.
    CHECK(!window.on_answered(6));
    CHECK(window.on_answered(7));
    CHECK(window.may_send());
    window.on_sent(8);
    CHECK(!window.on_answered(8));
    // A new leader owes no answer to a report that its predecessor got.
    window.on_sent(9);
    CHECK(!window.may_send());
    window.reset();
    CHECK(window.may_send());
}

TEST_CASE("an agent that has left is called once a second, and one that falls silent at once")
{
    batch::call_backoff calls;
    int count = 0;
    for (instant now = instant_at(milliseconds{1}); now < instant_at(std::chrono::seconds{20});
         now += milliseconds{200})
    {
        count += calls.is_due(now) ? 1 : 0;
    }
    CHECK(count >= 20);
    CHECK(count <= 23);
    calls.reset();
    CHECK(calls.is_due(instant_at(std::chrono::seconds{20})));
}

TEST_CASE("a message without a connection is given back, and one after the peer starts arrives")
{
    const std::string address = testing::free_address();
    std::atomic<int> undeliverable = 0;
    std::atomic<int> received = 0;
    net::transport_settings settings;
    settings.listen_address = testing::free_address();
    settings.advertised_address = settings.listen_address;
    net::transport sender(
        settings, [](const wire::envelope&) {},
        [&](const std::string& to, const wire::envelope&) { undeliverable += to == address; });
    const auto wait_for = [](const std::function<bool()>& condition)
    {
        for (int attempt = 0; attempt < 500 && !condition(); ++attempt)
        {
            std::this_thread::sleep_for(milliseconds{10});
        }
        return condition();
    };
    CHECK(sender.send(address, report_from("a", "1", 1)));
    CHECK(wait_for([&] { return undeliverable == 1; }));
    CHECK(wait_for([&] { return sender.counters().unsent == 0; }));
    CHECK(sender.counters().undeliverable == 1);

    settings.listen_address = address;
    const net::transport receiver(
        settings, [&](const wire::envelope&) { ++received; },
        [](const std::string&, const wire::envelope&) {});
    CHECK(wait_for(
        [&]
        {
            static_cast<void>(sender.send(address, report_from("a", "1", 2)));
            return received > 0;
        }));
}
