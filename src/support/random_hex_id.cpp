#include "support/random_hex_id.hpp"

#include <cstdint>
#include <random>

namespace chicorylift::support
{

std::string random_hex_id()
{
    constexpr std::size_t digit_count = 16;
    constexpr std::uint32_t bits_per_digit = 4;
    constexpr std::uint32_t digit_mask = 0xF;
    static constexpr char digits[] = "0123456789abcdef";
    thread_local std::mt19937_64 random{
        (static_cast<std::uint64_t>(std::random_device{}()) << 32U) ^ std::random_device{}()};
    std::uint64_t bits = random();
    std::string id(digit_count, '0');
    for (char& digit : id)
    {
        digit = digits[bits & digit_mask];
        bits >>= bits_per_digit;
    }
    return id;
}

} // namespace chicorylift::support
