#include "chicorylift/batch/withdrawal_quota.hpp"

#include <algorithm>
#include <cmath>

namespace chicorylift::batch
{

namespace
{

constexpr double milliseconds_per_second = 1000;
// Callers cancel what they have just submitted: as many at once as they have open requests.
constexpr bucket_limits organisation_limits{5, 50};
// Twelve entries write at most 120 rows a second, which is below what one partition of the store
// takes, and leave 15,000 rows, which take 6 MB in the leader.
constexpr bucket_limits total_limits{10, 100};

} // namespace

void token_bucket::refill(const bucket_limits& limits, core::instant now)
{
    const double added = this->filled_at == core::instant{}
                             ? limits.burst
                             : static_cast<double>((now - this->filled_at).count()) *
                                   limits.per_second / milliseconds_per_second;
    this->tokens = std::min(limits.burst, this->tokens + added);
    this->filled_at = now;
}

core::milliseconds token_bucket::time_until_token(const bucket_limits& limits) const
{
    const double missing = std::max(0.0, 1 - this->tokens);
    return core::milliseconds{static_cast<std::int64_t>(
        std::ceil(missing * milliseconds_per_second / limits.per_second))};
}

core::milliseconds withdrawal_quota::take(const core::organisation_id& organisation,
                                          core::instant now)
{
    for (auto each = this->by_organisation.begin(); each != this->by_organisation.end();)
    {
        each->second.refill(organisation_limits, now);
        each = each->second.is_full(organisation_limits) ? this->by_organisation.erase(each)
                                                         : std::next(each);
    }
    token_bucket& own = this->by_organisation[organisation];
    own.refill(organisation_limits, now);
    this->all.refill(total_limits, now);
    if (!own.has_token() || !this->all.has_token())
    {
        return std::max({own.time_until_token(organisation_limits),
                         this->all.time_until_token(total_limits), core::milliseconds{1}});
    }
    own.take();
    this->all.take();
    return core::milliseconds{0};
}

} // namespace chicorylift::batch
