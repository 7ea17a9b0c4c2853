#include "net/buffer_budget.hpp"

#include <algorithm>
#include <bit>
#include <utility>

namespace chicorylift::net
{

namespace
{

// A client that sends single bytes makes progress once in so many, so that it cannot keep its place
// behind clients that transfer data.
constexpr std::size_t progress_quantum_bytes = 512;
// Accounts below 1 KB beyond their base are in the first class; each further class spans a factor
// of two.
constexpr std::size_t smallest_class_bits = 10;

double badness(std::size_t bytes, core::milliseconds without_progress)
{
    // 1 ms more, so that of those that have just made progress the largest is closed first.
    return static_cast<double>(bytes) *
           static_cast<double>(std::max<std::int64_t>(0, without_progress.count()) + 1);
}

} // namespace

bool buffer_budget::open(buffer_account& account, std::size_t base_bytes,
                         std::function<void()> close, core::instant now)
{
    account.close = std::move(close);
    account.progressed = now;
    if (!this->make_room(account, base_bytes, 0, now))
    {
        return false;
    }
    account.base_bytes = base_bytes;
    account.bytes = base_bytes;
    this->held_bytes += base_bytes;
    this->list(account);
    return true;
}

void buffer_budget::remove(buffer_account& account)
{
    this->unlist(account);
    this->held_bytes -= std::exchange(account.bytes, 0);
    account.base_bytes = 0;
}

bool buffer_budget::charge(buffer_account& account, std::size_t bytes, core::instant now)
{
    const std::size_t total = account.base_bytes + bytes;
    if (total > account.bytes && !this->make_room(account, total - account.bytes, bytes, now))
    {
        return false;
    }
    this->held_bytes += total;
    this->held_bytes -= std::exchange(account.bytes, total);
    if (account.size_class >= 0)
    {
        this->list(account);
    }
    return true;
}

bool buffer_budget::make_room(const buffer_account& account, std::size_t growth,
                              std::size_t beyond_base, core::instant now)
{
    while (this->held_bytes + growth > this->limit_bytes)
    {
        buffer_account* const victim = this->first_to_close(account, beyond_base, now);
        if (victim == nullptr)
        {
            return false;
        }
        // Removed here too: the loop must end also if the connection does not close.
        victim->close();
        this->remove(*victim);
    }
    return true;
}

void buffer_budget::add_progress(buffer_account& account, std::size_t bytes, core::instant now)
{
    account.progress_bytes += bytes;
    if (account.progress_bytes < progress_quantum_bytes)
    {
        return;
    }
    account.progress_bytes = 0;
    account.progressed = now;
    if (account.size_class >= 0)
    {
        account_list& all = this->classes.at(static_cast<std::size_t>(account.size_class));
        all.splice(all.end(), all, account.position);
    }
}

void buffer_budget::set_closable(buffer_account& account, bool closable)
{
    account.closable = closable;
    if (closable)
    {
        this->list(account);
    }
    else
    {
        this->unlist(account);
    }
}

void buffer_budget::list(buffer_account& account)
{
    const std::size_t beyond_base = account.bytes - account.base_bytes;
    const std::size_t bits = std::bit_width(beyond_base);
    const auto wanted =
        static_cast<int>(std::min(class_count - 1, bits - std::min(bits, smallest_class_bits)));
    if (account.size_class == wanted)
    {
        return;
    }
    account_list& all = this->classes.at(static_cast<std::size_t>(wanted));
    if (account.size_class < 0)
    {
        account.position = all.insert(all.end(), &account);
    }
    else
    {
        all.splice(all.end(), this->classes.at(static_cast<std::size_t>(account.size_class)),
                   account.position);
    }
    account.size_class = wanted;
}

void buffer_budget::unlist(buffer_account& account)
{
    if (account.size_class >= 0)
    {
        this->classes.at(static_cast<std::size_t>(account.size_class)).erase(account.position);
        account.size_class = -1;
    }
}

buffer_account* buffer_budget::first_to_close(const buffer_account& except, std::size_t bytes,
                                              core::instant now) const
{
    buffer_account* worst = nullptr;
    double worst_badness = -1;
    for (const account_list& all : this->classes)
    {
        auto first = all.begin();
        if (first != all.end() && *first == &except)
        {
            ++first;
        }
        if (first == all.end())
        {
            continue;
        }
        const double each =
            badness((*first)->bytes - (*first)->base_bytes, now - (*first)->progressed);
        if (each > worst_badness)
        {
            worst = *first;
            worst_badness = each;
        }
    }
    const bool refused = except.closable && badness(bytes, now - except.progressed) > worst_badness;
    return refused ? nullptr : worst;
}

} // namespace chicorylift::net
