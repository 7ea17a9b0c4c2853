#pragma once

#include "chicorylift/batch/job.hpp"
#include "ports/client_api.hpp"
#include "ports/table_service.hpp"

#include <map>
#include <optional>

namespace chicorylift::site
{

/// Cached state of a job.
struct cached_job
{
    batch::queue_id queue;
    core::organisation_id organisation;
    bool has_schedule = false;
    bool placed = false;
    bool completed = false;
    bool failed = false;
    bool cancelled = false;
    /// Version of the job's accepted row; 0 until that row has been read.
    ports::revision accepted_version{};

    /// @return the state exposed by the client API.
    [[nodiscard]] ports::client_job_state state() const noexcept;
};

/// In-memory view of all jobs, built from the rows of the job table.
class job_view
{
public:
    /// Applies a row of the job table; rows whose key is not a job row's are ignored.
    void apply(const ports::row& row);
    /// @return the job, or nullptr if its accepted row has not been read.
    [[nodiscard]] const cached_job* find(const core::job_id& job) const;
    /// @return number of accepted jobs of a queue that have no schedule and have not been placed.
    [[nodiscard]] std::size_t queued_count(const batch::queue_id& queue) const;
    [[nodiscard]] std::size_t size() const noexcept { return this->jobs.size(); }

private:
    std::map<core::job_id, cached_job> jobs;
};

} // namespace chicorylift::site
