#pragma once

#include "standins/site_store.hpp"
#include "worker.hpp"

#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace chicorylift::review
{

/// One of the project's own processes, started with the command of the deploy file.
class daemon_process
{
public:
    /// @param settings path of its settings file.
    daemon_process(std::string role, std::string settings, std::string log);
    ~daemon_process();
    daemon_process(const daemon_process&) = delete;
    daemon_process& operator=(const daemon_process&) = delete;

    void start();
    void kill_now();
    [[nodiscard]] bool is_running() const noexcept { return this->pid > 0; }
    /// @return whether it ended by itself.
    [[nodiscard]] bool has_ended();
    /// @return memory in use, in kB; 0 if it does not run.
    [[nodiscard]] long resident_kb() const;
    [[nodiscard]] std::string output() const;

private:
    std::string role;
    std::string settings;
    std::string log;
    pid_t pid = -1;
};

/// Answer to a requester; status 0 stands for none.
struct answer
{
    int status{};
    std::string body;
};

/// Queue of the manifest.
struct queue
{
    std::string name;
    std::int64_t priority = 1;
    std::int64_t attempts = 2;
};

/// Small deployment on loopback addresses: a store, workers, and the project's own processes.
class site
{
public:
    /// @param folder for settings, logs and record.txt.
    site(std::string folder, int entries, int workers);
    ~site();
    site(const site&) = delete;
    site& operator=(const site&) = delete;

    /// Writes a line of the record.
    void record(const std::string& line);
    /// Writes the manifest. Tenants "a" and "b" have the keys "key-a" and "key-b".
    void configure(const std::vector<queue>& queues);
    /// Starts the workers, the agents and the entries, and waits until entries are ready.
    /// @return whether they are.
    [[nodiscard]] bool start(const std::vector<worker_kind>& kinds);
    /// Sends a request of a requester and records it with its answer.
    answer call(const std::string& method, const std::string& queue, const std::string& job,
                const std::string& key, const std::string& body = {}, int entry = 0);
    /// Names what a job's units need, for the checks of the workers.
    void expect(const std::string& job, const unit_needs& needs);
    /// Runs @p what on the thread of the stand-ins and waits for it.
    void run(const std::function<void()>& what);
    [[nodiscard]] worker& worker_at(int index)
    {
        return *this->workers[static_cast<std::size_t>(index)];
    }
    [[nodiscard]] worker_group& group() noexcept { return this->shared; }
    [[nodiscard]] daemon_process& agent(int index)
    {
        return *this->agents[static_cast<std::size_t>(index)];
    }
    [[nodiscard]] int agent_count() const noexcept { return static_cast<int>(this->agents.size()); }
    /// @return the agent that leads, by the logs; -1 if none.
    [[nodiscard]] int leader() const;
    [[nodiscard]] testing::site_store& table() { return *this->store; }
    /// @return seconds since the site was made.
    [[nodiscard]] double age() const;
    /// @return the violations that the workers saw.
    [[nodiscard]] std::vector<std::string> violations();
    /// @return the number of a job's units that workers hold.
    [[nodiscard]] int running(const std::string& job);
    /// @return whether the job's units that are done are at least @p units.
    [[nodiscard]] bool is_done(const std::string& job, std::size_t units);

private:
    std::string folder;
    core::instant began = core::boot_clock::now();
    std::mutex guard;
    std::ofstream out;
    net::event_loop loop;
    worker_group shared;
    std::unique_ptr<testing::site_store> store;
    std::vector<std::unique_ptr<worker>> workers;
    std::vector<std::unique_ptr<daemon_process>> agents;
    std::vector<std::unique_ptr<daemon_process>> entries;
    std::vector<std::string> fronts;
    std::vector<std::string> readiness;
    std::thread thread;
};

/// Waits until @p condition holds, at most @p limit.
[[nodiscard]] bool wait_for(const std::function<bool()>& condition, core::milliseconds limit);

} // namespace chicorylift::review
