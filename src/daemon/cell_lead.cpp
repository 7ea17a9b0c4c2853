#include "daemon/cell_lead.hpp"

#include "chicorylift/core/error.hpp"
#include "chicorylift/core/registry.hpp"
#include "support/log.hpp"
#include "wire/convert.hpp"
#include "wire/json.hpp"

#include <algorithm>
#include <utility>

/// The lead's part that takes a cell over, hears its members and decides.
namespace chicorylift::daemon
{

namespace
{

constexpr std::string_view component = "lead";
constexpr std::size_t lead_ring = 16384;
constexpr core::milliseconds lead_tick{50};
constexpr core::milliseconds jobs_refresh_interval{5000};
constexpr core::milliseconds config_refresh_interval{10000};
constexpr core::milliseconds load_retry{500};
constexpr std::size_t store_threads = 2;
constexpr std::size_t store_ring = 8192;
// An agent that announced its restart is given this many times the usual silence.
constexpr std::int64_t returning_patience = 4;
constexpr int helpers_asked = 2;

const sched::placement_policy& policy_named(const std::string& name)
{
    const auto& policies = core::registry<sched::placement_policy>::instance();
    const sched::placement_policy* found = policies.find(name);
    return found != nullptr ? *found : *policies.find("completion");
}

} // namespace

cell_lead::cell_lead(lead_context given, std::uint32_t epoch, std::uint32_t row_version)
    : context(std::move(given)), my_epoch(epoch), lead_row_version(row_version),
      cell(this->context.values.cell()), lead_key("lead/" + this->cell),
      job_prefix("job/" + this->cell + "/"), scheduler(policy_named("completion")),
      store_requests(store_threads, store_ring),
      thread(lead_ring, lead_tick, [this] { this->tick(); })
{
    static_cast<void>(this->thread.post([this] { this->load(); }));
}

cell_lead::~cell_lead()
{
    this->over = true;
    this->store_requests.stop();
    this->thread.stop();
}

void cell_lead::deliver(wire::envelope message)
{
    static_cast<void>(
        this->thread.post([this, message = std::move(message)] { this->on_message(message); }));
}

void cell_lead::resign()
{
    static_cast<void>(this->thread.post(
        [this]
        {
            for (const auto& [id, known] : this->members)
            {
                wire::envelope message;
                message.mutable_leaving()->set_agent(this->context.values.name);
                message.mutable_leaving()->set_returning(true);
                if (id.str() != this->context.values.name)
                {
                    this->context.send(known.row.address(), std::move(message));
                }
            }
        }));
}

void cell_lead::load()
{
    static_cast<void>(this->store_requests.post(
        [this]
        {
            const auto config_rows = this->context.table.list(std::string(config_prefix), 0);
            const auto member_rows = this->context.table.list("member/" + this->cell + "/", 0);
            const auto job_rows = this->context.table.list(this->job_prefix, 0);
            const bool read = config_rows.ok() && member_rows.ok() && job_rows.ok();
            if (!read)
            {
                std::this_thread::sleep_for(load_retry);
            }
            static_cast<void>(this->thread.post(
                [this, read, config_rows, member_rows, job_rows]
                {
                    if (this->over)
                    {
                        return;
                    }
                    if (!read)
                    {
                        this->load();
                        return;
                    }
                    this->take_members(*member_rows);
                    this->take_config(to_delta(*config_rows, 0));
                    this->take_jobs(*job_rows);
                    this->loaded = true;
                    this->last_active = core::boot_clock::now();
                    this->fresh_config_at = core::boot_clock::now();
                    this->fence_until = core::boot_clock::now() + this->context.values.heartbeat;
                    for (auto& [id, known] : this->members)
                    {
                        this->send_fence(known);
                    }
                    support::log::info(component, "cell taken",
                                       {{"cell", this->cell},
                                        {"epoch", std::to_string(this->my_epoch)},
                                        {"members", std::to_string(this->members.size())},
                                        {"jobs", std::to_string(this->jobs.size())}});
                }));
        }));
}

void cell_lead::take_members(const wire::table_rows& listed)
{
    for (const wire::table_row& row : listed.rows())
    {
        wire::member_row found;
        if (row.removed() || !wire::from_row(row.value(), found).ok())
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
        added.heard = core::boot_clock::now();
        this->scheduler.worker_joined(wire::to_worker(found));
    }
}

void cell_lead::take_jobs(const wire::table_rows& listed)
{
    for (const wire::table_row& row : listed.rows())
    {
        this->take_job_row(row);
    }
    this->jobs_version = std::max(this->jobs_version, listed.version());
}

void cell_lead::take_job_row(const wire::table_row& row)
{
    wire::job_row found;
    if (row.removed() || !wire::from_row(row.value(), found).ok() ||
        this->concluded.contains(found.id()))
    {
        return;
    }
    const auto known = this->jobs.find(found.id());
    if (known != this->jobs.end())
    {
        driven_job& job = known->second;
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
                this->conclude(job, "cancelled", "cancelled before it started");
            }
        }
        return;
    }
    if (found.state() != "accepted" && found.state() != "committed")
    {
        return;
    }
    driven_job& job = this->jobs[found.id()];
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
        this->conclude(job, "cancelled", "cancelled before it started");
        return;
    }
    const auto spec =
        wire::to_job_spec(found.request(), found.id(), found.organisation(), job.accepted);
    if (!spec.ok())
    {
        this->conclude(job, "refused", std::string(spec.status().message()));
        return;
    }
    this->scheduler.submit(*spec, job.accepted);
}

