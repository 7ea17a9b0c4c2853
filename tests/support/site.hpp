#pragma once

#include "chicorylift/core/time.hpp"
#include "net/http_client.hpp"
#include "support/process.hpp"
#include "support/relay.hpp"
#include "wire/wire.pb.h"

#include <absl/status/statusor.h>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace chicorylift::testing
{

/// Shape and times of a site.
struct site_options
{
    int workers = 4;
    int entries = 2;
    int workers_per_rack = 3;
    std::uint32_t slots = 8;
    std::string service = "listing-svc";
    std::string region = "hu-central";
    std::string zone = "bud-a";
    core::milliseconds heartbeat{250};
    core::milliseconds suspect{700};
    core::milliseconds gang_lease{2000};
    core::milliseconds config_poll{200};
    core::milliseconds notice{400};
    std::vector<std::string> organisations{"volunteers", "families"};
    std::string log_level = "info";
    /// Puts a relay before each agent, so that links to it can be cut or slowed.
    bool relays = false;
};

/// One run that an upstream or worker wrote down.
struct recorded_run
{
    std::int64_t at_ms{};
    std::string event;
    std::string name;
    std::string detail;
    int worker{};
};

/// Platform, entries, agents and upstreams as separate processes in a folder of their own.
class site
{
public:
    explicit site(site_options options);
    ~site();
    site(const site&) = delete;
    site& operator=(const site&) = delete;

    // Processes.
    process& platform() { return this->platform_process; }
    process& entry(int index) { return this->entries.at(static_cast<std::size_t>(index)); }
    process& agent(int index) { return this->agents.at(static_cast<std::size_t>(index)); }
    process& upstream(int index) { return this->upstreams.at(static_cast<std::size_t>(index)); }
    relay& link_to_agent(int index) { return *this->relays.at(static_cast<std::size_t>(index)); }
    /// @return the index of the agent that leads the cell, or -1.
    [[nodiscard]] int leader_index() const;
    [[nodiscard]] int worker_count() const { return this->options.workers; }

    // What goes wrong by command.
    void platform_fault(const std::string& fault, const std::string& value) const;
    void upstream_fault(int index, const std::string& fault, std::int64_t value) const;

    // Requests.
    [[nodiscard]] absl::StatusOr<net::client_response>
    request(int entry, const std::string& token, const std::string& method, const std::string& path,
            const std::string& body, const std::vector<net::http_header>& headers = {}) const;
    [[nodiscard]] absl::StatusOr<net::client_response>
    call(int entry, const std::string& organisation, const std::string& body,
         const std::vector<net::http_header>& headers = {}) const;
    /// Submits a job; @return its document or the error that the entry answered.
    [[nodiscard]] absl::StatusOr<wire::job_document>
    submit(int entry, const std::string& organisation, const wire::job_request& job) const;
    [[nodiscard]] absl::StatusOr<wire::job_document> job(int entry, const std::string& id) const;
    [[nodiscard]] absl::StatusOr<net::client_response> cancel(int entry,
                                                              const std::string& id) const;
    [[nodiscard]] absl::StatusOr<net::client_response>
    use_preset(int entry, const std::string& preset, const std::string& who) const;
    [[nodiscard]] absl::StatusOr<wire::status_document> status(int entry) const;

    // Waiting for events.
    /// @return whether @p happened came true within @p patience.
    static bool wait_until(const std::function<bool()>& happened, core::milliseconds patience);
    /// Waits until all workers are members and the configuration is in force on all.
    [[nodiscard]] bool wait_ready(core::milliseconds patience) const;
    /// Waits until the job's state is one of the final ones. @return that state, or "".
    [[nodiscard]] std::string wait_job(const std::string& id, core::milliseconds patience) const;
    /// Waits until the job is in @p state.
    [[nodiscard]] bool wait_state(const std::string& id, const std::string& state,
                                  core::milliseconds patience) const;

    /// Writes units, contracts and presets, and puts "ordinary" in force.
    void configure() const;
    /// @return everything that the upstreams and workers wrote down.
    [[nodiscard]] std::vector<recorded_run> runs() const;
    /// @return the largest number of times that @p name was begun, over all workers.
    [[nodiscard]] int times_run(const std::string& event, const std::string& name) const;

    [[nodiscard]] const std::string& folder() const { return this->directory; }
    [[nodiscard]] const std::string& entry_http(int index) const
    {
        return this->entry_addresses.at(static_cast<std::size_t>(index));
    }
    [[nodiscard]] const std::string& agent_http(int index) const
    {
        return this->agent_addresses.at(static_cast<std::size_t>(index));
    }
    [[nodiscard]] const std::string& platform_http() const { return this->platform_address; }

    static constexpr const char* operator_token = "operators-secret";

private:
    void start_entry(int index);
    void start_worker(int index);
    [[nodiscard]] std::vector<std::string> common_arguments(const std::string& role,
                                                            const std::string& name,
                                                            const std::string& http) const;
    [[nodiscard]] std::string log_of(const std::string& name) const;

    site_options options;
    std::string directory;
    std::string platform_address;
    std::vector<std::string> entry_addresses;
    std::vector<std::string> agent_addresses;
    std::vector<std::string> upstream_addresses;
    process platform_process;
    std::vector<std::unique_ptr<relay>> relays;
    std::vector<process> entries;
    std::vector<process> agents;
    std::vector<process> upstreams;
};

/// @return a job of one organisation kind with usual values.
[[nodiscard]] wire::job_request usual_job(std::uint32_t tasks, std::uint32_t accelerators,
                                          std::uint32_t run_time_ms);

} // namespace chicorylift::testing
