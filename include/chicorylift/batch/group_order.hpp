#pragma once

#include "chicorylift/core/time.hpp"

#include <cstddef>
#include <vector>

/// Order of waiting groups by the value that their callers can still get, as pure functions.
///
/// Answers more load than capacity: callers get full value within a job's objective, less up to
/// three times the objective, and nothing beyond.
namespace chicorylift::batch
{

/// Whether a job can still complete within its objective.
enum class urgency
{
    on_time,
    /// Completes late, but within `lapse_factor` times its objective.
    late,
    hopeless,
};

/// A job that completes after this many times its objective is worth nothing to its caller.
inline constexpr std::int64_t lapse_factor = 3;

/// When a job is expected to complete, and when it should.
struct completion_outlook
{
    /// Time since the job was accepted, or since its occurrence was due.
    core::milliseconds age{};
    /// Estimated duration of the longest chain of steps that are not done.
    core::milliseconds remaining{};
    core::milliseconds objective{};
};

[[nodiscard]] urgency urgency_of(const completion_outlook& outlook) noexcept;

/// @return share of the job's full value that its caller gets, from 1 to 0.
[[nodiscard]] double value_of(const completion_outlook& outlook) noexcept;

/// @return value of a job within its objective.
/// @param work the job's work relative to the mean work of its queue.
[[nodiscard]] double weight_of(double work) noexcept;

/// What decides on the place of a group within its priority.
struct order_terms
{
    completion_outlook outlook;
    /// Time that the job may wait within its objective.
    core::milliseconds allowed_wait{};
    double weight = 1;
    /// Capacity that the job still needs to complete: share of its service's scarcest resource,
    /// in capacity-seconds.
    double demand{};
    /// The steps run until they are cancelled, so the job has no completion to wait for.
    bool endless = false;
    /// One of the largest jobs of a queue that serves those too rarely; see is_large_underserved().
    bool underserved = false;
};

/// Number of ranges of rank_of(), each of length 1.
inline constexpr int rank_ranges = 4;

/// @return rank from 0 to `rank_ranges`; lower ranks go first. In its range: underserved large
/// jobs,
///         jobs on time, late jobs, hopeless jobs.
[[nodiscard]] double rank_of(const order_terms& terms) noexcept;

/// A recent job of a queue.
struct service_sample
{
    double work{};
    /// The job was started while it was worth something to its caller.
    bool served = false;
};

/// How a queue serves its recent jobs.
struct queue_service
{
    double mean_work{};
    /// Jobs of at least this work are the largest tenth.
    double large_work{};
    std::size_t jobs{};
    std::size_t served{};
    std::size_t large_jobs{};
    std::size_t large_served{};
};

[[nodiscard]] queue_service summarise(std::vector<service_sample> samples);

/// @return whether the largest tenth of the queue is served too rarely, compared to the whole
/// queue.
[[nodiscard]] bool is_large_underserved(const queue_service& service) noexcept;

} // namespace chicorylift::batch
