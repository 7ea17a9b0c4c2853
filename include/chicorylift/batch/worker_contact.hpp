#pragma once

#include "chicorylift/core/time.hpp"

namespace chicorylift::batch
{

/// Tells a worker that does not answer its agent from one of whose answers some are lost.
class worker_contact
{
public:
    explicit worker_contact(core::instant start) : answered(start) {}

    void on_answer(core::instant now) noexcept;
    void on_failure() noexcept { ++this->failures; }

    /// @return whether the worker counts as silent.
    [[nodiscard]] bool is_silent(core::instant now) const noexcept;
    /// @return whether the last call was answered, so that the next one may wait for news.
    [[nodiscard]] bool is_sound() const noexcept { return this->failures == 0; }
    /// @return time since the last answer.
    [[nodiscard]] core::milliseconds silence(core::instant now) const noexcept;

private:
    core::instant answered;
    int failures = 0;
};

} // namespace chicorylift::batch
