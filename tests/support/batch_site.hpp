#pragma once

#include "net/event_loop.hpp"
#include "standins/site_store.hpp"
#include "standins/site_workers.hpp"
#include "support/process.hpp"
#include "support/relay.hpp"

#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace chicorylift::testing
{

/// Answer that a caller got.
struct caller_answer
{
    int status{};
    std::string body;
};

/// @return the daemon under test.
[[nodiscard]] std::string daemon_path();

/// A site of real entries and agents as processes, with stand-ins for store and workers.
class batch_site
{
public:
    /// @param agent_flags further flags of every agent.
    /// @param relays_store each agent and entry reaches the store through a relay of its own.
    /// @param zones the racks, of two workers each, are spread over this many availability zones,
    ///        named "z" if there is one, else "z0" and so on.
    /// @param entry_flags further flags of every entry.
    batch_site(int entries, int agents, const std::vector<std::string>& agent_flags = {},
               bool relays_store = false, int zones = 1,
               const std::vector<std::string>& entry_flags = {});
    ~batch_site();
    batch_site(const batch_site&) = delete;
    batch_site& operator=(const batch_site&) = delete;

    /// Writes a version of the configuration; @p keys may call.
    /// @param extra_routes public routes besides the queue's: to /extra0/ and so on. If there are
    ///        any, one to "/version" + the version's number + "/" is added.
    void configure(std::uint64_t version, const std::vector<std::string>& keys,
                   int extra_routes = 0);
    /// Sends a call to an entry; status 0 when there was no answer.
    [[nodiscard]] caller_answer call(int entry, const std::string& method, const std::string& job,
                                     const std::string& body = {},
                                     const std::string& key = "key-a") const;
    /// Asks an entry for the path of any route, without a key.
    [[nodiscard]] caller_answer get(int entry, const std::string& path) const;
    /// Waits until @p condition holds.
    /// @return whether it did within @p limit.
    static bool wait_for(const std::function<bool()>& condition,
                         core::milliseconds limit = std::chrono::seconds{30});
    /// Waits until an entry shows the job in that state.
    [[nodiscard]] bool wait_for_state(const std::string& job, const std::string& state,
                                      core::milliseconds limit = std::chrono::seconds{30}) const;
    /// @return the index of the agent that leads, or -1; read from the agents' logs.
    [[nodiscard]] int leader() const;
    /// Keeps the logs when the site ends.
    void keep_logs() { this->keeps = true; }
    [[nodiscard]] const std::string& log_folder() const { return this->folder; }

    [[nodiscard]] std::string front(int entry) const;
    [[nodiscard]] std::string ready(int entry) const;
    [[nodiscard]] std::string metrics(int entry) const;
    /// @return the zone of an agent and its worker.
    [[nodiscard]] std::string zone(int agent) const;
    [[nodiscard]] std::string agent_metrics(int agent) const;
    /// @return where an agent takes messages of other agents.
    [[nodiscard]] std::string agent_address(int agent) const;
    /// @return where an agent takes its worker's announcements.
    [[nodiscard]] std::string control(int agent) const;

    site_store& store() { return *this->table; }
    /// @return an agent's way to the store; only with relays.
    relay& store_link(int index) { return *this->store_links[static_cast<std::size_t>(index)]; }
    /// @return an entry's way to the store; only with relays.
    relay& entry_link(int index) { return *this->entry_links[static_cast<std::size_t>(index)]; }
    site_workers& workers() { return *this->machines; }
    process& entry(int index) { return this->entries[static_cast<std::size_t>(index)].program; }
    process& agent(int index) { return this->agents[static_cast<std::size_t>(index)].program; }
    [[nodiscard]] const process& agent(int index) const
    {
        return this->agents[static_cast<std::size_t>(index)].program;
    }

private:
    struct member
    {
        process program;
        std::string front;
        std::string ready;
        std::string metrics;
        std::string listen;
        std::string control;
    };

    std::string folder;
    bool keeps = false;
    int zones;
    net::event_loop loop;
    std::unique_ptr<site_store> table;
    std::unique_ptr<site_workers> machines;
    std::thread thread;
    std::vector<std::unique_ptr<relay>> store_links;
    std::vector<std::unique_ptr<relay>> entry_links;
    std::vector<member> entries;
    std::vector<member> agents;
};

/// @return a job body with one step.
[[nodiscard]] std::string job_body(const std::string& payload, int units, int accelerators,
                                   bool gang);

} // namespace chicorylift::testing
