#include "chicorylift/batch/election.hpp"

#include <algorithm>

namespace chicorylift::batch
{

namespace
{

constexpr core::milliseconds retry_pause{400};

} // namespace

election::election(election_settings settings, core::instant start)
    : settings(settings), last_heartbeat(start),
      isolation_backoff(settings.initial_isolation_backoff)
{
}

void election::on_store_round_trip(core::milliseconds took) noexcept
{
    this->min_store_latency = this->distance_known ? std::min(this->min_store_latency, took) : took;
    this->distance_known = true;
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
    this->campaigning = this->campaigning && this->leader_lacks_store;
    this->isolated_since = {};
}

void election::on_leader_store_reachable() noexcept
{
    this->leader_lacks_store = false;
    this->campaigning = false;
    this->local_store_outage = false;
    this->store_reachable_since = {};
}

void election::on_store_unreachable(core::instant now)
{
    this->local_store_outage = this->leader_lacks_store;
    this->on_campaign_failed(now);
}

bool election::on_store_reachable(core::instant now)
{
    if (!this->local_store_outage || !this->hears_leader(now))
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
    // Another lead would have to find out what this one started meanwhile.
    this->campaigning = false;
    this->not_before = now + this->settings.store_check_interval;
    return false;
}

void election::on_leader_store_unreachable(core::instant now)
{
    if (!this->leader_lacks_store)
    {
        this->leader_lacks_store = true;
        this->not_before = std::max(this->not_before, now + this->campaign_delay());
    }
}

void election::on_leader_lost(core::instant now)
{
    if (!this->leader_lost && !this->campaigning)
    {
        this->leader_lost = true;
        this->probing = false;
        this->not_before = now + this->campaign_delay();
    }
}

void election::on_probe_answer(bool hears_lead, core::instant now)
{
    if (this->probing)
    {
        this->answered = true;
        this->refuted = this->refuted || hears_lead;
    }
    static_cast<void>(now);
}

void election::on_campaign_failed(core::instant now)
{
    this->campaigning = false;
    this->probing = false;
    this->store_reachable_since = {};
    this->not_before = std::max(this->not_before, now + retry_pause + this->campaign_delay());
}

bool election::hears_leader(core::instant now) const noexcept
{
    return !this->leader_lost && now - this->last_heartbeat <= this->settings.election_timeout;
}

election_action election::tick(bool others, core::instant now)
{
    if (this->campaigning || now < this->not_before)
    {
        return election_action::nothing;
    }
    if (this->hears_leader(now))
    {
        if (!this->leader_lacks_store)
        {
            return election_action::nothing;
        }
        // The attempt fails without harm when the store answers nobody.
        this->campaigning = true;
        this->not_before = now + this->settings.takeover_retry_delay;
        return election_action::campaign;
    }
    if (!this->probing)
    {
        this->probing = true;
        this->answered = false;
        this->refuted = false;
        this->probe_ends = now + this->settings.probe_timeout + this->campaign_delay();
        return others ? election_action::probe : election_action::nothing;
    }
    if (now < this->probe_ends)
    {
        return election_action::nothing;
    }
    this->probing = false;
    if (this->refuted)
    {
        // Others hear the lead: the fault is on the way between it and this member.
        this->leader_lost = false;
        this->not_before = now + this->settings.probe_retry_delay;
        return election_action::nothing;
    }
    if (others && !this->answered)
    {
        // Alone or cut off. Whoever is cut off must not take the lead from the others soon.
        if (this->isolated_since == core::instant{})
        {
            this->isolated_since = now;
        }
        if (now - this->isolated_since < this->isolation_backoff)
        {
            this->not_before = now + retry_pause;
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
