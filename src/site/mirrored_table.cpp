#include "site/mirrored_table.hpp"

#include "chicorylift/core/error.hpp"
#include "support/events.hpp"

#include <algorithm>
#include <random>
#include <set>
#include <utility>

namespace chicorylift::site
{

namespace
{

namespace events = support::events;

// Limits the wait for the response to begin.
constexpr core::milliseconds list_timeout{1200};
// Longer transfers are logged: they delay what the rows say.
constexpr core::milliseconds slow_transfer{300};
// A row's value is encoded in four bytes for three; its name and version take the rest.
constexpr std::size_t encoded_bytes_per_3 = 4;
constexpr std::size_t row_overhead_bytes = 200;
// Below this, another round trip costs more than the bytes that it saves.
constexpr std::size_t min_saving_bytes = 64U << 10U;
constexpr core::milliseconds min_retry_delay{100};
// Recovers within a second of the service's return; jitter spreads the retries of the processes.
constexpr core::milliseconds max_retry_delay{600};

} // namespace

bool is_listing_cheaper(std::size_t changes_bytes, std::size_t listing_bytes) noexcept
{
    // A single new version that is larger than the known one is received as it is.
    return changes_bytes > listing_bytes + listing_bytes / 2 + min_saving_bytes;
}

struct mirrored_table::implementation
    : public std::enable_shared_from_this<mirrored_table::implementation>
{
    implementation(net::event_loop& loop, ports::table_service& service, mirror_settings settings,
                   row_receiver on_row, confirmed_receiver on_confirmed)
        : loop(loop), service(service), settings(std::move(settings)), on_row(std::move(on_row)),
          on_confirmed(std::move(on_confirmed)), random(std::random_device{}())
    {
    }

    void list(const std::string& first_key)
    {
        const core::instant sent_at = core::boot_clock::now();
        if (first_key.empty())
        {
            this->listed.clear();
            this->list_sent_at = sent_at;
            this->list_version = 0;
        }
        const std::weak_ptr<implementation> self = this->shared_from_this();
        this->service.read(
            this->settings.table, this->settings.partition, first_key, 0, list_timeout,
            [self, sent_at](const absl::StatusOr<ports::row_page>& page)
            {
                if (const auto alive = self.lock())
                {
                    alive->record_call("list", sent_at, page);
                    alive->on_list(page);
                }
            },
            [self](const ports::page_extent&)
            {
                const auto alive = self.lock();
                if (alive != nullptr)
                {
                    alive->answered = core::boot_clock::now();
                }
                return alive != nullptr;
            });
    }

    void on_list(const absl::StatusOr<ports::row_page>& page)
    {
        if (!page.ok() || page->version < this->newest)
        {
            // A response with a lower version than one already seen is stale and is discarded.
            this->retry([](implementation& self) { self.list({}); });
            return;
        }
        if (this->list_version == 0)
        {
            this->list_version = page->version;
        }
        for (const ports::row& row : page->rows)
        {
            this->listed.insert(row.id.key);
            this->apply(row);
        }
        if (page->truncated && !page->rows.empty())
        {
            this->list(page->rows.back().id.key + '\0');
            return;
        }
        this->drop_unlisted();
        this->after = this->list_version;
        this->newest = std::max(this->newest, this->list_version);
        this->loaded = true;
        this->on_success(this->list_sent_at);
        this->watch(this->settings.wait);
    }

    void drop_unlisted()
    {
        std::vector<std::string> removed_keys;
        for (const auto& [key, version] : this->versions)
        {
            if (!this->listed.contains(key) && version <= this->list_version)
            {
                removed_keys.push_back(key);
            }
        }
        for (const std::string& key : removed_keys)
        {
            ports::row removed;
            removed.id = {this->settings.table, this->settings.partition, key};
            removed.version = this->list_version;
            removed.removed = true;
            this->versions.erase(key);
            this->value_bytes -= this->sizes[key];
            this->sizes.erase(key);
            this->on_row(removed);
        }
    }

    /// @param wait longest time for which the service may delay its response.
    void watch(core::milliseconds wait)
    {
        const core::instant sent_at = core::boot_clock::now();
        const std::weak_ptr<implementation> self = this->shared_from_this();
        const std::uint64_t number = ++this->watch_number;
        this->watch_in_flight = true;
        this->changes_arriving = false;
        this->service.watch(
            this->settings.table, this->after,
            std::exchange(this->confirm_wanted, false) ? core::milliseconds{0} : wait,
            [self, sent_at, number](const absl::StatusOr<ports::row_page>& page)
            {
                const auto alive = self.lock();
                // The answer of a superseded watch is not used: the later one covers its changes.
                if (alive != nullptr && number == alive->watch_number)
                {
                    alive->watch_in_flight = false;
                    if (!alive->listing_wanted)
                    {
                        alive->record_call("watch", sent_at, page);
                    }
                    alive->on_changes(page, sent_at);
                }
            },
            [self, number](const ports::page_extent& extent)
            {
                const auto alive = self.lock();
                return alive != nullptr && number == alive->watch_number &&
                       alive->wants_changes(extent.expected_bytes);
            });
    }

    bool wants_changes(std::size_t changes_bytes)
    {
        this->changes_arriving = true;
        this->answered = core::boot_clock::now();
        this->pending_since = this->pending_since.value_or(this->answered);
        const std::size_t listing_bytes = this->value_bytes / 3 * encoded_bytes_per_3 +
                                          this->versions.size() * row_overhead_bytes;
        if (!is_listing_cheaper(changes_bytes, listing_bytes))
        {
            return true;
        }
        this->listing_wanted = true;
        events::write("table_relisted",
                      {{"at", this->settings.reader},
                       {"table", this->settings.table},
                       {"after_version", this->after},
                       {"changes_bytes", static_cast<std::uint64_t>(changes_bytes)},
                       {"listing_bytes", static_cast<std::uint64_t>(listing_bytes)}});
        this->count("table_relisted", this->settings.table, 1);
        return false;
    }

    void confirm_soon()
    {
        // A listing, a retry or changes in progress are followed by a watch.
        this->confirm_wanted = true;
        if (this->watch_in_flight && !this->changes_arriving)
        {
            this->watch(core::milliseconds{0});
        }
    }

    void on_changes(const absl::StatusOr<ports::row_page>& page, core::instant sent_at)
    {
        if (!page.ok())
        {
            if (std::exchange(this->listing_wanted, false) ||
                core::kind_of(page.status()) == core::error_kind::not_found)
            {
                this->list({});
                return;
            }
            // The retry does not wait for changes, so that the service's return is detected at
            // once.
            this->retry([](implementation& self) { self.watch(core::milliseconds{0}); });
            return;
        }
        if (page->version < this->newest)
        {
            this->retry([](implementation& self) { self.list({}); });
            return;
        }
        for (const ports::row& row : page->rows)
        {
            if (row.id.partition == this->settings.partition)
            {
                this->apply(row);
            }
            this->after = std::max(this->after, row.version);
        }
        if (!page->truncated)
        {
            this->after = std::max(this->after, page->version);
        }
        this->newest = std::max(this->newest, page->version);
        // The rest of a truncated page follows with the next answer.
        this->on_success(page->truncated ? this->confirmed : sent_at);
        this->watch(this->settings.wait);
    }

    void apply(const ports::row& row)
    {
        ports::revision& known = this->versions[row.id.key];
        if (row.version <= known)
        {
            return;
        }
        known = row.version;
        std::size_t& size = this->sizes[row.id.key];
        this->value_bytes += row.value.size() - size;
        size = row.value.size();
        if (row.removed)
        {
            this->versions.erase(row.id.key);
            this->sizes.erase(row.id.key);
        }
        this->on_row(row);
    }

    void on_success(core::instant sent_at)
    {
        this->confirmed = std::max(this->confirmed, sent_at);
        this->answered = core::boot_clock::now();
        this->pending_since.reset();
        this->failing_since = {};
        this->retry_delay = min_retry_delay;
        this->on_confirmed();
    }

    /// Logs and counts the outcome of a call.
    void record_call(std::string_view call, core::instant sent_at,
                     const absl::StatusOr<ports::row_page>& page)
    {
        const core::instant now = core::boot_clock::now();
        const std::string kind = this->settings.table + " " + std::string(call);
        if (!page.ok())
        {
            this->count("table_calls_failed", kind, 1);
            events::write("table_call_failed",
                          {{"at", this->settings.reader},
                           {"table", this->settings.table},
                           {"call", call},
                           {"after_version", this->after},
                           {"took_ms", (now - sent_at).count()},
                           {"behind_ms", (now - std::max(this->confirmed, this->created)).count()},
                           {"reason", std::string(page.status().message())}});
            return;
        }
        this->count("table_bytes", kind, page->transfer.body_bytes);
        const ports::page_transfer& transfer = page->transfer;
        if (transfer.complete - transfer.first_byte + transfer.decoding >= slow_transfer)
        {
            this->count("table_calls_slow", kind, 1);
            events::write("table_call_slow",
                          {{"at", this->settings.reader},
                           {"table", this->settings.table},
                           {"call", call},
                           {"version", page->version},
                           {"rows", static_cast<std::uint64_t>(page->rows.size())},
                           {"bytes", static_cast<std::uint64_t>(transfer.body_bytes)},
                           {"first_byte_ms", transfer.first_byte.count()},
                           {"complete_ms", transfer.complete.count()},
                           {"decoding_ms", transfer.decoding.count()},
                           {"behind_ms", (now - this->confirmed).count()}});
        }
    }

    void count(std::string_view name, const std::string& kind, std::uint64_t amount)
    {
        if (this->settings.metrics != nullptr)
        {
            this->settings.metrics->increment(name, kind, amount);
        }
    }

    void retry(void (*operation)(implementation&))
    {
        if (this->failing_since == core::instant{})
        {
            this->failing_since = core::boot_clock::now();
        }
        std::uniform_int_distribution<std::int64_t> jitter(this->retry_delay.count() / 2,
                                                           this->retry_delay.count());
        const core::milliseconds delay{jitter(this->random)};
        this->retry_delay = std::min(this->retry_delay * 2, max_retry_delay);
        const std::weak_ptr<implementation> self = this->shared_from_this();
        this->loop.run_after(delay,
                             [self, operation]
                             {
                                 if (const auto alive = self.lock())
                                 {
                                     operation(*alive);
                                 }
                             });
    }

    net::event_loop& loop;
    ports::table_service& service;
    mirror_settings settings;
    row_receiver on_row;
    confirmed_receiver on_confirmed;
    std::minstd_rand random;
    std::map<std::string, ports::revision> versions;
    /// Bytes of the rows' values, by key and in total.
    std::map<std::string, std::size_t> sizes;
    std::size_t value_bytes{};
    std::set<std::string> listed;
    ports::revision after{};
    ports::revision newest{};
    ports::revision list_version{};
    core::instant list_sent_at{};
    core::instant created = core::boot_clock::now();
    core::instant confirmed{};
    core::instant answered{};
    std::optional<core::instant> pending_since;
    core::instant failing_since{};
    core::milliseconds retry_delay = min_retry_delay;
    bool loaded = false;
    std::uint64_t watch_number{};
    bool watch_in_flight = false;
    bool changes_arriving = false;
    /// The watch was given up for a listing.
    bool listing_wanted = false;
    /// The next watch does not wait for changes.
    bool confirm_wanted = false;
};

mirrored_table::mirrored_table(net::event_loop& loop, ports::table_service& service,
                               mirror_settings settings, row_receiver on_row,
                               confirmed_receiver on_confirmed)
    : inner(std::make_shared<implementation>(loop, service, std::move(settings), std::move(on_row),
                                             std::move(on_confirmed)))
{
    // The first call is deferred until the owner has been constructed.
    const std::weak_ptr<implementation> self = this->inner;
    loop.run_after(core::milliseconds{0},
                   [self]
                   {
                       if (const auto alive = self.lock())
                       {
                           alive->list({});
                       }
                   });
}

mirrored_table::~mirrored_table() = default;

bool mirrored_table::is_loaded() const noexcept
{
    return this->inner->loaded;
}

core::instant mirrored_table::confirmed_at() const noexcept
{
    return this->inner->confirmed;
}

core::instant mirrored_table::last_answer_at() const noexcept
{
    return this->inner->answered;
}

std::optional<core::instant> mirrored_table::changes_pending_since() const noexcept
{
    return this->inner->pending_since;
}

core::milliseconds mirrored_table::failing_for(core::instant now) const noexcept
{
    return this->inner->failing_since == core::instant{} ? core::milliseconds{0}
                                                         : now - this->inner->failing_since;
}

ports::revision mirrored_table::version() const noexcept
{
    return this->inner->newest;
}

ports::revision mirrored_table::version_of(const std::string& key) const
{
    const auto found = this->inner->versions.find(key);
    return found == this->inner->versions.end() ? 0 : found->second;
}

void mirrored_table::confirm_soon()
{
    this->inner->confirm_soon();
}

void mirrored_table::note_written(const std::string& key, ports::revision version)
{
    ports::revision& known = this->inner->versions[key];
    known = std::max(known, version);
}

} // namespace chicorylift::site