void cell_lead::take_config(const wire::config_delta& delta)
{
    if (!this->config.apply(delta))
    {
        return;
    }
    const auto terms = this->config.terms_in_force();
    if (terms.ok())
    {
        this->scheduler.apply_terms(*terms, policy_named(terms->weighting));
    }
    support::log::info(component, "configuration in force",
                       {{"version", std::to_string(this->config.head().version())},
                        {"preset", this->config.head().preset_in_force()}});
    for (const auto& [id, known] : this->members)
    {
        this->tell_config(known);
    }
}

void cell_lead::finish_fencing()
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

void cell_lead::resume_job(driven_job& job)
{
    const core::instant now = core::boot_clock::now();
    const auto spec =
        wire::to_job_spec(job.row.request(), job.row.id(), job.row.organisation(), now);
    if (!spec.ok())
    {
        this->conclude(job, "failed", std::string(spec.status().message()));
        return;
    }
    job.placement = wire::to_kernel(job.row.placement());
    this->scheduler.restore(*spec, job.placement, now);
    job.driver = std::make_unique<gang::gang_driver>(
        gang::gang_driver::resumed(job.placement, spec->checkpointable, this->gang_times(), now));
    for (const sched::task_placement& placed : job.placement)
    {
        const auto known = this->members.find(placed.worker);
        if (known == this->members.end() || known->second.phase == member_phase::lost)
        {
            job.driver->worker_lost(placed.worker, now);
        }
        else
        {
            // The member's whole report tells how its part stands.
            known->second.ask_whole = true;
            known->second.verify_parts = true;
            this->send_fence(known->second);
        }
    }
    if (job.row.cancel_requested())
    {
        this->scheduler.cancel(core::job_id(job.row.id()));
    }
    this->run_driver(job.row.id());
}

bool cell_lead::check_suspension()
{
    const core::instant now = core::boot_clock::now();
    const core::milliseconds gap = now - std::exchange(this->last_active, now);
    if (this->loaded && this->confirmed && gap > this->context.values.suspect_after / 2)
    {
        support::log::warn(component, "suspended; the epoch is looked up before anything is done",
                           {{"gap_ms", std::to_string(gap.count())}});
        this->confirmed = false;
        this->next_confirmation = now;
    }
    if (!this->confirmed && !this->confirming && now >= this->next_confirmation)
    {
        this->confirm_epoch();
    }
    return this->confirmed;
}

