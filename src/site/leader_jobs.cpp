#include "site/leader.hpp"
#include "site/row_codec.hpp"
#include "support/events.hpp"

#include <algorithm>
#include <utility>

/// Parts of the leader that load jobs, within the time of a turn and the memory of its machine.
namespace chicorylift::site
{

namespace
{

namespace events = support::events;

// A turn that loads jobs ends after this; a single job takes less.
constexpr core::milliseconds max_load_turn{20};
constexpr core::milliseconds read_timeout{800};
constexpr std::size_t bytes_per_mb = 1U << 20U;

/// Entries that accept jobs at the same time may exceed their limit by a third, so that a leader
/// sets aside only what was accepted without it.
std::size_t max_job_bytes(const settings& values)
{
    return values.max_job_state_mb * bytes_per_mb * 4 / 3;
}

} // namespace

void leader::load_jobs_if_ready()
{
    // A request to evacuate a zone may stand in a row that follows the configuration's.
    const bool requests_read = !this->evacuations.is_enabled() || this->config_rows->is_loaded();
    if (this->loaded || !this->job_rows->is_loaded() || !this->member_rows->is_loaded() ||
        !this->config.has_value() || !requests_read || this->loading)
    {
        return;
    }
    this->loading = true;
    this->load_some_jobs();
}

void leader::load_some_jobs()
{
    const core::instant begin = core::boot_clock::now();
    while (!this->pending_job_rows.empty() && core::boot_clock::now() - begin < max_load_turn)
    {
        const auto next = this->pending_job_rows.begin();
        this->load_job(next->first, next->second);
        this->pending_job_rows.erase(next);
    }
    if (this->pending_job_rows.empty())
    {
        this->on_jobs_loaded();
        return;
    }
    // Reports are answered in between.
    const std::weak_ptr<bool> alive = this->lifetime_token;
    this->context.loop.post(
        [this, alive]
        {
            if (!alive.expired() && !this->stepped_down)
            {
                this->load_some_jobs();
            }
        });
}

void leader::load_job(const core::job_id& id, const wire::batch_job& stored)
{
    batch::job_progress progress;
    const auto written = this->progress_rows.find(id);
    if (written != this->progress_rows.end())
    {
        progress = from_row(written->second);
    }
    const bool cancelled =
        this->cancel_rows.contains(id) && progress.outcome == batch::job_outcome::unfinished;
    ++this->loaded_jobs;
    this->loaded_open_jobs +=
        progress.outcome == batch::job_outcome::unfinished && !cancelled ? 1 : 0;
    this->add_job(from_row(stored), progress, cancelled, batch::job_origin::earlier_leader,
                  this->job_rows->version());
}

void leader::on_jobs_loaded()
{
    this->loaded = true;
    events::write("lead_taken", {{"epoch", this->my_epoch},
                                 {"jobs", this->loaded_jobs},
                                 {"open_jobs", this->loaded_open_jobs},
                                 {"agents", static_cast<std::uint64_t>(this->agents.size())},
                                 {"took_ms", (core::boot_clock::now() - this->began).count()}});
    this->progress_rows.clear();
    this->context.metrics.increment("lead", "taken");
    this->send_to_all_agents();
    this->schedule_pass();
}

void leader::add_job(batch::job_spec job, const batch::job_progress& progress, bool cancelled,
                     batch::job_origin origin, ports::revision accepted_version)
{
    const core::job_id id = job.id;
    if (this->job_bytes.contains(id))
    {
        return;
    }
    const std::size_t bytes = batch::state_bytes(job);
    const std::size_t limit = max_job_bytes(this->context.values);
    // A job without progress has run only if an earlier leader started work unpersisted.
    const bool may_have_run =
        !progress.agents.empty() || (origin == batch::job_origin::earlier_leader &&
                                     this->guard.predecessor_may_have_unpersisted_runs());
    const bool is_open = !cancelled && progress.outcome == batch::job_outcome::unfinished;
    if (limit > 0 && this->total_job_bytes + bytes > limit && is_open && !may_have_run)
    {
        if (this->set_aside_jobs.emplace(id, bytes).second)
        {
            events::write("job_set_aside",
                          {{"job", id.str()},
                           {"bytes", static_cast<std::uint64_t>(bytes)},
                           {"held_bytes", static_cast<std::uint64_t>(this->total_job_bytes)},
                           {"limit_bytes", static_cast<std::uint64_t>(limit)}});
        }
        return;
    }
    this->set_aside_jobs.erase(id);
    this->job_bytes[id] = bytes;
    this->total_job_bytes += bytes;
    this->scheduler.add_job(std::move(job), progress, cancelled, this->context.loop.now(), origin,
                            accepted_version);
}

void leader::forget_job(const core::job_id& id)
{
    this->pending_job_rows.erase(id);
    this->set_aside_jobs.erase(id);
    const auto known = this->job_bytes.find(id);
    if (known != this->job_bytes.end())
    {
        this->total_job_bytes -= known->second;
        this->job_bytes.erase(known);
    }
    this->scheduler.remove_job(id);
    this->cancel_rows.erase(id);
    this->ended_since.erase(id);
}

void leader::load_set_aside_job()
{
    if (this->set_aside_read_in_flight || this->store_health.unreachable)
    {
        return;
    }
    const std::size_t limit = max_job_bytes(this->context.values);
    const auto next = std::find_if(this->set_aside_jobs.begin(), this->set_aside_jobs.end(),
                                   [this, limit](const auto& each) {
                                       return this->total_job_bytes + each.second <= limit ||
                                              this->cancel_rows.contains(each.first);
                                   });
    if (next == this->set_aside_jobs.end())
    {
        return;
    }
    this->set_aside_read_in_flight = true;
    constexpr std::size_t rows_per_job = 3;
    const std::weak_ptr<bool> alive = this->lifetime_token;
    this->context.store.read(
        job_table, site_partition, next->first.str(), rows_per_job, read_timeout,
        [this, alive, id = next->first](const absl::StatusOr<ports::row_page>& page)
        {
            if (!alive.expired())
            {
                this->set_aside_read_in_flight = false;
                this->on_set_aside_rows(id, page);
            }
        },
        {});
}

void leader::on_set_aside_rows(const core::job_id& id, const absl::StatusOr<ports::row_page>& page)
{
    if (!page.ok())
    {
        return;
    }
    const auto row =
        std::find_if(page->rows.begin(), page->rows.end(),
                     [&id](const ports::row& each)
                     { return each.id.key == job_row_id(id, job_row_kind::accepted).key; });
    const auto stored = row == page->rows.end() ? std::nullopt : parse_job(*row);
    if (!stored.has_value())
    {
        this->set_aside_jobs.erase(id);
        return;
    }
    batch::job_spec job = from_row(*stored);
    const bool cancelled = this->cancel_rows.contains(id);
    if (cancelled)
    {
        // It never ran; only its rows are left to be removed.
        job.steps.clear();
        job.payload.clear();
    }
    this->add_job(std::move(job), {}, cancelled,
                  row->version > this->row_version ? batch::job_origin::this_leader
                                                   : batch::job_origin::earlier_leader,
                  row->version);
    this->schedule_pass();
}

} // namespace chicorylift::site
