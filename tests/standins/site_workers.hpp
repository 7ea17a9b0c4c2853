#pragma once

#include "net/async_http_client.hpp"
#include "net/async_http_server.hpp"
#include "net/event_loop.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace chicorylift::testing
{

/// Addresses and size of one worker stand-in.
struct worker_place
{
    std::string id;
    /// Where the worker takes orders.
    std::string address;
    /// Where its agent hears it.
    std::string agent;
    std::string rack;
    std::int64_t accelerators = 8;
    std::string zone = "z";
};

/// What the workers saw, over all of them.
struct worker_records
{
    /// Starts by unit name.
    std::map<std::string, int> starts;
    /// Good ends by unit name.
    std::map<std::string, int> done;
    /// Units with a good end, also with one that was lost before anybody noted it.
    std::set<std::string> ever_done;
    /// Units that are there now, and the accelerators they take by worker that isn't silent.
    std::set<std::string> running;
    std::map<std::string, std::int64_t> in_use;
    /// What must never happen, one line each.
    std::vector<std::string> violations;
    /// Until when each worker lets its runs continue, on the boot clock, by worker id.
    std::map<std::string, core::instant> leases;
    int alone = 0;
    /// Starts by zone.
    std::map<std::string, int> zone_starts;
};

/// Stand-ins for the users' workers, by their published protocol.
///
/// A unit's payload is its duration in milliseconds, or "fail". Gangs work from the moment at
/// which all of their members are there; the payload then ends in "/N" for N members.
/// "#A" at the end of a payload is a unit's number of accelerators.
class site_workers
{
public:
    site_workers(net::event_loop& loop, const std::vector<worker_place>& places);
    ~site_workers();
    site_workers(const site_workers&) = delete;
    site_workers& operator=(const site_workers&) = delete;

    // Called from any thread.
    [[nodiscard]] worker_records records() const;
    /// The worker forgets everything and begins a new life under the same id.
    void reboot(const std::string& id);
    /// The worker answers nothing, and goes on with its work.
    void set_silent(const std::string& id, bool silent);
    /// The worker announces its departure and ends, with all that it runs.
    void leave(const std::string& id);
    /// The worker carries out what it is told, and its responses are lost.
    void lose_responses(const std::string& id, bool lost);
    /// The worker lists a run and an end that cannot be read, besides its own.
    void list_odd_rows(const std::string& id);
    /// Starts on the zone's workers later than @p limit from now are violations, until it is
    /// restored.
    void evacuate(const std::string& zone, core::milliseconds limit);
    void restore(const std::string& zone);
    /// The next starts get no answer and are carried out after @p late.
    void delay_starts(int count, core::milliseconds late);

private:
    struct implementation;
    std::shared_ptr<implementation> inner;
};

} // namespace chicorylift::testing
