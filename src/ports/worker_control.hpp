#pragma once

#include "chicorylift/batch/scheduler.hpp"

#include <absl/status/statusor.h>
#include <functional>
#include <string>
#include <vector>

namespace chicorylift::ports
{

/// Reading of the worker's own clock.
using worker_time = core::milliseconds;

/// Result of a start or stop command.
enum class command_status
{
    /// Carried out by this command or by an earlier copy of it.
    accepted,
    /// Permanently rejected; the command has no effect.
    refused,
    /// The worker is unhealthy or unreachable; the command has no effect.
    unavailable,
    /// No definite answer; the command may take effect, now or seconds later.
    unknown,
};

/// Result of a start or stop command with its reason.
struct command_outcome
{
    command_status status = command_status::unknown;
    std::string reason;
};

/// Command to start one run of a unit.
struct start_request
{
    batch::unit_key unit;
    batch::run_number run{};
    std::uint64_t epoch{};
    std::string payload;
    std::string checkpoint;
    /// Time at which the worker stops all its runs unless the lease is renewed; never shortens
    /// the current lease.
    worker_time lease_expiry{};
};

/// State of a worker: its running units and the ends that have not been acknowledged.
struct worker_snapshot
{
    batch::unix_time started_at{};
    worker_time now{};
    std::vector<batch::reported_run> running;
    /// Ends with a number above poll_request::acknowledged_end.
    std::vector<batch::reported_end> ended;
    /// False if further ends may follow, which the worker lists once these are acknowledged, or if
    /// rows could not be read.
    bool ends_complete = true;
    /// Rows of both lists that could not be read, and are left out.
    std::size_t unreadable_rows{};
};

/// Request for a worker's run lists; also renews its lease and acknowledges ends.
struct poll_request
{
    std::uint64_t epoch{};
    std::uint64_t acknowledged_end{};
    /// New expiry of the lease; 0 leaves it unchanged.
    worker_time lease_expiry{};
    /// Longest time for which the worker may delay the response until a run ends.
    core::milliseconds max_wait{};
};

/// Reason why a poll returned no snapshot.
enum class poll_error
{
    none,
    /// The address is served by another worker, or by another process of this worker.
    incarnation_mismatch,
    /// The worker has seen a higher epoch.
    fenced,
    unreachable,
    /// Nothing listens at the worker's address.
    refused,
};

/// Result of a poll.
struct poll_outcome
{
    poll_error error = poll_error::none;
    worker_snapshot snapshot;
    std::string message;
};

/// Client of the worker that an agent controls; callbacks run on the event loop's thread.
class worker_control
{
public:
    worker_control() = default;
    virtual ~worker_control() = default;
    worker_control(const worker_control&) = delete;
    worker_control& operator=(const worker_control&) = delete;

    /// @param worker expected worker id; empty accepts any worker at the address.
    virtual void start(const core::worker_id& worker, const start_request& request,
                       std::function<void(command_outcome)> on_outcome) = 0;
    virtual void stop(const core::worker_id& worker, const batch::unit_key& unit,
                      batch::run_number run, std::uint64_t epoch,
                      std::function<void(command_outcome)> on_outcome) = 0;
    virtual void poll(const core::worker_id& worker, const poll_request& request,
                      std::function<void(poll_outcome)> on_outcome) = 0;
};

} // namespace chicorylift::ports
