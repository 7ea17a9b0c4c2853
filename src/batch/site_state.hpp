#pragma once

#include "chicorylift/batch/scheduler.hpp"

#include <map>
#include <set>
#include <unordered_map>

/// State that the site's scheduler decides on.
namespace chicorylift::batch
{

/// One unit of one step of one occurrence.
struct unit_state
{
    bool done = false;
    /// Run that holds room for the unit now; 0 when there is none.
    run_number run{};
    std::string checkpoint;
    /// Runs that ended as failed.
    std::set<run_number> failed;
    /// Workers that the unit failed on; other workers are tried first.
    std::set<agent_id> failed_on;
    /// Runs that were stopped for want of progress; each doubles the patience with the next.
    int stalls = 0;
    /// Runs that were given up because their lease lapsed; their later reports do not count.
    std::set<run_number> expired_runs;
    /// No start before this moment.
    core::instant not_before{};
};

/// One step of one occurrence.
struct step_state
{
    std::vector<unit_state> units;
    std::int64_t done{};
    /// When the step could first run; set by the first pass that sees it.
    std::optional<core::instant> ready_since;

    [[nodiscard]] bool is_done() const noexcept
    {
        return this->done == static_cast<std::int64_t>(this->units.size());
    }
};

/// A job and how far it has come.
struct job_state
{
    job_spec spec;
    /// Terms of the newest configuration.
    queue_policy policy;
    std::map<std::int64_t, std::vector<step_state>> occurrences;
    core::instant arrived{};
    job_outcome outcome = job_outcome::unfinished;
    bool cancelled = false;
    /// Agents that are written, and those that must be before a start there.
    std::set<agent_id> persisted_agents;
    std::set<agent_id> agents;
    /// Agents that may still run units which an earlier lead started.
    std::set<agent_id> unreconciled_agents;
    std::uint64_t version{};
    std::uint64_t persisted_version{};
    /// The change that added an agent last.
    std::uint64_t agents_version{};
    /// A checkpoint is newer than the last change that takes it along.
    bool checkpoint_dirty = false;
    std::int64_t active_runs{};

    [[nodiscard]] bool is_active() const noexcept
    {
        return this->outcome == job_outcome::unfinished && !this->cancelled;
    }
};

/// One unit of a run.
struct run_member_state
{
    std::int64_t index{};
    agent_id agent;
    run_phase phase = run_phase::starting;
    bool command_sent = false;
    bool ended = false;
    bool confirmed = false;
    core::instant last_command_at{};
    /// Since when the worker's lists do not show the member.
    std::optional<core::instant> missing_since;
    std::string checkpoint;
    std::int64_t progress_percent{};
    core::instant progressed{};
};

/// @return the steps of one occurrence, which is begun when it is not there yet.
std::vector<step_state>& get_or_create_occurrence(job_state& job, std::int64_t occurrence);

/// @return whether the job has such a unit.
[[nodiscard]] bool has_unit(const job_state& job, const unit_key& unit);

/// @return a number that is known not to be negative, as an index.
[[nodiscard]] inline std::size_t to_index(std::int64_t index) noexcept
{
    return static_cast<std::size_t>(index);
}

/// One start of a unit alone or of a whole gang.
struct run_state
{
    run_number number{};
    core::job_id job;
    std::int64_t occurrence{};
    std::int64_t step{};
    std::vector<run_member_state> members;
    resource_amount per_unit;
    bool gang = false;
    bool stopping = false;
    /// Adopted members of a gang wait until all are found.
    bool gang_complete = true;
    core::instant began{};

    [[nodiscard]] bool has_ended() const noexcept
    {
        for (const run_member_state& member : this->members)
        {
            if (!member.ended)
            {
                return false;
            }
        }
        return true;
    }
};

/// How a worker has treated its work lately.
struct worker_failure_history
{
    std::int64_t failures{};
    core::instant quarantined_until{};
    core::milliseconds next_quarantine = std::chrono::milliseconds{2000};
};

/// An agent and its worker.
struct worker_state
{
    agent_id agent;
    worker_info info;
    bool reported = false;
    /// Complete lists were seen since this lead took over, or since the worker was lost.
    bool reconciled = false;
    bool lost = false;
    bool agent_stopping = false;
    core::instant last_report_at{};
    /// When the lists of the last report were read from the worker.
    core::instant lists_read_at{};
    core::instant last_renewal_at{};
    /// Ends that wait until their job is written: position in the list to job and change.
    std::map<std::uint64_t, std::pair<core::job_id, std::uint64_t>> pending_ends;
    std::uint64_t highest_end{};
    worker_failure_history failure_history;
};

/// Units that are placed together.
struct placement_group
{
    job_state* job{};
    std::int64_t occurrence{};
    std::int64_t step{};
    /// Indices of the units; several only for a gang.
    std::vector<std::int64_t> units;
    core::instant waiting_since{};
    /// Lower goes first.
    double rank{};
    bool guaranteed = false;
    /// The objective cannot be met any more.
    bool objective_missed = false;
    /// So much of the time that it may wait is over that room is kept for it.
    bool reservation_due = false;
};

/// Worker that a unit was given.
struct unit_placement
{
    std::int64_t index{};
    agent_id agent;
};

} // namespace chicorylift::batch