void cell_lead::confirm_epoch()
{
    this->next_confirmation = core::boot_clock::now() + load_retry;
    this->confirming = this->store_requests.post(
        [this]
        {
            const auto lead = this->context.table.read(this->lead_key);
            static_cast<void>(this->thread.post(
                [this, lead]
                {
                    this->confirming = false;
                    if (lead.ok() && lead->version() != this->lead_row_version)
                    {
                        this->step_down("the cell's row names another lead");
                    }
                    else if (lead.ok())
                    {
                        this->resume_after_confirmation();
                    }
                }));
        });
}

void cell_lead::resume_after_confirmation()
{
    this->confirmed = true;
    const core::instant now = core::boot_clock::now();
    this->last_active = now;
    for (auto& [id, known] : this->members)
    {
        // Their heartbeats may still wait to be read.
        known.heard = std::max(known.heard, now);
    }
}

void cell_lead::on_message(const wire::envelope& message)
{
    if (this->over)
    {
        return;
    }
    if (!this->check_suspension())
    {
        if (message.has_beat() && message.beat().epoch() > this->my_epoch)
        {
            this->step_down("a member follows epoch " + std::to_string(message.beat().epoch()));
        }
        return;
    }
    switch (message.body_case())
    {
    case wire::envelope::kBeat:
        this->on_heartbeat(message.from(), message.incarnation(), message.beat());
        break;
    case wire::envelope::kReport:
        this->on_report(message.report());
        break;
    case wire::envelope::kLeaving:
        this->on_leaving(message.leaving());
        break;
    case wire::envelope::kNotice:
        this->next_jobs_refresh = {};
        this->refresh_jobs();
        break;
    case wire::envelope::kConfig:
        this->take_config(message.config());
        break;
    case wire::envelope::kSubscription:
        this->on_subscription(message.from(), message.subscription());
        break;
    case wire::envelope::kProbing:
        this->on_probe_answer(message.probing());
        break;
    case wire::envelope::kExplain:
        this->on_explain(message.from(), message.explain());
        break;
    default:
        break;
    }
}

void cell_lead::on_heartbeat(const std::string& from, const std::string& incarnation,
                             const wire::heartbeat& beat)
{
    if (beat.epoch() > this->my_epoch)
    {
        this->step_down("a member follows epoch " + std::to_string(beat.epoch()));
        return;
    }
    const core::worker_id id(beat.agent());
    const core::instant now = core::boot_clock::now();
    const auto found = this->members.find(id);
    const bool is_new = found == this->members.end();
    if (is_new && !beat.has_member())
    {
        // The reply asks for everything; the member is taken in with the next heartbeat.
        member stranger;
        stranger.row.set_address(from);
        stranger.ask_whole = true;
        this->send_fence(stranger);
        return;
    }
    member& known = this->members[id];
    const bool restarted = !is_new && known.row.incarnation() != incarnation;
    if (beat.has_member() && (beat.whole() || !restarted))
    {
        known.row = beat.member();
    }
    known.row.set_address(from);
    const bool comes_back =
        is_new || known.phase == member_phase::lost || restarted ||
        (known.phase == member_phase::leaving && !known.row.leaving() && beat.whole());
    known.heard = now;
    known.probed_until.reset();
    known.config_version = beat.config_version();
    known.verify_parts = known.verify_parts || restarted;
    if (beat.whole())
    {
        known.reported_whole = true;
        known.ask_whole = false;
        known.row.set_incarnation(incarnation);
        if (comes_back && !known.row.leaving())
        {
            known.phase = member_phase::live;
            known.returning = false;
            this->scheduler.worker_joined(wire::to_worker(known.row));
        }
        if (known.row.leaving())
        {
            known.phase = member_phase::leaving;
            this->scheduler.worker_leaving(id);
        }
    }
    else if (comes_back)
    {
        known.ask_whole = true;
    }
    for (const wire::held_part& part : beat.changed_parts())
    {
        this->on_held_part(id, part);
    }
    if (beat.whole() && std::exchange(known.verify_parts, false))
    {
        this->settle_missing_parts(id, beat);
    }
    wire::envelope reply;
    wire::heartbeat_reply* body = reply.mutable_beat_reply();
    body->set_epoch(this->my_epoch);
    body->set_sequence(beat.sequence());
    body->set_config_version(this->config.head().version());
    body->set_send_whole(known.ask_whole);
    this->context.send(from, std::move(reply));
    this->decide();
}

