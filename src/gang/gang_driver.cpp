#include "chicorylift/gang/gang_driver.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace chicorylift::gang
{

namespace
{

constexpr std::array<std::string_view, 7> event_names{
    "reserved", "refused", "started", "checkpointed", "stopped", "succeeded", "failed"};

} // namespace

std::string_view to_text(part_event event) noexcept
{
    return event_names[static_cast<std::size_t>(event)];
}

std::optional<part_event> part_event_from(std::string_view text) noexcept
{
    for (std::size_t index = 0; index < event_names.size(); ++index)
    {
        if (event_names[index] == text)
        {
            return static_cast<part_event>(index);
        }
    }
    return std::nullopt;
}

gang_driver::gang_driver(std::vector<sched::task_placement> placement, bool checkpointable,
                         gang_settings settings, core::instant now)
    : settings(settings), checkpointable(checkpointable), phase_since(now), last_resend(now)
{
    for (sched::task_placement& placed : placement)
    {
        this->actions.emplace_back(send_reserve{placed.worker, placed.tasks});
        this->parts.push_back({.worker = std::move(placed.worker),
                               .tasks = placed.tasks,
                               .last_event = std::nullopt,
                               .lost = false,
                               .lost_at = {}});
    }
}

gang_driver gang_driver::resumed(std::vector<sched::task_placement> placement, bool checkpointable,
                                 gang_settings settings, core::instant now)
{
    gang_driver driver(std::move(placement), checkpointable, settings, now);
    driver.actions.clear();
    driver.committed = true;
    driver.phase = driver_phase::starting;
    // Wait one resend interval for the agents' reports; then only parts without one get a start
    // request.
    driver.last_resend = now;
    return driver;
}

void gang_driver::part_reported(const core::worker_id& worker, part_event event, core::instant now)
{
    gang_part* part = this->find(worker);
    if (part == nullptr || this->phase == driver_phase::finished || has_ended(*part))
    {
        return;
    }
    const bool stale = event == part_event::reserved && this->phase > driver_phase::committing;
    // A late or duplicate reserved event must not overwrite a started event.
    if (!stale && event != part_event::checkpointed)
    {
        part->last_event = event;
    }
    if (event == part_event::failed)
    {
        this->part_failed = true;
        this->failed_worker = this->failed_worker.value_or(worker);
    }
    if (event == part_event::refused)
    {
        this->failed_worker = this->failed_worker.value_or(worker);
    }
    this->advance(now);
}

void gang_driver::commit_completed(bool applied, core::instant now)
{
    if (this->phase == driver_phase::finished || this->committed)
    {
        return;
    }
    this->committed = applied;
    if (!applied || this->phase == driver_phase::stopping)
    {
        this->begin_stopping(now);
        return;
    }
    this->phase = driver_phase::starting;
    this->phase_since = now;
    this->resend_requests(now);
    this->advance(now);
}

void gang_driver::worker_lost(const core::worker_id& worker, core::instant now)
{
    gang_part* part = this->find(worker);
    if (part == nullptr || part->lost)
    {
        return;
    }
    part->lost = true;
    part->lost_at = now;
    if (this->phase != driver_phase::committing)
    {
        this->begin_stopping(now);
    }
}

void gang_driver::stop(core::instant now)
{
    if (this->phase == driver_phase::committing)
    {
        // The outcome of the commit is not known yet. commit_completed() or the next resend sends
        // the stop requests.
        this->phase = driver_phase::stopping;
        return;
    }
    this->begin_stopping(now);
}

void gang_driver::tick(core::instant now)
{
    if (this->phase == driver_phase::finished)
    {
        return;
    }
    if (now - this->last_resend >= this->settings.repeat)
    {
        this->resend_requests(now);
    }
    this->advance(now);
}

std::vector<gang_action> gang_driver::take_actions()
{
    return std::exchange(this->actions, {});
}

gang_driver::gang_part* gang_driver::find(const core::worker_id& worker) noexcept
{
    const auto found =
        std::find_if(this->parts.begin(), this->parts.end(),
                     [&worker](const gang_part& part) { return part.worker == worker; });
    return found == this->parts.end() ? nullptr : &*found;
}

bool gang_driver::all_report(part_event event) const noexcept
{
    return std::all_of(this->parts.begin(), this->parts.end(),
                       [event](const gang_part& part) { return part.last_event == event; });
}

bool gang_driver::has_ended(const gang_part& part) noexcept
{
    return part.last_event == part_event::stopped || part.last_event == part_event::succeeded ||
           part.last_event == part_event::failed;
}

void gang_driver::resend_requests(core::instant now)
{
    this->last_resend = now;
    for (const gang_part& part : this->parts)
    {
        switch (this->phase)
        {
        case driver_phase::reserving:
        case driver_phase::committing:
            // Resending extends the reservation, which could expire during a slow commit.
            this->actions.emplace_back(send_reserve{part.worker, part.tasks});
            break;
        case driver_phase::starting:
            if (!part.last_event.has_value() || part.last_event == part_event::reserved)
            {
                this->actions.emplace_back(send_start{part.worker});
            }
            break;
        case driver_phase::stopping:
            if (!has_ended(part))
            {
                this->actions.emplace_back(send_stop{part.worker, this->checkpointable});
            }
            break;
        case driver_phase::running:
        case driver_phase::finished:
            break;
        }
    }
}

void gang_driver::advance(core::instant now)
{
    switch (this->phase)
    {
    case driver_phase::reserving:
        if (this->all_report(part_event::reserved))
        {
            this->phase = driver_phase::committing;
            this->phase_since = now;
            this->actions.emplace_back(write_commit{});
        }
        else if (this->failed_worker.has_value() ||
                 now - this->phase_since >= this->settings.reserve_timeout)
        {
            this->begin_stopping(now);
        }
        break;
    case driver_phase::starting:
        this->advance_starting(now);
        break;
    case driver_phase::running:
        if (this->all_report(part_event::succeeded))
        {
            this->finish(attempt_result::succeeded);
        }
        else if (this->part_failed || std::any_of(this->parts.begin(), this->parts.end(),
                                                  [](const gang_part& part) {
                                                      return part.last_event == part_event::stopped;
                                                  }))
        {
            this->begin_stopping(now);
        }
        break;
    case driver_phase::stopping:
        this->advance_stopping(now);
        break;
    case driver_phase::committing:
    case driver_phase::finished:
        break;
    }
}

void gang_driver::advance_starting(core::instant now)
{
    const bool all_started = std::all_of(this->parts.begin(), this->parts.end(),
                                         [](const gang_part& part) {
                                             return part.last_event == part_event::started ||
                                                    part.last_event == part_event::succeeded;
                                         });
    const bool any_failed_to_start =
        std::any_of(this->parts.begin(), this->parts.end(),
                    [](const gang_part& part)
                    {
                        return part.last_event == part_event::refused ||
                               part.last_event == part_event::stopped ||
                               part.last_event == part_event::failed;
                    });
    if (all_started)
    {
        this->phase = driver_phase::running;
        this->phase_since = now;
        this->actions.emplace_back(report_result{attempt_result::running, std::nullopt});
        this->advance(now);
    }
    else if (any_failed_to_start || now - this->phase_since >= this->settings.start_timeout)
    {
        this->begin_stopping(now);
    }
}

void gang_driver::advance_stopping(core::instant now)
{
    const bool all_ended =
        std::all_of(this->parts.begin(), this->parts.end(),
                    [this, now](const gang_part& part)
                    {
                        const bool lease_expired =
                            part.lost && now - part.lost_at >= this->settings.lease_timeout;
                        return has_ended(part) || lease_expired;
                    });
    if (!all_ended)
    {
        return;
    }
    if (!this->committed)
    {
        this->finish(attempt_result::never_started);
    }
    else if (this->all_report(part_event::succeeded))
    {
        this->finish(attempt_result::succeeded);
    }
    else
    {
        this->finish(this->part_failed ? attempt_result::failed : attempt_result::stopped);
    }
}

void gang_driver::begin_stopping(core::instant now)
{
    if (this->phase == driver_phase::finished)
    {
        return;
    }
    this->phase = driver_phase::stopping;
    this->phase_since = now;
    this->resend_requests(now);
    this->advance_stopping(now);
}

void gang_driver::finish(attempt_result result)
{
    this->phase = driver_phase::finished;
    this->actions.emplace_back(report_result{result, this->failed_worker});
}

} // namespace chicorylift::gang
