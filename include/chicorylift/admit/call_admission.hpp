#pragma once

#include "chicorylift/core/error.hpp"
#include "chicorylift/core/ids.hpp"
#include "chicorylift/core/time.hpp"

#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>

/// Pure decisions of an agent: whether a call or a part of a gang may start here.
namespace chicorylift::admit
{

/// What an agent says when it is asked to cancel a call.
enum class cancel_result
{
    /// It has not started and never will.
    not_run,
    /// It runs; its answer follows.
    running,
    /// It ended; its answer was sent.
    ended,
    /// This agent has never seen it; it is barred from now on.
    not_seen,
};

/// The single point where a call starts: slots, leaving, cancellation and at most once.
class call_admission
{
public:
    /// Sets how many calls may run at once.
    void set_slots(std::int64_t count) noexcept { this->slots = count; }
    /// Refuses new calls from now on, or accepts them again.
    void set_leaving(bool is_leaving) noexcept { this->leaving = is_leaving; }

    /// Offers a call.
    /// @return nothing when it is admitted, else why not; a refused call has not run.
    [[nodiscard]] std::optional<core::error_kind>
    try_admit(const core::request_id& id, std::int64_t attempt, core::instant now);
    /// Marks an admitted call as started.
    /// @return false when it was cancelled first; it must not be sent to the upstream then.
    [[nodiscard]] bool start(const core::request_id& id, std::int64_t attempt);
    /// Reports the end of an admitted call.
    void finish(const core::request_id& id, std::int64_t attempt, core::instant now);
    /// Cancels a call unless it has started.
    [[nodiscard]] cancel_result cancel(const core::request_id& id, std::int64_t attempt,
                                       core::instant now);

    /// @return the calls that hold a slot.
    [[nodiscard]] std::int64_t in_flight() const noexcept { return this->in_flight_count; }
    /// @return the slots that are free.
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

    void record_final(const attempt_key& key, phase final, core::instant now);
    void evict_expired(core::instant now);

    std::int64_t slots{};
    std::int64_t in_flight_count{};
    bool leaving = false;
    std::unordered_map<attempt_key, phase, attempt_hash> attempts;
    std::deque<expiry_entry> expiry_queue;
};

} // namespace chicorylift::admit
