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

/// Admits calls and brings them to the upstream beside this agent.
class call_handler
{
public:
    /// @param send queues a message for another process.
    /// @param threads calls that may be open to the upstream at once.
    call_handler(std::string incarnation, std::size_t threads,
                 std::function<void(const std::string&, wire::envelope)> send);

    /// Takes in what the upstream announced.
    void apply_announcement(const wire::announcement& upstream);
    /// Refuses new calls from now on, or accepts them again.
    void set_leaving(bool leaving);

    /// Handles a call from the entry at @p from.
    void on_call(const std::string& from, const wire::call_request& call);
    /// Handles a cancellation from the entry at @p from.
    void on_cancel(const std::string& from, const wire::call_cancel& cancel);

    /// @return the calls that hold a slot.
    [[nodiscard]] std::int64_t in_flight() const;
    /// @return the addresses of entries that have sent calls.
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
