#pragma once

#include "chicorylift/batch/scheduler.hpp"

#include <absl/status/statusor.h>
#include <functional>
#include <string>
#include <vector>

namespace chicorylift::ports
{

/// Time on a worker's own clock.
using worker_clock = core::milliseconds;

/// How an order to a worker ended.
enum class order_result
{
    /// Carried out, now or before.
    accepted,
    /// Refused for good; nothing happened.
    refused,
    /// The worker is unwell or not reachable; nothing happened.
    unavailable,
    /// It may be carried out, now or seconds later.
    unknown,
};

/// Outcome of a start or stop.
struct order_outcome
{
    order_result result = order_result::unknown;
    std::string reason;
};

/// Start of one unit.
struct worker_start
{
    batch::unit_key unit;
    batch::run_number run{};
    std::uint64_t epoch{};
    std::string payload;
    std::string checkpoint;
    /// Everything on the worker ends then, unless it is extended; never shortens.
    worker_clock lease_until{};
};

/// What a worker says of everything that runs on it.
struct worker_lists
{
    batch::unix_time born{};
    worker_clock clock{};
    std::vector<batch::reported_run> running;
    /// Ends after the last one that was noted.
    std::vector<batch::reported_end> ended;
};

/// Look at a worker's lists that may renew its lease and forget noted ends.
struct worker_look
{
    std::uint64_t epoch{};
    std::uint64_t noted{};
    /// New end of the lease; 0 leaves it.
    worker_clock lease_until{};
    /// How long the answer may wait for an end.
    core::milliseconds wait{};
};

/// Why a look brought nothing.
enum class look_failure
{
    none,
    /// Another worker, or another life of it, is there.
    other_worker,
    /// A later epoch has been seen.
    fenced,
    no_answer,
};

/// Outcome of a look.
struct look_outcome
{
    look_failure failure = look_failure::none;
    worker_lists lists;
    std::string message;
};

/// Control of the one worker beside an agent; answers come on the loop's thread.
class worker_control
{
public:
    worker_control() = default;
    virtual ~worker_control() = default;
    worker_control(const worker_control&) = delete;
    worker_control& operator=(const worker_control&) = delete;

    /// @param worker the worker's id, or empty for whichever is there.
    virtual void start(const core::worker_id& worker, const worker_start& what,
                       std::function<void(order_outcome)> on_outcome) = 0;
    virtual void stop(const core::worker_id& worker, const batch::unit_key& unit,
                      batch::run_number run, std::uint64_t epoch,
                      std::function<void(order_outcome)> on_outcome) = 0;
    virtual void look(const core::worker_id& worker, const worker_look& what,
                      std::function<void(look_outcome)> on_outcome) = 0;
};

} // namespace chicorylift::ports
