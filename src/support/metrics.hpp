#pragma once

#include "chicorylift/core/time.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace chicorylift::support
{

/// Histograms of times by organisation and class, and counters.
class metrics
{
public:
    metrics();
    ~metrics();
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;

    /// Adds a time to the histogram @p name of an organisation and class.
    void observe(std::string_view name, const std::string& organisation, std::string_view job_class,
                 core::milliseconds time);
    /// Adds to a counter; @p kind tells counters of one name apart.
    void increment(std::string_view name, std::string_view kind, std::uint64_t amount = 1);

    /// @return all figures in the text format that metric collectors read.
    [[nodiscard]] std::string to_text() const;

private:
    struct implementation;
    std::unique_ptr<implementation> inner;
};

} // namespace chicorylift::support
