#include "standins/site_store.hpp"

#include "platform/json_reader.hpp"

#include <Poco/URI.h>
#include <absl/strings/escaping.h>
#include <chrono>
#include <deque>
#include <set>

namespace chicorylift::testing
{

namespace
{

using platform::json_reader;
using responder = net::async_http_server::responder;

constexpr std::size_t page_size = 500;
constexpr std::size_t max_entries_per_call = 100;
constexpr std::size_t max_call_bytes = 1'000'000;
constexpr std::size_t max_row_bytes = 65'536;
// Time for which feeds can be continued.
constexpr std::chrono::seconds retention{20};
constexpr int status_conflict = 412;
constexpr int status_gone = 410;
constexpr int status_unavailable = 503;
constexpr int status_not_found = 404;

struct row_name
{
    std::string table;
    std::string part;
    std::string key;

    friend auto operator<=>(const row_name&, const row_name&) = default;
};

struct stored_row
{
    std::string value;
    std::uint64_t version{};
    bool deleted = false;
};

/// Version of a row; feeds return every one, also those that others have replaced.
struct change
{
    row_name name;
    stored_row row;
    std::chrono::steady_clock::time_point changed_at;
};

struct waiting_feed
{
    std::string table;
    std::uint64_t after{};
    responder respond;
    std::uint64_t id{};
};

std::map<std::string, std::string> query_of(const std::string& target)
{
    std::map<std::string, std::string> values;
    for (const auto& [name, value] : Poco::URI(target).getQueryParameters())
    {
        values[name] = value;
    }
    return values;
}

row_name name_from(json_reader& from)
{
    return {from.get_string("table"), from.get_string("part", false), from.get_string("key")};
}

Poco::JSON::Object::Ptr print(const row_name& name, const stored_row& row)
{
    Poco::JSON::Object::Ptr object(new Poco::JSON::Object);
    object->set("table", name.table);
    object->set("part", name.part);
    object->set("key", name.key);
    object->set("schemaVersion", row.version);
    if (row.deleted)
    {
        object->set("deleted", true);
    }
    else
    {
        object->set("value", row.value);
    }
    return object;
}

} // namespace

struct site_store::implementation : public std::enable_shared_from_this<site_store::implementation>
{
    explicit implementation(net::event_loop& loop) : loop(loop) {}

    void answer(const net::server_request& request, const responder& respond)
    {
        ++this->call_count;
        const std::lock_guard lock(this->guard);
        if (this->faults.silent)
        {
            return;
        }
        if (!this->faults.silent_table.empty() &&
            query_of(request.target)["table"] == this->faults.silent_table)
        {
            return;
        }
        if (this->faults.busy)
        {
            net::server_response response;
            response.status = status_unavailable;
            respond(response);
            return;
        }
        this->delayed(this->faults.delay, [self = this->shared_from_this(), request, respond]
                      { self->serve(request, respond); });
    }

    void delayed(core::milliseconds delay, std::function<void()> what)
    {
        this->loop.run_after(delay, std::move(what));
    }

    void serve(const net::server_request& request, const responder& respond)
    {
        const std::string name = request.path_segments.size() > 1 ? request.path_segments[1] : "";
        if (name == "rows-tx")
        {
            this->transact(request, respond);
        }
        else if (name == "rows-get")
        {
            this->read(query_of(request.target), respond);
        }
        else if (name == "rows-feed")
        {
            this->feed(query_of(request.target), respond);
        }
        else
        {
            net::server_response response;
            response.status = status_not_found;
            respond(response);
        }
    }

    void transact(const net::server_request& request, const responder& respond)
    {
        std::uniform_real_distribution<double> chance(0, 1);
        bool lost = false;
        core::milliseconds late{};
        {
            const std::lock_guard lock(this->guard);
            lost = chance(this->random) < this->faults.lose_answers;
            late = this->faults.late;
        }
        if (lost)
        {
            this->delayed(late, [self = this->shared_from_this(), body = request.body]
                          { static_cast<void>(self->apply(body)); });
            return;
        }
        respond(this->apply(request.body));
    }

