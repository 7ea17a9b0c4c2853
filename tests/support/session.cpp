#include "support/session.hpp"

#include "chicorylift/core/registry.hpp"
#include "chicorylift/sched/cell_scheduler.hpp"

#include <algorithm>
#include <sstream>
#include <stdexcept>

namespace chicorylift::testing
{

namespace
{

constexpr std::int64_t cores_per_worker = 32;
constexpr std::int64_t memory_per_worker = 128;

const sched::scheduling_policy& policy_named(const std::string& name)
{
    const sched::scheduling_policy* found =
        core::registry<sched::scheduling_policy>::instance().find(name);
    if (found == nullptr)
    {
        throw std::runtime_error("policy \"" + name + "\" does not exist");
    }
    return *found;
}

core::resources accelerators(std::int64_t count)
{
    return {count, count, count};
}

struct size
{
    std::int64_t tasks{};
    std::int64_t each{};
};

size size_from(const std::string& text)
{
    const std::size_t cross = text.find('x');
    return {std::stoll(text.substr(0, cross)), std::stoll(text.substr(cross + 1))};
}

class player
{
public:
    player() : scheduler(policy_named("completion")) {}

    std::string play(const std::string& script)
    {
        std::istringstream lines(script);
        std::string line;
        while (std::getline(lines, line))
        {
            this->out << line << '\n';
            if (!line.empty() && line.front() != '#')
            {
                this->play_line(line);
            }
        }
        return this->out.str();
    }

private:
    void play_line(const std::string& line)
    {
        std::istringstream words(line);
        std::int64_t at_ms = 0;
        std::string event;
        words >> at_ms >> event;
        this->now = core::instant_at(core::milliseconds{at_ms});
        if (!this->play_capacity(event, words) && !this->play_job(event, words) &&
            !this->play_report(event, words))
        {
            throw std::runtime_error("event \"" + event + "\" does not exist");
        }
        this->show_decisions();
    }

    bool play_capacity(const std::string& event, std::istringstream& words)
    {
        std::string id;
        if (event == "worker")
        {
            std::string rack;
            std::int64_t count = 0;
            words >> id >> rack >> count;
            this->scheduler.worker_joined({core::worker_id(id),
                                           core::rack_id(rack),
                                           {count, cores_per_worker, memory_per_worker}});
        }
        else if (event == "lost" || event == "leaving")
        {
            words >> id;
            event == "lost" ? this->scheduler.worker_lost(core::worker_id(id))
                            : this->scheduler.worker_draining(core::worker_id(id));
        }
        else if (event == "policy")
        {
            words >> this->terms.weighting;
        }
        else if (event == "guarantee")
        {
            this->play_guarantee(words);
        }
        else if (event == "limit")
        {
            std::int64_t count = 0;
            words >> id >> count;
            this->owner(id).limit = accelerators(count);
        }
        else if (event == "apply")
        {
            ++this->terms.version;
            this->scheduler.apply_config(this->terms, policy_named(this->terms.weighting));
        }
        else if (event == "stale" || event == "fresh")
        {
            this->scheduler.set_preemption_allowed(event == "fresh");
        }
        else
        {
            return false;
        }
        return true;
    }

    void play_guarantee(std::istringstream& words)
    {
        std::string organisation;
        std::string shape;
        std::string amount;
        std::string within;
        words >> organisation >> shape >> amount >> within;
        const size wanted = size_from(amount);
        this->owner(organisation)
            .guarantees.push_back({shape, wanted.tasks, accelerators(wanted.each),
                                   *quota::parse_topology_level(within)});
    }

    bool play_job(const std::string& event, std::istringstream& words)
    {
        std::string id;
        words >> id;
        if (event == "submit")
        {
            this->play_submit(id, words);
        }
        else if (event == "cancel")
        {
            this->scheduler.cancel(core::job_id(id));
        }
        else if (event == "explain")
        {
            this->show_explanation(id);
        }
        else if (event == "shortfalls")
        {
            for (const sched::guarantee_shortfall& missing : this->scheduler.shortfalls())
            {
                this->out << "    short " << missing.organisation.str() << ' ' << missing.shape
                          << " since " << missing.since.time_since_epoch().count() << '\n';
            }
        }
        else
        {
            words.clear();
            words.seekg(0);
            std::string skipped;
            words >> skipped >> skipped;
            return false;
        }
        return true;
    }

