#pragma once

#include "chicorylift/core/time.hpp"

namespace chicorylift::batch
{

/// Distinguishes a worker that does not respond to its agent from one with occasional lost
/// responses.
class worker_liveness
{
public:
    explicit worker_liveness(core::instant start) : last_response(start) {}

    void on_response(core::instant now) noexcept;
    void on_failure() noexcept { ++this->failures; }

    /// @return whether the worker is considered unresponsive: at least 3 calls in a row failed, and
    /// the last response is more than 1.5 s old.
    [[nodiscard]] bool is_unresponsive(core::instant now) const noexcept;
    /// @return whether the last call succeeded, so that the next one may be a long poll.
    [[nodiscard]] bool last_call_succeeded() const noexcept { return this->failures == 0; }
    /// @return time since the last response.
    [[nodiscard]] core::milliseconds time_since_response(core::instant now) const noexcept;

private:
    core::instant last_response;
    int failures = 0;
};

} // namespace chicorylift::batch
