#include "support/virtual_site.hpp"

#include "chicorylift/batch/takeover_guard.hpp"

#include <algorithm>
#include <cstdio>

namespace chicorylift::testing
{

namespace
{

using batch::agent_id;
using batch::run_number;
using batch::run_outcome;
using batch::unit_key;
using core::instant;
using core::milliseconds;

constexpr milliseconds message_time{2};
constexpr milliseconds look_interval{300};
constexpr milliseconds report_interval{600};
constexpr milliseconds tick_interval{200};
constexpr double thousand = 1000.0;
constexpr std::int64_t core_share = 8;
constexpr milliseconds watch_interval{200};
// A job must not stand still for this long on a site that has been calm that long and the time
// before.
constexpr milliseconds max_standstill{3000};
constexpr milliseconds calm_before_standstill{4000};
// Time after the last run of a long-running unit from which its standstill counts.
constexpr milliseconds long_running_grace{6000};
// A start this long after a request to evacuate the zone breaks the promise to its operators.
constexpr milliseconds evacuation_limit{5000};
constexpr milliseconds hung_duration = std::chrono::hours{1};

std::size_t at(std::int64_t index)
{
    return static_cast<std::size_t>(index);
}

milliseconds times(milliseconds time, double factor)
{
    return milliseconds{static_cast<std::int64_t>(static_cast<double>(time.count()) * factor)};
}

std::string checkpoint_text(milliseconds progress)
{
    std::array<char, 24> text{};
    std::snprintf(text.data(), text.size(), "%012lld", static_cast<long long>(progress.count()));
    return text.data();
}

struct live_run
{
    unit_key unit;
    run_number run{};
    bool gang = false;
    bool working = false;
    instant began{};
    instant present{};
    milliseconds before{};
    /// Work, and work that a checkpoint has saved, as time at speed 1.
    milliseconds needed{};
    double speed = 1;
    std::uint64_t token{};
    bool stopping = false;
};

struct virtual_worker
{
    agent_id agent;
    batch::worker_info info;
    std::map<std::pair<unit_key, run_number>, live_run> runs;
    std::map<unit_key, run_number> barred;
    std::vector<batch::reported_end> ends;
    std::uint64_t next_end = 1;
    instant lease_until{};
    instant fails_until{};
    instant hangs_until{};
    instant cut_until{};
    std::uint64_t life = 1;
    // The agent beside it.
    std::unique_ptr<batch::run_table> table = std::make_unique<batch::run_table>();
    batch::worker_lease lease{milliseconds{5000}};
    std::uint64_t sequence{};
    std::uint64_t noted{};
    std::uint64_t epoch{};
    bool lists_valid = false;
    bool knows_unwritten = false;
    bool earlier_unwritten = false;
    bool informed = false;
    std::uint64_t agent_life = 1;
    bool report_scheduled = false;
    instant last_report{};
};

struct known_job
{
    batch::job_spec spec;
    job_truth truth;
    bool accepted = false;
    bool cancelled = false;
    instant cancelled_at{};
    std::set<unit_key> done;
    /// Units whose good end was lost with its worker before it was noted.
    std::set<unit_key> forgotten;
    std::map<unit_key, int> failures;
    std::set<std::pair<unit_key, run_number>> forgotten_failures;
    std::set<unit_key> started;
    std::map<unit_key, instant> last_ended;
    std::string last_wait;
};

/// What a job, or one long-running unit of it, has waited for without a run.
struct standstill
{
    instant since{};
    bool reported = false;
};

} // namespace

struct virtual_site::implementation
{
    implementation(std::uint32_t seed, site_shape wanted) : shape(std::move(wanted)), random(seed)
    {
        for (int rack = 0; rack < this->shape.racks; ++rack)
        {
            for (int place = 0; place < this->shape.workers_a_rack; ++place)
            {
                virtual_worker& worker = this->workers.emplace_back();
                worker.agent = agent_id("w" + std::to_string(this->workers.size() - 1));
                worker.info.id = core::worker_id(worker.agent.str());
                worker.info.announced = true;
                worker.info.started_at = milliseconds{1};
                worker.info.service = core::service_id("service");
                worker.info.capacity = this->shape.capacity;
                worker.info.labels = {"a", "rack" + std::to_string(rack)};
                worker.info.rack = core::rack_id(worker.info.labels.back());
                worker.info.zone = core::zone_id("zone" + std::to_string(rack % this->shape.zones));
                worker.lease = batch::worker_lease(this->shape.lease);
            }
        }
        this->begin_lead(1);
        for (std::size_t index = 0; index < this->workers.size(); ++index)
        {
            this->after(milliseconds{static_cast<std::int64_t>(index) * 7},
                        [this, index] { this->look_loop(index); });
        }
        this->after(tick_interval, [this] { this->tick(); });
        this->after(watch_interval, [this] { this->watch(); });
    }

    void after(milliseconds delay, std::function<void()> what)
    {
        this->events.emplace(this->now + delay, std::move(what));
    }

    void play(milliseconds until)
    {
        const instant end = core::instant_at(until);
        while (!this->events.empty() && this->events.begin()->first <= end)
        {
            const auto first = this->events.begin();
            this->now = first->first;
            const auto what = std::move(first->second);
            this->events.erase(first);
            what();
        }
        this->now = end;
    }

    void broken(const std::string& what)
    {
        this->violations.push_back(std::to_string(this->now.time_since_epoch().count()) +
                                   " ms: " + what);
    }

    /// The site is not calm until then.
    void disturb(instant until) { this->disturbed_until = std::max(this->disturbed_until, until); }

    // ---- jobs that stand still ----

