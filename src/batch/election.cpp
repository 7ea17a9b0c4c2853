#include "chicorylift/batch/election.hpp"

#include <algorithm>

namespace chicorylift::batch
{

namespace
{

constexpr core::milliseconds retry_pause{400};

} // namespace

election::election(election_settings settings, core::instant start)
    : settings(settings), heard(start), isolated_pause(settings.first_isolated_pause)
{
}

void election::on_store_round_trip(core::milliseconds took) noexcept
{
    this->store_distance = this->distance_known ? std::min(this->store_distance, took) : took;
    this->distance_known = true;
}

core::milliseconds election::offset() const noexcept
{
    return this->settings.jitter + std::min(this->store_distance * this->settings.distance_weight,
                                            this->settings.longest_distance_offset);
}

void election::on_lead_heard(core::instant now)
{
    this->heard = now;
    this->known_gone = false;
    this->probing = false;
    this->standing = this->standing && this->without_store;
    this->isolated_since = {};
}

void election::on_lead_with_store() noexcept
{
    this->without_store = false;
    this->standing = false;
    this->store_out_here = false;
    this->store_seen = {};
}

void election::on_store_failed(core::instant now)
{
    this->store_out_here = this->without_store;
    this->on_stand_failed(now);
}

bool election::on_store_answered(core::instant now)
{
    if (!this->store_out_here || !this->hears_lead(now))
    {
        return true;
    }
    if (this->store_seen == core::instant{})
    {
        this->store_seen = now;
    }
    if (now - this->store_seen >= this->settings.store_return_grace)
    {
        return true;
    }
    // Another lead would have to find out what this one started meanwhile.
    this->standing = false;
    this->not_before = now + this->settings.store_look_pause;
    return false;
}

void election::on_lead_without_store(core::instant now)
{
    if (!this->without_store)
    {
        this->without_store = true;
        this->not_before = std::max(this->not_before, now + this->offset());
    }
}

void election::on_lead_gone(core::instant now)
{
    if (!this->known_gone && !this->standing)
    {
        this->known_gone = true;
        this->probing = false;
        this->not_before = now + this->offset();
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

void election::on_stand_failed(core::instant now)
{
    this->standing = false;
    this->probing = false;
    this->store_seen = {};
    this->not_before = std::max(this->not_before, now + retry_pause + this->offset());
}

bool election::hears_lead(core::instant now) const noexcept
{
    return !this->known_gone && now - this->heard <= this->settings.suspect_after;
}

election_step election::tick(bool others, core::instant now)
{
    if (this->standing || now < this->not_before)
    {
        return election_step::nothing;
    }
    if (this->hears_lead(now))
    {
        if (!this->without_store)
        {
            return election_step::nothing;
        }
        // The attempt fails without harm when the store answers nobody.
        this->standing = true;
        this->not_before = now + this->settings.without_store_pause;
        return election_step::stand;
    }
    if (!this->probing)
    {
        this->probing = true;
        this->answered = false;
        this->refuted = false;
        this->probe_ends = now + this->settings.probe_time + this->offset();
        return others ? election_step::probe : election_step::nothing;
    }
    if (now < this->probe_ends)
    {
        return election_step::nothing;
    }
    this->probing = false;
    if (this->refuted)
    {
        // Others hear the lead: the fault is on the way between it and this member.
        this->known_gone = false;
        this->not_before = now + this->settings.refuted_pause;
        return election_step::nothing;
    }
    if (others && !this->answered)
    {
        // Alone or cut off. Whoever is cut off must not take the lead from the others soon.
        if (this->isolated_since == core::instant{})
        {
            this->isolated_since = now;
        }
        if (now - this->isolated_since < this->isolated_pause)
        {
            this->not_before = now + retry_pause;
            return election_step::nothing;
        }
        this->isolated_since = {};
        this->isolated_pause =
            std::min(this->isolated_pause * 2, this->settings.longest_isolated_pause);
    }
    else
    {
        this->isolated_pause = this->settings.first_isolated_pause;
    }
    this->standing = true;
    return election_step::stand;
}

} // namespace chicorylift::batch
