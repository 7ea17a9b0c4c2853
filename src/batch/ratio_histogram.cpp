#include "batch/ratio_histogram.hpp"

#include <algorithm>
#include <cmath>

namespace chicorylift::batch
{

namespace
{

// A run that outlasts all recorded ones has no distribution to go by. Less than this weight beyond
// it counts as none.
constexpr double min_weight_above = 0.5;
// Ratios of powers of 2^(1/4), and so run times exactly as declared, lie in the middle of a bucket.
constexpr double middle_of_bucket = 0.5;

double position_of(double ratio)
{
    return (std::log2(ratio) - ratio_histogram::min_doubling) *
               ratio_histogram::buckets_per_doubling +
           middle_of_bucket;
}

} // namespace

void ratio_histogram::add(double ratio)
{
    const auto bucket = static_cast<std::size_t>(
        std::clamp(position_of(ratio), 0.0, static_cast<double>(bucket_count - 1)));
    this->total = 0;
    for (float& weight : this->weights)
    {
        weight *= static_cast<float>(this->keep);
        this->total += static_cast<double>(weight);
    }
    this->weights[bucket] += 1;
    this->total += 1;
}

double ratio_histogram::median_above(double bound) const
{
    const double first = bound <= 0 ? 0 : std::max(0.0, position_of(bound));
    // Weight within a bucket counts as spread evenly over it.
    const auto weight_above = [this, first](std::size_t bucket)
    {
        const double share = std::clamp(static_cast<double>(bucket) + 1 - first, 0.0, 1.0);
        return share * static_cast<double>(this->weights[bucket]);
    };
    double above = 0;
    for (std::size_t bucket = 0; bucket < bucket_count; ++bucket)
    {
        above += weight_above(bucket);
    }
    if (above < min_weight_above)
    {
        // Run times with a long tail: what has lasted long is expected to last as long again.
        return 2 * bound;
    }
    double wanted = above / 2;
    for (std::size_t bucket = 0; bucket < bucket_count; ++bucket)
    {
        const double here = weight_above(bucket);
        if (here >= wanted && here > 0)
        {
            const double begin = std::max(static_cast<double>(bucket), first);
            const double end = static_cast<double>(bucket) + 1;
            const double position = begin + (end - begin) * wanted / here;
            return std::exp2((position - middle_of_bucket) / buckets_per_doubling + min_doubling);
        }
        wanted -= here;
    }
    return std::exp2(max_doubling);
}

} // namespace chicorylift::batch
