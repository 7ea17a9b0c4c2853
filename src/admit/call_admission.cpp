#include "chicorylift/admit/call_admission.hpp"

namespace chicorylift::admit
{

namespace
{

// How long the record of an ended or cancelled attempt is kept, so that a duplicate or late message
// cannot start the attempt again. No call has a longer timeout, so no message about it is in
// transit for longer.
constexpr core::milliseconds record_retention = std::chrono::minutes{2};
constexpr std::size_t max_final_records = 200'000;

} // namespace

std::optional<core::error_kind> call_admission::try_admit(const core::request_id& id,
                                                          std::int64_t attempt, core::instant now)
{
    this->evict_expired(now);
    const attempt_key key{id, attempt};
    const auto found = this->attempts.find(key);
    if (found != this->attempts.end())
    {
        return found->second == phase::cancelled ? core::error_kind::cancelled
                                                 : core::error_kind::outcome_unknown;
    }
    if (this->leaving)
    {
        return core::error_kind::upstream_leaving;
    }
    if (this->in_flight_count >= this->slots)
    {
        return core::error_kind::upstream_full;
    }
    ++this->in_flight_count;
    this->attempts.emplace(key, phase::admitted);
    return std::nullopt;
}

bool call_admission::start(const core::request_id& id, std::int64_t attempt)
{
    const auto found = this->attempts.find({id, attempt});
    if (found == this->attempts.end() || found->second != phase::admitted)
    {
        return false;
    }
    found->second = phase::running;
    return true;
}

void call_admission::finish(const core::request_id& id, std::int64_t attempt, core::instant now)
{
    const attempt_key key{id, attempt};
    const auto found = this->attempts.find(key);
    if (found == this->attempts.end())
    {
        return;
    }
    if (found->second == phase::admitted || found->second == phase::running)
    {
        --this->in_flight_count;
        this->record_final(key, phase::ended, now);
    }
}

cancel_result call_admission::cancel(const core::request_id& id, std::int64_t attempt,
                                     core::instant now)
{
    this->evict_expired(now);
    const attempt_key key{id, attempt};
    const auto found = this->attempts.find(key);
    if (found == this->attempts.end())
    {
        this->record_final(key, phase::cancelled, now);
        return cancel_result::not_seen;
    }
    switch (found->second)
    {
    case phase::admitted:
        --this->in_flight_count;
        this->record_final(key, phase::cancelled, now);
        return cancel_result::not_run;
    case phase::running:
        return cancel_result::running;
    case phase::cancelled:
        return cancel_result::not_run;
    case phase::ended:
        break;
    }
    return cancel_result::ended;
}

void call_admission::record_final(const attempt_key& key, phase final, core::instant now)
{
    this->attempts[key] = final;
    this->expiry_queue.push_back({now + record_retention, key});
}

void call_admission::evict_expired(core::instant now)
{
    while (!this->expiry_queue.empty() && (this->expiry_queue.front().until <= now ||
                                           this->expiry_queue.size() > max_final_records))
    {
        this->attempts.erase(this->expiry_queue.front().key);
        this->expiry_queue.pop_front();
    }
}

} // namespace chicorylift::admit
