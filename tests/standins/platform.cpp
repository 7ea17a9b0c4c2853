#include "chicorylift/core/bounded_queue.hpp"
#include "net/http_server.hpp"
#include "wire/json.hpp"
#include "wire/wire.pb.h"

#include <CLI/CLI.hpp>
#include <chrono>
#include <csignal>
#include <iostream>
#include <map>
#include <mutex>
#include <optional>
#include <thread>

/// Stand-in for the platform's transactional table and object store, in memory.
namespace
{

using namespace chicorylift;

constexpr std::size_t page_size = 500;
constexpr int status_not_found = 404;
constexpr int status_conflict = 409;
constexpr int status_unavailable = 503;

/// Ways in which the stand-in fails, set by command.
struct fault_plan
{
    bool down = false;
    std::int64_t delay_ms = 0;
    /// Answers to lose after the write has taken effect.
    std::int64_t lose_answers = 0;
    /// Writes that are lost before they take effect, without an answer.
    std::int64_t lose_writes = 0;
    /// Only writes whose first written key begins like this are hit.
    std::string prefix;
};

struct traffic
{
    std::uint64_t reads{};
    std::uint64_t writes{};
    std::uint64_t bytes{};
};

class platform
{
public:
    net::server_response answer(const net::server_request& request)
    {
        if (!request.path_segments.empty() && request.path_segments[0] == "control")
        {
            return this->control(request);
        }
        if (!request.path_segments.empty() && request.path_segments[0] == "traffic")
        {
            return this->report_traffic();
        }
        const fault_plan plan = this->current_plan();
        std::this_thread::sleep_for(std::chrono::milliseconds(plan.delay_ms));
        if (plan.down)
        {
            return plain(status_unavailable, "{}");
        }
        if (request.path_segments.size() >= 2 && request.path_segments[0] == "table")
        {
            return this->table(request);
        }
        if (request.path_segments.size() >= 2 && request.path_segments[0] == "object")
        {
            return this->object(request);
        }
        return plain(status_not_found, "{}");
    }

private:
    static net::server_response plain(int status, std::string body)
    {
        net::server_response response;
        response.status = status;
        response.body = std::move(body);
        return response;
    }

    static std::string joined(const std::vector<std::string>& parts, std::size_t first)
    {
        std::string text;
        for (std::size_t index = first; index < parts.size(); ++index)
        {
            text += (text.empty() ? "" : "/") + parts[index];
        }
        return text;
    }

    fault_plan current_plan()
    {
        const std::lock_guard lock(this->guard);
        return this->plan;
    }

    /// PUT /control/FAULT/VALUE sets one way of failing.
    net::server_response control(const net::server_request& request)
    {
        const std::lock_guard lock(this->guard);
        const std::string fault = request.path_segments.size() > 1 ? request.path_segments[1] : "";
        const std::string value = joined(request.path_segments, 2);
        const auto number = [&value] { return value.empty() ? 0 : std::stoll(value); };
        if (fault == "down")
        {
            this->plan.down = number() != 0;
        }
        else if (fault == "delay_ms")
        {
            this->plan.delay_ms = number();
        }
        else if (fault == "lose_answers")
        {
            this->plan.lose_answers = number();
        }
        else if (fault == "lose_writes")
        {
            this->plan.lose_writes = number();
        }
        else if (fault == "prefix")
        {
            this->plan.prefix = value;
        }
        else
        {
            return plain(status_not_found, "{}");
        }
        return plain(200, "{}");
    }

    net::server_response report_traffic()
    {
        const std::lock_guard lock(this->guard);
        return plain(200, "{\"reads\":" + std::to_string(this->seen.reads) +
                              ",\"writes\":" + std::to_string(this->seen.writes) +
                              ",\"bytes\":" + std::to_string(this->seen.bytes) + "}");
    }

    net::server_response table(const net::server_request& request)
    {
        const std::string& what = request.path_segments[1];
        net::server_response response = plain(status_not_found, "{}");
        const std::lock_guard lock(this->guard);
        if (what == "row")
        {
            ++this->seen.reads;
            response = this->read(joined(request.path_segments, 2));
        }
        else if (what == "list" && request.path_segments.size() >= 3)
        {
            ++this->seen.reads;
            response = this->list(joined(request.path_segments, 3),
                                  static_cast<std::uint32_t>(std::stoul(request.path_segments[2])));
        }
        else if (what == "commit")
        {
            ++this->seen.writes;
            response = this->commit(request.body);
        }
        this->seen.bytes += request.body.size() + response.body.size();
        return response;
    }

    net::server_response read(const std::string& key)
    {
        const auto found = this->rows.find(key);
        if (found == this->rows.end() || found->second.removed())
        {
            return plain(status_not_found, "{}");
        }
        return plain(200, wire::to_compact_json(found->second));
    }

