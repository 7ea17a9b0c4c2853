#include "ctl/trace.hpp"

#include "ctl/log_line.hpp"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <array>
#include <fstream>
#include <iostream>

namespace chicorylift::ctl
{

namespace
{

/// Events about the state of the store, leads, workers and processes. They are printed as context
/// between the lines of a job.
constexpr std::array<std::string_view, 18> context_events{
    "store_lost",  "store_regained",   "config_stale",      "config_fresh",    "lead_suspected",
    "lead_taken",  "lead_lost",        "worker_silent",     "worker_back",     "worker_lost",
    "worker_left", "worker_restarted", "worker_distrusted", "scheduling_held", "scheduling_resumed",
    "stopping",    "evacuation_begun", "evacuation_ended"};

/// @return the text of the members that follow "event".
std::string after_event(const std::string& object, const std::string& event)
{
    const std::string event_member = "\"event\":\"" + event + "\"";
    const std::size_t at = object.find(event_member);
    if (at == std::string::npos || at + event_member.size() + 1 >= object.size())
    {
        return {};
    }
    std::string rest = object.substr(at + event_member.size() + 1);
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
        line entry;
        entry.event = log_field(object, "event");
        entry.mentions_id = object.find(this->id) != std::string::npos;
        const bool is_context = std::find(context_events.begin(), context_events.end(),
                                          entry.event) != context_events.end();
        if (entry.mentions_id || is_context)
        {
            entry.time = log_field(object, "time");
            entry.process = log_field(object, "process");
            entry.rest = after_event(object, entry.event);
            this->lines.push_back(std::move(entry));
        }
    }
}

std::size_t trace::print(std::ostream& out) const
{
    std::vector<line> ordered = this->lines;
    std::stable_sort(ordered.begin(), ordered.end(),
                     [](const line& left, const line& right) { return left.time < right.time; });
    const auto named = [](const line& entry) { return entry.mentions_id; };
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
    CLI::App app("chicoryctl trace: prints the events of one job or unit from the logs of several "
                 "processes");
    app.add_option("ID", id, "job id or unit name")->required();
    app.add_option("FILE", files, "log files; standard input if none are given");
    try
    {
        app.parse(argument_count, arguments);
    }
    catch (const CLI::ParseError& fault)
    {
        return app.exit(fault) == 0 ? 0 : usage_error;
    }
    trace job_trace(id);
    for (const std::string& path : files)
    {
        std::ifstream file(path);
        if (!file)
        {
            std::cerr << "chicoryctl: file \"" << path << "\" cannot be read\n";
            return usage_error;
        }
        job_trace.read(file);
    }
    if (files.empty())
    {
        job_trace.read(std::cin);
    }
    if (job_trace.print(std::cout) > 0)
    {
        return 0;
    }
    std::cerr << "chicoryctl: no log line contains \"" << id << "\"\n";
    return 1;
}

} // namespace chicorylift::ctl
