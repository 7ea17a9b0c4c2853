#pragma once

#include "chicorylift/batch/scheduler.hpp"

#include <vector>

/// Packing of units on workers, so that workers stay or become whole for units that need a whole
/// worker. Answers load of gangs of whole workers beside many small units.
namespace chicorylift::batch
{

struct candidate_worker;

/// @return whether a unit that requests so much leaves no accelerator of the worker to others.
[[nodiscard]] bool needs_whole_worker(const resource_amount& request,
                                      const resource_amount& capacity) noexcept;

/// @return the share of the scarcest of the requested resources that one more unit leaves free;
///         0 if the unit takes all that is left.
[[nodiscard]] double looseness(const resource_amount& request,
                               const resource_amount& free) noexcept;

/// @return by how many quarters of its run time a unit keeps a worker in use for longer than the
///         runs that it has: 0 to 4. Quarters, since run times are known no better.
[[nodiscard]] std::int64_t added_quarters(core::milliseconds run_time,
                                          core::milliseconds busy_for) noexcept;

/// Fragmentation that the placement of a gang would leave; compared member by member.
struct rack_fragmentation
{
    /// Whole workers of which the gang uses only some accelerators.
    std::int64_t broken_workers{};
    /// Whole workers that the gang does not use. Of racks that serve the gang alike, one with few
    /// of them is used, since a large gang needs all its workers in one rack.
    std::int64_t whole_workers{};

    friend auto operator<=>(const rack_fragmentation&, const rack_fragmentation&) = default;
};

/// @param workers workers of one rack.
[[nodiscard]] rack_fragmentation fragmentation_after(const resource_amount& request,
                                                     const std::vector<candidate_worker>& workers,
                                                     const std::vector<agent_id>& used);

/// Demand lately seen for units that need a whole worker, as a count that decays by half in 5 s.
class whole_worker_demand
{
public:
    void record(std::int64_t units, core::instant now);
    /// @return the number of workers to keep whole; at most a quarter of @p workers.
    [[nodiscard]] std::int64_t workers_to_keep(std::int64_t workers, core::instant now) const;

private:
    [[nodiscard]] double count_at(core::instant now) const;

    double count{};
    core::instant counted_at{};
};

/// Removes the whole workers that are kept, of those in racks with the most whole workers first.
void remove_kept_workers(std::vector<candidate_worker>& candidates, std::int64_t kept);

} // namespace chicorylift::batch