    /// Finds jobs of which nothing runs although a unit's turn has come and there is room.
    void watch()
    {
        this->after(watch_interval, [this] { this->watch(); });
        std::set<core::job_id> running_jobs;
        std::set<unit_key> running;
        for (const virtual_worker& worker : this->workers)
        {
            for (const auto& [key, run] : worker.runs)
            {
                running_jobs.insert(run.unit.job);
                running.insert(run.unit);
                if (run.needed >= hung_duration && !this->step_of(run.unit).long_running)
                {
                    this->disturb(this->now);
                }
            }
        }
        std::map<unit_key, standstill> standing;
        const bool half_in_use = this->is_half_in_use();
        for (const auto& [id, job] : this->jobs)
        {
            if (!job.accepted || job.cancelled || half_in_use ||
                this->results[id].ended.has_value() || this->has_used_up_attempts(job))
            {
                continue;
            }
            for (const unit_key& unit : this->ready_units(job))
            {
                const batch::step_spec& step = this->step_of(unit);
                if (step.long_running ? running.contains(unit) || this->has_just_run(job, unit)
                                      : running_jobs.contains(id))
                {
                    continue;
                }
                if (!this->has_room_twice_over(step))
                {
                    continue;
                }
                // A job that is not long-running stands still as a whole.
                const unit_key key = step.long_running ? unit : unit_key{id, -1, -1, -1};
                const auto known = this->standstills.find(key);
                standstill& here = standing
                                       .emplace(key, known == this->standstills.end()
                                                         ? standstill{this->now, false}
                                                         : known->second)
                                       .first->second;
                if (!here.reported && this->now - here.since >= max_standstill &&
                    this->now - this->disturbed_until >= max_standstill + calm_before_standstill)
                {
                    here.reported = true;
                    this->broken(batch::to_text(unit) + " stands still since " +
                                 std::to_string(here.since.time_since_epoch().count()) +
                                 " ms though there is room; " + job.last_wait);
                }
            }
        }
        this->standstills = std::move(standing);
    }

    [[nodiscard]] const batch::step_spec& step_of(const unit_key& unit) const
    {
        return this->jobs.at(unit.job).spec.steps[at(unit.step)];
    }

    [[nodiscard]] bool has_just_run(const known_job& job, const unit_key& unit) const
    {
        const auto ended = job.last_ended.find(unit);
        return ended != job.last_ended.end() && this->now - ended->second < long_running_grace;
    }

    [[nodiscard]] bool has_used_up_attempts(const known_job& job) const
    {
        std::map<unit_key, std::int64_t> failures;
        for (const auto& [unit, count] : job.failures)
        {
            const batch::step_spec& step = job.spec.steps[at(unit.step)];
            unit_key key = unit;
            key.index = step.gang ? 0 : key.index;
            failures[key] += step.long_running ? 0 : count;
        }
        return std::any_of(failures.begin(), failures.end(),
                           [&job](const auto& each)
                           { return each.second >= job.spec.policy.max_attempts; });
    }

    /// @return the job's units whose turn has come, of each gang the first.
    [[nodiscard]] std::vector<unit_key> ready_units(const known_job& job) const
    {
        std::vector<unit_key> ready;
        for (std::int64_t occurrence = 0; occurrence < job.spec.occurrence_count(); ++occurrence)
        {
            if (job.spec.occurrences > 0 &&
                job.spec.first_due + job.spec.interval * occurrence > this->now.time_since_epoch())
            {
                break;
            }
            const auto is_done = [&job, occurrence](std::int64_t step)
            {
                for (std::int64_t unit = 0; unit < job.spec.steps[at(step)].units; ++unit)
                {
                    if (!job.done.contains({job.spec.id, occurrence, step, unit}))
                    {
                        return false;
                    }
                }
                return true;
            };
            for (std::size_t index = 0; index < job.spec.steps.size(); ++index)
            {
                const batch::step_spec& step = job.spec.steps[index];
                if (!std::all_of(step.depends_on.begin(), step.depends_on.end(), is_done))
                {
                    continue;
                }
                for (std::int64_t unit = 0; unit < (step.gang ? 1 : step.units); ++unit)
                {
                    const unit_key key{job.spec.id, occurrence, static_cast<std::int64_t>(index),
                                       unit};
                    if (!job.done.contains(key))
                    {
                        ready.push_back(key);
                    }
                }
            }
        }
        return ready;
    }

    [[nodiscard]] batch::resource_amount used_on(const virtual_worker& worker) const
    {
        batch::resource_amount used;
        for (const auto& [key, run] : worker.runs)
        {
            used += this->step_of(run.unit).resource_request();
        }
        return used;
    }

    [[nodiscard]] bool is_half_in_use() const
    {
        batch::resource_amount used;
        batch::resource_amount capacity;
        for (const virtual_worker& worker : this->workers)
        {
            if (this->evacuations.contains(worker.info.zone))
            {
                continue;
            }
            used += this->used_on(worker);
            capacity += worker.info.draining ? batch::resource_amount{} : worker.info.capacity;
        }
        const auto cores = [](const batch::resource_amount& amount)
        { return amount.millicores + amount.accelerators * core_share * 1000; };
        return 2 * cores(used) >= cores(capacity);
    }

    [[nodiscard]] bool has_room_twice_over(const batch::step_spec& step) const
    {
        const std::int64_t wanted = 2 * (step.gang ? step.units : 1);
        std::int64_t fitting = 0;
        for (const virtual_worker& worker : this->workers)
        {
            const auto& labels = worker.info.labels;
            if (worker.info.draining || this->evacuations.contains(worker.info.zone) ||
                (!step.required_label.empty() &&
                 std::find(labels.begin(), labels.end(), step.required_label) == labels.end()))
            {
                continue;
            }
            batch::resource_amount free = worker.info.capacity;
            free -= this->used_on(worker);
            const std::int64_t fits_here = batch::fit_count(step.resource_request(), free, wanted);
            const auto here = std::count_if(worker.runs.begin(), worker.runs.end(),
                                            [this, &step](const auto& run)
                                            { return &this->step_of(run.second.unit) == &step; });
            fitting += step.max_per_worker > 0 ? std::min(fits_here, step.max_per_worker - here)
                                               : fits_here;
        }
        return fitting >= wanted;
    }

    double chance() { return std::uniform_real_distribution<double>(0, 1)(this->random); }

    // ---- the lead ----

