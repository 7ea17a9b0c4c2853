#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/// Structured event log of scheduling decisions and observed state changes.
///
/// Each event is one line with a JSON object on standard output.
namespace chicorylift::support::events
{

/// Kind of event and its rate limit.
struct event_kind
{
    std::string_view name;
    /// Rate limit; further lines in the same second are dropped and counted.
    std::uint32_t max_lines_per_second;
    std::string_view description;
};

/// @return all kinds; write() logs any other kind under the rate limit of "unlisted".
[[nodiscard]] std::span<const event_kind> event_kinds() noexcept;

/// Named value of an event; numbers are written without quotes.
struct field
{
    field(std::string_view name, std::string_view text) : name(name), value(text) {}
    field(std::string_view name, const std::string& text) : name(name), value(text) {}
    field(std::string_view name, const char* text) : name(name), value(text) {}
    field(std::string_view name, std::int64_t number)
        : name(name), value(std::to_string(number)), is_number(true)
    {
    }
    field(std::string_view name, std::uint64_t number)
        : name(name), value(std::to_string(number)), is_number(true)
    {
    }

    std::string_view name;
    std::string value;
    bool is_number = false;
};

/// Starts the writer thread; its queue is bounded, and write() never blocks on output.
void start(std::string_view process, std::string_view incarnation);
/// Stops the writer; waits up to 200 ms for the queued lines to be written.
void stop();
/// Queues one line; lines above the kind's rate limit are dropped and counted.
void write(std::string_view kind, std::initializer_list<field> fields);
/// @return number of lines dropped by rate limits so far.
[[nodiscard]] std::uint64_t dropped_lines() noexcept;

/// @return the JSON object without a line break.
[[nodiscard]] std::string to_line(std::string_view time, std::string_view process,
                                  std::string_view incarnation, std::string_view kind,
                                  std::initializer_list<field> fields);

} // namespace chicorylift::support::events
