#include "batch/scheduler_impl.hpp"

#include <algorithm>

/// Records why units that are ready to run do not run, for the log.
namespace chicorylift::batch
{

namespace
{

// Waits shorter than this are not recorded.
constexpr core::milliseconds min_recorded_wait{1000};
constexpr core::milliseconds wait_check_interval{200};
// While a job waits, each further line comes after twice the time, up to this.
constexpr core::milliseconds max_line_interval{16000};
// Jobs whose line does not fit into a check are next in line at the following one. Together the
// checks of a second stay below the log's limit for this event.
constexpr std::size_t max_lines_per_check = 15;
constexpr std::size_t max_named_agents = 6;
// An agent that has not reported for this long does not tell whether a run goes on.
constexpr core::milliseconds max_silence{2500};

std::string ms_text(core::milliseconds time)
{
    return std::to_string(time.count()) + " ms";
}

/// Notes what a job waits for. A job that comes to wait for something else gets a line soon.
void update_wait(job_wait& wait, job_wait::object waits_for, core::instant now)
{
    const core::instant first_line = now + min_recorded_wait;
    if (!wait.since.has_value())
    {
        wait = {now, first_line, waits_for};
    }
    else if (waits_for != wait.waits_for)
    {
        wait.next_line = std::min(wait.next_line, first_line);
        wait.waits_for = waits_for;
    }
}

/// @return whether the worker's runs are known to go on.
bool is_heard(const worker_state& worker, core::instant now)
{
    return !worker.info.unresponsive && now - worker.last_report_at < max_silence;
}

/// Number of the items added, and the names of the first ones.
class counted_list
{
public:
    void add(std::string_view name)
    {
        if (++this->count <= max_named_agents)
        {
            this->names += (this->names.empty() ? "" : ",") + std::string(name);
        }
    }