    void begin_lead(std::uint64_t epoch)
    {
        batch::scheduler_settings settings;
        settings.epoch = epoch;
        settings.lease_timeout = this->shape.lease + milliseconds{450};
        settings.remote_factor = this->shape.remote_factor;
        settings.weights = this->shape.weights;
        settings.learn_run_times = this->shape.learn_run_times;
        settings.order_by_value = this->shape.order_by_value;
        settings.fair_shares = this->shape.fair_shares;
        settings.keep_whole_workers = this->shape.keep_whole_workers;
        this->epoch = epoch;
        this->scheduler = std::make_unique<batch::site_scheduler>(settings, this->now);
        this->scheduler->set_policies(this->queues, this->guaranteed);
        this->guard = std::make_unique<batch::takeover_guard>(this->now, settings.lease_timeout);
        for (const virtual_worker& worker : this->workers)
        {
            this->scheduler->add_agent(worker.agent);
            this->guard->add_agent(worker.agent);
        }
        for (const auto& [id, job] : this->jobs)
        {
            if (job.accepted)
            {
                const auto written = this->written.find(id);
                this->scheduler->add_job(job.spec,
                                         written == this->written.end() ? batch::job_progress{}
                                                                        : written->second,
                                         job.cancelled, this->now);
            }
        }
        this->writing = false;
        this->scheduler->set_evacuated_zones(this->requested_zones(), this->now);
        for (std::size_t index = 0; index < this->workers.size(); ++index)
        {
            // The lead calls the agents that it knows.
            this->to_agent(index, [this, index, epoch] { this->follow(index, epoch); });
        }
    }

    [[nodiscard]] std::set<core::zone_id> requested_zones() const
    {
        std::set<core::zone_id> zones;
        for (const auto& [zone, since] : this->evacuations)
        {
            zones.insert(zone);
        }
        return zones;
    }

    /// The leader reads the requests.
    void read_requests()
    {
        if (this->scheduler != nullptr)
        {
            this->scheduler->set_evacuated_zones(this->requested_zones(), this->now);
            this->pass();
        }
    }

    void check_zone(const virtual_worker& worker, const unit_key& unit)
    {
        const auto request = this->evacuations.find(worker.info.zone);
        if (request == this->evacuations.end())
        {
            return;
        }
        ++this->evacuated_starts;
        if (this->now - request->second > evacuation_limit && worker.cut_until <= this->now)
        {
            this->broken(batch::to_text(unit) + " starts on " + worker.agent.str() + " " +
                         std::to_string((this->now - request->second).count()) +
                         " ms after the evacuation of its zone was requested");
        }
    }

    void follow(std::size_t index, std::uint64_t epoch)
    {
        virtual_worker& worker = this->workers[index];
        if (epoch > worker.epoch)
        {
            worker.epoch = epoch;
            worker.lists_valid = false;
            worker.earlier_unwritten = worker.earlier_unwritten || worker.knows_unwritten;
            worker.knows_unwritten = false;
            this->look(index);
        }
    }

    void tick()
    {
        if (this->scheduler != nullptr)
        {
            for (std::size_t index = 0; index < this->workers.size(); ++index)
            {
                if (this->now - this->workers[index].last_report > milliseconds{900})
                {
                    const std::uint64_t epoch = this->epoch;
                    this->to_agent(index, [this, index, epoch] { this->follow(index, epoch); });
                }
            }
            this->pass();
        }
        this->after(tick_interval, [this] { this->tick(); });
    }

    void to_agent(std::size_t index, std::function<void()> what)
    {
        this->after(message_time,
                    [this, index, what = std::move(what)]
                    {
                        if (this->workers[index].cut_until <= this->now)
                        {
                            what();
                        }
                    });
    }

    void pass()
    {
        if (this->scheduler == nullptr)
        {
            return;
        }
        const std::uint64_t epoch = this->epoch;
        const bool store_lost =
            this->now<this->out_until&& this->now - this->out_since> milliseconds{500};
        if (store_lost)
        {
            this->guard->announce_unpersisted_starts(true);
        }
        const bool guarded = this->shape.guarded_takeover;
        if (guarded && !this->guard->may_place(this->now))
        {
            return;
        }
        const bool unwritten = store_lost && (!guarded || this->guard->may_start_unpersisted());
        for (const batch::agent_command& order :
             this->scheduler->schedule(this->now, this->now.time_since_epoch(), unwritten))
        {
            const std::size_t index = this->index_of(order.agent);
            this->to_agent(index,
                           [this, index, order, epoch] { this->on_order(index, order, epoch); });
        }
        for (const batch::decision_record& record : this->scheduler->take_records())
        {
            ++this->decision_counts[std::string(record.event)];
            this->records.push_back(record);
            if (record.lost.has_value() && record.lost->is_final)
            {
                this->thrown_away[std::string(batch::to_text(record.lost->reason))] +=
                    record.lost->core_seconds;
            }
            const auto job = this->jobs.find(record.job);
            if (record.event == "job_waiting" && job != this->jobs.end())
            {
                job->second.last_wait = std::string(record.reason) + " " + record.detail;
            }
        }
        this->write();
    }

    void write()
    {
        const auto jobs = this->scheduler->unpersisted_jobs();
        if (this->writing || jobs.empty() || this->now < this->out_until)
        {
            return;
        }
        this->writing = true;
        std::map<core::job_id, std::pair<std::uint64_t, batch::job_progress>> changes;
        for (const core::job_id& job : jobs)
        {
            changes[job] = {this->scheduler->unpersisted_version(job),
                            this->scheduler->progress_of(job)};
        }
        this->after(this->shape.write_time,
                    [this, changes, epoch = this->epoch]
                    {
                        if (epoch != this->epoch || this->scheduler == nullptr)
                        {
                            return;
                        }
                        this->writing = false;
                        for (const auto& [job, change] : changes)
                        {
                            this->written[job] = change.second;
                            this->scheduler->on_persisted(job, change.first);
                            this->show(job, change.second.outcome);
                        }
                        this->pass();
                    });
    }

