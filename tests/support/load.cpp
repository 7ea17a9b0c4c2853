#include "support/load.hpp"

#include "chicorylift/core/error.hpp"
#include "wire/json.hpp"

#include <map>
#include <utility>

namespace chicorylift::testing
{

namespace
{

constexpr const char* call_timeout_ms = "3000";

} // namespace

call_load::call_load(const site& place, int threads, int calls_each, std::string prefix)
    : place(place), prefix(std::move(prefix))
{
    this->balancer = std::thread([this] { this->watch_health(); });
    for (int caller = 0; caller < threads; ++caller)
    {
        this->callers.emplace_back([this, caller, calls_each]
                                   { this->run_caller(caller, calls_each); });
    }
}

call_load::~call_load()
{
    for (std::thread& caller : this->callers)
    {
        if (caller.joinable())
        {
            caller.join();
        }
    }
    this->finished = true;
    if (this->balancer.joinable())
    {
        this->balancer.join();
    }
}

void call_load::watch_health()
{
    constexpr core::milliseconds interval{50};
    while (!this->finished)
    {
        for (int entry = 0; entry < 2; ++entry)
        {
            net::client_request request;
            request.address = this->place.entry_http(entry);
            request.path = "/healthz";
            const auto answer = net::send_request(request);
            this->healthy[static_cast<std::size_t>(entry)] = answer.ok() && answer->status == 200;
        }
        std::this_thread::sleep_for(interval);
    }
}

bool call_load::wait_ended(int count, core::milliseconds patience) const
{
    return site::wait_until([this, count] { return this->ended >= count; }, patience);
}

std::vector<call_outcome> call_load::finish()
{
    for (std::thread& caller : this->callers)
    {
        caller.join();
    }
    this->callers.clear();
    return this->outcomes;
}

void call_load::run_caller(int caller, int calls)
{
    for (int number = 0; number < calls; ++number)
    {
        const int chosen = (caller + number) % 2;
        const int other = 1 - chosen;
        const bool use_chosen = this->healthy[static_cast<std::size_t>(chosen)];
        call_outcome outcome = this->call_once(caller, number, use_chosen ? chosen : other);
        if (outcome.refused)
        {
            // A refused connection is tried at the other entry, as a balancer does.
            outcome = this->call_once(caller, number, use_chosen ? other : chosen);
        }
        const std::lock_guard lock(this->guard);
        this->outcomes.push_back(std::move(outcome));
        ++this->ended;
    }
}

call_outcome call_load::call_once(int caller, int number, int entry)
{
    call_outcome outcome;
    outcome.body = this->prefix + "-" + std::to_string(caller) + "-" + std::to_string(number);
    outcome.idempotent = number % 2 == 0;
    const std::string organisation = caller % 2 == 0 ? "volunteers" : "families";
    const auto answer = this->place.call(entry, organisation, outcome.body,
                                         {{"X-Idempotent", outcome.idempotent ? "true" : "false"},
                                          {"X-Timeout-Ms", call_timeout_ms}});
    if (!answer.ok())
    {
        outcome.refused = core::kind_of(answer.status()) == core::error_kind::no_upstream;
        outcome.connection_lost = !outcome.refused;
        outcome.error = std::string(answer.status().message());
        return outcome;
    }
    outcome.answered = answer->status == 200;
    outcome.own_answer = answer->body == "answer to " + outcome.body;
    wire::error_document error;
    if (!outcome.answered && wire::from_json_lenient(answer->body, error).ok())
    {
        outcome.not_run = error.work() == "not_run";
        outcome.error = error.error() + ": " + error.message();
    }
    return outcome;
}

call_violations count_violations(const site& place, const std::vector<call_outcome>& outcomes)
{
    std::map<std::string, int> begun;
    for (const recorded_run& run : place.runs())
    {
        if (run.event == "call")
        {
            ++begun[run.name];
        }
    }
    call_violations found;
    for (const call_outcome& outcome : outcomes)
    {
        const int runs = begun[outcome.body];
        found.ran_twice += !outcome.idempotent && runs > 1 ? 1 : 0;
        found.ran_though_not_run += outcome.not_run && runs > 0 ? 1 : 0;
        found.foreign_or_partial += outcome.answered && !outcome.own_answer ? 1 : 0;
        found.answered_but_never_ran += outcome.answered && runs == 0 ? 1 : 0;
    }
    return found;
}

int count_answered(const std::vector<call_outcome>& outcomes)
{
    int count = 0;
    for (const call_outcome& outcome : outcomes)
    {
        count += outcome.answered ? 1 : 0;
    }
    return count;
}

int count_lost(const std::vector<call_outcome>& outcomes)
{
    int count = 0;
    for (const call_outcome& outcome : outcomes)
    {
        count += outcome.connection_lost ? 1 : 0;
    }
    return count;
}

std::string to_transcript(const call_violations& violations)
{
    return "non-idempotent requests run twice: " + std::to_string(violations.ran_twice) +
           "\nrequests answered not_run that ran: " +
           std::to_string(violations.ran_though_not_run) +
           "\nanswers foreign or partial: " + std::to_string(violations.foreign_or_partial) +
           "\nanswers without a run: " + std::to_string(violations.answered_but_never_ran) + "\n";
}

} // namespace chicorylift::testing
