#pragma once

#include "support/site.hpp"

#include <array>
#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace chicorylift::testing
{

/// How one call ended, as its caller saw it.
struct call_outcome
{
    std::string body;
    bool idempotent = false;
    /// The answer arrived with status 200.
    bool answered = false;
    /// The answer was the one to this call's body.
    bool own_answer = false;
    /// The error named its work "not_run".
    bool not_run = false;
    /// The connection broke, so the caller knows nothing.
    bool connection_lost = false;
    /// The connection was refused, so the request never left.
    bool refused = false;
    std::string error;
};

/// Counts that must be zero, taken from what callers saw and what upstreams wrote down.
struct call_violations
{
    int ran_twice{};
    int ran_though_not_run{};
    int foreign_or_partial{};
    int answered_but_never_ran{};

    friend bool operator==(const call_violations&, const call_violations&) = default;
};

/// Sends a bounded stream of calls from several threads to all entries of a site.
class call_load
{
public:
    /// @param threads callers at once; @param calls_each bound of calls per caller.
    call_load(const site& place, int threads, int calls_each, std::string prefix);
    ~call_load();
    call_load(const call_load&) = delete;
    call_load& operator=(const call_load&) = delete;

    /// Waits until this many calls have ended.
    [[nodiscard]] bool wait_ended(int count, core::milliseconds patience) const;
    /// Waits for all callers. @return all outcomes.
    [[nodiscard]] std::vector<call_outcome> finish();

private:
    void watch_health();
    void run_caller(int caller, int calls);
    call_outcome call_once(int caller, int number, int entry);

    const site& place;
    std::string prefix;
    mutable std::mutex guard;
    std::vector<call_outcome> outcomes;
    std::atomic<int> ended = 0;
    /// What the balancer in front of the entries knows of them.
    std::array<std::atomic<bool>, 2> healthy{true, true};
    std::atomic<bool> finished = false;
    std::thread balancer;
    std::vector<std::thread> callers;
};

/// Counts what must not happen.
[[nodiscard]] call_violations count_violations(const site& place,
                                               const std::vector<call_outcome>& outcomes);
/// @return the number of outcomes with an answer.
[[nodiscard]] int count_answered(const std::vector<call_outcome>& outcomes);
/// @return the number of calls whose connection broke.
[[nodiscard]] int count_lost(const std::vector<call_outcome>& outcomes);
/// @return the transcript's lines for a golden file: only what is the same in each run.
[[nodiscard]] std::string to_transcript(const call_violations& violations);

} // namespace chicorylift::testing