    void show(const core::job_id& id, batch::job_outcome outcome)
    {
        job_result& result = this->results[id];
        const known_job& job = this->jobs.at(id);
        if (outcome == batch::job_outcome::unfinished || result.ended.has_value())
        {
            return;
        }
        result.ended = this->now;
        result.completed = outcome == batch::job_outcome::completed;
        result.failed = outcome == batch::job_outcome::failed;
        std::size_t units = 0;
        for (const batch::step_spec& step : job.spec.steps)
        {
            units += at(step.units * job.spec.occurrence_count());
        }
        if (result.completed && job.done.size() < units)
        {
            this->broken(id.str() + " is shown as completed with " +
                         std::to_string(job.done.size()) + " of " + std::to_string(units) +
                         " units done");
        }
    }

    // ---- agents ----

    [[nodiscard]] std::size_t index_of(const agent_id& agent) const
    {
        return at(std::stoll(agent.str().substr(1)));
    }

    void on_order(std::size_t index, const batch::agent_command& order, std::uint64_t epoch)
    {
        virtual_worker& worker = this->workers[index];
        if (epoch < worker.epoch)
        {
            return;
        }
        if (order.what == batch::agent_command::action::stop)
        {
            const auto action = worker.table->on_stop_command({order.unit, order.run}, this->now);
            if (action.has_value())
            {
                this->carry_out(index, *action);
            }
            return;
        }
        if (!worker.lists_valid || worker.info.draining ||
            worker.lease.expires_at() < this->now + milliseconds{800})
        {
            return;
        }
        batch::worker_command wanted;
        wanted.unit = order.unit;
        wanted.run = order.run;
        wanted.payload = order.payload;
        wanted.checkpoint = order.checkpoint;
        const auto action = worker.table->on_start_command(wanted, this->now);
        if (action.has_value())
        {
            this->carry_out(index, *action);
        }
        this->report_soon(index);
    }

    void carry_out(std::size_t index, const batch::worker_command& action)
    {
        virtual_worker& worker = this->workers[index];
        const batch::run_table::run_key key{action.unit, action.run};
        if (action.what == batch::worker_command::kind::stop)
        {
            this->stop_on_worker(index, key);
            worker.table->on_stop_result(key, true, this->now);
            this->after(milliseconds{3}, [this, index] { this->look(index); });
            return;
        }
        const milliseconds until = worker.lease.expiry_on_worker_clock(this->now);
        if (this->now < this->delay_until && this->chance() < this->delay_share)
        {
            // No answer now; carried out later, if its lease still allows.
            const milliseconds late{2000 + static_cast<std::int64_t>(this->chance() * 8000)};
            this->disturb(this->now + late);
            this->after(
                late,
                [this, index, action, until, epoch = worker.epoch, born = worker.info.started_at]
                {
                    // Orders that wait inside a worker end with its life.
                    if (this->workers[index].info.started_at == born)
                    {
                        this->start_on_worker(index, action, until, epoch);
                    }
                });
            this->after(milliseconds{700},
                        [this, index, key, life = worker.agent_life]
                        {
                            if (this->workers[index].agent_life == life)
                            {
                                this->workers[index].table->on_start_result(
                                    key, batch::start_result::unknown, "", this->now);
                            }
                        });
            return;
        }
        const std::string refused = this->start_on_worker(index, action, until, worker.epoch);
        worker.table->on_start_result(
            key, refused.empty() ? batch::start_result::accepted : batch::start_result::refused,
            refused, this->now);
        this->report_soon(index);
    }

    void look_loop(std::size_t index)
    {
        this->look(index);
        for (const batch::worker_command& action :
             this->workers[index].table->take_due_retries(this->now))
        {
            this->carry_out(index, action);
        }
        if (this->now - this->workers[index].last_report >= report_interval)
        {
            this->report(index);
        }
        this->after(look_interval, [this, index] { this->look_loop(index); });
    }

    void look(std::size_t index)
    {
        virtual_worker& worker = this->workers[index];
        std::erase_if(worker.ends, [&worker](const batch::reported_end& end)
                      { return end.number <= worker.noted; });
        const milliseconds until = worker.lease.expiry_on_worker_clock(this->now);
        if (until.count() > 0)
        {
            this->extend(index, until);
        }
        worker.lease.on_clock(this->now.time_since_epoch(), this->now);
        std::vector<batch::reported_run> running;
        for (const auto& [key, run] : worker.runs)
        {
            batch::reported_run each;
            each.unit = run.unit;
            each.run = run.run;
            each.phase = batch::run_phase::running;
            const milliseconds progress = this->progress_of(run);
            each.progress_percent =
                run.needed.count() > 0 ? progress.count() * 100 / run.needed.count() : 0;
            each.checkpoint = this->saved_of(run, false);
            running.push_back(std::move(each));
        }
        batch::run_lists lists;
        lists.running = std::move(running);
        const std::size_t listed = std::min(worker.ends.size(), this->shape.max_listed_ends);
        lists.ended.assign(worker.ends.begin(),
                           worker.ends.begin() + static_cast<std::ptrdiff_t>(listed));
        lists.ends_complete = listed < this->shape.max_listed_ends;
        const bool changed = worker.table->on_run_lists(lists, this->now, this->now);
        const bool was_valid = worker.lists_valid;
        worker.lists_valid = true;
        if (changed || !was_valid)
        {
            this->report_soon(index);
        }
    }

    void report_soon(std::size_t index)
    {
        if (!this->workers[index].report_scheduled)
        {
            this->workers[index].report_scheduled = true;
            this->after(milliseconds{5},
                        [this, index]
                        {
                            this->workers[index].report_scheduled = false;
                            this->report(index);
                        });
        }
    }

