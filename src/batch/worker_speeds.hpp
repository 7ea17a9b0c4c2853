#pragma once

#include "chicorylift/batch/run_time_model.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace chicorylift::batch
{

/// Estimates the speeds of workers relative to the typical worker of their service.
///
/// A sample is the time that a run took for a share of its work, over the declared time. It is
/// compared with other workers' samples of the same step; failing that, of the same queue.
class worker_speeds
{
public:
    /// @param ratio time over declared time of the same share of the work.
    /// @param share the share, up to 1.
    void record(const run_kind& kind, const agent_id& worker, double ratio, double share);
    void reset(const agent_id& worker);
    /// @return see run_time_model::speed_of().
    [[nodiscard]] double speed_of(const agent_id& worker) const;

private:
    /// A sample for comparison, as the worker would have shown it at normal speed.
    struct reference
    {
        std::uint32_t worker{};
        double log_ratio{};
        double share{};
    };
    struct references
    {
        std::deque<reference> newest;
        std::uint64_t used{};
    };
    struct sample
    {
        /// Logarithm of the speed in comparison with the references.
        double log_speed{};
        double weight{};
    };
    struct worker_entry
    {
        std::uint32_t number{};
        core::service_id service;
        std::deque<sample> samples;
        double weight = 0;
        /// Median of the samples; 0 without samples.
        double log_speed = 0;
        /// Logarithm of the speed relative to the service's typical worker; 0 if unknown.
        double difference = 0;
        /// Logarithm of speed_of().
        double reported = 0;
    };

    void add_sample(worker_entry& worker, sample added);
    void update_reported(worker_entry& worker);
    static void add_reference(references& list, reference added, std::size_t max_count);

    std::map<agent_id, worker_entry> workers;
    std::uint32_t next_number = 0;
    std::map<std::string, references> steps;
    std::map<queue_id, references> queues;
    std::uint64_t uses = 0;
};

} // namespace chicorylift::batch
