#include "site/mirrored_table.hpp"

#include "chicorylift/core/error.hpp"

#include <algorithm>
#include <random>
#include <set>

namespace chicorylift::site
{

namespace
{

constexpr core::milliseconds list_patience{1200};
constexpr core::milliseconds first_pause{100};
// Back within a second of the service's return, without all processes at once.
constexpr core::milliseconds longest_pause{600};

} // namespace

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
        const core::instant asked = core::boot_clock::now();
        if (first_key.empty())
        {
            this->listed.clear();
            this->list_asked = asked;
            this->list_version = 0;
        }
        const std::weak_ptr<implementation> self = this->shared_from_this();
        this->service.read(this->settings.table, this->settings.partition, first_key, 0,
                           list_patience,
                           [self](const absl::StatusOr<ports::row_page>& page)
                           {
                               if (const auto alive = self.lock())
                               {
                                   alive->on_list(page);
                               }
                           });
    }

    void on_list(const absl::StatusOr<ports::row_page>& page)
    {
        if (!page.ok() || page->version < this->newest)
        {
            // A service that is behind what it has shown before tells nothing.
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
            this->take(row);
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
        this->succeed(this->list_asked);
        this->watch(this->settings.wait);
    }

    void drop_unlisted()
    {
        std::vector<std::string> gone;
        for (const auto& [key, version] : this->versions)
        {
            if (!this->listed.contains(key) && version <= this->list_version)
            {
                gone.push_back(key);
            }
        }
        for (const std::string& key : gone)
        {
            ports::row removed;
            removed.id = {this->settings.table, this->settings.partition, key};
            removed.version = this->list_version;
            removed.removed = true;
            this->versions.erase(key);
            this->on_row(removed);
        }
    }

    /// @param wait how long the service may wait for changes.
    void watch(core::milliseconds wait)
    {
        const core::instant asked = core::boot_clock::now();
        const std::weak_ptr<implementation> self = this->shared_from_this();
        this->service.watch(this->settings.table, this->after, wait,
                            [self, asked](const absl::StatusOr<ports::row_page>& page)
                            {
                                if (const auto alive = self.lock())
                                {
                                    alive->on_changes(page, asked);
                                }
                            });
    }

    void on_changes(const absl::StatusOr<ports::row_page>& page, core::instant asked)
    {
        if (!page.ok())
        {
            if (core::kind_of(page.status()) == core::error_kind::not_found)
            {
                this->list({});
                return;
            }
            // At once, so that the service's return shows as soon as it is there.
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
                this->take(row);
            }
            this->after = std::max(this->after, row.version);
        }
        if (!page->truncated)
        {
            this->after = std::max(this->after, page->version);
        }
        this->newest = std::max(this->newest, page->version);
        this->succeed(asked);
        this->watch(this->settings.wait);
    }

    void take(const ports::row& row)
    {
        ports::revision& known = this->versions[row.id.key];
        if (row.version <= known)
        {
            return;
        }
        known = row.version;
        if (row.removed)
        {
            this->versions.erase(row.id.key);
        }
        this->on_row(row);
    }

    void succeed(core::instant asked)
    {
        this->confirmed = std::max(this->confirmed, asked);
        this->answered = core::boot_clock::now();
        this->failing_since = {};
        this->pause = first_pause;
        this->on_confirmed();
    }

    void retry(void (*what)(implementation&))
    {
        if (this->failing_since == core::instant{})
        {
            this->failing_since = core::boot_clock::now();
        }
        std::uniform_int_distribution<std::int64_t> spread(this->pause.count() / 2,
                                                           this->pause.count());
        const core::milliseconds delay{spread(this->random)};
        this->pause = std::min(this->pause * 2, longest_pause);
        const std::weak_ptr<implementation> self = this->shared_from_this();
        this->loop.run_after(delay,
                             [self, what]
                             {
                                 if (const auto alive = self.lock())
                                 {
                                     what(*alive);
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
    std::set<std::string> listed;
    ports::revision after{};
    ports::revision newest{};
    ports::revision list_version{};
    core::instant list_asked{};
    core::instant confirmed{};
    core::instant answered{};
    core::instant failing_since{};
    core::milliseconds pause = first_pause;
    bool loaded = false;
};

mirrored_table::mirrored_table(net::event_loop& loop, ports::table_service& service,
                               mirror_settings settings, row_receiver on_row,
                               confirmed_receiver on_confirmed)
    : inner(std::make_shared<implementation>(loop, service, std::move(settings), std::move(on_row),
                                             std::move(on_confirmed)))
{
    // The first call waits until the owner is complete.
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

core::milliseconds mirrored_table::failing_for(core::instant now) const noexcept
{
    return this->inner->failing_since == core::instant{} ? core::milliseconds{0}
                                                         : now - this->inner->failing_since;
}

ports::revision mirrored_table::version_of(const std::string& key) const
{
    const auto found = this->inner->versions.find(key);
    return found == this->inner->versions.end() ? 0 : found->second;
}

void mirrored_table::note_written(const std::string& key, ports::revision version)
{
    ports::revision& known = this->inner->versions[key];
    known = std::max(known, version);
}

} // namespace chicorylift::site
