#include "chicorylift/batch/election.hpp"

#include <algorithm>

namespace chicorylift::batch
{

namespace
{

constexpr core::milliseconds retry_backoff{400};

} // namespace

election::election(election_settings settings, core::instant start)
    : settings(settings), last_heartbeat(start),
      isolation_backoff(settings.initial_isolation_backoff)
{
}

void election::on_store_round_trip(core::milliseconds round_trip) noexcept
{
    this->min_store_latency =
        this->store_latency_known ? std::min(this->min_store_latency, round_trip) : round_trip;
    this->store_latency_known = true;
}

core::milliseconds election::campaign_delay() const noexcept
{
    return this->settings.jitter +
           std::min(this->min_store_latency * this->settings.store_latency_weight,
                    this->settings.max_store_latency_delay);
}

void election::on_leader_heartbeat(core::instant now)
{
    this->last_heartbeat = now;
    this->leader_lost = false;
    this->probing = false;
    this->campaigning = this->campaigning && this->leader_store_unreachable;
    this->isolated_since = {};
}

void election::on_leader_store_reachable() noexcept
{
    this->leader_store_unreachable = false;
    this->campaigning = false;
    this->local_store_outage = false;
    this->store_reachable_since = {};
}

void election::on_store_unreachable(core::instant now)
{
    this->local_store_outage = this->leader_store_unreachable;
    this->on_campaign_failed(now);
}

bool election::on_store_reachable(core::instant now)
{
    // A leader that had neither the store nor most members sends no heartbeats, but goes on.
    if (!this->local_store_outage || this->leader_lost)
    {
        return true;
    }
    if (this->store_reachable_since == core::instant{})
    {
        this->store_reachable_since = now;
    }
    if (now - this->store_reachable_since >= this->settings.store_recovery_grace_period)
    {
        return true;
    }
    // Keeps the current leader if possible: a new one would first have to find out which runs this
    // one started during the outage.
    this->campaigning = false;
    this->next_attempt_at = now + this->settings.store_check_interval;
    return false;
}

void election::on_leader_store_unreachable(core::instant now)
{
    if (!this->leader_store_unreachable)
    {
        this->leader_store_unreachable = true;
        this->next_attempt_at = std::max(this->next_attempt_at, now + this->campaign_delay());
    }
}

void election::on_leader_lost(core::instant now)
{
    if (!this->leader_lost && !this->campaigning)
    {
        this->leader_lost = true;
        this->probing = false;
        this->next_attempt_at = now + this->campaign_delay();
    }
}

void election::on_probe_answer(bool hears_leader, core::instant now)
{
    if (this->probing)
    {
        this->probe_answered = true;
        this->probe_found_leader = this->probe_found_leader || hears_leader;
    }
    static_cast<void>(now);
}

void election::on_campaign_failed(core::instant now)
{
    this->campaigning = false;
    this->probing = false;
    this->store_reachable_since = {};
    this->next_attempt_at =
        std::max(this->next_attempt_at, now + retry_backoff + this->campaign_delay());
}

bool election::hears_leader(core::instant now) const noexcept
{
    return !this->leader_lost && now - this->last_heartbeat <= this->settings.election_timeout;
}

election_action election::tick(bool has_peers, core::instant now)
{
    if (this->campaigning || now < this->next_attempt_at)
    {
        return election_action::nothing;
    }
    if (this->hears_leader(now))
    {
        if (!this->leader_store_unreachable)
        {
            return election_action::nothing;
        }
        // If no member reaches the store, the campaign fails and changes nothing.
        this->campaigning = true;
        this->next_attempt_at = now + this->settings.takeover_retry_delay;
        return election_action::campaign;
    }
    if (!this->probing)
    {
        this->probing = true;
        this->probe_answered = false;
        this->probe_found_leader = false;
        this->probe_ends_at = now + this->settings.probe_timeout + this->campaign_delay();
        return has_peers ? election_action::probe : election_action::nothing;
    }
    if (now < this->probe_ends_at)
    {
        return election_action::nothing;
    }
    this->probing = false;
    if (this->probe_found_leader)
    {
        // Another member receives heartbeats: only the link between the leader and this member
        // fails.
        this->leader_lost = false;
        this->next_attempt_at = now + this->settings.probe_retry_delay;
        return election_action::nothing;
    }
    if (has_peers && !this->probe_answered)
    {
        // All other members are down, or this one is partitioned from them. A partitioned member
        // must not soon take over from a leader that the others may still reach.
        if (this->isolated_since == core::instant{})
        {
            this->isolated_since = now;
        }
        if (now - this->isolated_since < this->isolation_backoff)
        {
            this->next_attempt_at = now + retry_backoff;
            return election_action::nothing;
        }
        this->isolated_since = {};
        this->isolation_backoff =
            std::min(this->isolation_backoff * 2, this->settings.max_isolation_backoff);
    }
    else
    {
        this->isolation_backoff = this->settings.initial_isolation_backoff;
    }
    this->campaigning = true;
    return election_action::campaign;
}

} // namespace chicorylift::batch
