#pragma once

#include "chicorylift/core/ids.hpp"
#include "chicorylift/core/time.hpp"

#include <map>

namespace chicorylift::batch
{

/// Rate and burst of a token bucket.
struct bucket_limits
{
    double per_second{};
    double burst{};
};

/// Token bucket; full at first.
class token_bucket
{
public:
    void refill(const bucket_limits& limits, core::instant now);
    [[nodiscard]] bool has_token() const noexcept { return this->tokens >= 1; }
    /// Takes a token; there must be one.
    void take() noexcept { this->tokens -= 1; }
    /// @return time until there is a token.
    [[nodiscard]] core::milliseconds time_until_token(const bucket_limits& limits) const;
    [[nodiscard]] bool is_full(const bucket_limits& limits) const noexcept
    {
        return this->tokens >= limits.burst;
    }

private:
    double tokens{};
    core::instant filled_at{};
};

/// Bounds the cancellations of jobs that are not known, each of which leaves a row for minutes.
///
/// A caller can cancel any number of invented jobs. Each organisation has its own limit, so that
/// one does not use up another's share; the limit on all of them bounds the rows and writes of an
/// entry.
class withdrawal_quota
{
public:
    /// Takes one from the organisation's quota and from that of all.
    /// @return 0 if there was one, else the time until there is.
    [[nodiscard]] core::milliseconds take(const core::organisation_id& organisation,
                                          core::instant now);

private:
    token_bucket all;
    /// Buckets that are not full.
    std::map<core::organisation_id, token_bucket> by_organisation;
};

} // namespace chicorylift::batch
