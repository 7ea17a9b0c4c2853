#include "ctl/commands.hpp"

#include "chicorylift/core/error.hpp"
#include "wire/json.hpp"
#include "wire/wire.pb.h"

#include <array>
#include <iomanip>
#include <string_view>
#include <utility>

namespace chicorylift::ctl
{

namespace
{

constexpr core::milliseconds answer_patience = std::chrono::minutes{2};
constexpr int first_error_status = 400;
constexpr int column = 22;

void row(std::ostream& out, std::initializer_list<std::string> cells)
{
    for (const std::string& cell : cells)
    {
        out << std::left << std::setw(column) << cell << ' ';
    }
    out << '\n';
}

std::string number(std::uint32_t value)
{
    return std::to_string(value);
}

std::string placement_text(const google::protobuf::RepeatedPtrField<wire::task_placement>& list)
{
    std::string text;
    for (const wire::task_placement& placed : list)
    {
        text +=
            (text.empty() ? "" : ", ") + placed.worker() + " x" + std::to_string(placed.tasks());
    }
    return text.empty() ? "-" : text;
}

void show_status(const std::string& body, std::ostream& out)
{
    wire::status_document status;
    static_cast<void>(wire::from_json_lenient(body, status));
    out << "entry " << status.entry() << ": configuration " << status.config_version()
        << ", preset " << status.preset_in_force() << ", store "
        << (status.store_reachable() ? "reachable" : "NOT reachable") << '\n';
    for (const wire::cell_document& cell : status.cells())
    {
        out << "\ncell " << cell.cell() << ": lead " << cell.lead() << ", epoch " << cell.epoch()
            << ", configuration " << cell.config_version() << '\n';
        row(out, {"CAPACITY", "USED", "FREE", "LARGEST GANG", "QUEUED", "RUNNING"});
        row(out, {number(cell.capacity()), number(cell.used()), number(cell.free()),
                  number(cell.largest_gang()), number(cell.queued()), number(cell.running())});
        row(out, {"ORGANISATION", "USED", "UNUSED GUARANTEE"});
        for (const wire::organisation_use& use : cell.organisations())
        {
            row(out, {use.organisation(), number(use.used_accelerators()),
                      number(use.unused_guarantee())});
        }
        for (const wire::shortfall_status& missing : cell.shortfalls())
        {
            out << "SHORT: shape " << missing.shape() << " of " << missing.organisation() << " for "
                << missing.for_ms() << " ms\n";
        }
        row(out, {"AGENT", "STATE", "CONFIGURATION"});
        for (const wire::member_status& member : cell.members())
        {
            row(out, {member.agent(), member.state(), number(member.config_version())});
        }
    }
}

void show_config(const std::string& body, std::ostream& out)
{
    wire::config_document config;
    static_cast<void>(wire::from_json_lenient(body, config));
    out << "version " << config.head().version() << ", preset in force "
        << config.head().preset_in_force() << ", changed by " << config.head().changed_by() << '\n';
    row(out, {"PRESET", "WEIGHTING", "GUARANTEE %", "LIMIT %"});
    for (const wire::preset_document& preset : config.presets())
    {
        row(out, {preset.name(), preset.weighting(), number(preset.guarantee_percent()),
                  number(preset.limit_percent())});
    }
    row(out, {"UNIT", "ACCELERATORS", "CORES", "MEMORY GB", "PER UNITS"});
    for (const wire::unit_document& unit : config.units())
    {
        row(out, {unit.unit(), number(unit.amount().accelerators()), number(unit.amount().cores()),
                  number(unit.amount().memory_gb()), number(unit.per_units())});
    }
    row(out, {"ORGANISATION", "SHAPES", "LIMIT", "CALLS PER SECOND"});
    for (const wire::contract_document& agreed : config.contracts())
    {
        row(out, {agreed.organisation(), std::to_string(agreed.guarantees_size()),
                  number(agreed.limit_units()) + " " + agreed.limit_unit(),
                  number(agreed.calls_per_second())});
    }
}

void show_head(const std::string& body, std::ostream& out)
{
    wire::config_head head;
    static_cast<void>(wire::from_json_lenient(body, head));
    out << "configuration " << head.version() << " accepted, preset in force "
        << head.preset_in_force() << '\n';
}

void show_job(const std::string& body, std::ostream& out)
{
    wire::job_document job;
    static_cast<void>(wire::from_json_lenient(body, job));
    row(out, {"JOB", "ORGANISATION", "STATE", "ATTEMPT", "PLACEMENT"});
    row(out, {job.id(), job.organisation(), job.state(), number(job.attempt()),
              placement_text(job.placement())});
    if (!job.detail().empty())
    {
        out << job.detail() << '\n';
    }
}

void show_explanation(const std::string& body, std::ostream& out)
{
    wire::explain_document told;
    static_cast<void>(wire::from_json_lenient(body, told));
    out << "job " << told.job() << " is " << told.phase() << ": " << told.reason() << '\n'
        << "waited " << told.waited_ms() << " ms, expected to run " << told.expected_run_time_ms()
        << " ms\nplaced on " << placement_text(told.placement()) << '\n';
    for (const std::string& displaced : told.displaced())
    {
        out << "displaced job " << displaced << '\n';
    }
}

void show_text(const std::string& body, std::ostream& out)
{
    out << body << '\n';
}

/// Ways to show an answer, in the order of the enumeration.
using shower = void (*)(const std::string& body, std::ostream& out);
constexpr std::array<shower, 6> showers{show_text, show_status, show_config,
                                        show_head, show_job,    show_explanation};

absl::Status to_error(const net::client_response& answer)
{
    wire::error_document document;
    if (!wire::from_json_lenient(answer.body, document).ok())
    {
        return core::make_error(core::error_kind::internal,
                                "the entry answered " + std::to_string(answer.status));
    }
    return core::make_error(core::kind_from_name(document.error()), document.message());
}

} // namespace

absl::Status run(const client_options& to, const command& wanted, std::ostream& out)
{
    net::client_request request;
    request.address = to.address;
    request.method = wanted.method;
    request.path = wanted.path;
    request.headers = wanted.headers;
    request.headers.push_back({"Authorization", "Bearer " + to.token});
    if (!to.operator_name.empty())
    {
        request.headers.push_back({"X-Operator", to.operator_name});
    }
    request.body = wanted.body;
    request.response_timeout = answer_patience;
    const auto answer = net::send_request(request);
    if (!answer.ok())
    {
        return answer.status();
    }
    if (answer->status >= first_error_status)
    {
        return to_error(*answer);
    }
    const response_layout shown = to.output == "json" ? response_layout::text : wanted.layout;
    showers[static_cast<std::size_t>(shown)](answer->body, out);
    return absl::OkStatus();
}

} // namespace chicorylift::ctl
