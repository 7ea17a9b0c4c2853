#pragma once

#include "chicorylift/core/time.hpp"

#include <array>
#include <cstddef>
#include <functional>
#include <list>

namespace chicorylift::net
{

class buffer_budget;

/// Bytes that one connection holds, as known to a buffer_budget.
class buffer_account
{
public:
    buffer_account() = default;
    buffer_account(const buffer_account&) = delete;
    buffer_account& operator=(const buffer_account&) = delete;

    /// @return the bytes that are charged for this account.
    [[nodiscard]] std::size_t held() const noexcept { return this->bytes; }

private:
    friend class buffer_budget;

    std::size_t bytes{};
    /// Bytes without which the connection could not be open.
    std::size_t base_bytes{};
    std::size_t progress_bytes{};
    core::instant progressed{};
    bool closable = true;
    std::function<void()> close;
    /// Index of the size class that lists the account; negative if none does.
    int size_class = -1;
    std::list<buffer_account*>::iterator position;
};

/// Limit on the bytes that all connections of a process hold together.
///
/// When a charge does not fit, the connection that holds most for longest without progress is
/// closed first. No operation looks at all connections. Not thread-safe.
class buffer_budget
{
public:
    explicit buffer_budget(std::size_t limit_bytes) : limit_bytes(limit_bytes) {}
    buffer_budget(const buffer_budget&) = delete;
    buffer_budget& operator=(const buffer_budget&) = delete;

    /// Adds an account.
    /// @param base_bytes what the connection costs while it is idle.
    /// @param close closes the connection and removes its account.
    /// @return whether it fits; an account that does not fit is not added.
    [[nodiscard]] bool open(buffer_account& account, std::size_t base_bytes,
                            std::function<void()> close, core::instant now);
    /// Removes an account and gives its bytes back; does nothing if it was not added.
    void remove(buffer_account& account);

    /// Changes what an account holds beyond its base.
    /// @return false if it does not fit even after all connections that should be closed earlier
    ///         were closed; the charge is unchanged then.
    [[nodiscard]] bool charge(buffer_account& account, std::size_t bytes, core::instant now);
    /// Notes that bytes were received or sent. Small amounts count as progress only together.
    void add_progress(buffer_account& account, std::size_t bytes, core::instant now);
    /// Sets whether the connection may be closed to make room, which it may at first.
    void set_closable(buffer_account& account, bool closable);

    /// @return the bytes that all accounts hold.
    [[nodiscard]] std::size_t held() const noexcept { return this->held_bytes; }
    [[nodiscard]] std::size_t limit() const noexcept { return this->limit_bytes; }

private:
    /// Accounts of similar size, those without progress for longest first.
    static constexpr std::size_t class_count = 12;
    using account_list = std::list<buffer_account*>;

    void list(buffer_account& account);
    void unlist(buffer_account& account);
    /// Closes connections until @p growth more bytes fit.
    /// @param beyond_base what the account is to hold beyond its base.
    [[nodiscard]] bool make_room(const buffer_account& account, std::size_t growth,
                                 std::size_t beyond_base, core::instant now);
    /// @return the account to close for a charge of @p except, or null if it should be refused.
    [[nodiscard]] buffer_account* first_to_close(const buffer_account& except, std::size_t bytes,
                                                 core::instant now) const;

    std::size_t limit_bytes;
    std::size_t held_bytes{};
    std::array<account_list, class_count> classes;
};

} // namespace chicorylift::net
