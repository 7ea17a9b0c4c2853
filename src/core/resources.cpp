#include "chicorylift/core/resources.hpp"

#include <algorithm>
#include <limits>

namespace chicorylift::core
{

namespace
{

std::int64_t fit_count_of_one(std::int64_t need, std::int64_t room) noexcept
{
    if (need <= 0)
    {
        return std::numeric_limits<std::int64_t>::max();
    }
    return std::max<std::int64_t>(room, 0) / need;
}

} // namespace

resources operator+(const resources& left, const resources& right) noexcept
{
    return {left.accelerators + right.accelerators, left.cores + right.cores,
            left.memory_gb + right.memory_gb};
}

resources operator-(const resources& left, const resources& right) noexcept
{
    return {left.accelerators - right.accelerators, left.cores - right.cores,
            left.memory_gb - right.memory_gb};
}

resources operator*(const resources& amount, std::int64_t times) noexcept
{
    return {amount.accelerators * times, amount.cores * times, amount.memory_gb * times};
}

resources& operator+=(resources& left, const resources& right) noexcept
{
    left = left + right;
    return left;
}

resources& operator-=(resources& left, const resources& right) noexcept
{
    left = left - right;
    return left;
}

resources elementwise_max(const resources& left, const resources& right) noexcept
{
    return {std::max(left.accelerators, right.accelerators), std::max(left.cores, right.cores),
            std::max(left.memory_gb, right.memory_gb)};
}

resources elementwise_min(const resources& left, const resources& right) noexcept
{
    return {std::min(left.accelerators, right.accelerators), std::min(left.cores, right.cores),
            std::min(left.memory_gb, right.memory_gb)};
}

bool fits(const resources& need, const resources& room) noexcept
{
    return need.accelerators <= room.accelerators && need.cores <= room.cores &&
           need.memory_gb <= room.memory_gb;
}

std::int64_t fit_count(const resources& need, const resources& room) noexcept
{
    return std::min({fit_count_of_one(need.accelerators, room.accelerators),
                     fit_count_of_one(need.cores, room.cores),
                     fit_count_of_one(need.memory_gb, room.memory_gb)});
}

std::string to_text(const resources& amount)
{
    return std::to_string(amount.accelerators) + " accelerators, " + std::to_string(amount.cores) +
           " cores, " + std::to_string(amount.memory_gb) + " GB";
}

} // namespace chicorylift::core
