#include "chicorylift/core/error.hpp"
#include "daemon/cell_leader.hpp"
#include "support/log.hpp"
#include "wire/convert.hpp"
#include "wire/json.hpp"

#include <utility>

/// Job control of the cell leader: starts, stops, commits and ends jobs.
namespace chicorylift::daemon
{

namespace
{

constexpr std::string_view component = "lead";
// No task starts before the outcome of the commit is known, even if the store is unavailable for
// hours.
constexpr core::milliseconds commit_timeout = std::chrono::hours{24};
// Ended jobs are remembered so that rows read late from the table do not add them again.
constexpr std::size_t max_remembered_ended_jobs = 100'000;

} // namespace

void cell_leader::apply_decision(const sched::decision& step)
{
    const auto found = this->jobs.find(step.job.str());
    if (found == this->jobs.end())
    {
        return;
    }
    tracked_job& job = found->second;
    support::log::info(component, "decision",
                       {{"kind", std::string(sched::to_text(step.kind))},
                        {"job", step.job.str()},
                        {"reason", std::string(sched::to_text(step.reason))},
                        {"detail", step.detail}});
    switch (step.kind)
    {
    case sched::decision_kind::start:
        this->start_job(job, step);
        break;
    case sched::decision_kind::stop:
        if (step.reason == sched::stop_reason::preempted)
        {
            this->context.metrics.increment("jobs_reclaimed", job.row.organisation());
        }
        if (job.driver != nullptr)
        {
            job.driver->stop(core::boot_clock::now());
            this->run_driver_actions(step.job.str());
        }
        break;
    case sched::decision_kind::refuse:
        this->end_job(job, "refused", step.detail);
        break;
    case sched::decision_kind::report_outcome_unknown:
        this->end_job(job, "unknown", step.detail);
        break;
    }
}

void cell_leader::start_job(tracked_job& job, const sched::decision& step)
{
    job.placement = step.placement;
    job.row.set_attempt(job.row.attempt() + 1);
    job.row.set_epoch(this->my_epoch);
    job.driver =
        std::make_unique<gang::gang_driver>(step.placement, job.row.request().checkpointable(),
                                            this->make_gang_settings(), core::boot_clock::now());
    this->run_driver_actions(job.row.id());
}

void cell_leader::run_driver_actions(const std::string& id)
{
    // An action can end the job and erase it from the map, so the job is looked up each time.
    for (auto found = this->jobs.find(id); found != this->jobs.end(); found = this->jobs.find(id))
    {
        if (found->second.driver == nullptr)
        {
            return;
        }
        const std::vector<gang::gang_action> actions = found->second.driver->take_actions();
        if (actions.empty())
        {
            return;
        }
        for (const gang::gang_action& action : actions)
        {
            const auto still = this->jobs.find(id);
            if (still == this->jobs.end())
            {
                return;
            }
            this->apply_action(still->second, action);
        }
    }
}

void cell_leader::apply_action(tracked_job& job, const gang::gang_action& action)
{
    const auto fill_order = [this, &job](wire::part_order* order)
    {
        order->set_job(job.row.id());
        order->set_attempt(job.row.attempt());
        order->set_epoch(this->my_epoch);
    };
    wire::envelope message;
    if (const auto* reserve_action = std::get_if<gang::send_reserve>(&action))
    {
        wire::reserve_part* reserve = message.mutable_reserve();
        reserve->set_job(job.row.id());
        reserve->set_attempt(job.row.attempt());
        reserve->set_epoch(this->my_epoch);
        reserve->set_tasks(static_cast<std::uint32_t>(reserve_action->tasks));
        *reserve->mutable_per_task() = job.row.request().per_task();
        reserve->set_run_time_ms(job.row.request().declared_run_time_ms());
        reserve->set_kind(job.row.request().kind());
        this->send_to(reserve_action->worker, std::move(message));
    }
    else if (const auto* start = std::get_if<gang::send_start>(&action))
    {
        fill_order(message.mutable_start());
        this->send_to(start->worker, std::move(message));
    }
    else if (const auto* stop = std::get_if<gang::send_stop>(&action))
    {
        fill_order(message.mutable_stop());
        message.mutable_stop()->set_checkpoint_first(stop->checkpoint_first);
        this->send_to(stop->worker, std::move(message));
    }
    else if (const auto* result = std::get_if<gang::report_result>(&action))
    {
        this->on_attempt_result(job, *result);
    }
    else
    {
        this->commit_gang(job);
    }
}

void cell_leader::commit_gang(tracked_job& job)
{
    job.row.set_state("committed");
    wire::set_placement(job.placement, *job.row.mutable_placement());
    wire::job_row row = job.row;
    const std::string id = job.row.id();
    const std::uint32_t attempt = job.row.attempt();
    this->write_job({.job = id,
                     .row = std::move(row),
                     .then = [this, id, attempt](bool applied)
                     {
                         const auto found = this->jobs.find(id);
                         if (found != this->jobs.end() && found->second.driver != nullptr &&
                             found->second.row.attempt() == attempt)
                         {
                             found->second.driver->commit_completed(applied,
                                                                    core::boot_clock::now());
                             this->run_driver_actions(id);
                         }
                     }});
}

void cell_leader::on_attempt_result(tracked_job& job, const gang::report_result& result)
{
    const core::instant now = core::boot_clock::now();
    const core::job_id id(job.row.id());
    const std::string organisation = job.row.organisation();
    const std::string urgency = job.row.request().class_();
    if (result.result == gang::attempt_result::running)
    {
        this->scheduler.job_started(id, now);
        this->context.metrics.observe("start_delay", organisation, urgency, now - job.accepted);
        return;
    }
    job.driver.reset();
    const std::string failed_worker =
        result.failed_worker.has_value() ? result.failed_worker->str() : "";
    switch (result.result)
    {
    case gang::attempt_result::never_started:
        this->scheduler.start_refused(id, core::worker_id(failed_worker), now);
        break;
    case gang::attempt_result::succeeded:
        this->scheduler.job_finished(id, sched::job_outcome::succeeded, std::nullopt, now);
        this->context.metrics.observe("completion", organisation, urgency, now - job.accepted);
        break;
    case gang::attempt_result::failed:
        this->scheduler.job_finished(id, sched::job_outcome::failed, result.failed_worker, now);
        break;
    case gang::attempt_result::stopped:
    case gang::attempt_result::running:
        this->scheduler.job_stopped(id, now);
        break;
    }
    if (this->scheduler.explain(id, now).has_value())
    {
        // The job is queued again. If it is not idempotent and may have run, the next scheduling
        // pass ends it with an unknown outcome.
        this->schedule();
        return;
    }
    if (result.result == gang::attempt_result::succeeded)
    {
        this->end_job(job, "succeeded", "");
    }
    else if (result.result == gang::attempt_result::failed)
    {
        this->end_job(job, "failed", failed_worker.empty() ? "" : "on worker " + failed_worker);
    }
    else if (job.row.cancel_requested())
    {
        this->end_job(job, "cancelled",
                      result.result == gang::attempt_result::never_started
                          ? "cancelled before it started"
                          : "cancelled while it ran");
    }
    else
    {
        this->schedule();
    }
}

void cell_leader::end_job(tracked_job& job, const std::string& state, const std::string& detail)
{
    job.row.set_state(state);
    job.row.set_detail(detail);
    job.driver.reset();
    const std::string id = job.row.id();
    this->context.metrics.increment("jobs_ended", state);
    support::log::info(component, "job ended", {{"job", id}, {"state", state}, {"detail", detail}});
    this->write_job({.job = id,
                     .row = job.row,
                     .then = [this, id](bool applied)
                     {
                         if (!applied)
                         {
                             return;
                         }
                         if (this->ended_jobs.size() >= max_remembered_ended_jobs)
                         {
                             this->ended_jobs.clear();
                         }
                         this->ended_jobs.insert(id);
                         this->jobs.erase(id);
                     }});
}

void cell_leader::write_job(const pending_write& write)
{
    const auto found = this->jobs.find(write.job);
    if (found == this->jobs.end())
    {
        return;
    }
    found->second.write_in_flight = true;
    wire::table_commit transaction = store::new_transaction();
    store::add_write(transaction, this->job_key(write.job), found->second.row_version,
                     wire::to_compact_json(write.row));
    store::add_check(transaction, this->leader_key, this->leader_row_version);
    const bool queued = this->store_pool.post(
        [this, write, transaction]
        {
            const store::commit_result result =
                store::commit_with_retry(this->context.table, transaction, commit_timeout,
                                         [this] { return this->stopped.load(); });
            static_cast<void>(
                this->thread.post([this, write, result] { this->write_done(write, result); }));
        });
    if (!queued)
    {
        this->step_down("the queue of store requests is full");
    }
}

void cell_leader::write_done(const pending_write& write, const store::commit_result& result)
{
    const auto found = this->jobs.find(write.job);
    if (found == this->jobs.end() || this->stopped)
    {
        return;
    }
    tracked_job& job = found->second;
    job.write_in_flight = false;
    if (result.outcome == store::commit_outcome::applied)
    {
        job.row_version = result.version;
        write.then(true);
        return;
    }
    if (result.conflicting.key() == this->leader_key)
    {
        this->step_down("the leader row of the cell has changed: another leader took over");
        return;
    }
    wire::job_row stored;
    if (result.conflicting.key().empty() ||
        !wire::from_json_lenient(result.conflicting.value(), stored).ok())
    {
        this->step_down("the outcome of a job write is unknown");
        return;
    }
    job.row_version = result.conflicting.version();
    job.row.set_cancel_requested(stored.cancel_requested());
    const bool already_applied = stored.state() == write.row.state() &&
                                 stored.attempt() == write.row.attempt() &&
                                 stored.epoch() == write.row.epoch();
    if (already_applied)
    {
        // The write was applied before a cancellation request updated the row.
        write.then(true);
        if (stored.cancel_requested())
        {
            this->scheduler.cancel(core::job_id(write.job));
            this->schedule();
        }
        return;
    }
    if (write.row.state() == "committed")
    {
        this->scheduler.cancel(core::job_id(write.job));
        write.then(false);
        this->schedule();
        return;
    }
    // A final state takes precedence over a concurrent cancellation request; write it again on the
    // new row version.
    pending_write retry = write;
    retry.row.set_cancel_requested(stored.cancel_requested());
    this->write_job(retry);
}

} // namespace chicorylift::daemon
