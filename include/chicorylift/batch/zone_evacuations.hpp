#pragma once

#include "chicorylift/core/ids.hpp"
#include "chicorylift/core/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>

namespace chicorylift::batch
{

/// A request to evacuate an availability zone that is in force.
struct zone_evacuation
{
    /// Version of the request's row, in its newest form.
    std::uint64_t row_version{};
    /// When this process first saw the request.
    core::instant since{};
};

/// What a request's row, or its removal, has changed.
enum class evacuation_change
{
    /// The row is no newer than the one in force.
    none,
    begun,
    /// The row of a request in force was written again.
    repeated,
    ended,
    /// The row was removed before this process saw it.
    unseen,
};

/// How recent a leader's reads of the store are.
struct evacuation_view
{
    /// When the latest call was sent whose answer confirmed the requests.
    core::instant confirmed_at{};
    /// When the store last answered another read.
    core::instant other_answer_at{};
};

/// Requests to evacuate availability zones, as read from their rows, and whether this view is
/// recent enough to start work by it.
///
/// Addresses a store that answers some calls and not others, and a leader whose process was paused:
/// each would start work in a zone of whose evacuation it does not know. Owns no thread, socket or
/// clock.
class zone_evacuations
{
public:
    /// @param limit time after the request within which starts in the zone must cease; 0 disables
    ///        evacuations.
    explicit zone_evacuations(core::milliseconds limit) : limit(limit) {}

    [[nodiscard]] bool is_enabled() const noexcept { return this->limit.count() > 0; }
    /// @return the longest wait of a watch with which the view stays recent.
    [[nodiscard]] core::milliseconds watch_wait(core::milliseconds usual) const noexcept;

    evacuation_change on_request(const core::zone_id& zone, std::uint64_t row_version,
                                 core::instant now);
    evacuation_change on_removal(const core::zone_id& zone);
    /// Records that this process may have been paused until now. The view must be confirmed by a
    /// call that is sent later.
    void on_pause(core::instant now) noexcept { this->resumed_at = now; }

    /// @return whether work may be started by this view.
    [[nodiscard]] bool is_current(const evacuation_view& view, core::instant now) const noexcept;
    [[nodiscard]] const std::map<core::zone_id, zone_evacuation>& in_force() const noexcept
    {
        return this->requests;
    }
    [[nodiscard]] std::set<core::zone_id> zones() const;

private:
    core::milliseconds limit;
    std::map<core::zone_id, zone_evacuation> requests;
    std::optional<core::instant> resumed_at;
};

} // namespace chicorylift::batch
