#include "chicorylift/batch/run_table.hpp"

#include <algorithm>
#include <set>

namespace chicorylift::batch
{

namespace
{

// Attempts to send a start. If none gets a response, a stop bars the run.
constexpr int max_start_attempts = 2;
constexpr core::milliseconds retry_backoff{150};

} // namespace

std::optional<worker_command> run_table::on_start_command(const worker_command& start,
                                                          core::instant now)
{
    const run_key key{start.unit, start.run};
    if (this->entries.contains(key) || this->unlisted_ends.contains(key))
    {
        return std::nullopt;
    }
    for (const reported_end& end : this->unacknowledged_ends)
    {
        if (end.unit == start.unit && end.run == start.run)
        {
            return std::nullopt;
        }
    }
    entry& fresh = this->entries[key];
    fresh.in_flight = true;
    fresh.attempts = 1;
    fresh.payload = start.payload;
    fresh.start_checkpoint = start.checkpoint;
    fresh.retry_at = now;
    worker_command command = start;
    command.what = worker_command::kind::start;
    return command;
}

std::optional<worker_command> run_table::on_stop_command(const run_key& key, core::instant now)
{
    if (this->unlisted_ends.contains(key))
    {
        return std::nullopt;
    }
    entry& known = this->entries[key];
    if (known.phase == run_phase::stopping)
    {
        return std::nullopt;
    }
    known.phase = run_phase::stopping;
    known.in_flight = true;
    known.retry_at = now;
    return worker_command{worker_command::kind::stop, key.first, key.second, {}, {}};
}

void run_table::on_start_result(const run_key& key, start_result answer, const std::string& reason,
                                core::instant now)
{
    const auto found = this->entries.find(key);
    if (found == this->entries.end())
    {
        return;
    }
    entry& known = found->second;
    if (known.phase == run_phase::stopping)
    {
        // The result of the later stop applies.
        return;
    }
    known.in_flight = false;
    switch (answer)
    {
    case start_result::accepted:
        known.phase = run_phase::running;
        known.confirmed = true;
        known.confirmed_at = now;
        break;
    case start_result::refused:
    case start_result::unavailable:
        if (known.attempts == 1)
        {
            this->mark_never_started(key, reason);
            break;
        }
        // An earlier attempt got no response and may have started the run, so a stop must bar it.
        known.phase = run_phase::stopping;
        known.retry_at = now;
        break;
    case start_result::unknown:
        if (known.attempts >= max_start_attempts)
        {
            known.phase = run_phase::stopping;
        }
        known.retry_at = now;
        break;
    }
}

void run_table::on_stop_result(const run_key& key, bool acknowledged, core::instant now)
{
    const auto found = this->entries.find(key);
    if (found == this->entries.end() || found->second.phase != run_phase::stopping)
    {
        return;
    }
    found->second.in_flight = false;
    found->second.stop_acknowledged = acknowledged || found->second.stop_acknowledged;
    found->second.confirmed_at = now;
    found->second.retry_at = now + retry_backoff;
}

bool run_table::on_run_lists(const run_lists& lists, core::instant requested_at, core::instant now)
{
    bool changed = false;
    std::set<run_key> present;
    for (const reported_run& each : lists.running)
    {
        const run_key key{each.unit, each.run};
        present.insert(key);
        entry& known = this->entries[key];
        changed = changed || !known.confirmed;
        if (!known.confirmed)
        {
            known.confirmed_at = now;
            known.confirmed = true;
        }
        if (known.phase == run_phase::starting)
        {
            known.phase = run_phase::running;
            known.in_flight = false;
        }
        known.checkpoint = each.checkpoint;
        known.percent = each.progress_percent;
    }
    for (const reported_end& end : lists.ended)
    {
        const bool is_new =
            std::none_of(this->unacknowledged_ends.begin(), this->unacknowledged_ends.end(),
                         [&end](const reported_end& old) { return old.number == end.number; });
        changed = changed || is_new;
        present.insert({end.unit, end.run});
        this->entries.erase({end.unit, end.run});
        this->unlisted_ends.erase({end.unit, end.run});
    }
    this->unacknowledged_ends = lists.ended;
    if (!lists.ends_complete)
    {
        // A run that is in neither list may have ended beyond those listed.
        return changed;
    }
    this->complete = true;
    std::vector<run_key> gone;
    for (const auto& [key, known] : this->entries)
    {
        // Lists that were requested before the worker confirmed the run or its stop are too old to
        // show that the run is gone.
        const bool settled = known.phase == run_phase::stopping
                                 ? known.stop_acknowledged && !known.in_flight
                                 : known.confirmed;
        if (!present.contains(key) && settled && requested_at > known.confirmed_at)
        {
            gone.push_back(key);
        }
    }
    for (const run_key& key : gone)
    {
        this->mark_never_started(key, "barred");
        changed = true;
    }
    return changed;
}

void run_table::on_lease_renewed_after_lapse(core::instant now)
{
    for (auto& [key, known] : this->entries)
    {
        if (known.phase == run_phase::starting)
        {
            known.phase = run_phase::stopping;
            known.in_flight = false;
            known.retry_at = now;
        }
    }
}

void run_table::on_worker_restarted()
{
    this->entries.clear();
    this->unacknowledged_ends.clear();
    this->unlisted_ends.clear();
    this->complete = false;
}

bool run_table::on_worker_ended()
{
    const bool had_runs = !this->entries.empty();
    for (const auto& [key, known] : this->entries)
    {
        this->unlisted_ends[key] = {run_outcome::lease_expired, "worker left", known.checkpoint};
    }
    this->entries.clear();
    this->complete = true;
    return had_runs;
}

void run_table::on_unlisted_end_acknowledged(const run_key& key)
{
    this->unlisted_ends.erase(key);
}

std::vector<worker_command> run_table::take_due_retries(core::instant now)
{
    std::vector<worker_command> commands;
    for (auto& [key, known] : this->entries)
    {
        const bool unanswered = known.phase == run_phase::starting ||
                                (known.phase == run_phase::stopping && !known.stop_acknowledged);
        if (!unanswered || known.in_flight || known.retry_at > now)
        {
            continue;
        }
        known.in_flight = true;
        ++known.attempts;
        const bool stop = known.phase == run_phase::stopping;
        commands.push_back({stop ? worker_command::kind::stop : worker_command::kind::start,
                            key.first, key.second, stop ? std::string{} : known.payload,
                            stop ? std::string{} : known.start_checkpoint});
    }
    return commands;
}

std::vector<reported_run> run_table::runs() const
{
    std::vector<reported_run> list;
    for (const auto& [key, known] : this->entries)
    {
        list.push_back({key.first, key.second, known.phase, known.checkpoint, known.percent});
    }
    return list;
}

std::vector<reported_end> run_table::ends() const
{
    std::vector<reported_end> list = this->unacknowledged_ends;
    for (const auto& [key, end] : this->unlisted_ends)
    {
        list.push_back({0, key.first, key.second, end.outcome, end.checkpoint, end.reason});
    }
    return list;
}

bool run_table::has_pending_commands() const noexcept
{
    return std::any_of(this->entries.begin(), this->entries.end(),
                       [](const auto& each) {
                           return !each.second.confirmed ||
                                  each.second.phase == run_phase::stopping;
                       });
}

void run_table::mark_never_started(const run_key& key, const std::string& reason)
{
    this->entries.erase(key);
    this->unlisted_ends[key] = {run_outcome::never_started, reason, {}};
}

} // namespace chicorylift::batch
