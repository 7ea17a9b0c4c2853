#include "daemon/cell_leader.hpp"
#include "support/log.hpp"
#include "wire/convert.hpp"

#include <algorithm>
#include <utility>

/// Membership of a cell: handles heartbeats and reports, and detects lost members.
namespace chicorylift::daemon
{

namespace
{

constexpr std::string_view component = "lead";
// Multiplies the failure-detection timeout for an agent that has announced its restart.
constexpr std::int64_t restart_timeout_factor = 4;
constexpr int max_indirect_probes = 2;

} // namespace

void cell_leader::on_heartbeat(const std::string& from, const std::string& incarnation,
                               const wire::heartbeat& beat)
{
    if (beat.epoch() > this->my_epoch)
    {
        this->step_down("a member reported the higher epoch " + std::to_string(beat.epoch()));
        return;
    }
    const core::worker_id id(beat.agent());
    const core::instant now = core::boot_clock::now();
    const auto found = this->members.find(id);
    const bool is_new = found == this->members.end();
    if (is_new && !beat.has_member())
    {
        // The fence requests a full report; the member is added with that heartbeat.
        member unknown_member;
        unknown_member.row.set_address(from);
        unknown_member.request_full_report = true;
        this->send_fence(unknown_member);
        return;
    }
    member& known = this->members[id];
    const bool restarted = !is_new && known.row.incarnation() != incarnation;
    if (beat.has_member() && (beat.whole() || !restarted))
    {
        known.row = beat.member();
    }
    known.row.set_address(from);
    const bool rejoining =
        is_new || known.phase == member_phase::lost || restarted ||
        (known.phase == member_phase::leaving && !known.row.leaving() && beat.whole());
    known.last_heard = now;
    known.probe_deadline.reset();
    known.config_version = beat.config_version();
    known.verify_parts = known.verify_parts || restarted;
    if (beat.whole())
    {
        known.full_report_received = true;
        known.request_full_report = false;
        known.row.set_incarnation(incarnation);
        if (rejoining && !known.row.leaving())
        {
            known.phase = member_phase::live;
            known.returning = false;
            this->scheduler.worker_joined(wire::to_worker_info(known.row));
        }
        if (known.row.leaving())
        {
            known.phase = member_phase::leaving;
            this->scheduler.worker_draining(id);
        }
    }
    else if (rejoining)
    {
        known.request_full_report = true;
    }
    for (const wire::held_part& part : beat.changed_parts())
    {
        this->on_held_part(id, part);
    }
    if (beat.whole() && std::exchange(known.verify_parts, false))
    {
        this->mark_missing_parts_stopped(id, beat);
    }
    wire::envelope reply;
    wire::heartbeat_reply* body = reply.mutable_beat_reply();
    body->set_epoch(this->my_epoch);
    body->set_sequence(beat.sequence());
    body->set_config_version(this->config.head().version());
    body->set_send_whole(known.request_full_report);
    this->context.send(from, std::move(reply));
    this->schedule();
}

bool cell_leader::lists_part(const wire::heartbeat& beat, const wire::job_row& job)
{
    return std::any_of(beat.changed_parts().begin(), beat.changed_parts().end(),
                       [&job](const wire::held_part& part)
                       { return part.job() == job.id() && part.attempt() == job.attempt(); });
}

void cell_leader::mark_missing_parts_stopped(const core::worker_id& worker,
                                             const wire::heartbeat& beat)
{
    std::vector<std::string> changed;
    for (auto& [id, job] : this->jobs)
    {
        if (job.driver != nullptr && job.driver->is_committed() && !lists_part(beat, job.row))
        {
            // The driver ignores reports of workers that hold no part of the job.
            job.driver->part_reported(worker, gang::part_event::stopped, core::boot_clock::now());
            changed.push_back(id);
        }
    }
    for (const std::string& id : changed)
    {
        this->run_driver_actions(id);
    }
}

void cell_leader::on_held_part(const core::worker_id& worker, const wire::held_part& part)
{
    const auto found = this->jobs.find(part.job());
    const bool current = found != this->jobs.end() && found->second.driver != nullptr &&
                         found->second.row.attempt() == part.attempt();
    if (current)
    {
        const auto event =
            gang::part_event_from(part.state() == "running" ? "started" : part.state());
        if (event.has_value())
        {
            found->second.driver->part_reported(worker, *event, core::boot_clock::now());
            this->run_driver_actions(part.job());
        }
        return;
    }
    const bool holds = part.state() == "running" || part.state() == "reserved";
    if (holds && !this->fencing)
    {
        // The part belongs to no current attempt of this leader.
        wire::envelope message;
        wire::part_order* order = message.mutable_stop();
        order->set_job(part.job());
        order->set_attempt(part.attempt());
        order->set_epoch(this->my_epoch);
        this->send_to(worker, std::move(message));
    }
}

void cell_leader::on_report(const wire::part_report& report)
{
    const auto found = this->jobs.find(report.job());
    const auto event = gang::part_event_from(report.state());
    if (found == this->jobs.end() || !event.has_value() || found->second.driver == nullptr ||
        found->second.row.attempt() != report.attempt())
    {
        return;
    }
    if (*event == gang::part_event::refused || *event == gang::part_event::failed)
    {
        support::log::info(
            component, "part " + report.state(),
            {{"job", report.job()}, {"agent", report.agent()}, {"reason", report.detail()}});
    }
    found->second.driver->part_reported(core::worker_id(report.agent()), *event,
                                        core::boot_clock::now());
    this->run_driver_actions(report.job());
    this->schedule();
}

void cell_leader::on_probe_answer(const wire::probe& probe)
{
    const core::worker_id id(probe.target());
    const auto found = this->members.find(id);
    if (found == this->members.end() || found->second.phase == member_phase::lost)
    {
        return;
    }
    if (found->second.probe_deadline.has_value())
    {
        support::log::warn(component, "worker reached through another member",
                           {{"agent", probe.target()}});
    }
    found->second.last_heard = core::boot_clock::now();
    found->second.probe_deadline.reset();
    for (const wire::held_part& part : probe.parts())
    {
        this->on_held_part(id, part);
    }
    this->schedule();
}

void cell_leader::on_leaving(const wire::leaving_notice& notice)
{
    const core::worker_id id(notice.agent());
    const auto found = this->members.find(id);
    if (found == this->members.end())
    {
        return;
    }
    found->second.phase = member_phase::leaving;
    found->second.returning = notice.returning();
    this->scheduler.worker_draining(id);
    this->schedule();
}

void cell_leader::check_members(core::instant now)
{
    for (auto& [id, known] : this->members)
    {
        const core::milliseconds timeout =
            this->context.values.suspect_after * (known.returning ? restart_timeout_factor : 1);
        const core::milliseconds silent = now - known.last_heard;
        if (known.phase == member_phase::lost || silent < timeout / 2)
        {
            continue;
        }
        // A broken link does not imply a dead worker, so other members probe it before its gangs
        // are stopped. Probing starts at half the timeout, before the member treats its leader as
        // lost.
        if (!known.probe_deadline.has_value())
        {
            this->send_indirect_probes(id, known);
            known.probe_deadline = now + timeout / 2;
        }
        else if (silent >= timeout && now >= *known.probe_deadline)
        {
            this->mark_member_lost(id, known, now);
        }
    }
}

void cell_leader::send_indirect_probes(const core::worker_id& silent, const member& known)
{
    int probes_sent = 0;
    for (const auto& [id, prober] : this->members)
    {
        const bool recent =
            core::boot_clock::now() - prober.last_heard < this->context.values.suspect_after;
        if (id == silent || id.str() == this->context.values.name || !recent ||
            prober.phase == member_phase::lost)
        {
            continue;
        }
        wire::envelope message;
        wire::probe* probe = message.mutable_probing();
        probe->set_target(silent.str());
        probe->set_target_address(known.row.address());
        probe->set_asker(this->context.values.advertise);
        probe->set_epoch(this->my_epoch);
        this->context.send(prober.row.address(), std::move(message));
        if (++probes_sent == max_indirect_probes)
        {
            break;
        }
    }
}

void cell_leader::mark_member_lost(const core::worker_id& id, member& known, core::instant now)
{
    known.phase = member_phase::lost;
    known.full_report_received = true;
    known.probe_deadline.reset();
    support::log::warn(
        component, "worker lost",
        {{"agent", id.str()}, {"silent_ms", std::to_string((now - known.last_heard).count())}});
    this->context.metrics.increment("workers_lost", this->cell);
    this->scheduler.worker_lost(id);
    for (auto& [job_id, job] : this->jobs)
    {
        if (job.driver != nullptr)
        {
            job.driver->worker_lost(id, now);
        }
    }
}

void cell_leader::send_fence(member& to)
{
    wire::envelope message;
    wire::fence* fence = message.mutable_fencing();
    fence->set_epoch(this->my_epoch);
    fence->set_cell(this->cell);
    fence->set_lead(this->context.values.name);
    this->context.send(to.row.address(), std::move(message));
}

void cell_leader::send_config_notice(const member& to)
{
    wire::envelope message;
    wire::config_notice* notice = message.mutable_config_news();
    notice->set_version(this->config.head().version());
    notice->set_preset(this->config.head().preset_in_force());
    this->context.send(to.row.address(), std::move(message));
}

} // namespace chicorylift::daemon