bool cell_lead::lists_part(const wire::heartbeat& beat, const wire::job_row& job)
{
    return std::any_of(beat.changed_parts().begin(), beat.changed_parts().end(),
                       [&job](const wire::held_part& part)
                       { return part.job() == job.id() && part.attempt() == job.attempt(); });
}

void cell_lead::settle_missing_parts(const core::worker_id& worker, const wire::heartbeat& beat)
{
    std::vector<std::string> changed;
    for (auto& [id, job] : this->jobs)
    {
        if (job.driver != nullptr && job.driver->is_committed() && !lists_part(beat, job.row))
        {
            // Reports about workers without a part are passed over by the driver.
            job.driver->part_reported(worker, gang::part_event::stopped, core::boot_clock::now());
            changed.push_back(id);
        }
    }
    for (const std::string& id : changed)
    {
        this->run_driver(id);
    }
}

void cell_lead::on_held_part(const core::worker_id& worker, const wire::held_part& part)
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
            this->run_driver(part.job());
        }
        return;
    }
    const bool holds = part.state() == "running" || part.state() == "reserved";
    if (holds && !this->fencing)
    {
        // No attempt of this lead stands behind the part.
        wire::envelope message;
        wire::part_order* order = message.mutable_stop();
        order->set_job(part.job());
        order->set_attempt(part.attempt());
        order->set_epoch(this->my_epoch);
        this->send_to(worker, std::move(message));
    }
}

void cell_lead::on_report(const wire::part_report& report)
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
    this->run_driver(report.job());
    this->decide();
}

void cell_lead::on_probe_answer(const wire::probe& probe)
{
    const core::worker_id id(probe.target());
    const auto found = this->members.find(id);
    if (found == this->members.end() || found->second.phase == member_phase::lost)
    {
        return;
    }
    if (found->second.probed_until.has_value())
    {
        support::log::warn(component, "worker reached through another member",
                           {{"agent", probe.target()}});
    }
    found->second.heard = core::boot_clock::now();
    found->second.probed_until.reset();
    for (const wire::held_part& part : probe.parts())
    {
        this->on_held_part(id, part);
    }
    this->decide();
}

void cell_lead::on_leaving(const wire::leaving_notice& notice)
{
    const core::worker_id id(notice.agent());
    const auto found = this->members.find(id);
    if (found == this->members.end())
    {
        return;
    }
    found->second.phase = member_phase::leaving;
    found->second.returning = notice.returning();
    this->scheduler.worker_leaving(id);
    this->decide();
}

void cell_lead::on_subscription(const std::string& from, const wire::subscribe& subscription)
{
    if (subscription.config_version() >= this->config.head().version())
    {
        this->fresh_config_at = core::boot_clock::now();
    }
    wire::envelope message;
    *message.mutable_summary() = this->summary();
    this->context.send(from, std::move(message));
}

void cell_lead::on_explain(const std::string& from, const wire::explain_request& question)
{
    const auto explained =
        this->scheduler.explain(core::job_id(question.job()), core::boot_clock::now());
    wire::envelope message;
    wire::explain_reply* reply = message.mutable_explained();
    reply->set_question(question.question());
    reply->set_known(explained.has_value());
    if (explained.has_value())
    {
        *reply->mutable_explanation() = wire::to_wire(question.job(), *explained);
    }
    this->context.send(from, std::move(message));
}