    net::server_response apply(const std::string& text)
    {
        net::server_response response;
        auto body = json_reader::parse(text);
        if (!body.ok() || text.size() > max_call_bytes ||
            body->get_objects("expectedRevision", false).size() +
                    body->get_objects("puts", false).size() +
                    body->get_objects("remove", false).size() >
                max_entries_per_call)
        {
            response.status = 400;
            return response;
        }
        for (json_reader& put : body->get_objects("puts", false))
        {
            std::string value;
            if (!absl::Base64Unescape(put.get_string("value"), &value) ||
                value.size() > max_row_bytes)
            {
                response.status = 400;
                return response;
            }
        }
        Poco::JSON::Array::Ptr present(new Poco::JSON::Array);
        bool conflict = false;
        std::set<std::string> parts;
        const std::lock_guard lock(this->guard);
        for (json_reader& condition : body->get_objects("expectedRevision", false))
        {
            const row_name name = name_from(condition);
            parts.insert(name.part);
            const auto found = this->table.find(name);
            const bool exists = found != this->table.end() && !found->second.deleted;
            const std::uint64_t version = exists ? found->second.version : 0;
            conflict = conflict || version != static_cast<std::uint64_t>(
                                                  condition.get_integer("schemaVersion"));
            if (exists)
            {
                present->add(print(name, found->second));
            }
        }
        Poco::JSON::Object answer;
        if (!conflict)
        {
            ++this->version;
            for (json_reader& put : body->get_objects("puts", false))
            {
                const row_name name = name_from(put);
                parts.insert(name.part);
                this->set_row(name, {put.get_string("value"), this->version, false});
            }
            for (json_reader& removal : body->get_objects("remove", false))
            {
                const row_name name = name_from(removal);
                parts.insert(name.part);
                this->set_row(name, {"", this->version, true});
            }
            this->wake_feeds();
        }
        else
        {
            answer.set("rows", present);
            response.status = status_conflict;
        }
        if (parts.size() > 1)
        {
            response.status = 400;
            return response;
        }
        answer.set("schemaVersion", this->version);
        answer.set("nowMs", std::uint64_t{1});
        response.body = platform::to_text(answer);
        return response;
    }

    void read(std::map<std::string, std::string> query, const responder& respond)
    {
        const std::lock_guard lock(this->guard);
        const std::size_t limit = query["limit"].empty() ? page_size : std::stoull(query["limit"]);
        Poco::JSON::Array::Ptr rows(new Poco::JSON::Array);
        bool truncated = false;
        for (auto each = this->table.lower_bound({query["table"], query["part"], query["from"]});
             each != this->table.end() && each->first.table == query["table"] &&
             each->first.part == query["part"];
             ++each)
        {
            if (each->second.deleted)
            {
                continue;
            }
            if (rows->size() == limit)
            {
                truncated = true;
                break;
            }
            rows->add(print(each->first, each->second));
        }
        this->send_rows(rows, truncated, respond);
    }

    void send_rows(const Poco::JSON::Array::Ptr& rows, bool truncated,
                   const responder& respond) const
    {
        Poco::JSON::Object answer;
        answer.set("rows", rows);
        answer.set("truncated", truncated);
        answer.set("schemaVersion", this->version);
        answer.set("nowMs", std::uint64_t{1});
        net::server_response response;
        response.body = platform::to_text(answer);
        respond(response);
    }

    void feed(std::map<std::string, std::string> query, const responder& respond)
    {
        const std::lock_guard lock(this->guard);
        const std::uint64_t after = std::stoull(query["after"]);
        if (after < this->oldest)
        {
            net::server_response response;
            response.status = status_gone;
            respond(response);
            return;
        }
        waiting_feed waiting{query["table"], after, respond, ++this->next_feed};
        if (this->try_feed(waiting))
        {
            return;
        }
        this->feeds.push_back(waiting);
        const core::milliseconds wait{std::stoll(query["waitMs"])};
        this->delayed(wait,
                      [self = this->shared_from_this(), id = waiting.id]
                      {
                          const std::lock_guard relock(self->guard);
                          for (auto each = self->feeds.begin(); each != self->feeds.end(); ++each)
                          {
                              if (each->id == id)
                              {
                                  const responder reply = each->respond;
                                  self->feeds.erase(each);
                                  self->send_rows(new Poco::JSON::Array, false, reply);
                                  return;
                              }
                          }
                      });
    }

