#include "ctl/evacuations.hpp"

#include "ctl/log_line.hpp"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <array>
#include <fstream>
#include <iostream>
#include <string_view>
#include <tuple>
#include <vector>

namespace chicorylift::ctl
{

namespace
{

constexpr std::array<std::string_view, 3> zone_events{"evacuation_begun", "evacuation_state",
                                                      "evacuation_ended"};

std::uint64_t number_of(const std::string& text)
{
    constexpr int decimal = 10;
    return std::strtoull(text.c_str(), nullptr, decimal);
}

} // namespace

void evacuation_report::read(std::istream& log)
{
    std::string text;
    while (std::getline(log, text))
    {
        const std::size_t brace = text.find("{\"time\":");
        if (brace == std::string::npos)
        {
            continue;
        }
        zone line;
        line.object = text.substr(brace);
        line.event = log_field(line.object, "event");
        line.epoch = number_of(log_field(line.object, "epoch"));
        if (line.event == "lead_taken")
        {
            this->newest_epoch = std::max(this->newest_epoch, line.epoch);
        }
        if (std::find(zone_events.begin(), zone_events.end(), line.event) == zone_events.end())
        {
            continue;
        }
        line.time = log_field(line.object, "time");
        line.process = log_field(line.object, "process");
        // An earlier leader may still log while a later one is in force.
        zone& known = this->zones[log_field(line.object, "zone")];
        if (std::tie(line.epoch, line.time) >= std::tie(known.epoch, known.time))
        {
            known = std::move(line);
        }
    }
}

std::size_t evacuation_report::print(std::ostream& out) const
{
    for (const auto& each : this->zones)
    {
        const std::string& name = each.first;
        const zone& line = each.second;
        const auto field = [&line](const char* wanted) { return log_field(line.object, wanted); };
        out << line.time << "  " << name << "  row " << field("row_version") << "  ";
        if (line.event == "evacuation_ended")
        {
            out << "restored to service\n";
            continue;
        }
        if (line.epoch < this->newest_epoch)
        {
            out << "not known: the leader of epoch " << this->newest_epoch
                << " has not logged its state yet\n";
            continue;
        }
        if (line.event == "evacuation_begun")
        {
            out << "requested; no state logged yet\n";
            continue;
        }
        const std::string expected = field("expected_ms");
        out << "may be switched off: " << field("may_switch_off") << "  running units "
            << field("running_units") << ", unconfirmed starts " << field("unconfirmed_starts")
            << ", ends to persist " << field("unpersisted_ends") << ", workers to read "
            << field("unread_workers") << ", workers of unknown zone " << field("unknown_workers")
            << ", of " << field("workers") << " workers; "
            << (expected == "-1" ? "some units have no expected end"
                                 : "expected to end within " + expected + " ms")
            << (field("leader_in_zone") == "yes"
                    ? "; the leader " + line.process + " is in the zone"
                    : "")
            << '\n';
    }
    return this->zones.size();
}

int run_evacuations(int argument_count, char** arguments)
{
    constexpr int usage_error = 2;
    std::vector<std::string> files;
    CLI::App app("chicoryctl evacuations: prints the latest state of evacuated availability zones "
                 "from the logs of the agents");
    app.add_option("FILE", files, "log files; standard input if none are given");
    try
    {
        app.parse(argument_count, arguments);
    }
    catch (const CLI::ParseError& fault)
    {
        return app.exit(fault) == 0 ? 0 : usage_error;
    }
    evacuation_report report;
    for (const std::string& path : files)
    {
        std::ifstream file(path);
        if (!file)
        {
            std::cerr << "chicoryctl: file \"" << path << "\" cannot be read\n";
            return usage_error;
        }
        report.read(file);
    }
    if (files.empty())
    {
        report.read(std::cin);
    }
    if (report.print(std::cout) > 0)
    {
        return 0;
    }
    std::cerr << "chicoryctl: the logs contain no evacuation\n";
    return 1;
}

} // namespace chicorylift::ctl
