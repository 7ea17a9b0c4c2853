#pragma once

#include "chicorylift/batch/job.hpp"
#include "ports/client_api.hpp"
#include "ports/table_service.hpp"

#include <map>
#include <optional>

namespace chicorylift::site
{

/// What an entry keeps of a job.
struct cached_job
{
    batch::queue_id queue;
    core::organisation_id organisation;
    bool has_schedule = false;
    bool placed = false;
    bool completed = false;
    bool failed = false;
    bool cancelled = false;
    /// Version of the row that was written when the job was accepted; 0 before it is seen.
    ports::revision accepted_version{};

    /// @return the state that callers are shown.
    [[nodiscard]] ports::client_job_state state() const noexcept;
};

/// An entry's view of all jobs, made from the rows of the job table.
class job_view
{
public:
    /// Takes in one row; rows of other kinds are passed over.
    void apply(const ports::row& row);
    /// @return the job, or nullptr when its acceptance has not been seen.
    [[nodiscard]] const cached_job* find(const core::job_id& job) const;
    /// @return jobs of a queue that were accepted, have no times and have not begun.
    [[nodiscard]] std::size_t queued_count(const batch::queue_id& queue) const;
    [[nodiscard]] std::size_t size() const noexcept { return this->jobs.size(); }

private:
    std::map<core::job_id, cached_job> jobs;
};

} // namespace chicorylift::site