void cell_lead::tick()
{
    if (this->over || !this->loaded || !this->check_suspension())
    {
        return;
    }
    const core::instant now = core::boot_clock::now();
    this->check_members(now);
    if (this->fencing)
    {
        const bool all_reported =
            std::all_of(this->members.begin(), this->members.end(),
                        [](const auto& entry) { return entry.second.reported_whole; });
        if (all_reported || now >= this->fence_until)
        {
            this->finish_fencing();
        }
        return;
    }
    std::vector<std::string> driven;
    for (auto& [id, job] : this->jobs)
    {
        if (job.driver != nullptr)
        {
            job.driver->tick(now);
            driven.push_back(id);
        }
    }
    for (const std::string& id : driven)
    {
        this->run_driver(id);
    }
    const bool stale = now - this->fresh_config_at > this->context.values.stale_after;
    this->scheduler.allow_reclaim(!stale);
    if (now >= this->next_jobs_refresh)
    {
        this->refresh_jobs();
    }
    if (now >= this->next_config_refresh)
    {
        this->refresh_config();
    }
    this->decide();
}

void cell_lead::check_members(core::instant now)
{
    for (auto& [id, known] : this->members)
    {
        const core::milliseconds patience =
            this->context.values.suspect_after * (known.returning ? returning_patience : 1);
        const core::milliseconds silent = now - known.heard;
        if (known.phase == member_phase::lost || silent < patience / 2)
        {
            continue;
        }
        // A silent link is not a dead worker: others are asked before it costs a gang, and early
        // enough for the member not to take its lead as lost meanwhile.
        if (!known.probed_until.has_value())
        {
            this->ask_others(id, known);
            known.probed_until = now + patience / 2;
        }
        else if (silent >= patience && now >= *known.probed_until)
        {
            this->lose_member(id, known, now);
        }
    }
}

void cell_lead::ask_others(const core::worker_id& silent, const member& known)
{
    int asked = 0;
    for (const auto& [id, helper] : this->members)
    {
        const bool recent =
            core::boot_clock::now() - helper.heard < this->context.values.suspect_after;
        if (id == silent || id.str() == this->context.values.name || !recent ||
            helper.phase == member_phase::lost)
        {
            continue;
        }
        wire::envelope message;
        wire::probe* probe = message.mutable_probing();
        probe->set_target(silent.str());
        probe->set_target_address(known.row.address());
        probe->set_asker(this->context.values.advertise);
        probe->set_epoch(this->my_epoch);
        this->context.send(helper.row.address(), std::move(message));
        if (++asked == helpers_asked)
        {
            break;
        }
    }
}

void cell_lead::lose_member(const core::worker_id& id, member& known, core::instant now)
{
    known.phase = member_phase::lost;
    known.reported_whole = true;
    known.probed_until.reset();
    support::log::warn(
        component, "worker lost",
        {{"agent", id.str()}, {"silent_ms", std::to_string((now - known.heard).count())}});
    this->context.figures.count("workers_lost", this->cell);
    this->scheduler.worker_lost(id);
    for (auto& [job_id, job] : this->jobs)
    {
        if (job.driver != nullptr)
        {
            job.driver->worker_lost(id, now);
        }
    }
}

void cell_lead::decide()
{
    if (this->fencing || !this->loaded)
    {
        return;
    }
    for (const sched::decision& step : this->scheduler.decide(core::boot_clock::now()))
    {
        this->carry_out(step);
    }
}

void cell_lead::refresh_jobs()
{
    if (this->refreshing_jobs || !this->loaded)
    {
        return;
    }
    this->next_jobs_refresh = core::boot_clock::now() + jobs_refresh_interval;
    const std::uint32_t after = this->jobs_version;
    this->refreshing_jobs = this->store_requests.post(
        [this, after]
        {
            const auto listed = this->context.table.list(this->job_prefix, after);
            static_cast<void>(this->thread.post(
                [this, listed]
                {
                    this->refreshing_jobs = false;
                    if (listed.ok() && !this->over)
                    {
                        this->take_jobs(*listed);
                        this->decide();
                    }
                }));
        });
}

