#include "chicorylift/core/error.hpp"
#include "chicorylift/core/registry.hpp"
#include "daemon/cell_leader.hpp"
#include "support/log.hpp"
#include "wire/convert.hpp"
#include "wire/json.hpp"

#include <algorithm>
#include <utility>

/// Takeover of a cell by its leader, and refresh of jobs and configuration from the table.
namespace chicorylift::daemon
{

namespace
{

constexpr std::string_view component = "lead";
constexpr core::milliseconds jobs_refresh_interval{5000};
constexpr core::milliseconds config_refresh_interval{10000};
constexpr core::milliseconds store_retry_delay{500};

} // namespace

void cell_leader::load()
{
    static_cast<void>(this->store_pool.post(
        [this]
        {
            const auto config_rows = this->context.table.list(std::string(config_prefix), 0);
            const auto member_rows = this->context.table.list("member/" + this->cell + "/", 0);
            const auto job_rows = this->context.table.list(this->job_prefix, 0);
            const bool read = config_rows.ok() && member_rows.ok() && job_rows.ok();
            if (!read)
            {
                std::this_thread::sleep_for(store_retry_delay);
            }
            static_cast<void>(this->thread.post(
                [this, read, config_rows, member_rows, job_rows]
                {
                    if (this->stopped)
                    {
                        return;
                    }
                    if (!read)
                    {
                        this->load();
                        return;
                    }
                    this->apply_members(*member_rows);
                    this->apply_config(to_delta(*config_rows, 0));
                    this->apply_jobs(*job_rows);
                    this->loaded = true;
                    this->last_active = core::boot_clock::now();
                    this->config_confirmed_at = core::boot_clock::now();
                    this->fence_deadline = core::boot_clock::now() + this->context.values.heartbeat;
                    for (auto& [id, known] : this->members)
                    {
                        this->send_fence(known);
                    }
                    support::log::info(component, "took over cell",
                                       {{"cell", this->cell},
                                        {"epoch", std::to_string(this->my_epoch)},
                                        {"members", std::to_string(this->members.size())},
                                        {"jobs", std::to_string(this->jobs.size())}});
                }));
        }));
}

void cell_leader::apply_members(const wire::table_rows& listed)
{
    for (const wire::table_row& row : listed.rows())
    {
        wire::member_row found;
        if (row.removed() || !wire::from_json_lenient(row.value(), found).ok())
        {
            continue;
        }
        const core::worker_id id(found.agent());
        if (this->members.contains(id))
        {
            continue;
        }
        member& added = this->members[id];
        added.row = found;
        added.last_heard = core::boot_clock::now();
        this->scheduler.worker_joined(wire::to_worker_info(found));
    }
}

void cell_leader::apply_jobs(const wire::table_rows& listed)
{
    for (const wire::table_row& row : listed.rows())
    {
        this->apply_job_row(row);
    }
    this->jobs_version = std::max(this->jobs_version, listed.version());
}

void cell_leader::apply_job_row(const wire::table_row& row)
{
    wire::job_row found;
    if (row.removed() || !wire::from_json_lenient(row.value(), found).ok() ||
        this->ended_jobs.contains(found.id()))
    {
        return;
    }
    const auto known = this->jobs.find(found.id());
    if (known != this->jobs.end())
    {
        tracked_job& job = known->second;
        if (row.version() <= job.row_version)
        {
            return;
        }
        job.row_version = row.version();
        const bool newly_cancelled = found.cancel_requested() && !job.row.cancel_requested();
        job.row.set_cancel_requested(found.cancel_requested());
        if (newly_cancelled)
        {
            this->scheduler.cancel(core::job_id(found.id()));
            if (job.driver == nullptr && !job.write_in_flight)
            {
                this->end_job(job, "cancelled", "cancelled before it started");
            }
        }
        return;
    }
    if (found.state() != "accepted" && found.state() != "committed")
    {
        return;
    }
    tracked_job& job = this->jobs[found.id()];
    job.row = found;
    job.row_version = row.version();
    job.accepted = core::boot_clock::now();
    if (found.state() == "committed")
    {
        job.resuming = true;
        if (!this->fencing)
        {
            this->resume_job(job);
        }
        return;
    }
    if (found.cancel_requested())
    {
        this->end_job(job, "cancelled", "cancelled before it started");
        return;
    }
    const auto spec =
        wire::to_job_spec(found.request(), found.id(), found.organisation(), job.accepted);
    if (!spec.ok())
    {
        this->end_job(job, "refused", std::string(spec.status().message()));
        return;
    }
    this->scheduler.submit(*spec, job.accepted);
}

void cell_leader::apply_config(const wire::config_delta& delta)
{
    if (!this->config.apply(delta))
    {
        return;
    }
    const auto terms = this->config.terms_in_force();
    if (terms.ok())
    {
        this->scheduler.apply_config(*terms, sched::policy_or_default(terms->weighting));
    }
    support::log::info(component, "configuration in force",
                       {{"version", std::to_string(this->config.head().version())},
                        {"preset", this->config.head().preset_in_force()}});
    for (const auto& [id, known] : this->members)
    {
        this->send_config_notice(known);
    }
}

void cell_leader::finish_fencing()
{
    this->fencing = false;
    for (auto& [id, job] : this->jobs)
    {
        if (job.resuming && job.driver == nullptr)
        {
            this->resume_job(job);
        }
    }
}

void cell_leader::resume_job(tracked_job& job)
{
    const core::instant now = core::boot_clock::now();
    const auto spec =
        wire::to_job_spec(job.row.request(), job.row.id(), job.row.organisation(), now);
    if (!spec.ok())
    {
        this->end_job(job, "failed", std::string(spec.status().message()));
        return;
    }
    job.placement = wire::from_wire(job.row.placement());
    this->scheduler.restore(*spec, job.placement, now);
    job.driver = std::make_unique<gang::gang_driver>(gang::gang_driver::resumed(
        job.placement, spec->checkpointable, this->make_gang_settings(), now));
    for (const sched::task_placement& placed : job.placement)
    {
        const auto known = this->members.find(placed.worker);
        if (known == this->members.end() || known->second.phase == member_phase::lost)
        {
            job.driver->worker_lost(placed.worker, now);
        }
        else
        {
            // The member's next full report states whether its part still runs.
            known->second.request_full_report = true;
            known->second.verify_parts = true;
            this->send_fence(known->second);
        }
    }
    if (job.row.cancel_requested())
    {
        this->scheduler.cancel(core::job_id(job.row.id()));
    }
    this->run_driver_actions(job.row.id());
}

bool cell_leader::ensure_epoch_current()
{
    const core::instant now = core::boot_clock::now();
    const core::milliseconds gap = now - std::exchange(this->last_active, now);
    if (this->loaded && this->epoch_verified && gap > this->context.values.suspect_after / 2)
    {
        support::log::warn(
            component, "process was suspended; no action until the leader row confirms the epoch",
            {{"gap_ms", std::to_string(gap.count())}});
        this->epoch_verified = false;
        this->next_verification = now;
    }
    if (!this->epoch_verified && !this->verification_in_flight && now >= this->next_verification)
    {
        this->verify_epoch();
    }
    return this->epoch_verified;
}

void cell_leader::verify_epoch()
{
    this->next_verification = core::boot_clock::now() + store_retry_delay;
    this->verification_in_flight = this->store_pool.post(
        [this]
        {
            const auto leader_row = this->context.table.read(this->leader_key);
            static_cast<void>(this->thread.post(
                [this, leader_row]
                {
                    this->verification_in_flight = false;
                    if (leader_row.ok() && leader_row->version() != this->leader_row_version)
                    {
                        this->step_down(
                            "the leader row of the cell has changed: another leader took over");
                    }
                    else if (leader_row.ok())
                    {
                        this->resume_after_confirmation();
                    }
                }));
        });
}

void cell_leader::resume_after_confirmation()
{
    this->epoch_verified = true;
    const core::instant now = core::boot_clock::now();
    this->last_active = now;
    for (auto& [id, known] : this->members)
    {
        // Heartbeats that arrived during the suspension may still be queued.
        known.last_heard = std::max(known.last_heard, now);
    }
}

void cell_leader::refresh_jobs()
{
    if (this->refreshing_jobs || !this->loaded)
    {
        return;
    }
    this->next_jobs_refresh = core::boot_clock::now() + jobs_refresh_interval;
    const std::uint32_t after = this->jobs_version;
    this->refreshing_jobs = this->store_pool.post(
        [this, after]
        {
            const auto listed = this->context.table.list(this->job_prefix, after);
            static_cast<void>(this->thread.post(
                [this, listed]
                {
                    this->refreshing_jobs = false;
                    if (listed.ok() && !this->stopped)
                    {
                        this->apply_jobs(*listed);
                        this->schedule();
                    }
                }));
        });
}

void cell_leader::refresh_config()
{
    if (this->refreshing_config)
    {
        return;
    }
    this->next_config_refresh = core::boot_clock::now() + config_refresh_interval;
    const std::uint32_t after = this->config.table_version();
    const std::uint32_t from = this->config.head().version();
    this->refreshing_config = this->store_pool.post(
        [this, after, from]
        {
            const auto listed = this->context.table.list(std::string(config_prefix), after);
            const auto leader_row = this->context.table.read(this->leader_key);
            static_cast<void>(this->thread.post(
                [this, listed, leader_row, from]
                {
                    this->refreshing_config = false;
                    if (leader_row.ok() && leader_row->version() != this->leader_row_version)
                    {
                        this->step_down(
                            "the leader row of the cell has changed: another leader took over");
                        return;
                    }
                    if (listed.ok())
                    {
                        this->config_confirmed_at = core::boot_clock::now();
                        this->apply_config(to_delta(*listed, from));
                    }
                }));
        });
}

void cell_leader::step_down(const std::string& why)
{
    if (this->stopped.exchange(true))
    {
        return;
    }
    support::log::warn(
        component, "stepping down",
        {{"cell", this->cell}, {"epoch", std::to_string(this->my_epoch)}, {"reason", why}});
    this->context.superseded();
}

} // namespace chicorylift::daemon
