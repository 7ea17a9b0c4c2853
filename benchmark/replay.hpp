#pragma once

#include "workload.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace chicorylift::benchmark
{

/// How one job fared.
struct job_result
{
    std::size_t job{};
    core::milliseconds waited{};
    core::milliseconds completion{};
    bool ended = false;
    /// On arrival the job lay within what its organisation is guaranteed.
    bool guaranteed = false;
};

/// Figures of one replay.
struct replay_result
{
    std::vector<job_result> jobs;
    /// Mean over the window, weighted by time.
    double use{};
    double fragmentation{};
    /// Accelerator-hours thrown away by stopping work.
    double lost_hours{};
    /// Seconds in which an organisation waited for what it is guaranteed.
    double shortfall_seconds{};
    std::int64_t reclaimed{};
    /// "" unless an invariant of the scheduler broke.
    std::string broken;
};

/// Replays a workload over virtual time with the policy of that name.
[[nodiscard]] replay_result replay(const workload& all, const std::string& policy);

/// @return the value below which the share @p quantile of @p values lies.
[[nodiscard]] double quantile_of(std::vector<double> values, double quantile);

} // namespace chicorylift::benchmark
