#include "chicorylift/batch/pass_pacing.hpp"

#include <algorithm>

namespace chicorylift::batch
{

namespace
{

constexpr core::milliseconds min_delay{4};
// Rest after a pass, as a multiple of its duration: passes take a fifth of the time.
constexpr std::int64_t rest_factor = 4;
// Guaranteed work must start within 3.4 s. It may need two passes, and 0.9 s for runs to stop.
constexpr core::milliseconds max_rest{1000};

} // namespace

void pass_pacing::on_pass(core::instant start, core::instant end) noexcept
{
    this->next_pass = end + std::min((end - start) * rest_factor, max_rest);
}

core::milliseconds pass_pacing::delay(core::instant now) const noexcept
{
    return std::max(this->next_pass - now, min_delay);
}

} // namespace chicorylift::batch
