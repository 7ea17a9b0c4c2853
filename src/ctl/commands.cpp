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

constexpr core::milliseconds max_response_time = std::chrono::minutes{2};
constexpr int first_error_status = 400;
constexpr int column_width = 22;

void print_row(std::ostream& out, std::initializer_list<std::string> cells)
{
    for (const std::string& cell : cells)
    {
        out << std::left << std::setw(column_width) << cell << ' ';
    }
    out << '\n';
}

std::string number(std::uint32_t value)
{
    return std::to_string(value);
}

std::string placement_to_text(const google::protobuf::RepeatedPtrField<wire::task_placement>& list)
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
        print_row(out, {"CAPACITY", "USED", "FREE", "LARGEST GANG", "QUEUED", "RUNNING"});
        print_row(out,
                  {number(cell.capacity()), number(cell.used()), number(cell.free()),
                   number(cell.largest_gang()), number(cell.queued()), number(cell.running())});
        print_row(out, {"ORGANISATION", "USED", "UNUSED GUARANTEE"});
        for (const wire::organisation_use& use : cell.organisations())
        {
            print_row(out, {use.organisation(), number(use.used_accelerators()),
                            number(use.unused_guarantee())});
        }
        for (const wire::shortfall_status& shortfall : cell.shortfalls())
        {
            out << "SHORT: shape " << shortfall.shape() << " of " << shortfall.organisation()
                << " for " << shortfall.for_ms() << " ms\n";
        }
        print_row(out, {"AGENT", "STATE", "CONFIGURATION"});
        for (const wire::member_status& member : cell.members())
        {
            print_row(out, {member.agent(), member.state(), number(member.config_version())});
        }
    }
}

void show_config(const std::string& body, std::ostream& out)
{
    wire::config_document config;
    static_cast<void>(wire::from_json_lenient(body, config));
    out << "version " << config.head().version() << ", preset in force "
        << config.head().preset_in_force() << ", changed by " << config.head().changed_by() << '\n';
    print_row(out, {"PRESET", "WEIGHTING", "GUARANTEE %", "LIMIT %"});
    for (const wire::preset_document& preset : config.presets())
    {
        print_row(out, {preset.name(), preset.weighting(), number(preset.guarantee_percent()),
                        number(preset.limit_percent())});
    }
    print_row(out, {"UNIT", "ACCELERATORS", "CORES", "MEMORY GB", "PER UNITS"});
    for (const wire::unit_document& unit : config.units())
    {
        print_row(out,
                  {unit.unit(), number(unit.amount().accelerators()), number(unit.amount().cores()),
                   number(unit.amount().memory_gb()), number(unit.per_units())});
    }
    print_row(out, {"ORGANISATION", "SHAPES", "LIMIT", "CALLS PER SECOND"});
    for (const wire::contract_document& contract : config.contracts())
    {
        print_row(out, {contract.organisation(), std::to_string(contract.guarantees_size()),
                        number(contract.limit_units()) + " " + contract.limit_unit(),
                        number(contract.calls_per_second())});
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
    print_row(out, {"JOB", "ORGANISATION", "STATE", "ATTEMPT", "PLACEMENT"});
    print_row(out, {job.id(), job.organisation(), job.state(), number(job.attempt()),
                    placement_to_text(job.placement())});
    if (!job.detail().empty())
    {
        out << job.detail() << '\n';
    }
}

void show_explanation(const std::string& body, std::ostream& out)
{
    wire::explain_document explained;
    static_cast<void>(wire::from_json_lenient(body, explained));
    out << "job " << explained.job() << " is " << explained.phase() << ": " << explained.reason()
        << '\n'
        << "waited " << explained.waited_ms() << " ms, expected to run "
        << explained.expected_run_time_ms() << " ms\nplaced on "
        << placement_to_text(explained.placement()) << '\n';
    for (const std::string& displaced : explained.displaced())
    {
        out << "displaced job " << displaced << '\n';
    }
}

void show_text(const std::string& body, std::ostream& out)
{
    out << body << '\n';
}

/// Prints a response body; the array is in the order of response_layout.
using printer = void (*)(const std::string& body, std::ostream& out);
constexpr std::array<printer, 6> printers{show_text, show_status, show_config,
                                          show_head, show_job,    show_explanation};

absl::Status to_error(const net::client_response& answer)
{
    wire::error_document document;
    if (!wire::from_json_lenient(answer.body, document).ok())
    {
        return core::make_error(core::error_kind::internal,
                                "the entry answered without an error document, status " +
                                    std::to_string(answer.status));
    }
    return core::make_error(core::kind_from_name(document.error()), document.message());
}

} // namespace

absl::Status run(const client_options& options, const command& wanted, std::ostream& out)
{
    net::client_request request;
    request.address = options.address;
    request.method = wanted.method;
    request.path = wanted.path;
    request.headers = wanted.headers;
    request.headers.push_back({"Authorization", "Bearer " + options.token});
    if (!options.operator_name.empty())
    {
        request.headers.push_back({"X-Operator", options.operator_name});
    }
    request.body = wanted.body;
    request.response_timeout = max_response_time;
    const auto answer = net::send_request(request);
    if (!answer.ok())
    {
        return answer.status();
    }
    if (answer->status >= first_error_status)
    {
        return to_error(*answer);
    }
    const response_layout layout = options.output == "json" ? response_layout::text : wanted.layout;
    printers[static_cast<std::size_t>(layout)](answer->body, out);
    return absl::OkStatus();
}

} // namespace chicorylift::ctl
