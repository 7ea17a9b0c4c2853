#include "cell_state.hpp"
#include "chicorylift/core/error.hpp"

#include <algorithm>
#include <limits>

/// Sets concrete room aside for each guaranteed shape.
namespace chicorylift::sched
{

namespace
{

struct shape_ref
{
    organisation_index organisation{};
    std::size_t index{};
};

guarantee_placement& footprint_at(cell_state& cell, const shape_ref& ref)
{
    return cell.organisations[ref.organisation].guarantee_placements[ref.index];
}

/// @return room for further footprints of the organisation, clear of others' firm work.
core::resources footprint_room(const worker_state& worker, organisation_index organisation)
{
    const organisation_allocation own = allocation_or_empty(worker, organisation);
    const core::resources held = core::elementwise_max(own.non_preemptible, own.guaranteed);
    return worker.info.capacity - worker.committed + held - own.guaranteed;
}

std::vector<part> find_footprint(const cell_state& cell, organisation_index organisation,
                                 const quota::resolved_shape& shape)
{
    std::vector<part> best;
    std::int64_t least_left = std::numeric_limits<std::int64_t>::max();
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
            const core::resources room = footprint_room(worker, organisation);
            const std::int64_t fit = core::fit_count(shape.per_task, room);
            if (fit > 0)
            {
                fitting.push_back({index, std::min(fit, shape.tasks)});
                total += std::min(fit, shape.tasks);
                left += room.accelerators;
            }
        }
        if (total >= shape.tasks && left < least_left)
        {
            least_left = left;
            best = std::move(fitting);
        }
    };
    for_each_worker_group(cell, shape.within, consider);
    // Whole workers first, so that a shape spreads over as few as possible.
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

void add_footprint(cell_state& cell, organisation_index organisation, guarantee_placement& held,
                   std::vector<part> parts)
{
    held.parts = std::move(parts);
    for (const part& placed : held.parts)
    {
        worker_state& worker = cell.workers[placed.worker];
        find_or_add_allocation(worker, organisation).guaranteed +=
            held.shape.per_task * placed.tasks;
        recompute_committed(worker);
    }
}

bool still_valid(const cell_state& cell, const guarantee_placement& held)
{
    return !held.parts.empty() && std::all_of(held.parts.begin(), held.parts.end(),
                                              [&cell](const part& placed)
                                              {
                                                  const worker_state& worker =
                                                      cell.workers[placed.worker];
                                                  return worker.present && !worker.draining;
                                              });
}

/// @return the shapes that need a footprint; those hardest to place come first.
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
        guarantee_placement& held = footprint_at(cell, ref);
        if (!held.parts.empty())
        {
            continue;
        }
        std::vector<part> parts = find_footprint(cell, ref.organisation, held.shape);
        if (parts.empty())
        {
            held.unplaced_since = held.unplaced_since.value_or(now);
            ++missing;
            continue;
        }
        add_footprint(cell, ref.organisation, held, std::move(parts));
        held.unplaced_since.reset();
    }
    return missing;
}

/// Places all footprints anew; keeps the former ones if that leaves as many without.
void place_anew(cell_state& cell, const std::vector<shape_ref>& order, std::size_t missing_before,
                core::instant now)
{
    std::vector<std::vector<part>> former;
    std::vector<std::optional<core::instant>> former_short;
    for (const shape_ref& ref : order)
    {
        guarantee_placement& held = footprint_at(cell, ref);
        former.push_back(held.parts);
        former_short.push_back(held.unplaced_since);
        clear_guarantee_placement(cell, ref.organisation, held);
    }
    if (place_missing(cell, order, now) < missing_before)
    {
        return;
    }
    for (const shape_ref& ref : order)
    {
        clear_guarantee_placement(cell, ref.organisation, footprint_at(cell, ref));
    }
    for (std::size_t index = 0; index < order.size(); ++index)
    {
        guarantee_placement& held = footprint_at(cell, order[index]);
        add_footprint(cell, order[index].organisation, held, std::move(former[index]));
        held.unplaced_since = former_short[index];
    }
}

std::string missing_text(const core::organisation_id& organisation,
                         const quota::resolved_shape& shape)
{
    return "organisation \"" + organisation.str() + "\": shape \"" + shape.name + "\" of " +
           std::to_string(shape.tasks) + " tasks with " + core::to_text(shape.per_task) +
           " each within one " + std::string(quota::to_text(shape.within)) +
           " does not fit beside the other guarantees";
}

} // namespace

void clear_guarantee_placement(cell_state& cell, organisation_index organisation,
                               guarantee_placement& held)
{
    for (const part& placed : held.parts)
    {
        worker_state& worker = cell.workers[placed.worker];
        find_or_add_allocation(worker, organisation).guaranteed -=
            held.shape.per_task * placed.tasks;
        recompute_committed(worker);
    }
    held.parts.clear();
}

void place_guarantees(cell_state& cell, core::instant now)
{
    cell.guarantee_placements_dirty = false;
    const std::vector<shape_ref> order = shapes_by_difficulty(cell);
    for (const shape_ref& ref : order)
    {
        guarantee_placement& held = footprint_at(cell, ref);
        if (!still_valid(cell, held))
        {
            clear_guarantee_placement(cell, ref.organisation, held);
        }
    }
    const std::size_t missing = place_missing(cell, order, now);
    if (missing > 0)
    {
        place_anew(cell, order, missing, now);
    }
}

absl::Status check_placeable(const quota::resolved_config& terms,
                             const std::vector<worker_info>& workers)
{
    static constexpr scheduling_policy any_policy{.name = "",
                                                  .description = "",
                                                  .queue_key = {},
                                                  .worker_key = {},
                                                  .may_reserve = {},
                                                  .may_consolidate = {}};
    cell_scheduler empty(any_policy);
    for (const worker_info& worker : workers)
    {
        empty.worker_joined(worker);
    }
    empty.apply_config(terms, any_policy);
    static_cast<void>(empty.decide(core::instant{}));
    const std::vector<guarantee_shortfall> missing = empty.shortfalls();
    if (missing.empty())
    {
        return absl::OkStatus();
    }
    for (const quota::organisation_quota& owner : terms.organisations)
    {
        for (const quota::resolved_shape& shape : owner.guarantees)
        {
            if (owner.organisation == missing.front().organisation &&
                shape.name == missing.front().shape)
            {
                return core::make_error(core::error_kind::guarantee_unplaceable,
                                        missing_text(owner.organisation, shape));
            }
        }
    }
    return core::make_error(core::error_kind::guarantee_unplaceable,
                            "shape \"" + missing.front().shape + "\" does not fit");
}

} // namespace chicorylift::sched