    void report(std::size_t index)
    {
        virtual_worker& worker = this->workers[index];
        batch::worker_report report;
        report.agent = worker.agent;
        report.worker = worker.info;
        report.lists_valid = worker.lists_valid;
        report.lists_incomplete = !worker.table->is_complete();
        report.runs = worker.table->runs();
        report.ends = worker.table->ends();
        const std::uint64_t sequence = ++worker.sequence;
        worker.lease.on_report_sent(sequence, this->now);
        worker.last_report = this->now;
        if (worker.cut_until > this->now || this->scheduler == nullptr)
        {
            return;
        }
        this->after(
            message_time,
            [this, index, report, sequence, epoch = worker.epoch,
             about_starts = batch::takeover_report{worker.knows_unwritten, worker.earlier_unwritten,
                                                   worker.informed}]
            {
                if (this->scheduler == nullptr || this->workers[index].cut_until > this->now)
                {
                    return;
                }
                batch::worker_report taken = report;
                taken.lists_valid = taken.lists_valid && epoch == this->epoch;
                this->guard->on_report(report.agent, about_starts, this->now);
                if (this->shape.guarded_takeover &&
                    this->guard->predecessor_may_have_unpersisted_runs())
                {
                    this->scheduler->assume_runs_on_unreported_agents();
                }
                this->scheduler->on_report(taken, this->now);
                this->scheduler->on_renewal_sent(report.agent, this->now);
                const auto noted = this->scheduler->acknowledged_end(report.agent);
                std::vector<batch::run_table::run_key> settled;
                for (const batch::reported_end& end : report.ends)
                {
                    if (end.number == 0)
                    {
                        settled.emplace_back(end.unit, end.run);
                    }
                }
                const bool announcing = this->guard->is_announcing();
                const bool known = this->guard->may_place(this->now);
                this->to_agent(index,
                               [this, index, sequence, noted, settled, announcing, known,
                                answered = this->epoch]
                               {
                                   this->on_reply(index, sequence, noted, settled, answered);
                                   virtual_worker& there = this->workers[index];
                                   if (there.epoch == answered)
                                   {
                                       there.knows_unwritten = announcing;
                                       there.earlier_unwritten = there.earlier_unwritten && !known;
                                       there.informed = there.informed || known;
                                   }
                               });
                this->pass();
            });
    }

    void on_reply(std::size_t index, std::uint64_t sequence,
                  std::pair<batch::unix_time, std::uint64_t> noted,
                  const std::vector<batch::run_table::run_key>& settled, std::uint64_t epoch)
    {
        virtual_worker& worker = this->workers[index];
        if (epoch < worker.epoch)
        {
            return;
        }
        this->follow(index, epoch);
        // The virtual leader does not outlive its epoch, so that it is always confirmed.
        worker.lease.on_report_acknowledged(sequence, core::milliseconds{0});
        for (const auto& key : settled)
        {
            worker.table->on_unlisted_end_acknowledged(key);
        }
        if (noted.first == worker.info.started_at)
        {
            worker.noted = std::max(worker.noted, noted.second);
        }
    }

    // ---- workers ----

    void extend(std::size_t index, milliseconds until)
    {
        virtual_worker& worker = this->workers[index];
        const instant end = core::instant_at(until);
        if (end <= worker.lease_until)
        {
            return;
        }
        worker.lease_until = end;
        this->events.emplace(end, [this, index] { this->expire(index); });
    }

    void expire(std::size_t index)
    {
        virtual_worker& worker = this->workers[index];
        if (this->now < worker.lease_until)
        {
            return;
        }
        this->forget_unnoted(worker);
        while (!worker.runs.empty())
        {
            this->end_run(index, worker.runs.begin()->first, run_outcome::lease_expired);
        }
    }

    /// @return why the start is refused, or nothing.
    std::string start_on_worker(std::size_t index, const batch::worker_command& action,
                                milliseconds until, std::uint64_t epoch)
    {
        virtual_worker& worker = this->workers[index];
        const auto key = std::pair(action.unit, action.run);
        if (epoch < worker.epoch)
        {
            return "fence";
        }
        if (worker.runs.contains(key))
        {
            return "";
        }
        if (core::instant_at(until) <= this->now)
        {
            return "late";
        }
        const auto barred = worker.barred.find(action.unit);
        if (barred != worker.barred.end() && barred->second >= action.run)
        {
            return "old";
        }
        this->extend(index, until);
        this->check_start(index, action);
        this->check_zone(worker, action.unit);
        known_job& job = this->jobs.at(action.unit.job);
        const batch::step_spec& step = job.spec.steps[at(action.unit.step)];
        live_run run;
        run.unit = action.unit;
        run.run = action.run;
        run.gang = step.gang;
        run.present = this->now;
        run.before = action.checkpoint.empty() ? milliseconds{0}
                                               : milliseconds{std::stoll(action.checkpoint)};
        run.needed = job.truth.durations[at(action.unit.step)];
        if (action.unit.step == 0 && job.truth.tail_units.contains(action.unit.index))
        {
            run.needed = times(run.needed, job.truth.tail_factor);
        }
        if (!step.data_rack.empty() && worker.info.rack.str() != step.data_rack)
        {
            run.needed = this->far(run.needed);
        }
        run.speed = this->speed_of(index);
        run.token = ++this->next_token;
        worker.runs[key] = run;
        job_result& result = this->results[action.unit.job];
        if (!result.first_start.has_value())
        {
            result.first_start = this->now;
        }
        job.started.insert(action.unit);
        this->note_all_started(job, result);
        if (step.gang)
        {
            this->gather_gang(action.unit, action.run, step);
        }
        else
        {
            this->begin_work(index, key);
        }
        return "";
    }

    void note_all_started(const known_job& job, job_result& result)
    {
        std::size_t first = 0;
        for (const batch::step_spec& step : job.spec.steps)
        {
            first += step.depends_on.empty() ? at(step.units) : 0;
        }
        if (!result.all_started.has_value() && job.started.size() >= first)
        {
            result.all_started = this->now;
        }
    }

    [[nodiscard]] milliseconds far(milliseconds duration) const
    {
        return times(duration, this->shape.remote_factor);
    }

    [[nodiscard]] double speed_of(std::size_t worker) const
    {
        return worker < this->shape.speeds.size() ? this->shape.speeds[worker] : 1;
    }

