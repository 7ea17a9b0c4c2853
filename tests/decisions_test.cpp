#include "chicorylift/core/error.hpp"
#include "chicorylift/core/registry.hpp"
#include "chicorylift/sched/cell_scheduler.hpp"
#include "support/golden.hpp"
#include "support/session.hpp"

#include <doctest/doctest.h>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <random>
#include <set>

/// Scheduler tests in virtual time: scripted sessions compared with golden files, and randomised
/// sessions that check the scheduler's invariants.
namespace
{

using namespace chicorylift;
using testing::compare_golden;
using testing::play_session;

TEST_CASE("decisions of a scripted session differ from its golden file")
{
    for (const auto& file : std::filesystem::directory_iterator(CHICORYLIFT_SESSIONS))
    {
        std::ifstream stream(file.path());
        const std::string script{std::istreambuf_iterator<char>(stream), {}};
        const std::string transcript = play_session(script);
        CAPTURE(file.path().stem().string());
        CHECK(transcript.find("BROKEN") == std::string::npos);
        CHECK(compare_golden("decision-" + file.path().stem().string(), transcript) == "");
    }
}

/// Feeds a scheduler random events and carries out its decisions as a real cell would.
class random_cell
{
public:
    random_cell(std::uint32_t seed, const std::string& policy)
        : random(seed), chosen(*core::registry<sched::scheduling_policy>::instance().find(policy)),
          scheduler(this->chosen)
    {
        for (int index = 0; index < worker_count; ++index)
        {
            this->join(index);
        }
        this->config.weighting = policy;
        const core::resources press{4, 4, 4};
        const core::resources large{8, 8, 8};
        this->config.organisations = {{core::organisation_id("press"),
                                       {{"proof", 3, press, quota::topology_level::rack},
                                        {"large", 2, large, quota::topology_level::zone}},
                                       {1000, 1000, 1000},
                                       0},
                                      {core::organisation_id("tags"),
                                       {{"night", 1, large, quota::topology_level::worker}},
                                       {1000, 1000, 1000},
                                       0},
                                      {core::organisation_id("guest"), {}, {1000, 1000, 1000}, 0}};
        this->scheduler.apply_config(this->config, this->chosen);
    }

