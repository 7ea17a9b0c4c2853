#pragma once

#include "chicorylift/core/ids.hpp"
#include "chicorylift/core/time.hpp"

#include <array>
#include <cstdint>
#include <string>
#include <unordered_map>

namespace chicorylift::sched
{

/// Learns run times by organisation and kind as quantiles of logarithmic buckets.
class run_time_estimator
{
public:
    /// Takes in one finished run.
    void record(const core::organisation_id& organisation, const std::string& kind,
                core::milliseconds ran);

    /// @param quantile between 0 and 1.
    /// @return the learned quantile, or @p declared while too few runs are known.
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