    void check_start(std::size_t index, const batch::worker_command& action)
    {
        virtual_worker& worker = this->workers[index];
        known_job& job = this->jobs.at(action.unit.job);
        const batch::step_spec& step = job.spec.steps[at(action.unit.step)];
        const std::string name = batch::to_text(action.unit);
        batch::resource_amount used = step.resource_request();
        for (const auto& [key, run] : worker.runs)
        {
            used += this->jobs.at(run.unit.job).spec.steps[at(run.unit.step)].resource_request();
        }
        if (!batch::fits(used, worker.info.capacity))
        {
            this->broken(name + " overloads " + worker.agent.str());
        }
        for (const virtual_worker& other : this->workers)
        {
            for (const auto& [key, run] : other.runs)
            {
                if (run.unit == action.unit)
                {
                    this->broken(name + " runs twice");
                }
            }
        }
        if (job.done.contains(action.unit) && !job.forgotten.contains(action.unit))
        {
            this->broken(name + " starts after it was done");
        }
        for (const std::int64_t earlier : step.depends_on)
        {
            for (std::int64_t unit = 0; unit < job.spec.steps[at(earlier)].units; ++unit)
            {
                if (!job.done.contains({job.spec.id, action.unit.occurrence, earlier, unit}))
                {
                    this->broken(name + " starts before step " + std::to_string(earlier));
                }
            }
        }
        if (job.cancelled && this->now - job.cancelled_at > milliseconds{3000} &&
            this->now >= this->delay_until + milliseconds{12000})
        {
            this->broken(name + " starts after it was cancelled");
        }
        const auto failed = job.failures.find(action.unit);
        if (failed != job.failures.end() && failed->second >= job.spec.policy.max_attempts)
        {
            this->broken(name + " starts after its attempts were used up");
        }
        const auto& labels = worker.info.labels;
        if (!step.required_label.empty() &&
            std::find(labels.begin(), labels.end(), step.required_label) == labels.end())
        {
            this->broken(name + " starts without its label");
        }
    }

    void gather_gang(const unit_key& unit, run_number number, const batch::step_spec& step)
    {
        std::vector<std::pair<std::size_t, std::pair<unit_key, run_number>>> members;
        std::set<std::string> racks;
        for (std::size_t index = 0; index < this->workers.size(); ++index)
        {
            for (const auto& [key, run] : this->workers[index].runs)
            {
                if (run.run == number && run.unit.job == unit.job && run.unit.step == unit.step)
                {
                    members.emplace_back(index, key);
                    racks.insert(this->workers[index].info.rack.str());
                }
            }
        }
        if (static_cast<std::int64_t>(members.size()) == step.units)
        {
            double slowest = std::numeric_limits<double>::infinity();
            milliseconds longest{};
            for (const auto& [index, key] : members)
            {
                slowest = std::min(slowest, this->speed_of(index));
                longest = std::max(longest, this->workers[index].runs.at(key).needed);
            }
            for (const auto& [index, key] : members)
            {
                live_run& run = this->workers[index].runs.at(key);
                run.speed = slowest;
                run.needed =
                    this->jobs.at(unit.job).truth.tail_units.empty() ? run.needed : longest;
                if (step.rack_local && racks.size() > 1)
                {
                    run.needed = this->far(run.needed);
                }
                this->begin_work(index, key);
            }
            return;
        }
        for (const auto& member : members)
        {
            const std::size_t index = member.first;
            const std::pair<unit_key, run_number> key = member.second;
            const std::uint64_t token = this->workers[index].runs.at(key).token;
            this->after(this->shape.gang_patience,
                        [this, index, key, token]
                        {
                            const auto found = this->workers[index].runs.find(key);
                            if (found != this->workers[index].runs.end() &&
                                found->second.token == token && !found->second.working)
                            {
                                ++this->alone;
                                this->end_run(index, key, run_outcome::gang_start_timeout);
                            }
                        });
        }
    }

    void begin_work(std::size_t index, const std::pair<unit_key, run_number>& key)
    {
        live_run& run = this->workers[index].runs.at(key);
        run.working = true;
        run.began = this->now;
        if (this->workers[index].hangs_until > this->now)
        {
            run.needed = hung_duration;
        }
        const known_job& job = this->jobs.at(run.unit.job);
        const bool fails = job.truth.poison || this->workers[index].fails_until > this->now;
        const milliseconds left =
            fails ? milliseconds{200}
                  : std::max(times(run.needed - run.before, 1 / run.speed), milliseconds{1});
        this->after(left,
                    [this, index, key, token = run.token, fails]
                    {
                        const auto found = this->workers[index].runs.find(key);
                        if (found != this->workers[index].runs.end() &&
                            found->second.token == token && !found->second.stopping)
                        {
                            this->end_run(index, key,
                                          fails ? run_outcome::failed : run_outcome::succeeded);
                        }
                    });
    }

    [[nodiscard]] milliseconds progress_of(const live_run& run) const
    {
        if (!run.working)
        {
            return run.before;
        }
        const milliseconds worked = this->now - run.began;
        return run.needed >= hung_duration ? run.before : run.before + times(worked, run.speed);
    }

    [[nodiscard]] std::string saved_of(const live_run& run, bool at_stop) const
    {
        const batch::step_spec& step = this->jobs.at(run.unit.job).spec.steps[at(run.unit.step)];
        if (!step.checkpointing)
        {
            return "";
        }
        const milliseconds progress = this->progress_of(run);
        const std::int64_t interval = this->shape.checkpoint_interval.count();
        const milliseconds saved =
            at_stop ? progress : milliseconds{progress.count() / interval * interval};
        return saved.count() > 0 ? checkpoint_text(saved) : "";
    }

    void stop_on_worker(std::size_t index, const std::pair<unit_key, run_number>& key)
    {
        virtual_worker& worker = this->workers[index];
        run_number& barred = worker.barred[key.first];
        barred = std::max(barred, key.second);
        const auto found = worker.runs.find(key);
        if (found == worker.runs.end() || found->second.stopping)
        {
            return;
        }
        found->second.stopping = true;
        this->after(this->shape.stop_time,
                    [this, index, key, token = found->second.token]
                    {
                        const auto again = this->workers[index].runs.find(key);
                        if (again != this->workers[index].runs.end() &&
                            again->second.token == token)
                        {
                            this->end_run(index, key, run_outcome::stopped);
                        }
                    });
    }