    void play_submit(const std::string& id, std::istringstream& words)
    {
        std::string organisation;
        std::string urgency;
        std::string amount;
        std::string within;
        std::string flags;
        std::int64_t run_ms = 0;
        words >> organisation >> urgency >> amount >> within >> flags >> run_ms;
        const size wanted = size_from(amount);
        sched::job_spec spec;
        spec.id = core::job_id(id);
        spec.organisation = core::organisation_id(organisation);
        spec.kind = "work";
        spec.priority = *sched::parse_priority_class(urgency);
        spec.tasks = wanted.tasks;
        spec.per_task = accelerators(wanted.each);
        spec.within = *quota::parse_topology_level(within);
        spec.idempotent = flags.find('i') != std::string::npos;
        spec.checkpointable = flags.find('c') != std::string::npos;
        spec.declared_run_time = core::milliseconds{run_ms};
        this->scheduler.submit(spec, this->now);
    }

    bool play_report(const std::string& event, std::istringstream& words)
    {
        std::string id;
        std::string worker;
        words >> id >> worker;
        const core::job_id job(id);
        if (event == "started")
        {
            this->scheduler.job_started(job, this->now);
        }
        else if (event == "refused")
        {
            this->scheduler.start_refused(job, core::worker_id(worker), this->now);
        }
        else if (event == "finished")
        {
            this->scheduler.job_finished(job, sched::job_outcome::succeeded, std::nullopt,
                                         this->now);
        }
        else if (event == "failed")
        {
            this->scheduler.job_finished(job, sched::job_outcome::failed, core::worker_id(worker),
                                         this->now);
        }
        else if (event == "stopped")
        {
            this->scheduler.job_stopped(job, this->now);
        }
        else
        {
            return event == "tick";
        }
        return true;
    }

    void show_explanation(const std::string& id)
    {
        const auto told = this->scheduler.explain(core::job_id(id), this->now);
        if (!told.has_value())
        {
            this->out << "    " << id << " is not here\n";
            return;
        }
        this->out << "    " << id << " is " << sched::to_text(told->phase) << ": "
                  << sched::to_text(told->reason) << '\n';
    }

    void show_decisions()
    {
        for (const sched::decision& step : this->scheduler.decide(this->now))
        {
            this->out << "    -> " << sched::to_text(step.kind) << ' ' << step.job.str();
            for (const sched::task_placement& placed : step.placement)
            {
                this->out << ' ' << placed.worker.str() << 'x' << placed.tasks;
            }
            if (step.reason != sched::stop_reason::none)
            {
                this->out << " because " << sched::to_text(step.reason);
            }
            this->out << '\n';
        }
        const absl::Status held = this->scheduler.check_invariants();
        if (!held.ok())
        {
            this->out << "    BROKEN " << std::string(held.message()) << '\n';
        }
    }

    quota::organisation_quota& owner(const std::string& name)
    {
        const core::organisation_id id(name);
        auto& all = this->terms.organisations;
        const auto found = std::find_if(all.begin(), all.end(),
                                        [&id](const quota::organisation_quota& known)
                                        { return known.organisation == id; });
        if (found != all.end())
        {
            return *found;
        }
        constexpr std::int64_t no_limit = 1'000'000;
        all.push_back({id, {}, accelerators(no_limit), 0});
        return all.back();
    }

    sched::cell_scheduler scheduler;
    quota::resolved_config terms{
        .version = 0, .preset_name = "session", .weighting = "completion", .organisations = {}};
    core::instant now{};
    std::ostringstream out;
};

} // namespace

std::string play_session(const std::string& script)
{
    return player().play(script);
}

} // namespace chicorylift::testing
