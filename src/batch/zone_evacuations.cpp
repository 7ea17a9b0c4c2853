#include "chicorylift/batch/zone_evacuations.hpp"

#include <algorithm>

namespace chicorylift::batch
{

namespace
{

// A start that is issued takes up to this long until its worker has it: an agent waits 0.7 s for
// its worker's response before it sends the start once more.
constexpr core::milliseconds start_delivery_margin{1000};
// Two watches pass between a change and the latest time at which its watch is known to have missed
// it, so a watch takes a fifth of the limit at most.
constexpr std::int64_t watches_per_limit = 5;
// The leader's row is watched for 0.5 s at a time, and such a call times out after 1.1 s. A store
// that has answered no read for longer answers nobody.
constexpr core::milliseconds store_silence{1500};

} // namespace

core::milliseconds zone_evacuations::watch_wait(core::milliseconds usual) const noexcept
{
    return this->is_enabled() ? std::min(usual, this->limit / watches_per_limit) : usual;
}

evacuation_change zone_evacuations::on_request(const core::zone_id& zone, std::uint64_t row_version,
                                               core::instant now)
{
    const auto [found, inserted] =
        this->requests.try_emplace(zone, zone_evacuation{row_version, now});
    if (inserted)
    {
        return evacuation_change::begun;
    }
    if (row_version <= found->second.row_version)
    {
        return evacuation_change::none;
    }
    found->second.row_version = row_version;
    return evacuation_change::repeated;
}

evacuation_change zone_evacuations::on_removal(const core::zone_id& zone)
{
    return this->requests.erase(zone) > 0 ? evacuation_change::ended : evacuation_change::unseen;
}

bool zone_evacuations::is_current(const evacuation_view& view, core::instant now) const noexcept
{
    if (!this->is_enabled())
    {
        return true;
    }
    const bool paused = this->resumed_at.has_value() && view.confirmed_at < *this->resumed_at;
    if (!paused && now - view.confirmed_at <= this->limit - start_delivery_margin)
    {
        return true;
    }
    // Operators get no acknowledgement of a request from a store that answers nobody. After a
    // pause, the store's answers of before do not show whether it answers now.
    const core::instant known_since =
        paused ? std::max(view.other_answer_at, *this->resumed_at) : view.other_answer_at;
    return now - known_since > store_silence;
}

std::set<core::zone_id> zone_evacuations::zones() const
{
    std::set<core::zone_id> names;
    for (const auto& [zone, request] : this->requests)
    {
        names.insert(zone);
    }
    return names;
}

} // namespace chicorylift::batch
