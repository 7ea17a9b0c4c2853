#include "chicorylift/admit/part_table.hpp"

#include "chicorylift/core/error.hpp"

#include <algorithm>
#include <array>
#include <string>

namespace chicorylift::admit
{

namespace
{

constexpr std::array<std::string_view, 6> phase_names{"reserved", "running",   "stopping",
                                                      "stopped",  "succeeded", "failed"};

std::string describe(const part_key& key)
{
    return "attempt " + std::to_string(key.attempt) + " of job \"" + key.job.str() + "\"";
}

} // namespace

std::string_view to_text(part_phase phase) noexcept
{
    return phase_names[static_cast<std::size_t>(phase)];
}

bool is_final(part_phase phase) noexcept
{
    return phase == part_phase::stopped || phase == part_phase::succeeded ||
           phase == part_phase::failed;
}

void part_table::set_capacity(const core::resources& capacity) noexcept
{
    this->settings.capacity = capacity;
}

absl::Status part_table::accept_epoch(std::int64_t epoch)
{
    if (epoch < this->highest_epoch)
    {
        return core::make_error(core::error_kind::stale_epoch,
                                "epoch " + std::to_string(epoch) +
                                    " is older than the highest epoch seen, " +
                                    std::to_string(this->highest_epoch));
    }
    this->highest_epoch = epoch;
    return absl::OkStatus();
}

absl::Status part_table::reserve(const part_key& key, std::int64_t tasks,
                                 const core::resources& per_task, core::milliseconds run_time,
                                 core::instant now)
{
    const auto known = this->parts.find(key);
    if (known != this->parts.end())
    {
        if (known->second.phase != part_phase::reserved)
        {
            return core::make_error(core::error_kind::conflict,
                                    describe(key) + " is already " +
                                        std::string(to_text(known->second.phase)));
        }
        known->second.expires_at = now + this->settings.reservation_timeout;
        return absl::OkStatus();
    }
    if (!core::fits(this->held_resources() + per_task * tasks, this->settings.capacity))
    {
        return core::make_error(
            core::error_kind::upstream_full,
            describe(key) + " needs " + core::to_text(per_task * tasks) + ", but free are " +
                core::to_text(this->settings.capacity - this->held_resources()));
    }
    this->parts.emplace(key, part_state{.key = key,
                                        .tasks = tasks,
                                        .per_task = per_task,
                                        .run_time = run_time,
                                        .phase = part_phase::reserved,
                                        .since = now,
                                        .expires_at = now + this->settings.reservation_timeout});
    return absl::OkStatus();
}

absl::StatusOr<bool> part_table::start(const part_key& key, core::instant now)
{
    const auto known = this->parts.find(key);
    if (known == this->parts.end())
    {
        return core::make_error(core::error_kind::not_found, describe(key) + " has no reservation");
    }
    part_state& part = known->second;
    if (part.phase == part_phase::reserved && now < part.expires_at)
    {
        part.phase = part_phase::running;
        part.since = now;
        return true;
    }
    if (part.phase == part_phase::running || part.phase == part_phase::succeeded)
    {
        return false;
    }
    return core::make_error(core::error_kind::conflict, describe(key) + " cannot start in phase " +
                                                            std::string(to_text(part.phase)) +
                                                            "; it needs an unexpired reservation");
}

void part_table::adopt(const part_key& key, std::int64_t tasks, const core::resources& per_task,
                       part_phase phase, core::instant now)
{
    this->parts[key] = part_state{.key = key,
                                  .tasks = tasks,
                                  .per_task = per_task,
                                  .run_time = {},
                                  .phase = phase,
                                  .since = now,
                                  .expires_at = now + this->settings.retention};
}

bool part_table::stop(const part_key& key, core::instant now)
{
    const auto known = this->parts.find(key);
    if (known == this->parts.end())
    {
        // Record the attempt as stopped, so that a delayed reserve or start for it is rejected.
        this->adopt(key, 0, {}, part_phase::stopped, now);
        return false;
    }
    part_state& part = known->second;
    if (part.phase == part_phase::reserved)
    {
        this->finish(part, part_phase::stopped, now);
        return false;
    }
    if (part.phase == part_phase::running)
    {
        part.phase = part_phase::stopping;
        return true;
    }
    return part.phase == part_phase::stopping;
}

void part_table::mark_ended(const part_key& key, part_phase final, core::instant now)
{
    const auto known = this->parts.find(key);
    if (known != this->parts.end() && !is_final(known->second.phase))
    {
        this->finish(known->second, final, now);
    }
}

std::vector<part_key> part_table::expire(core::instant now)
{
    std::vector<part_key> expired;
    for (auto& [key, part] : this->parts)
    {
        if (part.phase == part_phase::reserved && part.expires_at <= now)
        {
            this->finish(part, part_phase::stopped, now);
        }
        const core::instant lease_start = std::max(this->last_renewal, part.since);
        if (part.phase == part_phase::running && lease_start + this->settings.lease_timeout <= now)
        {
            part.phase = part_phase::stopping;
            expired.push_back(key);
        }
    }
    std::erase_if(this->parts, [now](const auto& entry)
                  { return is_final(entry.second.phase) && entry.second.expires_at <= now; });
    return expired;
}

const part_state* part_table::find(const part_key& key) const noexcept
{
    const auto known = this->parts.find(key);
    return known == this->parts.end() ? nullptr : &known->second;
}

std::vector<part_state> part_table::all() const
{
    std::vector<part_state> list;
    list.reserve(this->parts.size());
    for (const auto& [key, part] : this->parts)
    {
        list.push_back(part);
    }
    return list;
}

std::size_t part_table::active_count() const noexcept
{
    return static_cast<std::size_t>(std::count_if(this->parts.begin(), this->parts.end(),
                                                  [](const auto& entry)
                                                  { return !is_final(entry.second.phase); }));
}

core::resources part_table::held_resources() const noexcept
{
    core::resources sum;
    for (const auto& [key, part] : this->parts)
    {
        if (!is_final(part.phase))
        {
            sum += part.per_task * part.tasks;
        }
    }
    return sum;
}

void part_table::finish(part_state& part, part_phase final, core::instant now) const
{
    part.phase = final;
    part.expires_at = now + this->settings.retention;
}

} // namespace chicorylift::admit
