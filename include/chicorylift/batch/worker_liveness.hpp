#pragma once

#include "chicorylift/core/time.hpp"

namespace chicorylift::batch
{

/// Tells a worker that does not answer its agent from one of whose answers some are lost.
class worker_liveness
{
public:
    explicit worker_liveness(core::instant start) : last_response(start) {}

    void on_response(core::instant now) noexcept;
    void on_failure() noexcept { ++this->failures; }

    /// @return whether the worker counts as silent.
    [[nodiscard]] bool is_unresponsive(core::instant now) const noexcept;
    /// @return whether the last call was answered, so that the next one may wait for news.
    [[nodiscard]] bool last_call_succeeded() const noexcept { return this->failures == 0; }
    /// @return time since the last answer.
    [[nodiscard]] core::milliseconds time_since_response(core::instant now) const noexcept;

private:
    core::instant last_response;
    int failures = 0;
};

} // namespace chicorylift::batch
