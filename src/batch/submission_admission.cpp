#include "chicorylift/batch/submission_admission.hpp"

#include "chicorylift/batch/group_order.hpp"

#include <algorithm>

namespace chicorylift::batch
{

namespace
{

constexpr double milliseconds_per_second = 1000;
// A backlog may drain faster than it was seen to, and the leader may take a new job before it. A
// job is refused only if it would lapse at this multiple of the observed rate.
constexpr std::uint64_t drain_margin = 2;
// A submission that the store does not take within this time is given up.
constexpr core::milliseconds max_submission_time{3000};

constexpr core::milliseconds slot_length(std::size_t slots) noexcept
{
    return event_rate::window / static_cast<std::int64_t>(slots);
}

std::int64_t slot_number(core::instant now, std::size_t slots) noexcept
{
    return now.time_since_epoch() / slot_length(slots);
}

/// @return events per second, if one more had been seen, so that the rate is never 0.
double rate_of(std::uint64_t count) noexcept
{
    return static_cast<double>(count + 1) * milliseconds_per_second /
           static_cast<double>(event_rate::window.count());
}

} // namespace

void event_rate::record(core::instant now)
{
    const std::int64_t number = slot_number(now, slots);
    slot& here = this->counts[static_cast<std::size_t>(number) % slots];
    here = here.number == number ? here : slot{number, 0};
    ++here.count;
}

std::uint64_t event_rate::count(core::instant now) const
{
    const std::int64_t newest = slot_number(now, slots);
    std::uint64_t total = 0;
    for (const slot& each : this->counts)
    {
        const bool in_window =
            each.number <= newest && newest - each.number < static_cast<std::int64_t>(slots);
        total += in_window ? each.count : 0;
    }
    return total;
}

admission_decision admit_submission(const admission_limits& limits, const admission_load& load)
{
    if (limits.max_pending_submissions > 0 &&
        load.pending_submissions >= limits.max_pending_submissions)
    {
        return {false,
                std::to_string(load.pending_submissions) +
                    " submissions are being written; at most " +
                    std::to_string(limits.max_pending_submissions) + " are taken at a time",
                std::max(rate_of(load.written),
                         static_cast<double>(load.pending_submissions) * milliseconds_per_second /
                             static_cast<double>(max_submission_time.count()))};
    }
    const std::size_t max_own = limits.max_state_bytes / 2;
    if (limits.max_state_bytes > 0 && (load.own_state_bytes + load.job_bytes > max_own ||
                                       load.state_bytes + load.job_bytes > limits.max_state_bytes))
    {
        return {false,
                "the job takes " + std::to_string(load.job_bytes) +
                    " bytes of a leader's memory; the unfinished jobs of its organisation take " +
                    std::to_string(load.own_state_bytes) + " of " + std::to_string(max_own) +
                    ", those of all " + std::to_string(load.state_bytes) + " of " +
                    std::to_string(limits.max_state_bytes),
                rate_of(load.started)};
    }
    if (limits.max_queued_per_organisation == 0 ||
        load.queued < limits.max_queued_per_organisation || !load.starts_known ||
        load.lapse.count() <= 0)
    {
        return {};
    }
    const core::milliseconds wait = event_rate::window * static_cast<std::int64_t>(load.queued) /
                                    static_cast<std::int64_t>(drain_margin * (load.started + 1));
    if (wait <= load.lapse)
    {
        return {};
    }
    return {false,
            std::to_string(load.queued) + " jobs of the organisation are queued before this one, " +
                std::to_string(load.started) + " were started in the last " +
                std::to_string(event_rate::window.count()) + " ms, and it lapses after " +
                std::to_string(load.lapse.count()) + " ms; the bound is " +
                std::to_string(limits.max_queued_per_organisation),
            rate_of(load.started)};
}

core::milliseconds lapse_of(const job_spec& job, std::int64_t guaranteed_accelerators)
{
    const bool endless = std::any_of(job.steps.begin(), job.steps.end(),
                                     [](const step_spec& step) { return step.long_running; });
    if (endless || job.occurrences > 0 || (job.policy.priority == 0 && guaranteed_accelerators > 0))
    {
        return {};
    }
    const auto chain = static_cast<double>(job.critical_path().count());
    return (core::milliseconds{static_cast<std::int64_t>(chain * job.policy.max_slowdown)} +
            job.policy.latency_allowance) *
           lapse_factor;
}

core::milliseconds retry_schedule::next(core::instant now, double drain_rate, double jitter)
{
    const core::milliseconds step{static_cast<std::int64_t>(
        milliseconds_per_second / std::max(drain_rate, 1 / milliseconds_per_second))};
    this->last = std::max(now + min_delay, std::min(this->last + step, now + max_delay));
    if (this->last < now + max_delay)
    {
        return this->last - now;
    }
    const core::milliseconds half = max_delay / 2;
    return half + core::milliseconds{
                      static_cast<std::int64_t>(static_cast<double>(half.count()) * jitter)};
}

} // namespace chicorylift::batch
