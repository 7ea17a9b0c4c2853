#include "support/log.hpp"

#include <Poco/DateTimeFormat.h>
#include <Poco/DateTimeFormatter.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Stringifier.h>
#include <Poco/Timestamp.h>
#include <array>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <iostream>
#include <sstream>

namespace chicorylift::support::log
{

namespace
{

constexpr std::array<std::string_view, 4> level_names{"debug", "info", "warning", "error"};

level min_level = level::info;
std::string process_name;

boost::log::sources::logger_mt& logger()
{
    static boost::log::sources::logger_mt instance;
    return instance;
}

} // namespace

void start(level lowest_level, std::string_view process)
{
    namespace keywords = boost::log::keywords;
    min_level = lowest_level;
    process_name = process;
    boost::log::add_console_log(std::cerr, keywords::format = "%Message%",
                                keywords::auto_flush = true);
}

level level_from(std::string_view name) noexcept
{
    for (std::size_t index = 0; index < level_names.size(); ++index)
    {
        if (level_names[index] == name)
        {
            return static_cast<level>(index);
        }
    }
    return level::info;
}

void write(level severity, std::string_view component, std::string_view message,
           std::initializer_list<field> fields)
{
    if (severity < min_level)
    {
        return;
    }
    Poco::JSON::Object line(Poco::JSON_PRESERVE_KEY_ORDER);
    line.set("time", Poco::DateTimeFormatter::format(Poco::Timestamp(),
                                                     Poco::DateTimeFormat::ISO8601_FRAC_FORMAT));
    line.set("level", std::string(level_names[static_cast<std::size_t>(severity)]));
    line.set("process", process_name);
    line.set("component", std::string(component));
    line.set("message", std::string(message));
    for (const field& named : fields)
    {
        line.set(std::string(named.name), named.value);
    }
    std::ostringstream text;
    line.stringify(text);
    BOOST_LOG(logger()) << text.str();
}

} // namespace chicorylift::support::log