void cell_lead::refresh_config()
{
    if (this->refreshing_config)
    {
        return;
    }
    this->next_config_refresh = core::boot_clock::now() + config_refresh_interval;
    const std::uint32_t after = this->config.table_version();
    const std::uint32_t from = this->config.head().version();
    this->refreshing_config = this->store_requests.post(
        [this, after, from]
        {
            const auto listed = this->context.table.list(std::string(config_prefix), after);
            const auto lead = this->context.table.read(this->lead_key);
            static_cast<void>(this->thread.post(
                [this, listed, lead, from]
                {
                    this->refreshing_config = false;
                    if (lead.ok() && lead->version() != this->lead_row_version)
                    {
                        this->step_down("the cell's row names another lead");
                        return;
                    }
                    if (listed.ok())
                    {
                        this->fresh_config_at = core::boot_clock::now();
                        this->take_config(to_delta(*listed, from));
                    }
                }));
        });
}

void cell_lead::step_down(const std::string& why)
{
    if (this->over.exchange(true))
    {
        return;
    }
    support::log::warn(
        component, "stepping down",
        {{"cell", this->cell}, {"epoch", std::to_string(this->my_epoch)}, {"reason", why}});
    this->context.superseded();
}

void cell_lead::send_to(const core::worker_id& worker, wire::envelope message)
{
    const auto found = this->members.find(worker);
    if (found != this->members.end())
    {
        this->context.send(found->second.row.address(), std::move(message));
    }
}

void cell_lead::send_fence(member& to)
{
    wire::envelope message;
    wire::fence* fence = message.mutable_fencing();
    fence->set_epoch(this->my_epoch);
    fence->set_cell(this->cell);
    fence->set_lead(this->context.values.name);
    this->context.send(to.row.address(), std::move(message));
}

void cell_lead::tell_config(const member& to)
{
    wire::envelope message;
    wire::config_notice* notice = message.mutable_config_news();
    notice->set_version(this->config.head().version());
    notice->set_preset(this->config.head().preset_in_force());
    this->context.send(to.row.address(), std::move(message));
}

wire::cell_document cell_lead::summary() const
{
    wire::cell_document document;
    const sched::cell_figures figures = this->scheduler.figures();
    const core::instant now = core::boot_clock::now();
    document.set_cell(this->cell);
    document.set_epoch(this->my_epoch);
    document.set_lead(this->context.values.name);
    document.set_config_version(this->config.head().version());
    document.set_capacity(static_cast<std::uint32_t>(figures.capacity));
    document.set_used(static_cast<std::uint32_t>(figures.used));
    document.set_free(static_cast<std::uint32_t>(figures.free));
    document.set_largest_gang(static_cast<std::uint32_t>(figures.largest_gang));
    document.set_queued(static_cast<std::uint32_t>(figures.queued));
    document.set_running(static_cast<std::uint32_t>(figures.running));
    for (const auto& [id, known] : this->members)
    {
        wire::member_status* status = document.add_members();
        status->set_agent(id.str());
        status->set_state(known.phase == member_phase::live      ? "live"
                          : known.phase == member_phase::leaving ? "leaving"
                                                                 : "lost");
        status->set_config_version(known.config_version);
    }
    const auto terms = this->config.terms_in_force();
    if (terms.ok())
    {
        for (const terms::organisation_terms& owner : terms->organisations)
        {
            wire::organisation_use* use = document.add_organisations();
            use->set_organisation(owner.organisation.str());
            use->set_used_accelerators(
                static_cast<std::uint32_t>(this->scheduler.used_by(owner.organisation)));
            use->set_unused_guarantee(
                static_cast<std::uint32_t>(this->scheduler.unused_guarantee(owner.organisation)));
        }
    }
    for (const sched::guarantee_shortfall& missing : this->scheduler.shortfalls())
    {
        wire::shortfall_status* status = document.add_shortfalls();
        status->set_organisation(missing.organisation.str());
        status->set_shape(missing.shape);
        status->set_for_ms(static_cast<std::uint32_t>((now - missing.since).count()));
    }
    return document;
}

gang::gang_settings cell_lead::gang_times() const
{
    gang::gang_settings times;
    // A silent worker's lease is over once its own bound and some drift of clocks have passed.
    times.lease_bound = this->context.values.gang_lease + this->context.values.heartbeat;
    return times;
}

std::string cell_lead::job_key(const std::string& id) const
{
    return this->job_prefix + id;
}

} // namespace chicorylift::daemon