    net::server_response list(const std::string& prefix, std::uint32_t after)
    {
        std::map<std::uint32_t, std::vector<const wire::table_row*>> by_version;
        for (auto row = this->rows.lower_bound(prefix);
             row != this->rows.end() && row->first.compare(0, prefix.size(), prefix) == 0; ++row)
        {
            if (row->second.version() > after)
            {
                by_version[row->second.version()].push_back(&row->second);
            }
        }
        wire::table_rows page;
        page.set_version(this->version);
        for (const auto& [changed, list] : by_version)
        {
            // Rows of one transaction stay on one page.
            if (static_cast<std::size_t>(page.rows_size()) >= page_size)
            {
                page.set_more(true);
                break;
            }
            for (const wire::table_row* row : list)
            {
                *page.add_rows() = *row;
            }
        }
        return plain(200, wire::to_compact_json(page));
    }

    net::server_response commit(const std::string& body)
    {
        wire::table_commit transaction;
        if (!wire::from_json(body, transaction).ok())
        {
            return plain(400, "{}");
        }
        const bool hit = this->is_hit(transaction);
        if (hit && this->plan.lose_writes > 0)
        {
            --this->plan.lose_writes;
            throw std::runtime_error("write lost by command");
        }
        const std::optional<wire::table_row> conflicting = this->find_conflict(transaction);
        if (conflicting.has_value())
        {
            wire::table_result result;
            *result.mutable_conflicting() = *conflicting;
            return plain(status_conflict, wire::to_compact_json(result));
        }
        ++this->version;
        for (const wire::table_write& write : transaction.writes())
        {
            this->apply(write, transaction.writer());
        }
        if (hit && this->plan.lose_answers > 0)
        {
            --this->plan.lose_answers;
            // Answered with 500, as by a balancer whose back end went away.
            throw std::runtime_error("answer lost by command");
        }
        wire::table_result result;
        result.set_applied(true);
        result.set_version(this->version);
        return plain(200, wire::to_compact_json(result));
    }

    [[nodiscard]] bool is_hit(const wire::table_commit& transaction) const
    {
        for (const wire::table_write& write : transaction.writes())
        {
            if (!write.check_only() &&
                write.key().compare(0, this->plan.prefix.size(), this->plan.prefix) == 0)
            {
                return true;
            }
        }
        return false;
    }

    std::optional<wire::table_row> find_conflict(const wire::table_commit& transaction)
    {
        for (const wire::table_write& write : transaction.writes())
        {
            const auto found = this->rows.find(write.key());
            const bool exists = found != this->rows.end() && !found->second.removed();
            const std::uint32_t present = exists ? found->second.version() : 0;
            if (!write.any_version() && present != write.if_version())
            {
                wire::table_row row;
                row.set_key(write.key());
                return exists ? found->second : row;
            }
        }
        return std::nullopt;
    }

    void apply(const wire::table_write& write, const std::string& writer)
    {
        if (write.check_only())
        {
            return;
        }
        wire::table_row& row = this->rows[write.key()];
        row.set_key(write.key());
        row.set_version(this->version);
        row.set_value(write.value());
        row.set_writer(writer);
        row.set_removed(write.remove());
    }

    net::server_response object(const net::server_request& request)
    {
        const std::lock_guard lock(this->guard);
        const std::string name = joined(request.path_segments, 1);
        if (request.method == "PUT")
        {
            this->objects[name] = request.body;
            return plain(200, "{}");
        }
        const auto found = this->objects.find(name);
        return found == this->objects.end() ? plain(status_not_found, "{}")
                                            : plain(200, found->second);
    }

    std::mutex guard;
    fault_plan plan;
    traffic seen;
    std::uint32_t version = 0;
    std::map<std::string, wire::table_row> rows;
    std::map<std::string, std::string> objects;
};

} // namespace

int main(int argument_count, char** arguments)
{
    CLI::App app("Stand-in for the platform's table and object store");
    std::string address = "127.0.0.1:0";
    app.add_option("--listen", address, "IP number and port")->envname("STANDIN_LISTEN");
    CLI11_PARSE(app, argument_count, arguments);
    sigset_t stops;
    sigemptyset(&stops);
    sigaddset(&stops, SIGTERM);
    sigaddset(&stops, SIGINT);
    pthread_sigmask(SIG_BLOCK, &stops, nullptr);
    platform service;
    net::server_limits limits;
    limits.max_body_bytes = 4U << 20U;
    limits.threads = 128;
    const net::http_server server(address, limits,
                                  [&service](const net::server_request& request)
                                  { return service.answer(request); });
    std::cout << "ready " << server.address() << std::endl;
    int received = 0;
    sigwait(&stops, &received);
    return 0;
}
