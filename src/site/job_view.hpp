#pragma once

#include "chicorylift/batch/job.hpp"
#include "chicorylift/batch/submission_admission.hpp"
#include "ports/client_api.hpp"
#include "ports/table_service.hpp"

#include <map>
#include <optional>
#include <utility>

namespace chicorylift::site
{

/// Cached state of a job.
struct cached_job
{
    batch::queue_id queue;
    core::organisation_id organisation;
    std::int64_t priority{};
    bool has_schedule = false;
    bool placed = false;
    bool completed = false;
    bool failed = false;
    bool cancelled = false;
    /// Version of the job's accepted row; 0 until that row has been read.
    ports::revision accepted_version{};
    /// See batch::state_bytes().
    std::size_t state_bytes{};

    /// @return the state exposed by the client API.
    [[nodiscard]] ports::client_job_state state() const noexcept;
    /// @return whether the job's accepted row has been read, it has no schedule, and it has not
    ///         been placed.
    [[nodiscard]] bool is_queued() const noexcept;
};

/// Jobs of one organisation and priority.
struct job_backlog
{
    std::size_t queued{};
    batch::event_rate started;
};

/// In-memory view of all jobs, built from the rows of the job table.
class job_view
{
public:
    /// Applies a row of the job table; rows whose key is not a job row's are ignored.
    void apply(const ports::row& row, core::instant now);
    /// @return the job, or nullptr if its accepted row has not been read.
    [[nodiscard]] const cached_job* find(const core::job_id& job) const;
    /// @return number of accepted jobs of a queue that have no schedule and have not been placed.
    [[nodiscard]] std::size_t queued_count(const batch::queue_id& queue) const;
    /// @return the organisation's jobs that are queued, and those that were started within
    ///         `event_rate::window`, of the priority and more urgent ones.
    [[nodiscard]] std::pair<std::size_t, std::uint64_t>
    backlog_of(const core::organisation_id& organisation, std::int64_t priority,
               core::instant now) const;
    [[nodiscard]] std::size_t size() const noexcept { return this->jobs.size(); }
    /// @return memory that a leader needs for the unfinished jobs.
    [[nodiscard]] std::size_t state_bytes() const noexcept { return this->total_state_bytes; }
    /// @return the same for those of one organisation.
    [[nodiscard]] std::size_t state_bytes_of(const core::organisation_id& organisation) const;

private:
    /// What a job counts for.
    struct job_weight
    {
        bool queued = false;
        std::size_t state_bytes{};
    };
    [[nodiscard]] static job_weight weight_of(const cached_job& job) noexcept;
    /// Updates the totals after a job has changed.
    void count_change(const cached_job& job, const job_weight& before, core::instant now);

    std::map<core::job_id, cached_job> jobs;
    std::map<std::pair<core::organisation_id, std::int64_t>, job_backlog> backlogs;
    std::size_t total_state_bytes{};
    std::map<core::organisation_id, std::size_t> state_bytes_by_organisation;
};

} // namespace chicorylift::site
