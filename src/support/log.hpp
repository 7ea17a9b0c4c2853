#pragma once

#include <initializer_list>
#include <string>
#include <string_view>

/// Log of a process: one JSON object a line on standard error.
namespace chicorylift::support::log
{

/// Severity of a line.
enum class level
{
    debug,
    info,
    warning,
    error,
};

/// Named value of a line.
struct field
{
    std::string_view name;
    std::string value;
};

/// Prepares the log; lines below @p lowest are dropped.
void start(level lowest, std::string_view process);
/// @return the level with that name, or info.
[[nodiscard]] level level_from(std::string_view name) noexcept;

/// Writes one line.
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
