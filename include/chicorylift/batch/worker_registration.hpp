#pragma once

#include "chicorylift/batch/scheduler.hpp"

#include <cstdint>
#include <optional>
#include <string_view>

namespace chicorylift::batch
{

/// What became of an announcement.
enum class registration_result
{
    /// It describes the worker; worker() has changed or was confirmed.
    accepted,
    /// Late or repeated; worker() is unchanged.
    outdated,
    /// Waits until the worker's next response names its process.
    waiting,
    /// Not from the worker, as far as is known; worker() is unchanged.
    rejected,
};

/// @return the result's text in logs.
[[nodiscard]] std::string_view to_text(registration_result result) noexcept;

/// Decides which announcements describe an agent's worker.
///
/// Any program can send an announcement to an agent, but only the worker responds at the worker's
/// address. So the worker's responses tell which process it is, and an announcement of any other
/// process changes nothing.
class worker_registration
{
public:
    /// @param sequence increases with each announcement of a process.
    [[nodiscard]] registration_result on_announcement(const worker_info& announced,
                                                      std::uint64_t sequence);
    /// Handles a response of the worker.
    /// @param started_at start of the process that responded; 0 if the response does not name it.
    /// @return what became of a waiting announcement; nothing if none was waiting.
    std::optional<registration_result> on_response(unix_time started_at);

    /// @return the worker. Only its start is set before an announcement of its process has been
    /// accepted; `announced` is false then.
    [[nodiscard]] const worker_info& worker() const noexcept { return this->current; }

private:
    struct announcement
    {
        worker_info worker;
        std::uint64_t sequence{};
    };

    registration_result apply(const announcement& received);

    bool has_responded = false;
    worker_info current;
    std::uint64_t sequence{};
    std::optional<announcement> waiting;
    /// Latest announcement of this process with other fixed properties than the accepted one's.
    std::optional<worker_info> disputed;
};

} // namespace chicorylift::batch
