#pragma once

#include <istream>
#include <ostream>
#include <string>
#include <vector>

namespace chicorylift::ctl
{

/// Collects the story of one job or unit from the logs of several processes.
class trace
{
public:
    /// @param id job id, or unit name.
    explicit trace(std::string id) : id(std::move(id)) {}

    /// Takes in one process's log, or several mixed; text before a line's first brace is passed
    /// over.
    void read(std::istream& log);
    /// Prints the lines that name the id in the order of their times, and between them what the
    /// processes came to believe meanwhile.
    /// @return lines that name the id.
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
/// @return the exit code: 0 when the id was found, 1 when no line names it, 2 for wrong usage.
int run_trace(int argument_count, char** arguments);

} // namespace chicorylift::ctl
