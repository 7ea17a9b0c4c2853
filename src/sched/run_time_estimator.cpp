#include "chicorylift/sched/run_time_estimator.hpp"

#include <algorithm>
#include <cmath>

namespace chicorylift::sched
{

namespace
{

// Four buckets per doubling: an estimate is at most 19% (2^(1/4) - 1) above the true quantile.
constexpr double buckets_per_doubling = 4.0;
constexpr std::uint32_t min_recorded_runs = 5;
constexpr std::size_t max_histograms = 10'000;

std::size_t bucket_of(core::milliseconds run_time, std::size_t bucket_count)
{
    const double clamped_ms = std::max<double>(1.0, static_cast<double>(run_time.count()));
    const auto bucket = static_cast<std::size_t>(std::log2(clamped_ms) * buckets_per_doubling);
    return std::min(bucket, bucket_count - 1);
}

core::milliseconds upper_edge(std::size_t bucket)
{
    const double exponent = (static_cast<double>(bucket) + 1.0) / buckets_per_doubling;
    return core::milliseconds{static_cast<std::int64_t>(std::exp2(exponent))};
}

} // namespace

std::string run_time_estimator::key_of(const core::organisation_id& organisation,
                                       const std::string& kind)
{
    return organisation.str() + '\n' + kind;
}

void run_time_estimator::record(const core::organisation_id& organisation, const std::string& kind,
                                core::milliseconds run_time)
{
    const std::string key = key_of(organisation, kind);
    // Callers choose the kinds, so the number of histograms is bounded to limit memory.
    if (this->histograms.size() >= max_histograms && !this->histograms.contains(key))
    {
        return;
    }
    histogram& recorded = this->histograms[key];
    ++recorded.counts[bucket_of(run_time, bucket_count)];
    ++recorded.total;
}

core::milliseconds run_time_estimator::estimate(const core::organisation_id& organisation,
                                                const std::string& kind,
                                                core::milliseconds declared, double quantile) const
{
    const auto found = this->histograms.find(key_of(organisation, kind));
    if (found == this->histograms.end() || found->second.total < min_recorded_runs)
    {
        return declared;
    }
    const histogram& recorded = found->second;
    const auto target_count = static_cast<std::uint32_t>(std::ceil(quantile * recorded.total));
    std::uint32_t cumulative_count = 0;
    for (std::size_t bucket = 0; bucket < bucket_count; ++bucket)
    {
        cumulative_count += recorded.counts[bucket];
        if (cumulative_count >= target_count)
        {
            return upper_edge(bucket);
        }
    }
    return upper_edge(bucket_count - 1);
}

} // namespace chicorylift::sched
