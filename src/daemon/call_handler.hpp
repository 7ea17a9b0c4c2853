#pragma once

#include "chicorylift/admit/call_admission.hpp"
#include "net/transport.hpp"
#include "support/executor.hpp"
#include "wire/wire.pb.h"

#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <string>

namespace chicorylift::daemon
{

/// Admits calls and forwards them to the upstream of this agent. Thread-safe.
class call_handler
{
public:
    /// @param incarnation identifies this run of the agent; calls for another one are rejected.
    /// @param threads maximum number of concurrent requests to the upstream.
    /// @param send queues a message to the process at the given address.
    call_handler(std::string incarnation, std::size_t threads,
                 std::function<void(const std::string&, wire::envelope)> send);

    /// Applies the address and slots that the upstream announced.
    void apply_announcement(const wire::announcement& upstream);
    /// Rejects new calls while @p leaving is true.
    void set_leaving(bool leaving);

    /// Admits a call from the entry at @p from and forwards it, or replies with an error.
    void on_call(const std::string& from, const wire::call_request& call);
    /// Cancels a call of the entry at @p from unless it already runs.
    void on_cancel(const std::string& from, const wire::call_cancel& cancel);

    /// @return the number of calls that hold a slot.
    [[nodiscard]] std::int64_t in_flight() const;
    /// @return the addresses of entries that have sent calls, at most 256.
    [[nodiscard]] std::set<std::string> entries() const;

private:
    void run_call(const std::string& from, const wire::call_request& call);
    void reply_error(const std::string& from, const std::string& request, std::uint32_t attempt,
                     core::error_kind kind, const std::string& message);

    std::string incarnation;
    std::function<void(const std::string&, wire::envelope)> send;
    mutable std::mutex mutex;
    admit::call_admission admission;
    std::string upstream_address;
    std::set<std::string> known_entries;
    support::thread_pool call_pool;
};

} // namespace chicorylift::daemon
