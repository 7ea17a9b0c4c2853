#pragma once

#include "net/async_http_server.hpp"
#include "net/event_loop.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <vector>

namespace chicorylift::testing
{

/// Ways in which the store stand-in fails.
struct store_faults
{
    /// Every call is answered with 503.
    bool busy = false;
    /// No call is answered.
    bool silent = false;
    /// Calls are answered after this long.
    core::milliseconds delay{};
    /// Share of writes that take effect and are not answered.
    double lose_answers = 0;
    /// Lost writes take effect this much later.
    core::milliseconds late{};
    /// No read of this table is answered; empty for none.
    std::string silent_table{};
};

/// Stand-in for the platform's metadata store, by its published protocol; in memory.
class site_store
{
public:
    site_store(net::event_loop& loop, const std::string& address);
    ~site_store();
    site_store(const site_store&) = delete;
    site_store& operator=(const site_store&) = delete;

    // Called from any thread.
    void set_faults(const store_faults& faults);
    /// Drops the history: feeds that continue from before are told that it is gone.
    void forget_history();
    /// Writes a row as the operators do, or another program.
    void put(const std::string& table, const std::string& key, const std::string& value,
             const std::string& partition = {});
    /// Removes a row as the operators do.
    void remove(const std::string& table, const std::string& key);
    /// @return calls so far.
    [[nodiscard]] std::uint64_t calls() const;
    /// @return rows of a table.
    [[nodiscard]] std::size_t rows(const std::string& table) const;

private:
    struct implementation;
    std::shared_ptr<implementation> inner;
};

} // namespace chicorylift::testing
