#include "chicorylift/batch/group_order.hpp"

#include <algorithm>
#include <cmath>

namespace chicorylift::batch
{

namespace
{

// Weight of a job: a fixed part, and a part that grows with its work.
constexpr double fixed_weight = 0.3;
constexpr double work_weight = 0.7;
// Bounds the logarithms that ranks are computed from; no pair of real jobs differs by as much.
constexpr double max_log_score = 100;
// A job that has used up its allowed wait counts e = 2.7 times the value of one that has just come.
// A stronger pressure amounts to the order of arrival.
constexpr double wait_pressure = 1;
constexpr double min_positive = 1e-12;
// Ages beyond this are not told apart.
constexpr double max_age_ms = 1e10;
// Callers require half the service of the whole queue for its largest tenth. The margin allows for
// jobs that were started in time and complete late.
constexpr double large_service_share = 0.7;
constexpr std::size_t large_part = 10;
// With fewer jobs than this, the largest tenth is a single job, which says nothing.
constexpr std::size_t min_samples = 20;

core::milliseconds completion_age(const completion_outlook& outlook) noexcept
{
    return outlook.age + outlook.remaining;
}

/// @return position in a range of length 1; higher scores go first.
double position_of(double log_score) noexcept
{
    const double bounded = std::clamp(log_score, -max_log_score, max_log_score);
    return (max_log_score - bounded) / (2 * max_log_score + 1);
}

} // namespace

urgency urgency_of(const completion_outlook& outlook) noexcept
{
    const core::milliseconds completion = completion_age(outlook);
    return completion <= outlook.objective                  ? urgency::on_time
           : completion <= outlook.objective * lapse_factor ? urgency::late
                                                            : urgency::hopeless;
}

double value_of(const completion_outlook& outlook) noexcept
{
    if (urgency_of(outlook) == urgency::on_time)
    {
        return 1;
    }
    const auto completion = static_cast<double>(completion_age(outlook).count());
    const auto objective = static_cast<double>(outlook.objective.count());
    const double left = (lapse_factor * objective - completion) / ((lapse_factor - 1) * objective);
    return objective > 0 ? std::max(0.0, left) : 0;
}

double weight_of(double work) noexcept
{
    return fixed_weight + work_weight * work;
}

double rank_of(const order_terms& terms) noexcept
{
    const urgency kind = terms.endless ? urgency::on_time : urgency_of(terms.outlook);
    if (kind == urgency::hopeless)
    {
        // Nobody gains from these any more, so the longest wait decides and each comes to its turn.
        const double age = std::min(static_cast<double>(terms.outlook.age.count()), max_age_ms);
        return static_cast<double>(kind) + 1 + (max_age_ms - age) / (max_age_ms + 1);
    }
    const double left = kind == urgency::late ? value_of(terms.outlook) : 1;
    double score = std::log(std::max(terms.weight * left, min_positive)) -
                   std::log(std::max(terms.demand, min_positive));
    if (kind == urgency::on_time)
    {
        const double waited = static_cast<double>(terms.outlook.age.count()) /
                              std::max(1.0, static_cast<double>(terms.allowed_wait.count()));
        score += wait_pressure * std::clamp(waited, 0.0, 1.0);
    }
    return position_of(score) + (terms.underserved ? 0 : static_cast<double>(kind) + 1);
}

queue_service summarise(std::vector<service_sample> samples)
{
    queue_service service;
    service.jobs = samples.size();
    if (samples.empty())
    {
        return service;
    }
    std::sort(samples.begin(), samples.end(),
              [](const service_sample& left, const service_sample& right)
              { return left.work > right.work; });
    service.large_jobs = (samples.size() + large_part - 1) / large_part;
    service.large_work = samples[service.large_jobs - 1].work;
    for (std::size_t index = 0; index < samples.size(); ++index)
    {
        service.mean_work += samples[index].work / static_cast<double>(samples.size());
        service.served += samples[index].served ? 1 : 0;
        service.large_served += samples[index].served && index < service.large_jobs ? 1 : 0;
    }
    return service;
}

bool is_large_underserved(const queue_service& service) noexcept
{
    return service.jobs >= min_samples &&
           static_cast<double>(service.large_served) * static_cast<double>(service.jobs) <
               large_service_share * static_cast<double>(service.served) *
                   static_cast<double>(service.large_jobs);
}

} // namespace chicorylift::batch
