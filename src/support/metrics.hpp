#pragma once

#include "chicorylift/core/time.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace chicorylift::support
{

/// Counters, and duration histograms by organisation and job class; thread-safe.
class metrics
{
public:
    metrics();
    ~metrics();
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;

    /// Adds a duration to the histogram @p name of an organisation and job class.
    ///
    /// Ignored when it would create a series beyond the limit of 5000.
    void observe(std::string_view name, const std::string& organisation, std::string_view job_class,
                 core::milliseconds time);
    /// Increments the counter @p name with the label value @p kind.
    void increment(std::string_view name, std::string_view kind, std::uint64_t amount = 1);
    /// Sets the gauge @p name, which has no labels.
    void set(std::string_view name, std::int64_t value);
    /// Sets the gauge @p name with the label value @p kind.
    void set(std::string_view name, std::string_view kind, std::int64_t value);
    /// Removes the gauges with the label value @p kind whose names begin with @p prefix.
    void remove(std::string_view prefix, std::string_view kind);

    /// @return all metrics in the Prometheus text format.
    [[nodiscard]] std::string to_text() const;

private:
    struct implementation;
    std::unique_ptr<implementation> inner;
};

} // namespace chicorylift::support
