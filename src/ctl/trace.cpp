#include "ctl/trace.hpp"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <array>
#include <fstream>
#include <iostream>

namespace chicorylift::ctl
{

namespace
{

/// Events that change what a process believes; shown between the lines of a job.
constexpr std::array<std::string_view, 14> beliefs{
    "store_lost",  "store_regained",   "config_stale",      "config_fresh", "lead_suspected",
    "lead_taken",  "lead_lost",        "worker_silent",     "worker_back",  "worker_lost",
    "worker_left", "worker_restarted", "worker_distrusted", "stopping"};

/// @return the text value of a member of a one-line object, without undoing escapes.
std::string member(const std::string& object, const std::string& name)
{
    const std::string lead = "\"" + name + "\":\"";
    const std::size_t begin = object.find(lead);
    if (begin == std::string::npos)
    {
        return {};
    }
    const std::size_t first = begin + lead.size();
    return object.substr(first, object.find('"', first) - first);
}

/// @return the members after the event's name.
std::string after_event(const std::string& object, const std::string& event)
{
    const std::string mark = "\"event\":\"" + event + "\"";
    const std::size_t at = object.find(mark);
    if (at == std::string::npos || at + mark.size() + 1 >= object.size())
    {
        return {};
    }
    std::string rest = object.substr(at + mark.size() + 1);
    rest.erase(std::min(rest.rfind('}'), rest.size()));
    return rest;
}

} // namespace

void trace::read(std::istream& log)
{
    std::string text;
    while (std::getline(log, text))
    {
        const std::size_t brace = text.find("{\"time\":");
        if (brace == std::string::npos)
        {
            continue;
        }
        const std::string object = text.substr(brace);
        line one;
        one.event = member(object, "event");
        one.mentions_id = object.find(this->id) != std::string::npos;
        const bool belief = std::find(beliefs.begin(), beliefs.end(), one.event) != beliefs.end();
        if (one.mentions_id || belief)
        {
            one.time = member(object, "time");
            one.process = member(object, "process");
            one.rest = after_event(object, one.event);
            this->lines.push_back(std::move(one));
        }
    }
}

std::size_t trace::print(std::ostream& out) const
{
    std::vector<line> ordered = this->lines;
    std::stable_sort(ordered.begin(), ordered.end(),
                     [](const line& left, const line& right) { return left.time < right.time; });
    const auto named = [](const line& one) { return one.mentions_id; };
    const auto first = std::find_if(ordered.begin(), ordered.end(), named);
    const auto last = std::find_if(ordered.rbegin(), ordered.rend(), named).base();
    std::size_t count = 0;
    for (auto each = first; each < last; ++each)
    {
        count += each->mentions_id ? 1 : 0;
        out << each->time << (each->mentions_id ? "  " : "  . ") << each->process << "  "
            << each->event << "  " << each->rest << '\n';
    }
    return count;
}

int run_trace(int argument_count, char** arguments)
{
    constexpr int usage_error = 2;
    std::string id;
    std::vector<std::string> files;
    CLI::App app("chicoryctl trace: prints the story of one job from the processes' logs");
    app.add_option("ID", id, "job id or unit name")->required();
    app.add_option("FILE", files, "log files; standard input when there are none");
    try
    {
        app.parse(argument_count, arguments);
    }
    catch (const CLI::ParseError& fault)
    {
        return app.exit(fault) == 0 ? 0 : usage_error;
    }
    trace story(id);
    for (const std::string& path : files)
    {
        std::ifstream file(path);
        if (!file)
        {
            std::cerr << "chicoryctl: file \"" << path << "\" cannot be read\n";
            return usage_error;
        }
        story.read(file);
    }
    if (files.empty())
    {
        story.read(std::cin);
    }
    if (story.print(std::cout) > 0)
    {
        return 0;
    }
    std::cerr << "chicoryctl: no line names \"" << id << "\"\n";
    return 1;
}

} // namespace chicorylift::ctl
