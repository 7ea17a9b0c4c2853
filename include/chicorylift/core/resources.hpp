#pragma once

#include <cstdint>
#include <string>

/// Quantities of a worker's processors, memory and accelerators.
namespace chicorylift::core
{

/// Amount of each resource; negative amounts can result from subtraction.
struct resources
{
    std::int64_t accelerators{};
    std::int64_t cores{};
    std::int64_t memory_gb{};

    friend bool operator==(const resources&, const resources&) = default;
};

[[nodiscard]] resources operator+(const resources& left, const resources& right) noexcept;
[[nodiscard]] resources operator-(const resources& left, const resources& right) noexcept;
[[nodiscard]] resources operator*(const resources& amount, std::int64_t times) noexcept;
resources& operator+=(resources& left, const resources& right) noexcept;
resources& operator-=(resources& left, const resources& right) noexcept;

/// @return the larger amount of each resource.
[[nodiscard]] resources elementwise_max(const resources& left, const resources& right) noexcept;
/// @return the smaller amount of each resource.
[[nodiscard]] resources elementwise_min(const resources& left, const resources& right) noexcept;
/// @return whether @p need is at most @p room in every resource.
[[nodiscard]] bool fits(const resources& need, const resources& room) noexcept;
/// @return how many times @p need fits into @p room; 0 when any resource is insufficient.
[[nodiscard]] std::int64_t fit_count(const resources& need, const resources& room) noexcept;
/// @return text such as "8 accelerators, 32 cores, 128 GB".
[[nodiscard]] std::string to_text(const resources& amount);

} // namespace chicorylift::core
