#include "site/job_view.hpp"

#include "site/row_codec.hpp"

#include <limits>

namespace chicorylift::site
{

ports::client_job_state cached_job::state() const noexcept
{
    // The leader writes a final outcome only if no cancel row exists, so the outcome came first.
    if (this->completed)
    {
        return ports::client_job_state::completed;
    }
    if (this->failed)
    {
        return ports::client_job_state::failed;
    }
    if (this->cancelled)
    {
        return ports::client_job_state::cancelled;
    }
    return this->placed ? ports::client_job_state::running : ports::client_job_state::queued;
}

bool cached_job::is_queued() const noexcept
{
    return this->accepted_version != 0 && !this->has_schedule &&
           this->state() == ports::client_job_state::queued;
}

job_view::job_weight job_view::weight_of(const cached_job& job) noexcept
{
    const bool unfinished =
        job.accepted_version != 0 && !job.completed && !job.failed && !job.cancelled;
    return {job.is_queued(), unfinished ? job.state_bytes : 0};
}

void job_view::count_change(const cached_job& job, const job_weight& before, core::instant now)
{
    const job_weight after = weight_of(job);
    if (after.state_bytes != before.state_bytes)
    {
        std::size_t& own = this->state_bytes_by_organisation[job.organisation];
        own = own + after.state_bytes - before.state_bytes;
        this->total_state_bytes = this->total_state_bytes + after.state_bytes - before.state_bytes;
    }
    if (before.queued == after.queued)
    {
        return;
    }
    job_backlog& backlog = this->backlogs[{job.organisation, job.priority}];
    if (!before.queued)
    {
        ++backlog.queued;
        return;
    }
    --backlog.queued;
    if (job.placed)
    {
        backlog.started.record(now);
    }
}

void job_view::apply(const ports::row& row, core::instant now)
{
    const auto key = parse_job_row_key(row.id.key);
    if (!key.has_value())
    {
        return;
    }
    if (row.removed)
    {
        const auto removed = this->jobs.find(key->job);
        if (key->kind == job_row_kind::accepted && removed != this->jobs.end())
        {
            const job_weight before = weight_of(removed->second);
            removed->second.accepted_version = 0;
            this->count_change(removed->second, before, now);
            this->jobs.erase(removed);
        }
        return;
    }
    cached_job& job = this->jobs[key->job];
    const job_weight before = weight_of(job);
    if (key->kind == job_row_kind::accepted)
    {
        const auto stored = parse_job(row);
        if (!stored.has_value())
        {
            log_ignored_row(row, "not a valid job");
            return;
        }
        // An accepted row never changes, so that a counted job keeps its organisation and priority.
        job.queue = batch::queue_id(stored->terms().queue());
        job.organisation = core::organisation_id(stored->organisation());
        job.priority = stored->terms().priority();
        job.has_schedule = stored->occurrences() > 0;
        job.accepted_version = row.version;
        job.state_bytes = batch::state_bytes(from_row(*stored));
    }
    else if (key->kind == job_row_kind::progress)
    {
        wire::batch_progress stored;
        if (stored.ParseFromString(row.value))
        {
            job.placed = stored.agents_size() > 0;
            job.completed = stored.outcome() == wire::BATCH_COMPLETED;
            job.failed = stored.outcome() == wire::BATCH_FAILED;
        }
    }
    else
    {
        job.cancelled = true;
    }
    this->count_change(job, before, now);
}

std::size_t job_view::state_bytes_of(const core::organisation_id& organisation) const
{
    const auto found = this->state_bytes_by_organisation.find(organisation);
    return found == this->state_bytes_by_organisation.end() ? 0 : found->second;
}

std::pair<std::size_t, std::uint64_t>
job_view::backlog_of(const core::organisation_id& organisation, std::int64_t priority,
                     core::instant now) const
{
    std::pair<std::size_t, std::uint64_t> total{};
    for (auto each =
             this->backlogs.lower_bound({organisation, std::numeric_limits<std::int64_t>::min()});
         each != this->backlogs.end() && each->first.first == organisation &&
         each->first.second <= priority;
         ++each)
    {
        total.first += each->second.queued;
        total.second += each->second.started.count(now);
    }
    return total;
}

const cached_job* job_view::find(const core::job_id& job) const
{
    const auto found = this->jobs.find(job);
    return found == this->jobs.end() || found->second.accepted_version == 0 ? nullptr
                                                                            : &found->second;
}

std::size_t job_view::queued_count(const batch::queue_id& queue) const
{
    std::size_t count = 0;
    for (const auto& [id, job] : this->jobs)
    {
        const bool queued = job.state() == ports::client_job_state::queued && !job.has_schedule;
        count += job.queue == queue && job.accepted_version != 0 && queued ? 1 : 0;
    }
    return count;
}

} // namespace chicorylift::site
