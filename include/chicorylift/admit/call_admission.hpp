#pragma once

#include "chicorylift/core/error.hpp"
#include "chicorylift/core/ids.hpp"
#include "chicorylift/core/time.hpp"

#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>

/// Admission decisions of an agent, free of I/O: whether a call or a gang's part may start here.
namespace chicorylift::admit
{

/// Result of a request to cancel an attempt of a call.
enum class cancel_result
{
    /// The attempt has not started and never will.
    not_run,
    /// The attempt is running; its response follows.
    running,
    /// The attempt has ended and its response was sent.
    ended,
    /// The attempt is not on record; a later try_admit() of it is refused.
    not_seen,
};

/// Admits, starts and cancels calls. Enforces the slot limit and starts each attempt at most once.
/// Not thread-safe.
class call_admission
{
public:
    /// Sets the maximum number of concurrent calls.
    void set_slots(std::int64_t count) noexcept { this->slots = count; }
    /// Refuses new calls from now on, or accepts them again.
    void set_leaving(bool is_leaving) noexcept { this->leaving = is_leaving; }

    /// Admits an attempt and takes a slot for it.
    /// @return nothing if admitted, else the reason. A refused attempt has not run, except with
    /// outcome_unknown: the same attempt was admitted before.
    [[nodiscard]] std::optional<core::error_kind>
    try_admit(const core::request_id& id, std::int64_t attempt, core::instant now);
    /// Marks an admitted attempt as running.
    /// @return false if it is not admitted, e.g. was cancelled; it must not be sent to the
    /// upstream.
    [[nodiscard]] bool start(const core::request_id& id, std::int64_t attempt);
    /// Ends an admitted or running attempt and frees its slot.
    void finish(const core::request_id& id, std::int64_t attempt, core::instant now);
    /// Cancels an attempt unless it has started.
    [[nodiscard]] cancel_result cancel(const core::request_id& id, std::int64_t attempt,
                                       core::instant now);

    /// @return the number of calls that hold a slot.
    [[nodiscard]] std::int64_t in_flight() const noexcept { return this->in_flight_count; }
    /// @return the number of free slots; negative if set_slots() went below in_flight().
    [[nodiscard]] std::int64_t free_slots() const noexcept
    {
        return this->slots - this->in_flight_count;
    }

private:
    enum class phase
    {
        admitted,
        running,
        cancelled,
        ended,
    };

    struct attempt_key
    {
        core::request_id id;
        std::int64_t attempt{};
        friend bool operator==(const attempt_key&, const attempt_key&) = default;
    };

    struct attempt_hash
    {
        std::size_t operator()(const attempt_key& key) const noexcept
        {
            return std::hash<core::request_id>{}(key.id) ^ static_cast<std::size_t>(key.attempt);
        }
    };

    struct expiry_entry
    {
        core::instant until;
        attempt_key key;
    };

    /// Sets the final phase and schedules the record's removal.
    void record_final(const attempt_key& key, phase final, core::instant now);
    void evict_expired(core::instant now);

    std::int64_t slots{};
    std::int64_t in_flight_count{};
    bool leaving = false;
    std::unordered_map<attempt_key, phase, attempt_hash> attempts;
    std::deque<expiry_entry> expiry_queue;
};

} // namespace chicorylift::admit
