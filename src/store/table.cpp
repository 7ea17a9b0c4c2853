#include "store/table.hpp"

#include "chicorylift/core/error.hpp"
#include "chicorylift/core/registry.hpp"
#include "support/random_hex_id.hpp"

#include <algorithm>
#include <random>
#include <thread>

namespace chicorylift::store
{

namespace
{

constexpr core::milliseconds first_pause{20};
constexpr core::milliseconds longest_pause{1000};
constexpr std::int64_t pause_growth = 2;

/// Pauses that grow and differ between processes, so that a store that returns is not stormed.
class backoff
{
public:
    core::milliseconds next()
    {
        std::uniform_int_distribution<std::int64_t> spread(this->pause.count() / 2,
                                                           this->pause.count());
        const core::milliseconds chosen{spread(this->random)};
        this->pause = std::min(this->pause * pause_growth, longest_pause);
        return chosen;
    }

private:
    core::milliseconds pause = first_pause;
    std::minstd_rand random{std::random_device{}()};
};

const wire::table_write* first_written(const wire::table_commit& transaction)
{
    for (const wire::table_write& write : transaction.writes())
    {
        if (!write.check_only())
        {
            return &write;
        }
    }
    return nullptr;
}

/// Reads back what a commit with a lost answer has left.
/// @return applied or conflict when the row tells, else unknown.
commit_result read_back(table& target, const wire::table_commit& transaction)
{
    commit_result result;
    const wire::table_write* written = first_written(transaction);
    if (written == nullptr)
    {
        return result;
    }
    const auto row = target.read(written->key());
    if (row.ok() && row->writer() == transaction.writer())
    {
        result.outcome = commit_outcome::applied;
        result.version = row->version();
    }
    else if (row.ok() && row->version() != written->if_version() && !written->any_version())
    {
        // Somebody else has written since; our write may lie underneath.
        result.conflicting = *row;
    }
    return result;
}

} // namespace

std::unique_ptr<table> open_table(const std::string& adapter, const std::string& address)
{
    return core::registry<table_factory>::instance().find(adapter)->open(address);
}

commit_result commit_with_retry(table& target, const wire::table_commit& transaction,
                                core::milliseconds patience, const std::function<bool()>& give_up)
{
    const core::instant limit = core::boot_clock::now() + patience;
    backoff pauses;
    bool may_have_applied = false;
    for (;;)
    {
        commit_result result = target.commit(transaction);
        if (result.outcome == commit_outcome::conflict && may_have_applied)
        {
            commit_result found = read_back(target, transaction);
            if (found.outcome == commit_outcome::applied)
            {
                return found;
            }
            // Our write may have been applied and then overwritten by the one that we met.
            result.outcome = commit_outcome::unknown;
            return result;
        }
        if (result.outcome == commit_outcome::applied || result.outcome == commit_outcome::conflict)
        {
            return result;
        }
        if (result.outcome == commit_outcome::unknown)
        {
            may_have_applied = true;
            commit_result found = read_back(target, transaction);
            if (found.outcome == commit_outcome::applied || !found.conflicting.key().empty())
            {
                return found;
            }
        }
        if (core::boot_clock::now() >= limit || give_up())
        {
            result.outcome =
                may_have_applied ? commit_outcome::unknown : commit_outcome::unavailable;
            return result;
        }
        std::this_thread::sleep_for(pauses.next());
    }
}

wire::table_commit new_transaction()
{
    wire::table_commit transaction;
    transaction.set_writer(support::random_hex_id());
    return transaction;
}

void add_write(wire::table_commit& transaction, const std::string& key, std::uint32_t if_version,
               std::string value)
{
    wire::table_write* write = transaction.add_writes();
    write->set_key(key);
    write->set_if_version(if_version);
    write->set_value(std::move(value));
}

void add_check(wire::table_commit& transaction, const std::string& key, std::uint32_t if_version)
{
    wire::table_write* write = transaction.add_writes();
    write->set_key(key);
    write->set_if_version(if_version);
    write->set_check_only(true);
}

void add_removal(wire::table_commit& transaction, const std::string& key, std::uint32_t if_version)
{
    wire::table_write* write = transaction.add_writes();
    write->set_key(key);
    write->set_if_version(if_version);
    write->set_remove(true);
}

} // namespace chicorylift::store
