#pragma once

#include <initializer_list>
#include <string>
#include <string_view>

/// Diagnostic log: one JSON object per line on standard error.
namespace chicorylift::support::log
{

/// Severity of a message.
enum class level
{
    debug,
    info,
    warning,
    error,
};

/// Named value of a message.
struct field
{
    std::string_view name;
    std::string value;
};

/// Initialises the log; messages below @p lowest_level are dropped.
void start(level lowest_level, std::string_view process);
/// @return the level called @p name, or info when there is none.
[[nodiscard]] level level_from(std::string_view name) noexcept;

/// Writes one message as one line.
void write(level severity, std::string_view component, std::string_view message,
           std::initializer_list<field> fields = {});

inline void info(std::string_view component, std::string_view message,
                 std::initializer_list<field> fields = {})
{
    write(level::info, component, message, fields);
}
inline void warn(std::string_view component, std::string_view message,
                 std::initializer_list<field> fields = {})
{
    write(level::warning, component, message, fields);
}
inline void debug(std::string_view component, std::string_view message,
                  std::initializer_list<field> fields = {})
{
    write(level::debug, component, message, fields);
}

} // namespace chicorylift::support::log
