#pragma once

#include "chicorylift/core/time.hpp"

#include <cstdint>

namespace chicorylift::batch
{

/// Times of an election.
struct election_settings
{
    /// Silence after which a lead is suspected.
    core::milliseconds election_timeout{1300};
    /// How long others are given to say that they hear the lead.
    core::milliseconds probe_timeout{250};
    /// Pause before others are asked again who heard the lead: they may have heard it a report's
    /// interval (0.6 s) later, and know it lost by then.
    core::milliseconds probe_retry_delay{400};
    /// Pause between two attempts to take over from a lead that cannot reach the store.
    core::milliseconds takeover_retry_delay{1000};
    /// A member that could not reach the store either gives the lead so long once it can: after an
    /// outage for all, the lead's next call takes up to a write's 0.8 s and its word 0.1 s.
    core::milliseconds store_recovery_grace_period{1000};
    /// Pause between two looks at the store within that time.
    core::milliseconds store_check_interval{400};
    /// Pause of a member that no other member answers, so that one that is cut off does not take
    /// the lead again and again; doubles up to the longest.
    core::milliseconds initial_isolation_backoff{3000};
    core::milliseconds max_isolation_backoff{24000};
    /// Own offset, so that not all stand at once.
    core::milliseconds jitter{};
    /// The store's distance adds so many times itself to the offset, which puts members of another
    /// region (60 ms) behind all of the store's own (offsets up to 220 ms) ...
    std::int64_t store_latency_weight = 4;
    /// ... and delays nobody for longer than this.
    core::milliseconds max_store_latency_delay{400};
};

/// What a member should do next.
enum class election_action
{
    nothing,
    /// Ask the others whether they hear the lead.
    probe,
    /// Write the next epoch into the lead's row.
    campaign,
};

/// Decides when a member stands for lead; safety comes from the conditional write, not from here.
class election
{
public:
    election(election_settings settings, core::instant start);

    /// Takes in how long the store took to answer; members near the store stand first, since a
    /// lead waits for the store before each start on a worker that is new to a job.
    void on_store_round_trip(core::milliseconds took) noexcept;
    /// Takes in word from the lead of the newest known epoch.
    void on_leader_heartbeat(core::instant now);
    /// The lead is heard and says that the store does not answer it; whoever reaches the store
    /// may take its place.
    void on_leader_store_unreachable(core::instant now);
    /// The lead is heard and reaches the store.
    void on_leader_store_reachable() noexcept;
    /// The lead said that it stops or does not lead, or its process is gone.
    void on_leader_lost(core::instant now);
    /// Takes in another member's answer to the probe.
    void on_probe_answer(bool hears_lead, core::instant now);
    /// The store has answered this member, which stands.
    /// @return whether it may write the next epoch, or must leave the lead time to come back.
    [[nodiscard]] bool on_store_reachable(core::instant now);
    /// The store has not answered this member, which stands.
    void on_store_unreachable(core::instant now);
    /// The attempt to stand ended without success.
    void on_campaign_failed(core::instant now);

    /// @param others whether other members are known.
    [[nodiscard]] election_action tick(bool others, core::instant now);
    /// @return whether the last step to stand still holds; word of a lead revokes it.
    [[nodiscard]] bool is_campaigning() const noexcept { return this->campaigning; }
    /// @return whether the lead was heard within the time of suspicion.
    [[nodiscard]] bool hears_leader(core::instant now) const noexcept;

private:
    [[nodiscard]] core::milliseconds campaign_delay() const noexcept;

    election_settings settings;
    core::instant last_heartbeat;
    core::instant not_before{};
    core::instant probe_ends{};
    bool probing = false;
    bool campaigning = false;
    bool leader_lost = false;
    bool leader_lacks_store = false;
    bool answered = false;
    bool refuted = false;
    core::milliseconds isolation_backoff;
    core::instant isolated_since{};
    /// The store failed this member too since its lead has been without it ...
    bool local_store_outage = false;
    /// ... and has answered since.
    core::instant store_reachable_since{};
    /// Shortest answer of the store so far; its length is the distance, the rest is load.
    core::milliseconds min_store_latency{};
    bool distance_known = false;
};

} // namespace chicorylift::batch
