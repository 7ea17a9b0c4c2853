#pragma once

#include "net/event_loop.hpp"
#include "row_limit.hpp"
#include "standins/site_store.hpp"
#include "standins/site_workers.hpp"
#include "support/process.hpp"

#include <chrono>
#include <fstream>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

/// Parts that the scripts of this review share.
namespace chicorylift::review
{

/// Answer that a client got; status 0 when there was none.
struct answer
{
    int status{};
    std::string body;
};

/// Size of a deployment and the bounds that its settings contain.
struct deployment_size
{
    int entries = 3;
    int workers = 4;
    /// Memory of a machine beside a worker, in MB.
    int agent_memory_mb = 128;
};

/// A small deployment: entries and agents started by the commands of the deploy file, and stand-ins
/// for the platform's store and the workers. What happens is written to record.txt.
class deployment
{
public:
    /// @param record_path file that gets what happens: the case's record.txt.
    deployment(const std::string& record_path, const deployment_size& size);
    ~deployment();
    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;

    /// Writes a line to record.txt, with the seconds since the start.
    void record(const std::string& line);
    /// Sends a request of a tenant to an entry and records it with its answer.
    /// @param route name of the queue, which is also its path prefix.
    answer call(int entry, const std::string& method, const std::string& route,
                const std::string& job, const std::string& key, const std::string& body = {},
                std::chrono::milliseconds patience = std::chrono::milliseconds{3000});
    /// Sends the submission to the entries in turn until one accepts it.
    /// @return whether one did.
    bool submit(const std::string& route, const std::string& job, const std::string& key,
                const std::string& body);
    /// @return the state that an entry shows; empty if none does.
    std::string state_of(const std::string& route, const std::string& job, const std::string& key);
    /// Waits until a job is shown in the state.
    bool wait_for_state(const std::string& route, const std::string& job, const std::string& key,
                        const std::string& state, std::chrono::milliseconds limit);
    /// Waits until the entries are ready.
    bool wait_until_ready(std::chrono::milliseconds limit);
    /// @return the agent that leads, or -1; read from the agents' logs.
    [[nodiscard]] int leader() const;
    /// @return resident memory of an agent's process in MB, or 0 if it does not run.
    [[nodiscard]] int agent_memory_mb(int agent) const;
    [[nodiscard]] std::string agent_log(int agent) const;
    [[nodiscard]] std::string entry_log(int entry) const;

    testing::process& agent(int index) { return this->agents[static_cast<std::size_t>(index)]; }
    testing::process& entry(int index) { return this->entries[static_cast<std::size_t>(index)]; }
    testing::site_store& store() { return *this->table; }
    testing::site_workers& workers() { return *this->machines; }
    /// @return transactions that the store rejected for a row that is too large.
    [[nodiscard]] std::size_t rejected_writes() const { return this->store_front->rejected(); }
    [[nodiscard]] int agent_count() const { return static_cast<int>(this->agents.size()); }
    [[nodiscard]] int entry_count() const { return static_cast<int>(this->entries.size()); }
    [[nodiscard]] double seconds() const;
    /// Starts an agent's process again after it has ended, as the platform does.
    void restart_agent(int index);

private:
    void write_config();
    testing::process start(const std::string& role, const std::string& name,
                           const std::string& settings);

    std::string temporary;
    std::ofstream output;
    std::mutex output_guard;
    std::chrono::steady_clock::time_point began = std::chrono::steady_clock::now();
    net::event_loop loop;
    std::unique_ptr<testing::site_store> table;
    std::unique_ptr<row_limit> store_front;
    std::unique_ptr<testing::site_workers> machines;
    std::thread thread;
    std::vector<std::string> fronts;
    std::vector<testing::process> entries;
    std::vector<testing::process> agents;
};

/// @return whether the case runs with its disruption: TROUBLE is not 0.
[[nodiscard]] bool has_trouble();

/// Waits until the condition holds.
bool wait_for(const std::function<bool()>& condition, std::chrono::milliseconds limit);

} // namespace chicorylift::review
