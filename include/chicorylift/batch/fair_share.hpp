#pragma once

#include "chicorylift/batch/job.hpp"

#include <cstdint>
#include <map>

/// Shares of capacity that organisations hold, which order competing groups.
///
/// Answers an organisation that submits much more than others of the same priority. Shares decide
/// only who goes first, so that they keep no capacity idle.
namespace chicorylift::batch
{

/// @return the largest share of the capacity that the request takes of any resource.
[[nodiscard]] double dominant_share(const resource_amount& request,
                                    const resource_amount& capacity) noexcept;

/// What the organisations that compete within a priority hold, relative to their fair shares.
class organisation_shares
{
public:
    /// @param guaranteed accelerators that are guaranteed to the organisations. An organisation's
    ///        weight is its guarantee relative to the mean guarantee, plus one.
    explicit organisation_shares(const std::map<core::organisation_id, std::int64_t>& guaranteed);

    /// Adds work that the organisation holds, as its dominant share of the capacity.
    void add_held(const core::organisation_id& organisation, double share);
    /// Adds a waiting organisation to those that compete.
    void add_competitor(const core::organisation_id& organisation);
    /// Adds a group that comes before others of the organisation. It counts for no more than the
    /// fair share, so that a wide gang does not keep back all other work of its organisation.
    void add_waiting(const core::organisation_id& organisation, double share);
    /// Sets the capacity that the priority holds or could get, as a share of all.
    void set_available(double share) noexcept { this->available = share; }

    /// @return the organisation's part of the available capacity, by weight.
    [[nodiscard]] double fair_share(const core::organisation_id& organisation) const;
    /// @return 0 for an organisation below its fair share, 1 below twice the share, and so on for
    ///         each doubling. Differences below a doubling do not matter, so that the other terms
    ///         of the order decide among organisations that hold about their share.
    [[nodiscard]] int level_of(const core::organisation_id& organisation) const;

private:
    [[nodiscard]] double weight_of(const core::organisation_id& organisation) const;

    const std::map<core::organisation_id, std::int64_t>& guaranteed;
    std::map<core::organisation_id, double> held;
    double mean_guarantee = 1;
    double total_weight{};
    double available = 1;
};

} // namespace chicorylift::batch
