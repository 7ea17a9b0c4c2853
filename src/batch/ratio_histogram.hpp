#pragma once

#include <array>
#include <cstddef>

namespace chicorylift::batch
{

/// Decayed distribution of (run time at normal speed / declared time), in buckets of equal ratio.
class ratio_histogram
{
public:
    /// Four buckets per doubling: a value is at most 19 % (2^(1/4) - 1) off.
    static constexpr double buckets_per_doubling = 4;
    /// The buckets cover ratios from 2^-5 to 2^9; the ends hold what lies beyond.
    static constexpr int min_doubling = -5;
    static constexpr int max_doubling = 9;

    /// @param window number of runs after which the weight of a run has fallen to 1/e.
    explicit ratio_histogram(double window) : keep(1 - 1 / window) {}

    void add(double ratio);
    /// @return the sum of all weights: the number of runs until it approaches the window.
    [[nodiscard]] double weight() const noexcept { return this->total; }
    /// @return the median of the ratios that exceed @p bound; twice the bound when hardly any does.
    [[nodiscard]] double median_above(double bound) const;

private:
    static constexpr std::size_t bucket_count =
        static_cast<std::size_t>((max_doubling - min_doubling) * buckets_per_doubling);

    double keep;
    double total = 0;
    std::array<float, bucket_count> weights{};
};

} // namespace chicorylift::batch
