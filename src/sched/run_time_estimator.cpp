#include "chicorylift/sched/run_time_estimator.hpp"

#include <algorithm>
#include <cmath>

namespace chicorylift::sched
{

namespace
{

// Four buckets for each doubling: an estimate is at most 19% above the true quantile.
constexpr double buckets_per_doubling = 4.0;
constexpr std::uint32_t fewest_runs = 5;
constexpr std::size_t most_histories = 10'000;

std::size_t bucket_of(core::milliseconds ran, std::size_t bucket_count)
{
    const double length = std::max<double>(1.0, static_cast<double>(ran.count()));
    const auto bucket = static_cast<std::size_t>(std::log2(length) * buckets_per_doubling);
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
                                core::milliseconds ran)
{
    const std::string key = key_of(organisation, kind);
    // Kinds are named by callers; without a bound they could fill the memory.
    if (this->histograms.size() >= most_histories && !this->histograms.contains(key))
    {
        return;
    }
    histogram& known = this->histograms[key];
    ++known.counts[bucket_of(ran, bucket_count)];
    ++known.total;
}

core::milliseconds run_time_estimator::estimate(const core::organisation_id& organisation,
                                                const std::string& kind,
                                                core::milliseconds declared, double quantile) const
{
    const auto found = this->histograms.find(key_of(organisation, kind));
    if (found == this->histograms.end() || found->second.total < fewest_runs)
    {
        return declared;
    }
    const histogram& known = found->second;
    const auto wanted = static_cast<std::uint32_t>(std::ceil(quantile * known.total));
    std::uint32_t seen = 0;
    for (std::size_t bucket = 0; bucket < bucket_count; ++bucket)
    {
        seen += known.counts[bucket];
        if (seen >= wanted)
        {
            return upper_edge(bucket);
        }
    }
    return upper_edge(bucket_count - 1);
}

} // namespace chicorylift::sched
