#pragma once

#include "chicorylift/quota/quota.hpp"
#include "chicorylift/sched/cell_scheduler.hpp"
#include "chicorylift/sched/job.hpp"
#include "wire/wire.pb.h"

#include <absl/status/statusor.h>
#include <string>
#include <vector>

/// Conversion between wire messages and the scheduling core's types, with validation.
namespace chicorylift::wire
{

/// Longest name of an organisation, kind, unit, preset or key, in bytes.
inline constexpr std::size_t max_name_bytes = 128;
/// Largest gang, in tasks.
inline constexpr std::uint32_t max_gang_tasks = 1024;

/// Checks that a name has 1 to max_name_bytes letters, digits, '-', '_' or '.'.
/// @return ok, or invalid_request with @p what and @p name.
[[nodiscard]] absl::Status validate_name(std::string_view what, std::string_view name);

[[nodiscard]] core::resources from_wire(const resources& amount);
[[nodiscard]] resources to_wire(const core::resources& amount);

/// Validates and converts a job request; its deadline is relative to @p now.
[[nodiscard]] absl::StatusOr<sched::job_spec> to_job_spec(const job_request& request,
                                                          const std::string& id,
                                                          const std::string& organisation,
                                                          core::instant now);
[[nodiscard]] std::vector<sched::task_placement>
from_wire(const google::protobuf::RepeatedPtrField<task_placement>& placement);
void set_placement(const std::vector<sched::task_placement>& placement,
                   google::protobuf::RepeatedPtrField<task_placement>& target);

[[nodiscard]] absl::StatusOr<quota::unit_definition> from_wire(const unit_document& document);
[[nodiscard]] absl::StatusOr<quota::contract> from_wire(const contract_document& document);
[[nodiscard]] quota::preset from_wire(const preset_document& document);
[[nodiscard]] sched::worker_info to_worker_info(const member_row& member);
[[nodiscard]] explain_document to_wire(const std::string& job, const sched::explanation& explained);

} // namespace chicorylift::wire