    [[nodiscard]] std::string text() const
    {
        return std::to_string(this->count) + " (" + this->names +
               (this->count > max_named_agents ? ",..." : "") + ")";
    }

private:
    std::size_t count{};
    std::string names;
};

} // namespace

void site_scheduler::implementation::record_waits(const std::vector<placement_group>& groups,
                                                  core::instant now, bool allow_unpersisted_starts)
{
    if (now < this->next_wait_check)
    {
        return;
    }
    this->next_wait_check = now + wait_check_interval;
    const wait_causes causes = this->find_wait_causes(groups, now);
    std::vector<std::pair<core::instant, job_state*>> due;
    for (auto& [id, job] : this->jobs)
    {
        const auto cause = causes.find(&job);
        if (cause == causes.end())
        {
            job.wait = {};
            continue;
        }
        update_wait(job.wait, cause->second.waits_for(), now);
        if (job.wait.next_line <= now)
        {
            due.emplace_back(job.wait.next_line, &job);
        }
    }
    const std::size_t lines = std::min(due.size(), max_lines_per_check);
    std::partial_sort(due.begin(), due.begin() + static_cast<std::ptrdiff_t>(lines), due.end(),
                      [](const auto& left, const auto& right) { return left.first < right.first; });
    due.resize(lines);
    for (const auto& [since, job] : due)
    {
        this->record_wait(*job, causes.at(job), now, allow_unpersisted_starts);
        const core::milliseconds waited = now - *job->wait.since;
        job->wait.next_line = now + std::min(waited, max_line_interval);
    }
}

site_scheduler::implementation::wait_causes
site_scheduler::implementation::find_wait_causes(const std::vector<placement_group>& groups,
                                                 core::instant now) const
{
    wait_causes causes;
    for (const auto& [id, job] : this->jobs)
    {
        if (job.is_active() && !job.unreconciled_agents.empty())
        {
            causes[&job].agents = true;
        }
    }
    std::vector<bool> heard(this->workers.size());
    for (const auto& [id, worker] : this->workers)
    {
        heard[worker.index] = is_heard(worker, now);
    }
    for (const auto& [number, run] : this->runs)
    {
        const bool unseen =
            std::any_of(run.members.begin(), run.members.end(),
                        [&heard](const run_member_state& member)
                        { return !member.ended && !(member.confirmed && heard[member.worker]); });
        if (!run.stopping && !unseen)
        {
            continue;
        }
        const auto job = this->jobs.find(run.job);
        if (job != this->jobs.end() && job->second.is_active())
        {
            causes[&job->second].run = &run;
        }
    }
    for (const placement_group& group : groups)
    {
        // Groups that this pass has placed wait no longer.
        const step_state& step = group.job->occurrences.at(group.occurrence)[to_index(group.step)];
        if (step.units[to_index(group.units.front())].run == 0)
        {
            wait_cause& cause = causes[group.job];
            cause.group = cause.group == nullptr ? &group : cause.group;
        }
    }
    return causes;
}

bool site_scheduler::implementation::is_seen_running(const run_member_state& member,
                                                     core::instant now) const
{
    return member.confirmed && is_heard(this->workers.at(member.agent), now);
}

void site_scheduler::implementation::record_wait(const job_state& job, const wait_cause& cause,
                                                 core::instant now, bool allow_unpersisted_starts)
{
    std::string_view reason;
    std::string detail = "for " + ms_text(now - *job.wait.since) + "; ";
    if (job.wait.waits_for == job_wait::object::agents)
    {
        reason = "unreported runs";
        detail += "agents that may run its units: " + this->describe_agents(job, now);
    }
    else if (job.wait.waits_for == job_wait::object::room)
    {
        reason = this->explain_group(*cause.group, now);
        detail += "step " + std::to_string(cause.group->occurrence) + "." +
                  std::to_string(cause.group->step) + " units " +
                  std::to_string(cause.group->units.size()) +
                  (cause.group->guaranteed ? ", guaranteed" : "") + "; " +
                  this->describe_workers(*cause.group, now);
    }
    else
    {
        reason = this->explain_run(*cause.run, job, allow_unpersisted_starts);
        counted_list agents;
        for (const run_member_state& member : cause.run->members)
        {
            if (!member.ended && (cause.run->stopping || !this->is_seen_running(member, now)))
            {
                const worker_state& worker = this->workers.at(member.agent);
                agents.add(member.agent.str() + " reported " +
                           ms_text(now - worker.last_report_at) + " ago" +
                           (worker.info.unresponsive ? ", worker silent" : "") +
                           (worker.info.draining ? ", worker draining" : "") +
                           (worker.agent_stopping ? ", agent stopping" : ""));
            }
        }
        detail += "run " + std::to_string(cause.run->number) + " placed " +
                  ms_text(now - cause.run->started_at) + " ago; members " + agents.text();
    }
    this->record_decision("job_waiting", job.spec.id, std::move(detail));
    this->records.back().reason = reason;
}

std::string_view site_scheduler::implementation::explain_run(const run_state& run,
                                                             const job_state& job,
                                                             bool allow_unpersisted_starts) const
{
    if (run.stopping)
    {
        return "stop not confirmed";
    }
    if (this->starts_held && std::any_of(run.members.begin(), run.members.end(),
                                         [](const run_member_state& member)
                                         { return !member.ended && !member.command_sent; }))
    {
        return "starts are held";
    }
    const bool confirmed = std::all_of(run.members.begin(), run.members.end(),
                                       [](const run_member_state& member)
                                       { return member.ended || member.confirmed; });
    if (confirmed)
    {
        return "worker or agent silent";
    }
    const bool persisted = std::all_of(run.members.begin(), run.members.end(),
                                       [&job](const run_member_state& member)
                                       { return job.persisted_agents.contains(member.agent); });
    return persisted || this->may_start_unpersisted(job, allow_unpersisted_starts)
               ? "start not confirmed"
               : "store write";
}

std::string_view site_scheduler::implementation::explain_group(const placement_group& group,
                                                               core::instant now) const
{
    if (this->starts_held)
    {
        return "starts are held";
    }
    const step_spec& step = this->spec_of(group);
    const resources_by_worker available = this->available_resources();
    std::vector<candidate_worker> candidates = this->candidate_workers(group, available, now);
    const placement_constraints rules = this->constraints_for(group, now);
    if (place_units(step, group.units, candidates, rules).has_value())
    {
        return "room is reserved for other work";
    }
    if (place_units(step, group.units, candidates, {}).has_value())
    {
        return "room only outside its rack";
    }
    for (const auto& [id, worker] : this->workers)
    {
        if (worker.failure_history.quarantined_until > now &&
            this->may_place_on(worker, *group.job, step, now))
        {
            candidates.push_back({id, worker.info.rack, available[worker.index], worker.index, 0,
                                  /*has_recent_failures=*/true});
        }
    }
    if (place_units(step, group.units, candidates, {}).has_value())
    {
        return "room only on distrusted workers";
    }
    bool evacuated = false;
    for (const auto& [id, worker] : this->workers)
    {
        if (this->obstacle_on(worker, *group.job, step, now) == placement_obstacle::zone_evacuated)
        {
            evacuated = true;
            candidates.push_back({id, worker.info.rack, available[worker.index], worker.index});
        }
    }
    if (evacuated && place_units(step, group.units, candidates, {}).has_value())
    {
        return "zone evacuated";
    }
    return candidates.empty() ? "no worker" : "no room";
}

std::string site_scheduler::implementation::describe_agents(const job_state& job,
                                                            core::instant now) const
{
    counted_list agents;
    for (const agent_id& agent : job.unreconciled_agents)
    {
        const worker_state& worker = this->workers.at(agent);
        agents.add(agent.str() +
                   (worker.reported
                        ? " reported " + ms_text(now - worker.last_report_at) + " ago, renewed " +
                              ms_text(now - worker.last_renewal_at) + " ago"
                        : std::string(" never reported")));
    }
    return agents.text();
}

std::string site_scheduler::implementation::describe_workers(const placement_group& group,
                                                             core::instant now) const
{
    const step_spec& step = this->spec_of(group);
    std::size_t usable = 0;
    std::size_t distrusted = 0;
    std::size_t unreconciled = 0;
    std::size_t lost = 0;
    std::size_t silent = 0;
    std::size_t draining = 0;
    std::size_t evacuated = 0;
    std::size_t warming_up = 0;
    for (const auto& [id, worker] : this->workers)
    {
        if (this->may_place_on(worker, *group.job, step, now))
        {
            ++(worker.failure_history.quarantined_until > now ? distrusted : usable);
            warming_up += this->is_warming_up(worker, now) ? 1 : 0;
            continue;
        }
        unreconciled += !worker.reconciled && !worker.lost ? 1 : 0;
        lost += worker.lost ? 1 : 0;
        silent += worker.info.unresponsive ? 1 : 0;
        draining += worker.info.draining || worker.agent_stopping ? 1 : 0;
        evacuated += worker.zone_evacuated ? 1 : 0;
    }
    return "workers: usable " + std::to_string(usable) + " of " +
           std::to_string(this->workers.size()) + ", distrusted " + std::to_string(distrusted) +
           ", lists not read " + std::to_string(unreconciled) + ", lost " + std::to_string(lost) +
           ", silent " + std::to_string(silent) + ", leaving " + std::to_string(draining) +
           (this->evacuated_zones.empty() ? "" : ", evacuated " + std::to_string(evacuated)) +
           (warming_up == 0 ? "" : ", warming up " + std::to_string(warming_up)) +
           "; reservations: backfill " + std::to_string(this->backfill_reservations.size()) +
           " workers, preemption " + std::to_string(this->preemption_reservations.size()) +
           " groups";
}

} // namespace chicorylift::batch