    /// Applies one random event.
    /// @return the violated invariant, or "".
    std::string step()
    {
        this->now += core::milliseconds{this->pick(20'000)};
        switch (this->pick(10))
        {
        case 0:
            this->scheduler.worker_lost(this->worker(this->pick(worker_count)));
            break;
        case 1:
            this->join(this->pick(worker_count));
            break;
        case 2:
            this->with_random_job(this->placed, [this](const core::job_id& id) { this->end(id); });
            break;
        case 3:
            this->with_random_job(this->known,
                                  [this](const core::job_id& id) { this->scheduler.cancel(id); });
            break;
        case 4:
            this->with_random_job(this->stopping,
                                  [this](const core::job_id& id) { this->stop(id); });
            break;
        default:
            this->submit();
        }
        return this->run_pass();
    }

    /// Brings all workers back, completes all pending stops, and then requests every guaranteed
    /// shape of each organisation that uses nothing.
    /// @return the violated invariant or the shape that was not reclaimed, or "".
    std::string reclaim_everything()
    {
        for (int index = 0; index < worker_count; ++index)
        {
            this->join(index);
        }
        for (int round = 0; round < 50; ++round)
        {
            const std::set<core::job_id> now_stopping = this->stopping;
            for (const core::job_id& id : now_stopping)
            {
                this->stop(id);
            }
            std::string violation = this->run_pass();
            if (!violation.empty())
            {
                return violation;
            }
        }
        for (const quota::organisation_quota& owner : this->config.organisations)
        {
            const bool idle = this->scheduler.used_accelerators(owner.organisation) == 0;
            const bool all_placed = this->scheduler.shortfalls().empty();
            for (const quota::resolved_shape& shape : owner.guarantees)
            {
                std::string missing =
                    idle && all_placed ? this->reclaim(owner.organisation, shape) : "";
                if (!missing.empty())
                {
                    return missing;
                }
            }
        }
        return "";
    }

private:
    static constexpr int worker_count = 9;

    int pick(int below) { return std::uniform_int_distribution<int>(0, below - 1)(this->random); }

    static core::worker_id worker(int index)
    {
        return core::worker_id("w" + std::to_string(index));
    }

    void join(int index)
    {
        this->scheduler.worker_joined(
            {worker(index), core::rack_id("r" + std::to_string(index / 3)), {8, 32, 128}});
    }

    template <class Action>
    void with_random_job(const std::set<core::job_id>& from, Action action)
    {
        if (!from.empty())
        {
            auto chosen_job = from.begin();
            std::advance(chosen_job, this->pick(static_cast<int>(from.size())));
            action(core::job_id(*chosen_job));
        }
    }

    void submit()
    {
        static const std::vector<std::string> owners{"press", "tags", "guest"};
        sched::job_spec spec;
        spec.id = core::job_id("j" + std::to_string(++this->submitted));
        spec.organisation = core::organisation_id(owners[static_cast<std::size_t>(this->pick(3))]);
        spec.kind = "k" + std::to_string(this->pick(3));
        spec.priority = static_cast<sched::priority_class>(this->pick(3));
        spec.tasks = 1 + this->pick(4);
        const std::int64_t each = 1 + this->pick(8);
        spec.per_task = {each, each, each};
        spec.within = static_cast<quota::topology_level>(this->pick(3));
        spec.idempotent = this->pick(2) == 0;
        spec.checkpointable = this->pick(2) == 0;
        spec.declared_run_time = core::milliseconds{1000 + this->pick(600'000)};
        this->known.insert(spec.id);
        this->scheduler.submit(spec, this->now);
    }

    void end(const core::job_id& id)
    {
        this->placed.erase(id);
        this->scheduler.job_finished(id, sched::job_outcome::succeeded, std::nullopt, this->now);
    }

    void stop(const core::job_id& id)
    {
        this->stopping.erase(id);
        this->scheduler.job_stopped(id, this->now);
    }

    std::string run_pass()
    {
        for (const sched::decision& step : this->scheduler.decide(this->now))
        {
            if (step.kind == sched::decision_kind::start)
            {
                this->placed.insert(step.job);
                this->scheduler.job_started(step.job, this->now);
            }
            else if (step.kind == sched::decision_kind::stop)
            {
                this->placed.erase(step.job);
                this->stopping.insert(step.job);
            }
        }
        const absl::Status invariants = this->scheduler.check_invariants();
        return invariants.ok() ? "" : std::string(invariants.message());
    }

    std::string reclaim(const core::organisation_id& owner, const quota::resolved_shape& shape)
    {
        sched::job_spec spec;
        spec.id = core::job_id("claim-" + owner.str() + "-" + shape.name);
        spec.organisation = owner;
        spec.kind = "claim";
        spec.priority = sched::priority_class::urgent;
        spec.tasks = shape.tasks;
        spec.per_task = shape.per_task;
        spec.within = shape.within;
        spec.declared_run_time = core::milliseconds{1000};
        this->scheduler.submit(spec, this->now);
        const std::string violation = this->run_pass();
        const auto explained = this->scheduler.explain(spec.id, this->now);
        const bool reclaimed =
            explained.has_value() && explained->phase != sched::job_phase::queued;
        return !violation.empty() ? violation
               : reclaimed        ? ""
                                  : "shape " + shape.name + " of " + owner.str() + " not reclaimed";
    }

    std::minstd_rand random;
    const sched::scheduling_policy& chosen;
    sched::cell_scheduler scheduler;
    quota::resolved_config config;
    core::instant now{};
    int submitted = 0;
    std::set<core::job_id> known;
    std::set<core::job_id> placed;
    std::set<core::job_id> stopping;
};

TEST_CASE("a guaranteed shape cannot be reclaimed after random events")
{
    constexpr std::uint32_t sessions = 150;
    constexpr int events = 200;
    for (const std::string policy : {"completion", "fragmentation"})
    {
        for (std::uint32_t seed = 1; seed <= sessions; ++seed)
        {
            random_cell cell(seed, policy);
            std::string violation;
            for (int event = 0; event < events && violation.empty(); ++event)
            {
                violation = cell.step();
            }
            violation = violation.empty() ? cell.reclaim_everything() : violation;
            INFO(policy, " seed ", seed);
            CHECK(violation == "");
        }
    }
}

} // namespace
