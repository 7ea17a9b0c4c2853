#include "site/refusal_log.hpp"

#include "support/events.hpp"

#include <algorithm>

namespace chicorylift::site
{

namespace
{

namespace events = support::events;

constexpr core::milliseconds write_interval{1000};
// Memory of the smallest machine that is supported.
constexpr std::size_t default_memory_mb = 128;
constexpr std::size_t bytes_per_mb = 1U << 20U;
// Beside the buffers, a process needs about 20 MB for itself, 10 MB while it decodes the largest
// body, and room that the allocator cannot use.
constexpr std::size_t memory_per_buffer = 4;
// 200 for files; 64 each for the readiness and metrics ports, and 64 for the store, other processes
// and the loop.
constexpr std::size_t reserved_descriptors = 392;

} // namespace

refusal_log::refusal_log(net::event_loop& loop, support::metrics& metrics,
                         std::shared_ptr<const net::buffer_budget> budget)
    : loop(loop), metrics(metrics), budget(std::move(budget))
{
}

void refusal_log::note(net::refusal reason)
{
    const std::string_view text = net::to_text(reason);
    this->metrics.increment("connections_refused", text);
    ++this->unwritten[text];
    if (!this->will_write)
    {
        this->will_write = true;
        this->loop.run_after(write_interval, [this] { this->write(); });
    }
}

void refusal_log::write()
{
    this->will_write = false;
    for (const auto& [reason, count] : this->unwritten)
    {
        events::write("connections_refused", {{"reason", reason},
                                              {"count", count},
                                              {"buffered_bytes", this->budget->held()},
                                              {"buffer_limit_bytes", this->budget->limit()}});
    }
    this->unwritten.clear();
}

std::shared_ptr<net::buffer_budget> make_buffer_budget(const settings& values)
{
    const std::size_t memory_mb = values.memory_mb > 0 ? values.memory_mb : default_memory_mb;
    const std::size_t limit = values.buffer_mb > 0 ? values.buffer_mb * bytes_per_mb
                                                   : memory_mb * bytes_per_mb / memory_per_buffer;
    return std::make_shared<net::buffer_budget>(limit);
}

std::size_t max_client_connections(const settings& values)
{
    const std::size_t allowed = values.max_connections;
    return values.max_descriptors == 0
               ? allowed
               : std::min<std::size_t>(allowed, values.max_descriptors - reserved_descriptors);
}

} // namespace chicorylift::site
