#include "wire/convert.hpp"

#include "chicorylift/core/error.hpp"

#include <algorithm>
#include <cctype>

namespace chicorylift::wire
{

namespace
{

using core::error_kind;
using core::make_error;

bool is_name_character(char character) noexcept
{
    return std::isalnum(static_cast<unsigned char>(character)) != 0 || character == '-' ||
           character == '_' || character == '.';
}

absl::Status check_size(const job_request& request)
{
    if (request.tasks() < 1 || request.tasks() > max_gang_tasks)
    {
        return make_error(error_kind::invalid_request,
                          "tasks is " + std::to_string(request.tasks()) + "; allowed are 1 to " +
                              std::to_string(max_gang_tasks));
    }
    if (request.per_task().accelerators() == 0 && request.per_task().cores() == 0 &&
        request.per_task().memory_gb() == 0)
    {
        return make_error(error_kind::invalid_request, "per_task asks for no resources");
    }
    if (request.declared_run_time_ms() == 0)
    {
        return make_error(error_kind::invalid_request,
                          "declared_run_time_ms is 0; it must be at least 1");
    }
    return absl::OkStatus();
}

} // namespace

absl::Status validate_name(std::string_view what, std::string_view name)
{
    const bool well_formed = !name.empty() && name.size() <= max_name_bytes &&
                             std::all_of(name.begin(), name.end(), is_name_character);
    if (well_formed)
    {
        return absl::OkStatus();
    }
    return make_error(error_kind::invalid_request,
                      std::string(what) + " \"" + std::string(name.substr(0, max_name_bytes)) +
                          "\" is not a name of 1 to 128 letters, digits, '-', '_' or '.'");
}

core::resources from_wire(const resources& amount)
{
    return {amount.accelerators(), amount.cores(), amount.memory_gb()};
}

resources to_wire(const core::resources& amount)
{
    resources message;
    message.set_accelerators(static_cast<std::uint32_t>(amount.accelerators));
    message.set_cores(static_cast<std::uint32_t>(amount.cores));
    message.set_memory_gb(static_cast<std::uint32_t>(amount.memory_gb));
    return message;
}

absl::StatusOr<sched::job_spec> to_job_spec(const job_request& request, const std::string& id,
                                            const std::string& organisation, core::instant now)
{
    for (const absl::Status& checked :
         {validate_name("kind", request.kind()), check_size(request),
          request.key().empty() ? absl::OkStatus() : validate_name("key", request.key())})
    {
        if (!checked.ok())
        {
            return checked;
        }
    }
    const auto priority = sched::parse_priority_class(request.class_());
    if (!priority.ok())
    {
        return priority.status();
    }
    const auto within = quota::parse_topology_level(request.within());
    if (!within.ok())
    {
        return within.status();
    }
    sched::job_spec spec;
    spec.id = core::job_id(id);
    spec.organisation = core::organisation_id(organisation);
    spec.kind = request.kind();
    spec.priority = *priority;
    spec.tasks = request.tasks();
    spec.per_task = from_wire(request.per_task());
    spec.within = *within;
    spec.idempotent = request.idempotent();
    spec.checkpointable = request.checkpointable();
    spec.declared_run_time = core::milliseconds{request.declared_run_time_ms()};
    if (request.deadline_ms() > 0)
    {
        spec.deadline = now + core::milliseconds{request.deadline_ms()};
    }
    return spec;
}

std::vector<sched::task_placement>
from_wire(const google::protobuf::RepeatedPtrField<task_placement>& placement)
{
    std::vector<sched::task_placement> list;
    for (const task_placement& placed : placement)
    {
        list.push_back({core::worker_id(placed.worker()), placed.tasks()});
    }
    return list;
}

void set_placement(const std::vector<sched::task_placement>& placement,
                   google::protobuf::RepeatedPtrField<task_placement>& target)
{
    target.Clear();
    for (const sched::task_placement& placed : placement)
    {
        task_placement* added = target.Add();
        added->set_worker(placed.worker.str());
        added->set_tasks(static_cast<std::uint32_t>(placed.tasks));
    }
}

absl::StatusOr<quota::unit_definition> from_wire(const unit_document& document)
{
    const absl::Status checked = validate_name("unit", document.unit());
    if (!checked.ok())
    {
        return checked;
    }
    return quota::unit_definition{document.unit(), from_wire(document.amount()),
                                  document.per_units()};
}

absl::StatusOr<quota::contract> from_wire(const contract_document& document)
{
    const absl::Status checked = validate_name("organisation", document.organisation());
    if (!checked.ok())
    {
        return checked;
    }
    quota::contract contract;
    contract.organisation = core::organisation_id(document.organisation());
    contract.limit_unit = document.limit_unit();
    contract.limit_units = document.limit_units();
    contract.calls_per_second = document.calls_per_second();
    for (const shape_document& shape : document.guarantees())
    {
        const auto within = quota::parse_topology_level(shape.within());
        if (!within.ok())
        {
            return make_error(error_kind::invalid_request,
                              "contract of organisation \"" + document.organisation() +
                                  "\", shape \"" + shape.name() +
                                  "\": " + std::string(within.status().message()));
        }
        contract.guarantees.push_back(
            {shape.name(), shape.tasks(), shape.unit(), shape.units_per_task(), *within});
    }
    return contract;
}

quota::preset from_wire(const preset_document& document)
{
    return {document.name(), document.weighting(), document.guarantee_percent(),
            document.limit_percent()};
}

sched::worker_info to_worker_info(const member_row& member)
{
    return {core::worker_id(member.agent()), core::rack_id(member.rack()),
            from_wire(member.capacity())};
}

explain_document to_wire(const std::string& job, const sched::explanation& explained)
{
    explain_document document;
    document.set_job(job);
    document.set_phase(std::string(sched::to_text(explained.phase)));
    document.set_reason(std::string(sched::to_text(explained.reason)));
    set_placement(explained.placement, *document.mutable_placement());
    for (const core::job_id& displaced : explained.displaced)
    {
        document.add_displaced(displaced.str());
    }
    document.set_waited_ms(static_cast<std::uint32_t>(explained.waited.count()));
    document.set_expected_run_time_ms(
        static_cast<std::uint32_t>(explained.expected_run_time.count()));
    return document;
}

} // namespace chicorylift::wire
