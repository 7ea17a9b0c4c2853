#pragma once

#include <chrono>

namespace chicorylift::support
{

/// Adds the time until the end of the scope to a total.
class stopwatch
{
public:
    explicit stopwatch(std::chrono::microseconds& total) : total(total) {}
    ~stopwatch() { this->total += this->elapsed(); }
    stopwatch(const stopwatch&) = delete;
    stopwatch& operator=(const stopwatch&) = delete;

    [[nodiscard]] std::chrono::microseconds elapsed() const
    {
        return std::chrono::duration_cast<std::chrono::microseconds>(
            std::chrono::steady_clock::now() - this->start);
    }

private:
    std::chrono::microseconds& total;
    std::chrono::steady_clock::time_point start = std::chrono::steady_clock::now();
};

} // namespace chicorylift::support