    void end_run(std::size_t index, const std::pair<unit_key, run_number>& named, run_outcome kind)
    {
        // The caller's key may lie in the map that is changed here.
        const std::pair<unit_key, run_number> key(named);
        virtual_worker& worker = this->workers[index];
        const live_run run = worker.runs.at(key);
        known_job& job = this->jobs.at(run.unit.job);
        const batch::step_spec& step = job.spec.steps[at(run.unit.step)];
        const std::string saved = this->saved_of(run, kind == run_outcome::stopped);
        worker.runs.erase(key);
        job.last_ended[run.unit] = this->now;
        run_number& barred = worker.barred[key.first];
        barred = std::max(barred, key.second);
        worker.ends.push_back({worker.next_end++, run.unit, run.run, kind, saved, ""});
        if (kind == run_outcome::succeeded)
        {
            job.done.insert(run.unit);
        }
        else if (run.working)
        {
            const milliseconds kept = saved.empty() ? run.before : milliseconds{std::stoll(saved)};
            const milliseconds lost = this->progress_of(run) - kept;
            this->waste += static_cast<double>(lost.count()) / thousand *
                           (static_cast<double>(step.per_unit.millicores) / thousand +
                            static_cast<double>(step.per_unit.accelerators * core_share));
        }
        else
        {
            this->waited += static_cast<double>((this->now - run.present).count()) / thousand *
                            (static_cast<double>(step.per_unit.millicores) / thousand +
                             static_cast<double>(step.per_unit.accelerators * core_share));
        }
        job.failures[run.unit] += kind == run_outcome::failed ? 1 : 0;
        this->after(milliseconds{2}, [this, index] { this->look(index); });
        if (run.gang)
        {
            this->end_gang(key.second, kind);
        }
    }

    /// One member's end ends the others: well if it ended well, else as broken.
    void end_gang(run_number number, run_outcome kind)
    {
        for (std::size_t index = 0; index < this->workers.size(); ++index)
        {
            std::vector<std::pair<unit_key, run_number>> others;
            for (const auto& [key, run] : this->workers[index].runs)
            {
                if (key.second == number && run.working)
                {
                    others.push_back(key);
                }
            }
            for (const auto& key : others)
            {
                live_run& run = this->workers[index].runs.at(key);
                run.gang = false;
                this->end_run(index, key,
                              kind == run_outcome::succeeded ? kind : run_outcome::gang_aborted);
            }
        }
    }

    /// Nobody need ever have heard of an end that was not noted.
    void forget_unnoted(const virtual_worker& worker)
    {
        for (const batch::reported_end& end : worker.ends)
        {
            known_job& job = this->jobs.at(end.unit.job);
            if (end.outcome == run_outcome::succeeded)
            {
                job.forgotten.insert(end.unit);
            }
            if (end.outcome == run_outcome::failed && end.number > worker.noted &&
                job.forgotten_failures.insert({end.unit, end.run}).second)
            {
                --job.failures[end.unit];
            }
        }
    }

    void reboot(std::size_t index)
    {
        virtual_worker& worker = this->workers[index];
        while (!worker.runs.empty())
        {
            const auto key = worker.runs.begin()->first;
            const bool gang = worker.runs.begin()->second.gang;
            this->jobs.at(key.first.job).last_ended[key.first] = this->now;
            worker.runs.erase(worker.runs.begin());
            if (gang)
            {
                this->end_gang(key.second, run_outcome::gang_aborted);
            }
        }
        this->forget_unnoted(worker);
        worker.ends.clear();
        worker.barred.clear();
        worker.next_end = 1;
        worker.lease_until = {};
        worker.noted = 0;
        worker.info.started_at += milliseconds{1000};
        worker.table->on_worker_restarted();
        worker.lease.forget_clock();
        this->report_soon(index);
    }

