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

constexpr core::milliseconds initial_backoff{20};
constexpr core::milliseconds max_backoff{1000};
constexpr std::int64_t backoff_factor = 2;

/// Exponential backoff with jitter, so that clients do not retry in step when the store recovers.
class backoff
{
public:
    core::milliseconds next()
    {
        std::uniform_int_distribution<std::int64_t> jitter(this->delay.count() / 2,
                                                           this->delay.count());
        const core::milliseconds jittered{jitter(this->random)};
        this->delay = std::min(this->delay * backoff_factor, max_backoff);
        return jittered;
    }

private:
    core::milliseconds delay = initial_backoff;
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

/// Determines the outcome of a commit without a response from its first written row.
/// @return applied if the row has this transaction's writer token, else unknown; conflicting is set
/// if the row has another writer and an unexpected version.
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
        // Another client wrote the row, possibly after this transaction was applied.
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
                                core::milliseconds retry_timeout,
                                const std::function<bool()>& should_abort)
{
    const core::instant retry_deadline = core::boot_clock::now() + retry_timeout;
    backoff retry_backoff;
    bool may_have_applied = false;
    for (;;)
    {
        commit_result result = target.commit(transaction);
        if (result.outcome == commit_outcome::conflict && may_have_applied)
        {
            commit_result observed = read_back(target, transaction);
            if (observed.outcome == commit_outcome::applied)
            {
                return observed;
            }
            // This write may have been applied and then overwritten by the conflicting one.
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
            commit_result observed = read_back(target, transaction);
            if (observed.outcome == commit_outcome::applied || !observed.conflicting.key().empty())
            {
                return observed;
            }
        }
        if (core::boot_clock::now() >= retry_deadline || should_abort())
        {
            result.outcome =
                may_have_applied ? commit_outcome::unknown : commit_outcome::unavailable;
            return result;
        }
        std::this_thread::sleep_for(retry_backoff.next());
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
