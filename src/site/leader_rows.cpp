#include "site/config_row.hpp"
#include "site/leader.hpp"
#include "site/row_codec.hpp"
#include "support/events.hpp"
#include "support/unix_clock.hpp"

#include <algorithm>
#include <utility>

/// Parts of the leader that follow, persist and trim rows of the table service.
namespace chicorylift::site
{

namespace
{

namespace events = support::events;

constexpr core::milliseconds write_timeout{800};
// Progress that finishes no job is batched over this interval.
constexpr core::milliseconds lazy_write_interval{200};
constexpr core::milliseconds writable_check_interval{400};
// No such row exists.
constexpr const char* writable_check_key = "writable-check";
constexpr std::size_t max_jobs_per_write = 30;
// A call holds 1 MB, in which rows take a third more, besides their keys and versions. A row holds
// 64 KB.
constexpr std::size_t max_progress_bytes_per_write = 600'000;
constexpr core::milliseconds trim_interval = std::chrono::seconds{5};
// An agent that has not reported for this long is assumed to be removed, not restarting.
constexpr core::milliseconds agent_removal_timeout = std::chrono::minutes{10};

} // namespace

void leader::on_member_row(const ports::row& row)
{
    if (row.removed)
    {
        this->on_member_left(row.id.key);
        return;
    }
    const auto member = parse_member(row);
    if (!member.has_value())
    {
        log_ignored_row(row, "not a valid member");
        return;
    }
    agent_state& state = this->agents[member->agent()];
    if (state.address != member->address() || state.left)
    {
        state.address = member->address();
        state.left = false;
        ++this->members_version;
    }
    this->scheduler.add_agent(batch::agent_id(member->agent()));
    this->guard.add_agent(batch::agent_id(member->agent()));
    this->confirmation.add_agent(batch::agent_id(member->agent()));
}

void leader::on_member_left(const std::string& name)
{
    const auto found = this->agents.find(name);
    if (found == this->agents.end() || found->second.left)
    {
        return;
    }
    found->second.left = true;
    ++this->members_version;
    this->guard.remove_agent(batch::agent_id(name), core::boot_clock::now());
    events::write("member_left", {{"epoch", this->my_epoch}, {"agent", name}});
    this->schedule_pass();
}

void leader::on_members_confirmed()
{
    if (this->member_rows->is_loaded())
    {
        this->guard.on_members_read(core::boot_clock::now());
        this->confirmation.on_members_read();
        if (this->guard.predecessor_may_have_unpersisted_runs())
        {
            this->scheduler.assume_runs_on_unreported_agents();
        }
    }
    this->load_jobs_if_ready();
}

void leader::on_config_row(const ports::row& row)
{
    this->on_evacuation_row(row);
    if (!apply_config_row(row, "lead", this->config))
    {
        return;
    }
    this->scheduler.set_policies(this->config->queue_policies(),
                                 this->config->guaranteed_accelerators);
    this->schedule_pass();
}

void leader::on_leader_row(const ports::row& row)
{
    wire::batch_lead_row current;
    if (!row.removed && current.ParseFromString(row.value))
    {
        this->on_observed_epoch(current.epoch());
    }
    else if (!row.removed)
    {
        log_ignored_row(row, "not a leader");
    }
}

void leader::on_job_row(const ports::row& row)
{
    const auto key = parse_job_row_key(row.id.key);
    if (!key.has_value())
    {
        return;
    }
    if (row.removed)
    {
        if (key->kind == job_row_kind::accepted)
        {
            this->forget_job(key->job);
        }
        return;
    }
    if (key->kind == job_row_kind::cancel)
    {
        this->cancel_rows[key->job] = true;
        this->scheduler.cancel_job(key->job);
        this->send_due_commands();
        this->schedule_pass();
    }
    else if (key->kind == job_row_kind::progress && !this->loaded)
    {
        wire::batch_progress progress;
        if (progress.ParseFromString(row.value))
        {
            this->progress_rows[key->job] = progress;
        }
    }
    else if (key->kind == job_row_kind::accepted)
    {
        this->on_accepted_row(row);
    }
}

void leader::on_accepted_row(const ports::row& row)
{
    auto stored = parse_job(row);
    if (!stored.has_value())
    {
        log_ignored_row(row, "not a valid job");
        return;
    }
    const core::job_id id(stored->id());
    if (!this->loaded)
    {
        this->pending_job_rows[id] = std::move(*stored);
        return;
    }
    this->add_job(from_row(*stored), {}, this->cancel_rows.contains(id),
                  row.version > this->row_version ? batch::job_origin::this_leader
                                                  : batch::job_origin::earlier_leader,
                  row.version);
    if (!this->job_bytes.contains(id))
    {
        return;
    }
    events::write("job_known",
                  {{"job", id.str()},
                   {"queue", stored->terms().queue()},
                   {"organisation", stored->organisation()},
                   {"accepted_ms_ago",
                    (support::unix_now() - batch::unix_time{stored->accepted_ms()}).count()},
                   {"row_version", row.version}});
    this->schedule_pass();
}

void leader::write_progress()
{
    const core::instant now = core::boot_clock::now();
    if (this->write_in_flight)
    {
        return;
    }
    const std::vector<core::job_id> jobs = this->scheduler.unpersisted_jobs();
    if (jobs.empty())
    {
        if (!this->store_health.not_writable &&
            now - this->guard.followed_since() > lease_timeout(this->context.values))
        {
            this->guard.announce_unpersisted_starts(false);
        }
        return;
    }
    if (!this->scheduler.is_write_urgent(jobs.front()) && now < this->next_lazy_write)
    {
        return;
    }
    this->next_lazy_write = now + lazy_write_interval;
    ports::transaction changes;
    changes.conditions.push_back({leader_row_id(), this->row_version});
    std::map<core::job_id, std::uint64_t> included;
    std::size_t bytes = 0;
    for (const core::job_id& job : jobs)
    {
        if (included.size() == max_jobs_per_write)
        {
            break;
        }
        const ports::row_id row_id = job_row_id(job, job_row_kind::progress);
        const batch::job_progress progress = this->scheduler.progress_of(job);
        std::string value = to_row(progress).SerializeAsString();
        if (value.size() > this->context.values.max_row_bytes)
        {
            // The store would reject the whole transaction, and the other jobs' progress with it.
            events::write(
                "progress_too_large",
                {{"job", job.str()},
                 {"bytes", static_cast<std::uint64_t>(value.size())},
                 {"failed_runs", static_cast<std::uint64_t>(progress.failed.size())},
                 {"checkpoints", static_cast<std::uint64_t>(progress.checkpoints.size())}});
            continue;
        }
        bytes += value.size();
        if (bytes > max_progress_bytes_per_write && !included.empty())
        {
            break;
        }
        // A delayed write whose response was lost must not overwrite a later one.
        changes.conditions.push_back({row_id, this->job_rows->version_of(row_id.key)});
        if (progress.outcome != batch::job_outcome::unfinished)
        {
            // A job that callers see as cancelled must not change to completed or failed.
            changes.conditions.push_back({job_row_id(job, job_row_kind::cancel), 0});
        }
        changes.writes.push_back({row_id, std::move(value)});
        included[job] = this->scheduler.unpersisted_version(job);
    }
    if (included.empty())
    {
        return;
    }
    this->write_in_flight = true;
    this->write_sent_at = now;
    const std::weak_ptr<bool> alive = this->lifetime_token;
    this->context.store.commit(changes, write_timeout,
                               [this, alive, included](const ports::commit_outcome& outcome)
                               {
                                   if (!alive.expired())
                                   {
                                       this->write_in_flight = false;
                                       this->on_progress_commit(included, outcome);
                                   }
                               });
}

void leader::note_write(ports::commit_state result, const std::string& message)
{
    if (result == ports::commit_state::applied || result == ports::commit_state::conflict)
    {
        this->write_failing_since = {};
        return;
    }
    if (this->write_failing_since == core::instant{})
    {
        this->write_failing_since = core::boot_clock::now();
    }
    events::write("order_lost", {{"to", "store"}, {"reason", message}});
}

void leader::check_writable()
{
    const core::instant now = core::boot_clock::now();
    if (!this->store_health.not_writable || this->store_health.unreachable ||
        this->write_in_flight || now < this->next_lazy_write)
    {
        return;
    }
    this->next_lazy_write = now + writable_check_interval;
    ports::transaction check;
    check.conditions.push_back({leader_row_id(), this->row_version});
    check.removals.push_back({leader_table, site_partition, writable_check_key});
    this->write_in_flight = true;
    const std::weak_ptr<bool> alive = this->lifetime_token;
    this->context.store.commit(check, write_timeout,
                               [this, alive](const ports::commit_outcome& outcome)
                               {
                                   if (alive.expired())
                                   {
                                       return;
                                   }
                                   this->write_in_flight = false;
                                   this->note_write(outcome.state, outcome.message);
                                   if (outcome.state == ports::commit_state::conflict)
                                   {
                                       this->apply_conflicting_rows(outcome.conflicting_rows);
                                   }
                               });
}

void leader::on_progress_commit(const std::map<core::job_id, std::uint64_t>& changes,
                                const ports::commit_outcome& outcome)
{
    const core::instant now = core::boot_clock::now();
    ++this->work.writes;
    this->work.max_write_time = std::max(this->work.max_write_time, now - this->write_sent_at);
    this->note_write(outcome.state, outcome.message);
    switch (outcome.state)
    {
    case ports::commit_state::applied:
        for (const auto& [job, change] : changes)
        {
            this->job_rows->note_written(job_row_id(job, job_row_kind::progress).key,
                                         outcome.version);
            this->scheduler.on_persisted(job, change);
        }
        events::write("progress_written", {{"jobs", static_cast<std::uint64_t>(changes.size())},
                                           {"row_version", outcome.version},
                                           {"epoch", this->my_epoch}});
        break;
    case ports::commit_state::conflict:
        this->apply_conflicting_rows(outcome.conflicting_rows);
        break;
    case ports::commit_state::not_applied:
    case ports::commit_state::unknown:
        break;
    }
    this->detect_process_pause();
    // Starts that waited for this write do not wait for the next pass too.
    this->send_due_commands();
    this->schedule_pass();
}

void leader::apply_conflicting_rows(const std::vector<ports::row>& present)
{
    for (const ports::row& row : present)
    {
        if (row.id.table == leader_table)
        {
            if (row.version != this->row_version)
            {
                this->step_down("the leader row has version " + std::to_string(row.version));
            }
            continue;
        }
        const auto key = parse_job_row_key(row.id.key);
        if (row.id.table != job_table || !key.has_value() || row.version == 0)
        {
            continue;
        }
        if (key->kind == job_row_kind::progress)
        {
            // Written by an earlier commit of this leader whose response was lost.
            this->job_rows->note_written(row.id.key, row.version);
        }
        else if (key->kind == job_row_kind::cancel)
        {
            this->cancel_rows[key->job] = true;
            this->scheduler.cancel_job(key->job);
        }
    }
}

void leader::trim()
{
    const core::instant now = core::boot_clock::now();
    if (now < this->next_trim || this->trim_in_flight || this->store_health.unreachable ||
        !this->may_issue_orders())
    {
        return;
    }
    this->next_trim = now + trim_interval;
    const core::milliseconds retention = ended_job_retention(this->context.values);
    ports::transaction changes;
    changes.conditions.push_back({leader_row_id(), this->row_version});
    std::size_t jobs = 0;
    for (const core::job_id& job : this->scheduler.removable_jobs())
    {
        const core::instant since = this->ended_since.try_emplace(job, now).first->second;
        if (now - since > retention && jobs < max_jobs_per_write)
        {
            ++jobs;
            changes.removals.push_back(job_row_id(job, job_row_kind::accepted));
            changes.removals.push_back(job_row_id(job, job_row_kind::progress));
            changes.removals.push_back(job_row_id(job, job_row_kind::cancel));
        }
    }
    for (auto each = this->agents.begin(); each != this->agents.end();)
    {
        const core::instant last_heard = std::max(each->second.last_heard, this->began);
        if (now - last_heard < agent_removal_timeout)
        {
            ++each;
            continue;
        }
        const batch::agent_id agent(each->first);
        if (!each->second.left)
        {
            changes.removals.push_back(member_row_id(agent));
        }
        this->guard.remove_agent(agent, now);
        this->confirmation.remove_agent(agent);
        ++this->members_version;
        each = this->agents.erase(each);
    }
    if (changes.removals.empty())
    {
        return;
    }
    this->trim_in_flight = true;
    const std::weak_ptr<bool> alive = this->lifetime_token;
    // The watch on the job table reports the removed rows; the next round retries after a lost
    // response.
    this->context.store.commit(changes, write_timeout,
                               [this, alive, jobs](const ports::commit_outcome& outcome)
                               {
                                   if (alive.expired())
                                   {
                                       return;
                                   }
                                   this->trim_in_flight = false;
                                   this->note_write(outcome.state, outcome.message);
                                   if (outcome.state == ports::commit_state::applied)
                                   {
                                       events::write("jobs_trimmed",
                                                     {{"jobs", static_cast<std::uint64_t>(jobs)},
                                                      {"row_version", outcome.version}});
                                   }
                                   else if (outcome.state == ports::commit_state::conflict)
                                   {
                                       this->apply_conflicting_rows(outcome.conflicting_rows);
                                   }
                               });
}

void leader::trim_withdrawals()
{
    if (this->withdrawal_trim_in_flight || this->store_health.not_writable ||
        !this->may_issue_orders())
    {
        return;
    }
    ports::transaction changes;
    changes.conditions.push_back({leader_row_id(), this->row_version});
    const std::size_t rows = this->withdrawals->add_expired(core::boot_clock::now(), changes);
    if (rows == 0)
    {
        return;
    }
    this->withdrawal_trim_in_flight = true;
    const std::weak_ptr<bool> alive = this->lifetime_token;
    this->context.store.commit(changes, write_timeout,
                               [this, alive, rows](const ports::commit_outcome& outcome)
                               {
                                   if (alive.expired())
                                   {
                                       return;
                                   }
                                   this->withdrawal_trim_in_flight = false;
                                   this->note_write(outcome.state, outcome.message);
                                   if (outcome.state == ports::commit_state::applied)
                                   {
                                       events::write("withdrawals_trimmed",
                                                     {{"rows", static_cast<std::uint64_t>(rows)},
                                                      {"row_version", outcome.version}});
                                   }
                                   else if (outcome.state == ports::commit_state::conflict)
                                   {
                                       this->apply_conflicting_rows(outcome.conflicting_rows);
                                   }
                               });
}

} // namespace chicorylift::site