    bool try_feed(const waiting_feed& waiting) const
    {
        Poco::JSON::Array::Ptr rows(new Poco::JSON::Array);
        for (const change& each : this->history)
        {
            if (each.name.table == waiting.table && each.row.version > waiting.after)
            {
                rows->add(print(each.name, each.row));
            }
        }
        if (rows->size() == 0)
        {
            return false;
        }
        this->send_rows(rows, false, waiting.respond);
        return true;
    }

    /// Replaces a row, or marks it as deleted.
    void set_row(const row_name& name, stored_row row)
    {
        this->history.push_back({name, row, std::chrono::steady_clock::now()});
        this->table[name] = std::move(row);
        while (std::chrono::steady_clock::now() - this->history.front().changed_at > retention)
        {
            this->oldest = this->history.front().row.version;
            this->history.pop_front();
        }
    }

    void wake_feeds()
    {
        std::erase_if(this->feeds,
                      [this](const waiting_feed& waiting) { return this->try_feed(waiting); });
    }

    net::event_loop& loop;
    mutable std::mutex guard;
    store_faults faults;
    std::map<row_name, stored_row> table;
    /// Oldest first.
    std::deque<change> history;
    std::uint64_t version = 1;
    std::uint64_t oldest = 0;
    std::uint64_t next_feed = 0;
    std::atomic<std::uint64_t> call_count = 0;
    std::vector<waiting_feed> feeds;
    std::minstd_rand random{7};
    std::unique_ptr<net::async_http_server> server;
};

site_store::site_store(net::event_loop& loop, const std::string& address)
    : inner(std::make_shared<implementation>(loop))
{
    net::async_server_limits limits;
    limits.max_body_bytes = 2U << 20U;
    limits.idle_timeout = std::chrono::minutes{5};
    this->inner->server = std::make_unique<net::async_http_server>(
        loop, address, limits,
        [self = this->inner.get()](const net::server_request& request, const responder& respond)
        { self->answer(request, respond); });
}

site_store::~site_store() = default;

void site_store::set_faults(const store_faults& faults)
{
    const std::lock_guard lock(this->inner->guard);
    this->inner->faults = faults;
    if (faults.silent)
    {
        this->inner->feeds.clear();
    }
    std::erase_if(this->inner->feeds, [&faults](const waiting_feed& waiting)
                  { return waiting.table == faults.silent_table; });
}

void site_store::forget_history()
{
    const std::lock_guard lock(this->inner->guard);
    ++this->inner->version;
    this->inner->oldest = this->inner->version;
    this->inner->history.clear();
}

void site_store::put(const std::string& table, const std::string& key, const std::string& value,
                     const std::string& partition)
{
    this->inner->loop.post(
        [self = this->inner, table, key, value, partition]
        {
            std::string encoded;
            absl::Base64Escape(absl::string_view(value.data(), value.size()), &encoded);
            const std::lock_guard lock(self->guard);
            self->set_row({table, partition, key}, {encoded, ++self->version, false});
            self->wake_feeds();
        });
}

void site_store::remove(const std::string& table, const std::string& key)
{
    this->inner->loop.post(
        [self = this->inner, table, key]
        {
            const std::lock_guard lock(self->guard);
            self->set_row({table, "", key}, {"", ++self->version, true});
            self->wake_feeds();
        });
}

std::uint64_t site_store::calls() const
{
    return this->inner->call_count;
}

std::size_t site_store::rows(const std::string& table) const
{
    const std::lock_guard lock(this->inner->guard);
    std::size_t count = 0;
    for (const auto& [name, row] : this->inner->table)
    {
        count += name.table == table && !row.deleted ? 1 : 0;
    }
    return count;
}

} // namespace chicorylift::testing
