#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/// Structured log of decisions and changes of belief: one JSON object a line on standard output.
namespace chicorylift::support::events
{

/// One kind of line.
struct event_kind
{
    std::string_view name;
    /// Lines a second that are written at most; further ones are counted.
    std::uint32_t max_lines_per_second;
    std::string_view description;
};

/// @return the closed list of kinds.
[[nodiscard]] std::span<const event_kind> event_kinds() noexcept;

/// Named value of a line; numbers are written without quotes.
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

/// Starts the writer; its queue is bounded and never blocks the caller.
void start(std::string_view process, std::string_view incarnation);
/// Writes what is queued, for as long as somebody reads it.
void stop();
/// Queues one line; lines beyond the kind's budget are dropped and counted.
void write(std::string_view kind, std::initializer_list<field> fields);
/// @return lines that were dropped so far.
[[nodiscard]] std::uint64_t dropped_lines() noexcept;

/// @return the line without its end, for tests and for write().
[[nodiscard]] std::string to_line(std::string_view time, std::string_view process,
                                  std::string_view incarnation, std::string_view kind,
                                  std::initializer_list<field> fields);

} // namespace chicorylift::support::events
