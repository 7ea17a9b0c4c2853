#pragma once

#include "chicorylift/core/ids.hpp"
#include "chicorylift/core/time.hpp"

#include <array>
#include <cstdint>
#include <string>
#include <unordered_map>

namespace chicorylift::sched
{

/// Estimates run times from a logarithmic histogram for each pair of organisation and kind.
class run_time_estimator
{
public:
    /// Records the run time of one successful run.
    void record(const core::organisation_id& organisation, const std::string& kind,
                core::milliseconds run_time);

    /// @param quantile between 0 and 1.
    /// @return the quantile of the recorded run times, or @p declared when fewer than five runs are
    /// recorded.
    [[nodiscard]] core::milliseconds estimate(const core::organisation_id& organisation,
                                              const std::string& kind, core::milliseconds declared,
                                              double quantile) const;

private:
    static constexpr std::size_t bucket_count = 96;

    struct histogram
    {
        std::array<std::uint32_t, bucket_count> counts{};
        std::uint32_t total{};
    };

    static std::string key_of(const core::organisation_id& organisation, const std::string& kind);

    std::unordered_map<std::string, histogram> histograms;
};

} // namespace chicorylift::sched
