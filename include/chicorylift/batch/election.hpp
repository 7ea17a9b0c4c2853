#pragma once

#include "chicorylift/core/time.hpp"

#include <cstdint>

namespace chicorylift::batch
{

/// Timeouts, delays and backoffs of the leader election.
struct election_settings
{
    /// Time without a heartbeat after which the leader is suspected to have failed.
    core::milliseconds election_timeout{1300};
    /// Time for the other members to answer a probe.
    core::milliseconds probe_timeout{250};
    /// Delay before the next probe after another member answered that it still receives
    /// heartbeats. Its last heartbeat may be one report interval (0.6 s) newer than this member's,
    /// so it may detect the failure only that much later.
    core::milliseconds probe_retry_delay{400};
    /// Delay between two attempts to take over from a leader that cannot reach the store.
    core::milliseconds takeover_retry_delay{1000};
    /// Time that a member which could not reach the store either leaves to the leader once the
    /// store answers again. After an outage for all members, the leader's next write takes up to
    /// 0.8 s and its heartbeat 0.1 s.
    core::milliseconds store_recovery_grace_period{1000};
    /// Interval between two store requests within store_recovery_grace_period.
    core::milliseconds store_check_interval{400};
    /// Backoff of a member whose probes no other member answers, so that a partitioned member does
    /// not become leader again and again. Doubles after each attempt, up to max_isolation_backoff.
    core::milliseconds initial_isolation_backoff{3000};
    core::milliseconds max_isolation_backoff{24000};
    /// Per-member delay, so that members do not campaign at the same time.
    core::milliseconds jitter{};
    /// Factor by which the store's latency is added to the jitter. Members of another region
    /// (60 ms) thus campaign after all members in the store's region (jitter up to 220 ms).
    std::int64_t store_latency_weight = 4;
    /// Upper bound of the delay that the store's latency adds.
    core::milliseconds max_store_latency_delay{400};
};

/// Next step of a member.
enum class election_action
{
    nothing,
    /// Ask the other members whether they receive heartbeats from the leader.
    probe,
    /// Write the next epoch to the leader's row in the store.
    campaign,
};

/// Decides when a member campaigns to become leader.
///
/// Only affects liveness: the conditional write to the store ensures that an epoch has one leader.
class election
{
public:
    election(election_settings settings, core::instant start);

    /// Updates the lowest store latency. Members with a low latency campaign first, since a leader
    /// waits for the store before each start on a worker that is new to a job.
    void on_store_round_trip(core::milliseconds round_trip) noexcept;
    /// Sets the time without a heartbeat after which the leader is suspected.
    void set_election_timeout(core::milliseconds timeout) noexcept
    {
        this->settings.election_timeout = timeout;
    }
    /// Handles a heartbeat from the leader of the newest known epoch.
    void on_leader_heartbeat(core::instant now);
    /// Handles a heartbeat in which the leader reports that it cannot reach the store. A member
    /// that reaches the store may take over.
    void on_leader_store_unreachable(core::instant now);
    /// Handles a heartbeat from a leader that reaches the store; cancels a campaign.
    void on_leader_store_reachable() noexcept;
    /// The leader has announced that it stops or does not lead, or its process has exited.
    void on_leader_lost(core::instant now);
    /// Handles another member's answer to the probe.
    /// @param hears_leader whether that member receives heartbeats from the leader.
    void on_probe_answer(bool hears_leader, core::instant now);
    /// The store has answered this member during its campaign.
    /// @return whether it may write the next epoch now. If not, the campaign is cancelled to give
    /// the leader time to reach the store again.
    [[nodiscard]] bool on_store_reachable(core::instant now);
    /// The store has not answered this member during its campaign.
    void on_store_unreachable(core::instant now);
    /// The campaign ended without success.
    void on_campaign_failed(core::instant now);

    /// Returns the next step, and records that a returned probe or campaign has begun.
    /// @param has_peers whether other members are known.
    [[nodiscard]] election_action tick(bool has_peers, core::instant now);
    /// @return whether the campaign that tick() began is still valid. A heartbeat cancels it,
    /// unless the leader cannot reach the store.
    [[nodiscard]] bool is_campaigning() const noexcept { return this->campaigning; }
    /// @return whether a heartbeat arrived within the election timeout and the leader is not known
    /// to be lost.
    [[nodiscard]] bool hears_leader(core::instant now) const noexcept;

private:
    [[nodiscard]] core::milliseconds campaign_delay() const noexcept;

    election_settings settings;
    core::instant last_heartbeat;
    core::instant next_attempt_at{};
    core::instant probe_ends_at{};
    bool probing = false;
    bool campaigning = false;
    bool leader_lost = false;
    bool leader_store_unreachable = false;
    bool probe_answered = false;
    bool probe_found_leader = false;
    core::milliseconds isolation_backoff;
    core::instant isolated_since{};
    /// The store failed to answer this member too while the leader could not reach it.
    bool local_store_outage = false;
    /// When the store first answered this member after such an outage.
    core::instant store_reachable_since{};
    /// Lowest latency of the store so far. It reflects the network distance, without the time that
    /// load adds.
    core::milliseconds min_store_latency{};
    bool store_latency_known = false;
};

} // namespace chicorylift::batch
