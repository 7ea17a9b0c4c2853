#pragma once

#include "net/async_http_client.hpp"
#include "net/async_http_server.hpp"
#include "net/event_loop.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace chicorylift::review
{

/// What a worker can hold, or a unit needs.
struct amount
{
    std::int64_t cpu{};
    std::int64_t memory{};
    std::int64_t accelerators{};
};

/// What a job's units need from a worker.
struct unit_needs
{
    amount each;
    std::string label;
};

/// Kind of a worker; a new boot may be of another kind.
struct worker_kind
{
    amount capacity;
    std::string label;
};

/// Writes a line of the record.
using line_writer = std::function<void(const std::string&)>;

/// What the workers of one site share. Used on the loop's thread only.
struct worker_group
{
    net::event_loop& loop;
    line_writer record;
    /// Needs by job ID.
    std::map<std::string, unit_needs> needs;
    /// Rules that were broken, one line each.
    std::vector<std::string> violations;
    /// Units that end as `done`, and the number of starts, by job ID.
    std::map<std::string, std::set<std::string>> done;
    std::map<std::string, int> starts;
    /// Units that a worker holds now, by job ID.
    std::map<std::string, int> running;
    std::int64_t last_born{};
};

/// Stand-in for one worker, by the published protocol. It does not guard its capacity.
///
/// A unit's payload is "run MS", "fail MS" or, for one that lasts, "last 0". Used on the loop's
/// thread only.
class worker
{
public:
    /// @param address where it takes calls.
    /// @param agent where it sends its reports.
    worker(worker_group& group, std::string id, std::string address, std::string agent,
           std::string zone, std::string rack);
    ~worker();
    worker(const worker&) = delete;
    worker& operator=(const worker&) = delete;

    /// Begins a new life.
    void boot(const worker_kind& kind);
    /// Ends at once, with all that runs; its connections are reset.
    void crash();
    /// Ends the units of a job as `failed`.
    void fail_units(const std::string& job);

    [[nodiscard]] const std::string& name() const noexcept { return this->id; }
    /// @return ends that it still lists, since no call has noted them.
    [[nodiscard]] std::size_t unnoted_ends() const noexcept { return this->ends.size(); }
    /// @return all ends of this life.
    [[nodiscard]] std::uint64_t all_ends() const noexcept { return this->next_end - 1; }
    [[nodiscard]] std::size_t units_held() const noexcept { return this->runs.size(); }

private:
    using responder = net::async_http_server::responder;
    struct run
    {
        std::uint64_t number{};
        std::int64_t began_ms{};
        std::int64_t duration_ms{};
        bool fails = false;
        bool lasts = false;
        bool stopping = false;
        std::uint64_t token{};
    };
    struct ended_run
    {
        std::uint64_t number{};
        std::string unit;
        std::uint64_t run{};
        std::string how;
    };
    struct waiting_call
    {
        std::uint64_t id{};
        responder respond;
    };

    void report();
    void watch_lease();
    void answer(const net::server_request& request, const responder& respond);
    [[nodiscard]] std::string begin(const std::string& unit, std::uint64_t number,
                                    const std::string& payload);
    void check(const std::string& unit);
    void finish(const std::string& unit, const std::string& how);
    [[nodiscard]] net::server_response plain(int status, const std::string& reason) const;
    [[nodiscard]] net::server_response lists() const;
    void answer_waiting();

    worker_group& group;
    std::string id;
    std::string address;
    std::string agent;
    std::string zone;
    std::string rack;
    worker_kind kind;
    net::async_http_client client;
    std::unique_ptr<net::async_http_server> server;
    std::int64_t born{};
    std::uint64_t sequence{};
    std::uint64_t fencing_token{};
    std::int64_t lease_until{};
    std::uint64_t next_end{1};
    std::uint64_t next_token{};
    std::uint64_t next_call{};
    std::map<std::string, run> runs;
    std::map<std::string, std::uint64_t> barred;
    std::vector<ended_run> ends;
    std::vector<waiting_call> waiting;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace chicorylift::review
