#include "support/metrics.hpp"

#include <boost/histogram.hpp>
#include <map>
#include <mutex>
#include <sstream>

namespace chicorylift::support
{

namespace
{

namespace hist = boost::histogram;

// Four bins per decade, from 1 ms to about 28 hours.
constexpr unsigned bin_count = 32;
constexpr double shortest_ms = 1.0;
constexpr double longest_ms = 1e8;
constexpr double milliseconds_per_second = 1000.0;
// Bounds memory. Configuration limits the organisations; code limits the classes and names.
constexpr std::size_t max_series = 5000;

using axis = hist::axis::regular<double, hist::axis::transform::log>;
using histogram = decltype(hist::make_histogram(axis(bin_count, shortest_ms, longest_ms)));

struct series_key
{
    std::string name;
    std::string organisation;
    std::string job_class;
    friend auto operator<=>(const series_key&, const series_key&) = default;
};

struct series
{
    histogram times = hist::make_histogram(axis(bin_count, shortest_ms, longest_ms));
    double sum_ms{};
    std::uint64_t total{};
};

struct counter_key
{
    std::string name;
    std::string kind;
    friend auto operator<=>(const counter_key&, const counter_key&) = default;
};

std::string format_labels(const series_key& key)
{
    return "organisation=\"" + key.organisation + "\",class=\"" + key.job_class + "\"";
}

/// @return the value with the characters escaped that end a label or a line.
std::string escape_label(const std::string& value)
{
    std::string escaped;
    for (const char character : value)
    {
        if (character == '"' || character == '\\')
        {
            escaped += '\\';
        }
        escaped += character == '\n' ? ' ' : character;
    }
    return escaped;
}

void print_histogram(std::ostream& out, const series_key& key, const series& data)
{
    std::uint64_t cumulative = 0;
    for (auto&& bin : hist::indexed(data.times, hist::coverage::all))
    {
        cumulative += static_cast<std::uint64_t>(*bin);
        const bool last = bin.index() == static_cast<int>(bin_count);
        out << "chicorylift_" << key.name << "_seconds_bucket{" << format_labels(key) << ",le=\"";
        if (last)
        {
            out << "+Inf";
        }
        else
        {
            out << bin.bin().upper() / milliseconds_per_second;
        }
        out << "\"} " << cumulative << '\n';
    }
    out << "chicorylift_" << key.name << "_seconds_sum{" << format_labels(key) << "} "
        << data.sum_ms / milliseconds_per_second << '\n';
    out << "chicorylift_" << key.name << "_seconds_count{" << format_labels(key) << "} "
        << data.total << '\n';
}

} // namespace

struct metrics::implementation
{
    mutable std::mutex mutex;
    std::map<series_key, series> histograms;
    std::map<counter_key, std::uint64_t> counters;
    std::map<counter_key, std::int64_t> gauges;
};

metrics::metrics() : inner(std::make_unique<implementation>()) {}
metrics::~metrics() = default;

void metrics::observe(std::string_view name, const std::string& organisation,
                      std::string_view job_class, core::milliseconds time)
{
    const std::lock_guard lock(this->inner->mutex);
    const series_key key{std::string(name), organisation, std::string(job_class)};
    if (this->inner->histograms.size() >= max_series && !this->inner->histograms.contains(key))
    {
        return;
    }
    series& data = this->inner->histograms[key];
    data.times(static_cast<double>(time.count()));
    data.sum_ms += static_cast<double>(time.count());
    ++data.total;
}

void metrics::increment(std::string_view name, std::string_view kind, std::uint64_t amount)
{
    const std::lock_guard lock(this->inner->mutex);
    this->inner->counters[{std::string(name), std::string(kind)}] += amount;
}

void metrics::set(std::string_view name, std::string_view kind, std::int64_t value)
{
    const std::lock_guard lock(this->inner->mutex);
    const counter_key key{std::string(name), std::string(kind)};
    if (this->inner->gauges.size() < max_series || this->inner->gauges.contains(key))
    {
        this->inner->gauges[key] = value;
    }
}

void metrics::remove(std::string_view prefix, std::string_view kind)
{
    const std::lock_guard lock(this->inner->mutex);
    std::erase_if(this->inner->gauges, [prefix, kind](const auto& each)
                  { return each.first.kind == kind && each.first.name.starts_with(prefix); });
}

void metrics::set(std::string_view name, std::int64_t value)
{
    this->set(name, {}, value);
}

std::string metrics::to_text() const
{
    const std::lock_guard lock(this->inner->mutex);
    std::ostringstream out;
    for (const auto& [key, data] : this->inner->histograms)
    {
        print_histogram(out, key, data);
    }
    for (const auto& [key, total] : this->inner->counters)
    {
        out << "chicorylift_" << key.name << "_total{kind=\"" << key.kind << "\"} " << total
            << '\n';
    }
    for (const auto& [key, value] : this->inner->gauges)
    {
        out << "chicorylift_" << key.name;
        if (!key.kind.empty())
        {
            out << "{kind=\"" << escape_label(key.kind) << "\"}";
        }
        out << ' ' << value << '\n';
    }
    return out.str();
}

} // namespace chicorylift::support
