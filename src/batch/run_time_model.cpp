#include "chicorylift/batch/run_time_model.hpp"

#include "batch/ratio_histogram.hpp"
#include "batch/worker_speeds.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <tuple>

namespace chicorylift::batch
{

namespace
{

// Times over declared times beyond these are not plausible: a tail of 7 times as long, an estimate
// that is 4 times too short and a slow worker (2.2) together make 62.
constexpr double min_ratio = 1.0 / 64;
constexpr double max_ratio = 256;
constexpr core::milliseconds max_time = std::chrono::hours{48};
constexpr std::int64_t full_percent = 100;
// A distribution counts from this many runs on; below, the next more general one is used. With
// fewer runs a single one of the tail shifts the median.
constexpr double min_runs = 8;
// Windows of the decayed distributions, in runs.
constexpr double organisation_window = 64;
constexpr double queue_window = 256;
constexpr double service_window = 512;
// Memory: 250 bytes each. 310 organisations with 13 queues each fit.
constexpr std::size_t max_distributions = 4096;
// Observed progress counts alone from this share of the work on; below, in proportion. Progress has
// a resolution of 1 % and of the interval of reports.
constexpr double trusted_gain = 20;

bool is_plausible(core::milliseconds declared, core::milliseconds time, double share)
{
    if (declared.count() <= 0 || declared > max_time || time.count() <= 0 || time > max_time)
    {
        return false;
    }
    const double ratio =
        static_cast<double>(time.count()) / (static_cast<double>(declared.count()) * share);
    return ratio >= min_ratio && ratio <= max_ratio;
}

core::milliseconds to_time(double milliseconds)
{
    const double limit = static_cast<double>(max_time.count());
    return core::milliseconds{std::llround(std::clamp(milliseconds, 0.0, limit))};
}

bool is_speed(double speed)
{
    return std::isfinite(speed) && speed > 0;
}

} // namespace

struct run_time_model::implementation
{
    /// Organisation, queue, service, and whether it holds gangs; empty for all.
    using key = std::tuple<core::organisation_id, queue_id, core::service_id, bool>;

    struct distribution
    {
        ratio_histogram ratios;
        std::uint64_t used{};
    };

    static std::array<std::pair<key, double>, 3> keys_of(const run_kind& kind)
    {
        return {{{{kind.organisation, kind.queue, kind.service, kind.gang}, organisation_window},
                 {{{}, kind.queue, kind.service, kind.gang}, queue_window},
                 {{{}, {}, kind.service, kind.gang}, service_window}}};
    }

    void add(const key& name, double window, double ratio)
    {
        auto found = this->distributions.find(name);
        if (found == this->distributions.end())
        {
            if (this->distributions.size() >= max_distributions)
            {
                this->distributions.erase(
                    std::min_element(this->distributions.begin(), this->distributions.end(),
                                     [](const auto& left, const auto& right)
                                     { return left.second.used < right.second.used; }));
            }
            found =
                this->distributions.emplace(name, distribution{ratio_histogram(window), 0}).first;
        }
        found->second.ratios.add(ratio);
        found->second.used = ++this->uses;
    }

    /// @return the most specific distribution with enough runs, or nullptr.
    [[nodiscard]] const ratio_histogram* find(const run_kind& kind) const
    {
        for (const auto& [name, window] : keys_of(kind))
        {
            const auto found = this->distributions.find(name);
            if (found != this->distributions.end() && found->second.ratios.weight() >= min_runs)
            {
                return &found->second.ratios;
            }
        }
        return nullptr;
    }

    std::map<key, distribution> distributions;
    std::uint64_t uses = 0;
    worker_speeds speeds;
};

run_time_model::run_time_model() : inner(std::make_unique<implementation>()) {}

run_time_model::~run_time_model() = default;

bool run_time_model::record_finished(const run_kind& kind, const agent_id& worker,
                                     core::milliseconds declared, core::milliseconds run_time,
                                     std::int64_t reported)
{
    if (!is_plausible(declared, run_time, 1) || reported < 0 || reported > full_percent)
    {
        return false;
    }
    const double ratio =
        static_cast<double>(run_time.count()) / static_cast<double>(declared.count());
    const double at_normal_speed = ratio * this->speed_of(worker);
    for (const auto& [name, window] : implementation::keys_of(kind))
    {
        this->inner->add(name, window, at_normal_speed);
    }
    // A gang's members wait for each other, so a gang says nothing about one worker.
    if (!kind.gang && reported < full_percent)
    {
        this->inner->speeds.record(kind, worker, ratio,
                                   static_cast<double>(full_percent - reported) /
                                       static_cast<double>(full_percent));
    }
    return true;
}

bool run_time_model::record_progress(const run_kind& kind, const agent_id& worker,
                                     core::milliseconds declared, std::int64_t percent,
                                     core::milliseconds time)
{
    if (percent <= 0 || percent > full_percent)
    {
        return false;
    }
    const double share = static_cast<double>(percent) / static_cast<double>(full_percent);
    if (!is_plausible(declared, time, share))
    {
        return false;
    }
    if (!kind.gang)
    {
        this->inner->speeds.record(kind, worker,
                                   static_cast<double>(time.count()) /
                                       (static_cast<double>(declared.count()) * share),
                                   share);
    }
    return true;
}

void run_time_model::reset_worker(const agent_id& worker)
{
    this->inner->speeds.reset(worker);
}

double run_time_model::speed_of(const agent_id& worker) const
{
    return this->inner->speeds.speed_of(worker);
}

bool run_time_model::has_run_times(const run_kind& kind) const
{
    return this->inner->find(kind) != nullptr;
}

core::milliseconds run_time_model::expected_total(const run_kind& kind, core::milliseconds declared,
                                                  double speed) const
{
    const ratio_histogram* const known = this->inner->find(kind);
    const double ratio = known == nullptr ? 1 : known->median_above(0);
    const double factor = is_speed(speed) ? speed : 1;
    return known == nullptr && factor == 1
               ? declared
               : to_time(static_cast<double>(declared.count()) * ratio / factor);
}

core::milliseconds run_time_model::expected_remaining(const run_kind& kind,
                                                      const run_progress& progress,
                                                      double speed) const
{
    const double factor = is_speed(speed) ? speed : 1;
    const auto declared = static_cast<double>(progress.declared.count());
    const auto elapsed = static_cast<double>(std::max<std::int64_t>(progress.elapsed.count(), 0));
    const auto percent = static_cast<double>(std::clamp<std::int64_t>(progress.percent, 0, 100));
    const ratio_histogram* const known = this->inner->find(kind);
    double remaining = std::max(declared / factor - elapsed, 0.0);
    if (known != nullptr && declared > 0)
    {
        // A restored run has done a part of its work before.
        const double restored =
            static_cast<double>(std::clamp<std::int64_t>(progress.restored, 0, full_percent)) /
            full_percent;
        const double lasted = elapsed * factor / declared + restored * known->median_above(0);
        remaining = (known->median_above(lasted) - lasted) * declared / factor;
    }
    if (progress.gained > 0 && progress.gained_in.count() > 0 && percent < 100)
    {
        const double observed = static_cast<double>(progress.gained_in.count()) * (100 - percent) /
                                static_cast<double>(progress.gained);
        const double trust = std::min(1.0, static_cast<double>(progress.gained) / trusted_gain);
        remaining = trust * observed + (1 - trust) * remaining;
    }
    else if (known == nullptr && percent > 0 && percent < 100)
    {
        remaining = std::min(remaining, declared / factor * (100 - percent) / 100);
    }
    return to_time(remaining);
}

} // namespace chicorylift::batch
