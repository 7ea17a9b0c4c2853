#pragma once

#include "chicorylift/batch/run_table.hpp"
#include "chicorylift/batch/scheduler.hpp"
#include "chicorylift/batch/worker_lease.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

/// The shipped scheduler and agents' tables over pretended workers, in virtual time.
namespace chicorylift::testing
{

/// Workers of a virtual site.
struct site_shape
{
    int racks = 4;
    int workers_a_rack = 3;
    batch::resource_amount capacity{32000, 131072, 8};
    core::milliseconds lease{5000};
    core::milliseconds checkpoint_interval{500};
    core::milliseconds stop_time{300};
    core::milliseconds gang_patience{3000};
    /// A worker lists this many ends at a time.
    std::size_t max_listed_ends = 500;
    /// Time until a write is answered.
    core::milliseconds write_time{6};
    double remote_factor = 3;
    /// The racks are spread over this many availability zones, named "zone0" and so on.
    int zones = 1;
    batch::placement_weights weights;
    /// Speed of each worker; 1 for those beyond its end. A gang's members go at the slowest's.
    std::vector<double> speeds;
    bool learn_run_times = false;
    bool order_by_value = false;
    bool fair_shares = false;
    /// Agents confirm before work is started without writing where; off to show what that is for.
    bool guarded_takeover = true;
    bool keep_whole_workers = false;
};

/// What is true of a job, as against what is declared.
struct job_truth
{
    /// Duration of a unit of each step near its data.
    std::vector<core::milliseconds> durations;
    /// Every run of the job fails.
    bool poison = false;
    /// Units of the first step that take `tail_factor` times as long.
    std::set<std::int64_t> tail_units = {};
    double tail_factor = 7;
};

/// What became of a job.
struct job_result
{
    core::instant accepted{};
    std::optional<core::instant> first_start;
    std::optional<core::instant> all_started;
    std::optional<core::instant> ended;
    bool completed = false;
    bool failed = false;
    bool cancelled = false;
};

/// One site in virtual time; every run with the same seed and calls is the same.
class virtual_site
{
public:
    explicit virtual_site(std::uint32_t seed, site_shape shape = {});
    ~virtual_site();
    virtual_site(const virtual_site&) = delete;
    virtual_site& operator=(const virtual_site&) = delete;

    void set_terms(std::map<batch::queue_id, batch::queue_policy> queues,
                   std::map<core::organisation_id, std::int64_t> guaranteed);
    void submit(core::milliseconds at, batch::job_spec job, job_truth truth);
    void cancel(core::milliseconds at, const core::job_id& job);
    /// Nothing passes between an agent and the lead.
    void cut(core::milliseconds at, int worker, core::milliseconds length);
    /// The worker forgets everything and begins a new life.
    void reboot(core::milliseconds at, int worker);
    /// The agent's process begins anew; the worker goes on.
    void restart_agent(core::milliseconds at, int worker);
    /// Another lead takes over from what is written.
    void replace_leader(core::milliseconds at, core::milliseconds gap);
    /// All that starts on the worker fails.
    void fail_all(core::milliseconds at, int worker, core::milliseconds length);
    /// All that runs on the worker stands still.
    void hang(core::milliseconds at, int worker, core::milliseconds length);
    /// A share of the starts gets no answer and is carried out seconds later.
    void delay_starts(core::milliseconds at, double share, core::milliseconds length);
    void drain(core::milliseconds at, int worker);
    /// Operators request the evacuation of a zone; leaders learn of it after @p notice.
    void evacuate(core::milliseconds at, const std::string& zone,
                  core::milliseconds notice = core::milliseconds{10});
    /// Operators withdraw the request.
    void restore(core::milliseconds at, const std::string& zone);
    /// Nothing can be written.
    void store_out(core::milliseconds at, core::milliseconds length);

    /// Plays until the moment @p until.
    void play(core::milliseconds until);

    /// @return what has been broken, one line each.
    [[nodiscard]] const std::vector<std::string>& violations() const;
    [[nodiscard]] const std::map<core::job_id, job_result>& results() const;
    /// @return accelerator-seconds of work that was thrown away.
    [[nodiscard]] double wasted() const;
    /// @return core-seconds for which members of gangs that never began waited for the others.
    [[nodiscard]] double waited_in_vain() const;
    /// @return core-seconds that the leaders reported as thrown away, by reason.
    [[nodiscard]] const std::map<std::string, double>& thrown_away() const;
    /// @return all decisions so far.
    [[nodiscard]] const std::vector<batch::decision_record>& records() const;
    /// @return decisions of the kind so far.
    [[nodiscard]] int decisions(const std::string& event) const;
    /// @return starts in zones that were being evacuated.
    [[nodiscard]] int starts_in_evacuated_zones() const;
    [[nodiscard]] core::instant now() const;
    [[nodiscard]] std::mt19937& random();

private:
    struct implementation;
    std::unique_ptr<implementation> inner;
};

/// @return a job with one step.
[[nodiscard]] batch::job_spec one_step_job(const std::string& id, const std::string& organisation,
                                           const batch::queue_policy& queue, batch::step_spec step);

} // namespace chicorylift::testing
