#include "batch/worker_speeds.hpp"

#include <algorithm>
#include <cmath>
#include <optional>
#include <set>

namespace chicorylift::batch
{

namespace
{

// Memory: references of this many steps and queues, each of this many samples.
constexpr std::size_t max_steps = 256;
constexpr std::size_t max_queues = 2048;
constexpr std::size_t max_step_references = 48;
constexpr std::size_t max_queue_references = 96;
constexpr std::size_t max_workers = 4096;
// A comparison needs samples of this many other workers, and of this many runs in all. The median
// of runs of three workers withstands one run of the tail.
constexpr std::size_t min_step_workers = 3;
constexpr double min_step_runs = 0.75;
constexpr std::size_t min_queue_workers = 4;
constexpr double min_queue_runs = 8;
// Units of one step do about the same work. Units of one queue differ by the error of their
// declared times, a factor of about 1.6 (a logarithm of 0.5), so that sixteen of them are needed
// where four of one step are.
constexpr double queue_sample_weight = 0.25;
// A speed counts from this weight on: the standard error of the median of sixteen samples with a
// deviation of 0.5 is 0.16, so that a typical worker seems slow by chance in about 1 % of cases.
constexpr double min_weight = 4;
// Older samples are dropped beyond this weight: after half of it in new samples, a worker that was
// slow for a while counts as typical again.
constexpr double max_weight = 12;
constexpr std::size_t max_samples = 256;
// A speed differs clearly from 1 when it is below 0.7 or above 1/0.7. That lies half way (by
// ratio) between typical workers and those that take 2.2 times as long; a worker that is 30 %
// slower costs less than the room that a worse placement fragments.
const double enter_difference = -std::log(0.7);
// A worker whose speed counts as different does so until it is within this, so that an estimate
// near the limit does not move work to and fro.
const double leave_difference = -std::log(0.8);
// Workers of one service differ by a factor of about two; an estimate far beyond that comes from
// few runs of the tail, and is used as this factor.
const double max_difference = std::log(4.0);
// The typical speed of a service needs this many workers with a known speed.
constexpr std::size_t min_known_workers = 3;

/// Value and weight.
using weighted = std::pair<double, double>;

/// @return the weighted median; at least one value is needed.
double median_of(std::vector<weighted> values)
{
    std::sort(values.begin(), values.end());
    double total = 0;
    for (const weighted& each : values)
    {
        total += each.second;
    }
    double below = 0;
    for (const auto& [value, weight] : values)
    {
        below += weight;
        if (2 * below >= total)
        {
            return value;
        }
    }
    return values.back().first;
}

/// Drops the entry that was not used for longest.
template <typename Map>
void evict_one(Map& entries)
{
    entries.erase(std::min_element(entries.begin(), entries.end(),
                                   [](const auto& left, const auto& right)
                                   { return left.second.used < right.second.used; }));
}

} // namespace

void worker_speeds::record(const run_kind& kind, const agent_id& worker, double ratio, double share)
{
    if (!this->workers.contains(worker) && this->workers.size() >= max_workers)
    {
        return;
    }
    worker_entry& entry = this->workers[worker];
    if (entry.number == 0)
    {
        entry.number = ++this->next_number;
    }
    if (entry.service != kind.service)
    {
        const std::uint32_t number = entry.number;
        entry = {};
        entry.number = number;
        entry.service = kind.service;
    }
    const double log_ratio = std::log(ratio);
    // A worker is compared with others only: alone in a step it would always seem typical.
    const auto reference_of = [&entry](const references& list, std::size_t min_workers,
                                       double min_runs) -> std::optional<double>
    {
        std::vector<weighted> values;
        std::set<std::uint32_t> seen;
        double runs = 0;
        for (const reference& each : list.newest)
        {
            if (each.worker != entry.number)
            {
                // By share: a single run of the tail reports progress many times.
                values.emplace_back(each.log_ratio, each.share);
                seen.insert(each.worker);
                runs += each.share;
            }
        }
        return runs < min_runs || seen.size() < min_workers
                   ? std::nullopt
                   : std::optional(median_of(std::move(values)));
    };
    const auto use = [this](auto& entries, const auto& key, std::size_t max_count) -> references&
    {
        if (!entries.contains(key) && entries.size() >= max_count)
        {
            evict_one(entries);
        }
        references& list = entries[key];
        list.used = ++this->uses;
        return list;
    };
    references& queue = use(this->queues, kind.queue, max_queues);
    references* const step = kind.step.empty() ? nullptr : &use(this->steps, kind.step, max_steps);
    const std::optional<double> by_step =
        step == nullptr ? std::nullopt : reference_of(*step, min_step_workers, min_step_runs);
    const std::optional<double> by_queue =
        by_step.has_value() ? std::nullopt : reference_of(queue, min_queue_workers, min_queue_runs);
    // Slow workers get other work than fast ones, so references are kept as at normal speed.
    // Otherwise a queue that only slow workers serve would make them look typical.
    const reference added{entry.number, log_ratio + entry.difference, share};
    add_reference(queue, added, max_queue_references);
    if (step != nullptr)
    {
        add_reference(*step, added, max_step_references);
    }
    if (by_step.has_value())
    {
        this->add_sample(entry, {*by_step - log_ratio, share});
    }
    else if (by_queue.has_value())
    {
        this->add_sample(entry, {*by_queue - log_ratio, share * queue_sample_weight});
    }
}

void worker_speeds::add_reference(references& list, reference added, std::size_t max_count)
{
    list.newest.push_back(added);
    if (list.newest.size() > max_count)
    {
        list.newest.pop_front();
    }
}

void worker_speeds::add_sample(worker_entry& worker, sample added)
{
    worker.samples.push_back(added);
    worker.weight += added.weight;
    while (worker.samples.size() > max_samples ||
           worker.weight - worker.samples.front().weight >= max_weight)
    {
        worker.weight -= worker.samples.front().weight;
        worker.samples.pop_front();
    }
    std::vector<weighted> values;
    for (const sample& each : worker.samples)
    {
        values.emplace_back(each.log_speed, each.weight);
    }
    worker.log_speed = median_of(std::move(values));
    this->update_reported(worker);
}

void worker_speeds::update_reported(worker_entry& worker)
{
    std::vector<weighted> known;
    for (const auto& [agent, other] : this->workers)
    {
        if (other.service == worker.service && other.weight >= min_weight)
        {
            known.emplace_back(other.log_speed, 1);
        }
    }
    if (worker.weight < min_weight || known.size() < min_known_workers)
    {
        worker.difference = 0;
        worker.reported = 0;
        return;
    }
    worker.difference =
        std::clamp(worker.log_speed - median_of(std::move(known)), -max_difference, max_difference);
    const double limit = worker.reported == 0 ? enter_difference : leave_difference;
    worker.reported = std::abs(worker.difference) >= limit ? worker.difference : 0;
}

void worker_speeds::reset(const agent_id& worker)
{
    const auto found = this->workers.find(worker);
    if (found == this->workers.end())
    {
        return;
    }
    const std::uint32_t number = found->second.number;
    const core::service_id service = found->second.service;
    found->second = {};
    found->second.number = number;
    found->second.service = service;
}

double worker_speeds::speed_of(const agent_id& worker) const
{
    const auto found = this->workers.find(worker);
    return found == this->workers.end() || found->second.reported == 0
               ? 1
               : std::exp(found->second.reported);
}

} // namespace chicorylift::batch
