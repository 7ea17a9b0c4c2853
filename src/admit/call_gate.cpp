#include "chicorylift/admit/call_gate.hpp"

namespace chicorylift::admit
{

namespace
{

// Longer than any message can be on its way: calls carry at most this patience.
constexpr core::milliseconds memory_length = std::chrono::minutes{2};
constexpr std::size_t most_remembered = 200'000;

} // namespace

std::optional<core::error_kind> call_gate::offer(const core::request_id& id, std::int64_t attempt,
                                                 core::instant now)
{
    this->forget_old(now);
    const attempt_key key{id, attempt};
    const auto found = this->known.find(key);
    if (found != this->known.end())
    {
        return found->second == phase::barred ? core::error_kind::cancelled
                                              : core::error_kind::outcome_unknown;
    }
    if (this->leaving)
    {
        return core::error_kind::upstream_leaving;
    }
    if (this->open_count >= this->slots)
    {
        return core::error_kind::upstream_full;
    }
    ++this->open_count;
    this->known.emplace(key, phase::admitted);
    return std::nullopt;
}

bool call_gate::begin(const core::request_id& id, std::int64_t attempt)
{
    const auto found = this->known.find({id, attempt});
    if (found == this->known.end() || found->second != phase::admitted)
    {
        return false;
    }
    found->second = phase::running;
    return true;
}

void call_gate::end(const core::request_id& id, std::int64_t attempt, core::instant now)
{
    const attempt_key key{id, attempt};
    const auto found = this->known.find(key);
    if (found == this->known.end())
    {
        return;
    }
    if (found->second == phase::admitted || found->second == phase::running)
    {
        --this->open_count;
        this->remember(key, phase::ended, now);
    }
}

cancel_answer call_gate::cancel(const core::request_id& id, std::int64_t attempt, core::instant now)
{
    this->forget_old(now);
    const attempt_key key{id, attempt};
    const auto found = this->known.find(key);
    if (found == this->known.end())
    {
        this->remember(key, phase::barred, now);
        return cancel_answer::barred;
    }
    switch (found->second)
    {
    case phase::admitted:
        --this->open_count;
        this->remember(key, phase::barred, now);
        return cancel_answer::not_run;
    case phase::running:
        return cancel_answer::running;
    case phase::barred:
        return cancel_answer::not_run;
    case phase::ended:
        break;
    }
    return cancel_answer::ended;
}

void call_gate::remember(const attempt_key& key, phase final, core::instant now)
{
    this->known[key] = final;
    this->memory.push_back({now + memory_length, key});
}

void call_gate::forget_old(core::instant now)
{
    while (!this->memory.empty() &&
           (this->memory.front().until <= now || this->memory.size() > most_remembered))
    {
        this->known.erase(this->memory.front().key);
        this->memory.pop_front();
    }
}

} // namespace chicorylift::admit