    site_shape shape;
    std::mt19937 random;
    instant now = core::instant_at(milliseconds{1000});
    std::multimap<instant, std::function<void()>> events;
    std::vector<virtual_worker> workers;
    std::unique_ptr<batch::site_scheduler> scheduler;
    std::unique_ptr<batch::takeover_guard> guard;
    instant out_since{};
    instant out_until{};
    std::uint64_t epoch{};
    bool writing = false;
    std::map<batch::queue_id, batch::queue_policy> queues;
    std::map<core::organisation_id, std::int64_t> guaranteed;
    std::map<core::job_id, known_job> jobs;
    std::map<core::job_id, batch::job_progress> written;
    std::map<core::job_id, job_result> results;
    std::map<std::string, int> decision_counts;
    std::vector<batch::decision_record> records;
    std::map<std::string, double> thrown_away;
    std::vector<std::string> violations;
    std::map<unit_key, standstill> standstills;
    instant disturbed_until{};
    /// Zones to be evacuated, with the time of the request.
    std::map<core::zone_id, instant> evacuations;
    int evacuated_starts{};
    instant delay_until{};
    double delay_share{};
    std::uint64_t next_token{};
    double waste{};
    double waited{};
    int alone{};
};

virtual_site::virtual_site(std::uint32_t seed, site_shape shape)
    : inner(std::make_unique<implementation>(seed, std::move(shape)))
{
}

virtual_site::~virtual_site() = default;

void virtual_site::set_terms(std::map<batch::queue_id, batch::queue_policy> queues,
                             std::map<core::organisation_id, std::int64_t> guaranteed)
{
    this->inner->queues = queues;
    this->inner->guaranteed = guaranteed;
    this->inner->scheduler->set_policies(std::move(queues), std::move(guaranteed));
}

void virtual_site::submit(core::milliseconds at, batch::job_spec job, job_truth truth)
{
    const core::job_id id = job.id;
    this->inner->jobs[id].spec = std::move(job);
    this->inner->jobs[id].truth = std::move(truth);
    this->inner->events.emplace(core::instant_at(at),
                                [self = this->inner.get(), id]
                                {
                                    known_job& known = self->jobs.at(id);
                                    known.accepted = true;
                                    known.spec.accepted = self->now.time_since_epoch();
                                    self->results[id].accepted = self->now;
                                    if (self->scheduler != nullptr)
                                    {
                                        self->scheduler->add_job(known.spec, {}, known.cancelled,
                                                                 self->now);
                                        self->pass();
                                    }
                                });
}

void virtual_site::cancel(core::milliseconds at, const core::job_id& job)
{
    this->inner->events.emplace(core::instant_at(at),
                                [self = this->inner.get(), job]
                                {
                                    known_job& known = self->jobs.at(job);
                                    job_result& result = self->results[job];
                                    if (result.ended.has_value())
                                    {
                                        return;
                                    }
                                    known.cancelled = true;
                                    known.cancelled_at = self->now;
                                    result.cancelled = true;
                                    if (self->scheduler != nullptr)
                                    {
                                        self->scheduler->cancel_job(job);
                                        self->pass();
                                    }
                                });
}

void virtual_site::cut(core::milliseconds at, int worker, core::milliseconds length)
{
    this->inner->events.emplace(core::instant_at(at),
                                [self = this->inner.get(), worker, length]
                                {
                                    self->disturb(self->now + length);
                                    self->workers[testing::at(worker)].cut_until =
                                        self->now + length;
                                });
}

void virtual_site::reboot(core::milliseconds at, int worker)
{
    this->inner->events.emplace(core::instant_at(at),
                                [self = this->inner.get(), worker]
                                {
                                    self->disturb(self->now);
                                    self->reboot(testing::at(worker));
                                });
}

void virtual_site::restart_agent(core::milliseconds at, int worker)
{
    this->inner->events.emplace(core::instant_at(at),
                                [self = this->inner.get(), worker]
                                {
                                    virtual_worker& one = self->workers[testing::at(worker)];
                                    self->disturb(self->now);
                                    ++one.agent_life;
                                    one.table = std::make_unique<batch::run_table>();
                                    one.lease = batch::worker_lease(self->shape.lease);
                                    one.lists_valid = false;
                                    one.noted = 0;
                                    one.knows_unwritten = false;
                                    one.earlier_unwritten = false;
                                    one.informed = false;
                                    self->look(testing::at(worker));
                                });
}

void virtual_site::replace_leader(core::milliseconds at, core::milliseconds gap)
{
    this->inner->events.emplace(core::instant_at(at),
                                [self = this->inner.get(), gap]
                                {
                                    const std::uint64_t next = self->epoch + 1;
                                    self->epoch = next;
                                    self->disturb(self->now + gap);
                                    self->scheduler.reset();
                                    self->after(gap,
                                                [self, next]
                                                {
                                                    // Unless yet another has taken over by then.
                                                    if (self->epoch == next)
                                                    {
                                                        self->begin_lead(next);
                                                    }
                                                });
                                });
}

void virtual_site::fail_all(core::milliseconds at, int worker, core::milliseconds length)
{
    this->inner->events.emplace(core::instant_at(at),
                                [self = this->inner.get(), worker, length]
                                {
                                    self->disturb(self->now + length);
                                    self->workers[testing::at(worker)].fails_until =
                                        self->now + length;
                                });
}

void virtual_site::hang(core::milliseconds at, int worker, core::milliseconds length)
{
    this->inner->events.emplace(core::instant_at(at),
                                [self = this->inner.get(), worker, length]
                                {
                                    self->disturb(self->now + length);
                                    self->workers[testing::at(worker)].hangs_until =
                                        self->now + length;
                                });
}

void virtual_site::delay_starts(core::milliseconds at, double share, core::milliseconds length)
{
    this->inner->events.emplace(core::instant_at(at),
                                [self = this->inner.get(), share, length]
                                {
                                    self->disturb(self->now + length);
                                    self->delay_share = share;
                                    self->delay_until = self->now + length;
                                });
}

void virtual_site::drain(core::milliseconds at, int worker)
{
    this->inner->events.emplace(core::instant_at(at),
                                [self = this->inner.get(), worker]
                                {
                                    self->workers[testing::at(worker)].info.draining = true;
                                    self->report_soon(testing::at(worker));
                                });
}

void virtual_site::evacuate(core::milliseconds at, const std::string& zone,
                            core::milliseconds notice)
{
    this->inner->events.emplace(core::instant_at(at),
                                [self = this->inner.get(), zone, notice]
                                {
                                    self->evacuations[core::zone_id(zone)] = self->now;
                                    self->after(notice, [self] { self->read_requests(); });
                                });
}

void virtual_site::restore(core::milliseconds at, const std::string& zone)
{
    this->inner->events.emplace(core::instant_at(at),
                                [self = this->inner.get(), zone]
                                {
                                    self->evacuations.erase(core::zone_id(zone));
                                    self->after(milliseconds{10},
                                                [self] { self->read_requests(); });
                                });
}

int virtual_site::starts_in_evacuated_zones() const
{
    return this->inner->evacuated_starts;
}

void virtual_site::store_out(core::milliseconds at, core::milliseconds length)
{
    this->inner->events.emplace(core::instant_at(at),
                                [self = this->inner.get(), length]
                                {
                                    self->disturb(self->now + length);
                                    self->out_since = self->now;
                                    self->out_until = self->now + length;
                                });
}

void virtual_site::play(core::milliseconds until)
{
    this->inner->play(until);
}

const std::vector<std::string>& virtual_site::violations() const
{
    return this->inner->violations;
}

const std::map<core::job_id, job_result>& virtual_site::results() const
{
    return this->inner->results;
}

double virtual_site::wasted() const
{
    return this->inner->waste;
}

double virtual_site::waited_in_vain() const
{
    return this->inner->waited;
}

const std::map<std::string, double>& virtual_site::thrown_away() const
{
    return this->inner->thrown_away;
}

const std::vector<batch::decision_record>& virtual_site::records() const
{
    return this->inner->records;
}

int virtual_site::decisions(const std::string& event) const
{
    const auto found = this->inner->decision_counts.find(event);
    return found == this->inner->decision_counts.end() ? 0 : found->second;
}

core::instant virtual_site::now() const
{
    return this->inner->now;
}

std::mt19937& virtual_site::random()
{
    return this->inner->random;
}

batch::job_spec one_step_job(const std::string& id, const std::string& organisation,
                             const batch::queue_policy& queue, batch::step_spec step)
{
    batch::job_spec job;
    job.id = core::job_id(id);
    job.organisation = core::organisation_id(organisation);
    job.policy = queue;
    job.payload = "payload of " + id;
    job.steps.push_back(std::move(step));
    return job;
}

} // namespace chicorylift::testing
