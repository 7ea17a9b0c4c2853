#include "chicorylift/batch/probe_sample.hpp"
#include "site/agent.hpp"
#include "site/agent_timing.hpp"
#include "site/row_codec.hpp"
#include "support/events.hpp"

/// Parts of the agent that write its member row and read those of others.
namespace chicorylift::site
{

namespace
{

namespace events = support::events;

constexpr core::milliseconds member_read_interval{1500};

} // namespace

void agent::register_member()
{
    wire::batch_member row;
    row.set_agent(this->values.name);
    row.set_address(this->values.listen);
    row.set_zone(this->values.zone);
    row.set_region(this->values.region);
    ports::transaction changes;
    changes.writes.push_back(
        {member_row_id(batch::agent_id(this->values.name)), row.SerializeAsString()});
    this->store->commit(changes, store_timeout,
                        [this](const ports::commit_outcome& outcome)
                        {
                            this->store_reachable = outcome.state == ports::commit_state::applied;
                            this->member_version = outcome.version;
                            if (!this->store_reachable && !this->leaving)
                            {
                                this->loop.run_after(store_retry_interval,
                                                     [this] { this->register_member(); });
                            }
                        });
}

void agent::unregister_member()
{
    // The leader counts on the members that confirmed unpersisted starts to tell the next one.
    const bool may_tell_of_starts =
        this->unwritten_starts || this->predecessor_unpersisted || !this->knows_predecessors;
    if (this->member_version == 0 || may_tell_of_starts)
    {
        return;
    }
    const ports::row_id row = member_row_id(batch::agent_id(this->values.name));
    ports::transaction changes;
    // Performed late, it must not remove the row of a later process.
    changes.conditions.push_back({row, this->member_version});
    changes.removals.push_back(row);
    this->store->commit(
        changes, store_timeout,
        [](const ports::commit_outcome& outcome)
        {
            events::write("member_unregistered",
                          {{"done", outcome.state == ports::commit_state::applied ? "yes" : "no"},
                           {"reason", outcome.message}});
        });
}

void agent::read_probe_targets(const std::string& first_key)
{
    // One more than the sample, since the page may hold this agent's own row.
    this->store->read(
        member_table, site_partition, first_key, batch::probe_sample_size + 1, store_timeout,
        [this, first_key](const absl::StatusOr<ports::row_page>& page)
        {
            for (std::size_t index = 0; page.ok() && index < page->rows.size(); ++index)
            {
                const auto member = parse_member(page->rows[index]);
                if (member.has_value() && member->agent() != this->values.name &&
                    this->probe_targets.size() < batch::probe_sample_size)
                {
                    this->probe_targets[member->agent()] = member->address();
                }
            }
            // Until a leader sends the targets, new members are read from the store.
            if (this->members_version != 0 || this->leaving)
            {
                return;
            }
            const bool wrap_around = page.ok() && !first_key.empty() &&
                                     this->probe_targets.size() < batch::probe_sample_size;
            this->loop.run_after(
                wrap_around ? core::milliseconds{0} : member_read_interval, [this, wrap_around]
                { this->read_probe_targets(wrap_around ? std::string{} : this->values.name); });
        },
        {});
}

} // namespace chicorylift::site
