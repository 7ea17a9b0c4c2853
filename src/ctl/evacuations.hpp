#pragma once

#include <cstdint>
#include <istream>
#include <map>
#include <ostream>
#include <string>

namespace chicorylift::ctl
{

/// The latest state of each availability zone that was evacuated, from the logs of the agents.
class evacuation_report
{
public:
    /// Adds the log of one process, or an interleaved log of several.
    void read(std::istream& log);
    /// @return number of zones printed.
    std::size_t print(std::ostream& out) const;

private:
    struct zone
    {
        std::string time;
        std::string process;
        std::string event;
        std::string object;
        std::uint64_t epoch{};
    };

    /// By name; the newest line of the highest epoch.
    std::map<std::string, zone> zones;
    std::uint64_t newest_epoch{};
};

/// Runs `chicoryctl evacuations [FILE...]`; without files it reads standard input.
/// @return the exit code: 0 when a zone was found, 1 when there is none, 2 for a usage error.
int run_evacuations(int argument_count, char** arguments);

} // namespace chicorylift::ctl
