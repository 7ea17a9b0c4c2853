#include "daemon/cell_leader.hpp"

#include "chicorylift/core/error.hpp"
#include "chicorylift/core/registry.hpp"
#include "support/log.hpp"
#include "wire/convert.hpp"
#include "wire/json.hpp"

#include <algorithm>
#include <utility>

/// Event loop of the cell leader: dispatches messages, schedules jobs, sends cell summaries to
/// entries.
namespace chicorylift::daemon
{

namespace
{

constexpr std::size_t leader_queue_capacity = 16384;
constexpr core::milliseconds leader_tick_interval{50};
constexpr std::size_t store_threads = 2;
constexpr std::size_t store_queue_capacity = 8192;

} // namespace

cell_leader::cell_leader(leader_context dependencies, std::uint32_t epoch,
                         std::uint32_t row_version)
    : context(std::move(dependencies)), my_epoch(epoch), leader_row_version(row_version),
      cell(this->context.values.cell()), leader_key("lead/" + this->cell),
      job_prefix("job/" + this->cell + "/"), scheduler(sched::policy_or_default({})),
      store_pool(store_threads, store_queue_capacity),
      thread(leader_queue_capacity, leader_tick_interval, [this] { this->tick(); })
{
    static_cast<void>(this->thread.post([this] { this->load(); }));
}

cell_leader::~cell_leader()
{
    this->stopped = true;
    this->store_pool.stop();
    this->thread.stop();
}

void cell_leader::deliver(wire::envelope message)
{
    static_cast<void>(
        this->thread.post([this, message = std::move(message)] { this->on_message(message); }));
}

void cell_leader::resign()
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

void cell_leader::on_message(const wire::envelope& message)
{
    if (this->stopped)
    {
        return;
    }
    if (!this->ensure_epoch_current())
    {
        if (message.has_beat() && message.beat().epoch() > this->my_epoch)
        {
            this->step_down("a member reported the higher epoch " +
                            std::to_string(message.beat().epoch()));
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
        this->apply_config(message.config());
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

void cell_leader::on_subscription(const std::string& from, const wire::subscribe& subscription)
{
    if (subscription.config_version() >= this->config.head().version())
    {
        this->config_confirmed_at = core::boot_clock::now();
    }
    wire::envelope message;
    *message.mutable_summary() = this->summary();
    this->context.send(from, std::move(message));
}

void cell_leader::on_explain(const std::string& from, const wire::explain_request& question)
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

void cell_leader::tick()
{
    if (this->stopped || !this->loaded || !this->ensure_epoch_current())
    {
        return;
    }
    const core::instant now = core::boot_clock::now();
    this->check_members(now);
    if (this->fencing)
    {
        const bool all_reported =
            std::all_of(this->members.begin(), this->members.end(),
                        [](const auto& entry) { return entry.second.full_report_received; });
        if (all_reported || now >= this->fence_deadline)
        {
            this->finish_fencing();
        }
        return;
    }
    std::vector<std::string> driven_jobs;
    for (auto& [id, job] : this->jobs)
    {
        if (job.driver != nullptr)
        {
            job.driver->tick(now);
            driven_jobs.push_back(id);
        }
    }
    for (const std::string& id : driven_jobs)
    {
        this->run_driver_actions(id);
    }
    const bool stale = now - this->config_confirmed_at > this->context.values.stale_after;
    this->scheduler.set_preemption_allowed(!stale);
    if (now >= this->next_jobs_refresh)
    {
        this->refresh_jobs();
    }
    if (now >= this->next_config_refresh)
    {
        this->refresh_config();
    }
    this->schedule();
}

void cell_leader::schedule()
{
    if (this->fencing || !this->loaded)
    {
        return;
    }
    for (const sched::decision& step : this->scheduler.decide(core::boot_clock::now()))
    {
        this->apply_decision(step);
    }
}

void cell_leader::send_to(const core::worker_id& worker, wire::envelope message)
{
    const auto found = this->members.find(worker);
    if (found != this->members.end())
    {
        this->context.send(found->second.row.address(), std::move(message));
    }
}

wire::cell_document cell_leader::summary() const
{
    wire::cell_document document;
    const sched::cell_stats stats = this->scheduler.stats();
    const core::instant now = core::boot_clock::now();
    document.set_cell(this->cell);
    document.set_epoch(this->my_epoch);
    document.set_lead(this->context.values.name);
    document.set_config_version(this->config.head().version());
    document.set_capacity(static_cast<std::uint32_t>(stats.capacity));
    document.set_used(static_cast<std::uint32_t>(stats.used));
    document.set_free(static_cast<std::uint32_t>(stats.free));
    document.set_largest_gang(static_cast<std::uint32_t>(stats.largest_gang));
    document.set_queued(static_cast<std::uint32_t>(stats.queued));
    document.set_running(static_cast<std::uint32_t>(stats.running));
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
        for (const quota::organisation_quota& owner : terms->organisations)
        {
            wire::organisation_use* use = document.add_organisations();
            use->set_organisation(owner.organisation.str());
            use->set_used_accelerators(
                static_cast<std::uint32_t>(this->scheduler.used_accelerators(owner.organisation)));
            use->set_unused_guarantee(
                static_cast<std::uint32_t>(this->scheduler.unused_guarantee(owner.organisation)));
        }
    }
    for (const sched::guarantee_shortfall& shortfall : this->scheduler.shortfalls())
    {
        wire::shortfall_status* status = document.add_shortfalls();
        status->set_organisation(shortfall.organisation.str());
        status->set_shape(shortfall.shape);
        status->set_for_ms(static_cast<std::uint32_t>((now - shortfall.since).count()));
    }
    return document;
}

gang::gang_settings cell_leader::make_gang_settings() const
{
    gang::gang_settings result;
    // The lease of a silent worker has expired once its own timeout has passed; one heartbeat
    // interval is added to allow for clock drift.
    result.lease_timeout = this->context.values.gang_lease + this->context.values.heartbeat;
    return result;
}

std::string cell_leader::job_key(const std::string& id) const
{
    return this->job_prefix + id;
}

} // namespace chicorylift::daemon
