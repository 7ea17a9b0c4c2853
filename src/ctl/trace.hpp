#pragma once

#include <istream>
#include <ostream>
#include <string>
#include <vector>

namespace chicorylift::ctl
{

/// Merges the events of one job or unit from the logs of several processes.
class trace
{
public:
    /// @param id job id or unit name.
    explicit trace(std::string id) : id(std::move(id)) {}

    /// Adds the log of one process, or an interleaved log of several. Ignores any text before the
    /// JSON object of a line, and lines without one.
    void read(std::istream& log);
    /// Prints the lines that contain the id in order of time. Lines about stores, leads and workers
    /// in the same period are included, marked with ".".
    /// @return number of lines that contain the id.
    std::size_t print(std::ostream& out) const;

private:
    struct line
    {
        std::string time;
        std::string process;
        std::string event;
        std::string rest;
        bool mentions_id = false;
    };

    std::string id;
    std::vector<line> lines;
};

/// Runs `chicoryctl trace ID [FILE...]`; without files it reads standard input.
/// @return the exit code: 0 when the id was found, 1 when no line contains it, 2 for a usage error.
int run_trace(int argument_count, char** arguments);

} // namespace chicorylift::ctl
