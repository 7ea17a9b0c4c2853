#include "cell_state.hpp"
#include "chicorylift/core/error.hpp"

#include <algorithm>
#include <limits>

/// Reserves worker capacity for each guaranteed shape.
namespace chicorylift::sched
{

namespace
{

struct shape_ref
{
    organisation_index organisation{};
    std::size_t index{};
};

guarantee_placement& placement_at(cell_state& cell, const shape_ref& ref)
{
    return cell.organisations[ref.organisation].guarantee_placements[ref.index];
}

/// @return resources on the worker that can still be reserved for the organisation: those neither
/// guaranteed to others nor used by others' non-preemptible jobs.
core::resources reservable_capacity(const worker_state& worker, organisation_index organisation)
{
    const organisation_allocation own = allocation_or_empty(worker, organisation);
    const core::resources own_committed =
        core::elementwise_max(own.non_preemptible, own.guaranteed);
    return worker.info.capacity - worker.committed + own_committed - own.guaranteed;
}

std::vector<part> find_guarantee_placement(const cell_state& cell, organisation_index organisation,
                                           const quota::resolved_shape& shape)
{
    std::vector<part> best;
    std::int64_t least_free = std::numeric_limits<std::int64_t>::max();
    const auto consider = [&](const std::vector<worker_index>& group)
    {
        std::vector<part> fitting;
        std::int64_t left = 0;
        std::int64_t total = 0;
        for (const worker_index index : group)
        {
            const worker_state& worker = cell.workers[index];
            if (!worker.present || worker.draining)
            {
                continue;
            }
            const core::resources reservable = reservable_capacity(worker, organisation);
            const std::int64_t fit = core::fit_count(shape.per_task, reservable);
            if (fit > 0)
            {
                fitting.push_back({index, std::min(fit, shape.tasks)});
                total += std::min(fit, shape.tasks);
                left += reservable.accelerators;
            }
        }
        if (total >= shape.tasks && left < least_free)
        {
            least_free = left;
            best = std::move(fitting);
        }
    };
    for_each_worker_group(cell, shape.within, consider);
    // Use the workers with the most fitting tasks first, so that the shape spans few workers.
    std::stable_sort(best.begin(), best.end(),
                     [](const part& left, const part& right) { return left.tasks > right.tasks; });
    std::int64_t missing = best.empty() ? 0 : shape.tasks;
    std::erase_if(best,
                  [&missing](part& chosen)
                  {
                      chosen.tasks = std::min(chosen.tasks, missing);
                      missing -= chosen.tasks;
                      return chosen.tasks == 0;
                  });
    return best;
}

void set_guarantee_placement(cell_state& cell, organisation_index organisation,
                             guarantee_placement& placement, std::vector<part> parts)
{
    placement.parts = std::move(parts);
    for (const part& placed : placement.parts)
    {
        worker_state& worker = cell.workers[placed.worker];
        find_or_add_allocation(worker, organisation).guaranteed +=
            placement.shape.per_task * placed.tasks;
        recompute_committed(worker);
    }
}

bool is_valid(const cell_state& cell, const guarantee_placement& placement)
{
    return !placement.parts.empty() && std::all_of(placement.parts.begin(), placement.parts.end(),
                                                   [&cell](const part& placed)
                                                   {
                                                       const worker_state& worker =
                                                           cell.workers[placed.worker];
                                                       return worker.present && !worker.draining;
                                                   });
}

/// @return all guaranteed shapes, hardest to place first: narrowest topology level, then most
/// accelerators.
std::vector<shape_ref> shapes_by_difficulty(const cell_state& cell)
{
    std::vector<shape_ref> order;
    for (organisation_index owner = 0; owner < cell.organisations.size(); ++owner)
    {
        for (std::size_t index = 0; index < cell.organisations[owner].guarantee_placements.size();
             ++index)
        {
            order.push_back({owner, index});
        }
    }
    const auto shape = [&cell](const shape_ref& ref) -> const quota::resolved_shape&
    { return cell.organisations[ref.organisation].guarantee_placements[ref.index].shape; };
    std::stable_sort(order.begin(), order.end(),
                     [&shape](const shape_ref& left, const shape_ref& right)
                     {
                         const quota::resolved_shape& one = shape(left);
                         const quota::resolved_shape& other = shape(right);
                         if (one.within != other.within)
                         {
                             return one.within < other.within;
                         }
                         return one.per_task.accelerators * one.tasks >
                                other.per_task.accelerators * other.tasks;
                     });
    return order;
}

std::size_t place_missing(cell_state& cell, const std::vector<shape_ref>& order, core::instant now)
{
    std::size_t missing = 0;
    for (const shape_ref& ref : order)
    {
        guarantee_placement& placement = placement_at(cell, ref);
        if (!placement.parts.empty())
        {
            continue;
        }
        std::vector<part> parts = find_guarantee_placement(cell, ref.organisation, placement.shape);
        if (parts.empty())
        {
            placement.unplaced_since = placement.unplaced_since.value_or(now);
            ++missing;
            continue;
        }
        set_guarantee_placement(cell, ref.organisation, placement, std::move(parts));
        placement.unplaced_since.reset();
    }
    return missing;
}

/// Places all shapes again from scratch; restores the previous placements unless fewer shapes are
/// left without one.
void rebuild_placements(cell_state& cell, const std::vector<shape_ref>& order,
                        std::size_t missing_before, core::instant now)
{
    std::vector<std::vector<part>> previous_parts;
    std::vector<std::optional<core::instant>> previous_unplaced_since;
    for (const shape_ref& ref : order)
    {
        guarantee_placement& placement = placement_at(cell, ref);
        previous_parts.push_back(placement.parts);
        previous_unplaced_since.push_back(placement.unplaced_since);
        clear_guarantee_placement(cell, ref.organisation, placement);
    }
    if (place_missing(cell, order, now) < missing_before)
    {
        return;
    }
    for (const shape_ref& ref : order)
    {
        clear_guarantee_placement(cell, ref.organisation, placement_at(cell, ref));
    }
    for (std::size_t index = 0; index < order.size(); ++index)
    {
        guarantee_placement& placement = placement_at(cell, order[index]);
        set_guarantee_placement(cell, order[index].organisation, placement,
                                std::move(previous_parts[index]));
        placement.unplaced_since = previous_unplaced_since[index];
    }
}

std::string unplaceable_message(const core::organisation_id& organisation,
                                const quota::resolved_shape& shape)
{
    return "organisation \"" + organisation.str() + "\": shape \"" + shape.name + "\" of " +
           std::to_string(shape.tasks) + " tasks with " + core::to_text(shape.per_task) +
           " each within one " + std::string(quota::to_text(shape.within)) +
           " does not fit on the workers together with the other guarantees";
}

} // namespace

void clear_guarantee_placement(cell_state& cell, organisation_index organisation,
                               guarantee_placement& placement)
{
    for (const part& placed : placement.parts)
    {
        worker_state& worker = cell.workers[placed.worker];
        find_or_add_allocation(worker, organisation).guaranteed -=
            placement.shape.per_task * placed.tasks;
        recompute_committed(worker);
    }
    placement.parts.clear();
}

void place_guarantees(cell_state& cell, core::instant now)
{
    cell.guarantee_placements_dirty = false;
    const std::vector<shape_ref> order = shapes_by_difficulty(cell);
    for (const shape_ref& ref : order)
    {
        guarantee_placement& placement = placement_at(cell, ref);
        if (!is_valid(cell, placement))
        {
            clear_guarantee_placement(cell, ref.organisation, placement);
        }
    }
    const std::size_t missing = place_missing(cell, order, now);
    if (missing > 0)
    {
        rebuild_placements(cell, order, missing, now);
    }
}

absl::Status check_placeable(const quota::resolved_config& config,
                             const std::vector<worker_info>& workers)
{
    static constexpr scheduling_policy default_policy{.name = "",
                                                      .description = "",
                                                      .queue_key = {},
                                                      .worker_key = {},
                                                      .may_reserve = {},
                                                      .may_consolidate = {}};
    cell_scheduler empty(default_policy);
    for (const worker_info& worker : workers)
    {
        empty.worker_joined(worker);
    }
    empty.apply_config(config, default_policy);
    static_cast<void>(empty.decide(core::instant{}));
    const std::vector<guarantee_shortfall> missing = empty.shortfalls();
    if (missing.empty())
    {
        return absl::OkStatus();
    }
    for (const quota::organisation_quota& owner : config.organisations)
    {
        for (const quota::resolved_shape& shape : owner.guarantees)
        {
            if (owner.organisation == missing.front().organisation &&
                shape.name == missing.front().shape)
            {
                return core::make_error(core::error_kind::guarantee_unplaceable,
                                        unplaceable_message(owner.organisation, shape));
            }
        }
    }
    return core::make_error(core::error_kind::guarantee_unplaceable,
                            "shape \"" + missing.front().shape + "\" does not fit on the workers");
}

} // namespace chicorylift::sched
