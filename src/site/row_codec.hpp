#pragma once

#include "chicorylift/batch/scheduler.hpp"
#include "ports/table_service.hpp"
#include "wire/batch.pb.h"

#include <optional>
#include <string>
#include <string_view>

/// Conversion of table rows and messages between processes to and from the batch types.
namespace chicorylift::site
{

/// Table names, keys, and the one partition in which job rows and the leader row can change in one
/// transaction.
inline constexpr const char* job_table = "jobs";
inline constexpr const char* leader_table = "lead";
inline constexpr const char* member_table = "members";
/// Cancellations of jobs that were not stored, by job and organisation.
inline constexpr const char* withdrawal_table = "withdrawn";
inline constexpr const char* site_partition = "site";
inline constexpr const char* leader_key = "lead";

/// Kind of a row that belongs to a job.
enum class job_row_kind
{
    /// Job as submitted; written by the accepting entry and never changed.
    accepted,
    /// Progress and outcome; written by the leader.
    progress,
    /// Cancellation; written by an entry.
    cancel,
};

/// Parsed key of a job's row.
struct job_row_key
{
    core::job_id job;
    job_row_kind kind = job_row_kind::accepted;
};

[[nodiscard]] ports::row_id job_row_id(const core::job_id& job, job_row_kind kind);
/// @return the row whose existence keeps the organisation's job from being stored.
[[nodiscard]] ports::row_id withdrawal_row_id(const core::job_id& job,
                                              const core::organisation_id& organisation);
[[nodiscard]] ports::row_id leader_row_id();
[[nodiscard]] ports::row_id member_row_id(const batch::agent_id& agent);
/// @return the parsed key, or nullopt if it is not the key of a job's row.
[[nodiscard]] std::optional<job_row_key> parse_job_row_key(std::string_view key);

/// @return the member in the row, or nothing if its name or address is not valid.
[[nodiscard]] std::optional<wire::batch_member> parse_member(const ports::row& row);
/// @return the job in the row, or nothing if it is not a valid job with the row's key.
[[nodiscard]] std::optional<wire::batch_job> parse_job(const ports::row& row);
/// Logs a row that the caller could not use.
void log_ignored_row(const ports::row& row, std::string_view reason);

[[nodiscard]] wire::batch_job to_row(const batch::job_spec& job);
[[nodiscard]] batch::job_spec from_row(const wire::batch_job& row);
[[nodiscard]] wire::batch_progress to_row(const batch::job_progress& progress);
[[nodiscard]] batch::job_progress from_row(const wire::batch_progress& row);

[[nodiscard]] wire::batch_worker to_message(const batch::worker_info& worker);
[[nodiscard]] batch::worker_report from_message(const wire::batch_report& message);
void add_runs(wire::batch_report& message, const std::vector<batch::reported_run>& runs);
void add_ends(wire::batch_report& message, const std::vector<batch::reported_end>& ends);

} // namespace chicorylift::site
