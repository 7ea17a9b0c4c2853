#pragma once

#include "chicorylift/batch/scheduler.hpp"

#include <absl/status/statusor.h>
#include <functional>
#include <string>
#include <vector>

namespace chicorylift::ports
{

/// Time on a worker's own clock.
using worker_time = core::milliseconds;

/// How an order to a worker ended.
enum class command_status
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
struct command_outcome
{
    command_status status = command_status::unknown;
    std::string reason;
};

/// Start of one unit.
struct start_request
{
    batch::unit_key unit;
    batch::run_number run{};
    std::uint64_t epoch{};
    std::string payload;
    std::string checkpoint;
    /// Everything on the worker ends then, unless it is extended; never shortens.
    worker_time lease_expiry{};
};

/// What a worker says of everything that runs on it.
struct worker_snapshot
{
    batch::unix_time started_at{};
    worker_time now{};
    std::vector<batch::reported_run> running;
    /// Ends after the last one that was noted.
    std::vector<batch::reported_end> ended;
};

/// Look at a worker's lists that may renew its lease and forget noted ends.
struct poll_request
{
    std::uint64_t epoch{};
    std::uint64_t acknowledged_end{};
    /// New end of the lease; 0 leaves it.
    worker_time lease_expiry{};
    /// How long the answer may wait for an end.
    core::milliseconds max_wait{};
};

/// Why a look brought nothing.
enum class poll_error
{
    none,
    /// Another worker, or another life of it, is there.
    incarnation_mismatch,
    /// A later epoch has been seen.
    fenced,
    unreachable,
};

/// Outcome of a look.
struct poll_outcome
{
    poll_error error = poll_error::none;
    worker_snapshot snapshot;
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
    virtual void start(const core::worker_id& worker, const start_request& what,
                       std::function<void(command_outcome)> on_outcome) = 0;
    virtual void stop(const core::worker_id& worker, const batch::unit_key& unit,
                      batch::run_number run, std::uint64_t epoch,
                      std::function<void(command_outcome)> on_outcome) = 0;
    virtual void poll(const core::worker_id& worker, const poll_request& what,
                      std::function<void(poll_outcome)> on_outcome) = 0;
};

} // namespace chicorylift::ports
