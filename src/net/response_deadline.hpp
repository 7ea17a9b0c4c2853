#pragma once

#include "chicorylift/core/time.hpp"

#include <cstddef>

namespace chicorylift::net
{

/// Decides when a client gives up a response.
///
/// A response must begin within one limit. With a limit on stalls, it may then take as long as its
/// bytes keep coming, however large it is; without one, the first limit covers all of it.
class response_deadline
{
public:
    /// Bytes that must arrive within the limit on stalls, so that single bytes do not keep a call
    /// open.
    static constexpr std::size_t min_progress_bytes = 4096;

    /// @param first_byte limit from @p started_at until the response begins.
    /// @param stall limit on stalls; 0 for none.
    response_deadline(core::instant started_at, core::milliseconds first_byte,
                      core::milliseconds stall) noexcept
        : expires_at(started_at + first_byte), stall(stall)
    {
    }

    /// Records that @p count further bytes have arrived.
    void on_bytes(std::size_t count, core::instant now) noexcept;
    /// @return when the response is given up unless more bytes arrive.
    [[nodiscard]] core::instant at() const noexcept { return this->expires_at; }

private:
    core::instant expires_at;
    core::milliseconds stall;
    bool begun = false;
    /// Bytes since the last progress.
    std::size_t pending_bytes{};
};

} // namespace chicorylift::net
