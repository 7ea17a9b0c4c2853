#include "standin.hpp"

#include <Poco/Base64Decoder.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/StreamCopier.h>
#include <Poco/ThreadPool.h>
#include <Poco/URI.h>
#include <algorithm>
#include <arpa/inet.h>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <netinet/in.h>
#include <sstream>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review
{

namespace
{

using Poco::JSON::Array;
using Poco::JSON::Object;

const auto program_start = std::chrono::steady_clock::now();

std::ofstream record_file;
std::mutex record_guard;

std::string text_of(const Object& object)
{
    std::ostringstream out;
    object.stringify(out);
    return out.str();
}

Object::Ptr parse(const std::string& text)
{
    Poco::JSON::Parser parser;
    return parser.parse(text).extract<Object::Ptr>();
}

std::string base64(const std::string& text)
{
    std::ostringstream out;
    static const char* const digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    for (std::size_t at = 0; at < text.size(); at += 3)
    {
        std::uint32_t group = 0;
        const std::size_t count = std::min<std::size_t>(3, text.size() - at);
        for (std::size_t index = 0; index < 3; ++index)
        {
            group =
                group << 8U | (index < count ? static_cast<unsigned char>(text[at + index]) : 0U);
        }
        for (std::size_t index = 0; index < 4; ++index)
        {
            out << (index <= count ? digits[group >> (18 - 6 * index) & 63U] : '=');
        }
    }
    return out.str();
}

std::string free_address()
{
    // Below the range of ephemeral ports, so that a process that is down keeps its port.
    constexpr int first_port = 10'000;
    constexpr int port_count = 22'000;
    static int next = static_cast<int>(::getpid()) * 61 % port_count;
    for (int attempt = 0; attempt < port_count; ++attempt)
    {
        const int port = first_port + next++ % port_count;
        const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        const bool is_free =
            ::bind(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
        ::close(descriptor);
        if (is_free)
        {
            return "127.0.0.1:" + std::to_string(port);
        }
    }
    throw std::runtime_error("no loopback port is free");
}

std::string file_text(const std::string& path)
{
    std::ifstream file(path);
    return {std::istreambuf_iterator<char>(file), {}};
}

class poco_handler : public Poco::Net::HTTPRequestHandler
{
public:
    explicit poco_handler(const http_server::handler& on_request) : on_request(on_request) {}

    void handleRequest(Poco::Net::HTTPServerRequest& from,
                       Poco::Net::HTTPServerResponse& to) override
    {
        http_server::request request;
        request.method = from.getMethod();
        const Poco::URI uri(from.getURI());
        request.path = uri.getPath();
        for (const auto& [name, value] : uri.getQueryParameters())
        {
            request.query[name] = value;
        }
        for (const auto& [name, value] : from)
        {
            request.headers[name] = value;
        }
        Poco::StreamCopier::copyToString(from.stream(), request.body);
        http_server::response response;
        try
        {
            response = this->on_request(request);
        }
        catch (const std::exception& fault)
        {
            record::line("stand-in: " + request.method + " " + from.getURI() + ": " + fault.what());
            response.status = 400;
        }
        if (response.drop)
        {
            to.setKeepAlive(false);
            return;
        }
        to.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(response.status));
        to.setContentType("application/json");
        to.setContentLength64(static_cast<Poco::Int64>(response.body.size()));
        to.send() << response.body << std::flush;
    }

private:
    http_server::handler on_request;
};

class poco_factory : public Poco::Net::HTTPRequestHandlerFactory
{
public:
    explicit poco_factory(http_server::handler on_request) : on_request(std::move(on_request)) {}
    Poco::Net::HTTPRequestHandler*
    createRequestHandler(const Poco::Net::HTTPServerRequest&) override
    {
        return new poco_handler(this->on_request);
    }

private:
    http_server::handler on_request;
};

} // namespace

std::int64_t now_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() -
                                                                 program_start)
        .count();
}

std::int64_t unix_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

void sleep_ms(std::int64_t time)
{
    std::this_thread::sleep_for(std::chrono::milliseconds{time});
}

bool has_trouble()
{
    const char* const value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

void record::open(const std::string& path)
{
    record_file.open(path, std::ios::trunc);
}

void record::line(const std::string& text)
{
    const std::lock_guard lock(record_guard);
    record_file << now_ms() << " ms  " << text << std::endl;
}

struct http_server::implementation
{
    implementation(const std::string& address, handler on_request)
        : pool(2, 300), socket(Poco::Net::SocketAddress(address), 256)
    {
        Poco::Net::HTTPServerParams::Ptr params(new Poco::Net::HTTPServerParams);
        params->setMaxThreads(300);
        params->setMaxQueued(300);
        params->setKeepAlive(true);
        params->setKeepAliveTimeout(Poco::Timespan(60, 0));
        params->setMaxKeepAliveRequests(0);
        this->server = std::make_unique<Poco::Net::HTTPServer>(
            Poco::Net::HTTPRequestHandlerFactory::Ptr(new poco_factory(std::move(on_request))),
            this->pool, this->socket, params);
        this->server->start();
    }

    Poco::ThreadPool pool;
    Poco::Net::ServerSocket socket;
    std::unique_ptr<Poco::Net::HTTPServer> server;
};

http_server::http_server(const std::string& address, handler on_request)
    : inner(std::make_unique<implementation>(address, std::move(on_request)))
{
}

http_server::~http_server()
{
    this->inner->server->stopAll(true);
}

answer call(const std::string& address, const std::string& method, const std::string& path,
            const std::string& body, const std::map<std::string, std::string>& headers,
            std::int64_t timeout_ms)
{
    answer result;
    try
    {
        const std::size_t colon = address.find(':');
        Poco::Net::HTTPClientSession session(
            address.substr(0, colon),
            static_cast<Poco::UInt16>(std::stoi(address.substr(colon + 1))));
        session.setTimeout(Poco::Timespan(timeout_ms * 1000));
        Poco::Net::HTTPRequest request(method, path, "HTTP/1.1");
        request.setKeepAlive(false);
        request.setContentType("application/json");
        request.setContentLength64(static_cast<Poco::Int64>(body.size()));
        for (const auto& [name, value] : headers)
        {
            request.set(name, value);
        }
        session.sendRequest(request) << body << std::flush;
        Poco::Net::HTTPResponse response;
        std::istream& in = session.receiveResponse(response);
        Poco::StreamCopier::copyToString(in, result.body);
        result.status = static_cast<int>(response.getStatus());
    }
    catch (const std::exception&)
    {
        result = {};
    }
    return result;
}

store::store(const std::vector<std::pair<std::string, std::int64_t>>& addresses)
{
    for (const auto& [address, latency] : addresses)
    {
        this->servers.push_back(std::make_unique<http_server>(
            address, [this, time = latency](const http_server::request& request)
            { return this->serve(request, time); }));
    }
}

void store::set_busy(bool value)
{
    this->busy = value;
    record::line(value ? "store: down, answers 503" : "store: back");
    this->changed.notify_all();
}

void store::put(const std::string& table, const std::string& key, const std::string& value)
{
    const std::lock_guard lock(this->guard);
    this->rows[{table, "", key}] = {base64(value), ++this->version, false};
    this->changed.notify_all();
}

http_server::response store::serve(const http_server::request& request, std::int64_t latency_ms)
{
    if (this->busy)
    {
        return {503, "{}", false};
    }
    sleep_ms(latency_ms);
    if (request.path == "/v1/rows-tx")
    {
        return this->transact(request.body);
    }
    if (request.path == "/v1/rows-get")
    {
        return this->read(request);
    }
    if (request.path == "/v1/rows-feed")
    {
        return this->feed(request);
    }
    return {404, "{}", false};
}

Object::Ptr store::print(const name& id, const row& stored)
{
    Object::Ptr object(new Object);
    object->set("table", std::get<0>(id));
    object->set("part", std::get<1>(id));
    object->set("key", std::get<2>(id));
    object->set("schemaVersion", stored.version);
    if (stored.deleted)
    {
        object->set("deleted", true);
    }
    else
    {
        object->set("value", stored.value);
    }
    return object;
}

http_server::response store::transact(const std::string& text)
{
    constexpr std::size_t max_entries = 100;
    constexpr std::size_t max_call_bytes = 1'000'000;
    constexpr std::size_t max_row_bytes = 65536;
    const Object::Ptr body = parse(text);
    const auto list = [&body](const char* field)
    {
        std::vector<Object::Ptr> entries;
        const Array::Ptr array = body->getArray(field);
        for (std::size_t index = 0; !array.isNull() && index < array->size(); ++index)
        {
            entries.push_back(array->getObject(static_cast<unsigned>(index)));
        }
        return entries;
    };
    const auto id_of = [](const Object::Ptr& entry) -> name
    {
        return {entry->getValue<std::string>("table"), entry->optValue<std::string>("part", ""),
                entry->getValue<std::string>("key")};
    };
    const auto conditions = list("expectedRevision");
    const auto puts = list("puts");
    const auto removals = list("remove");
    std::set<std::string> parts;
    bool valid = conditions.size() + puts.size() + removals.size() <= max_entries &&
                 text.size() <= max_call_bytes;
    for (const auto* entries : {&conditions, &puts, &removals})
    {
        for (const Object::Ptr& entry : *entries)
        {
            parts.insert(std::get<1>(id_of(entry)));
        }
    }
    for (const Object::Ptr& put : puts)
    {
        valid = valid && put->getValue<std::string>("value").size() / 4 * 3 <= max_row_bytes;
    }
    if (!valid || parts.size() > 1)
    {
        record::line("store: refused a transaction of " + std::to_string(text.size()) + " bytes");
        return {400, "{}", false};
    }
    const std::lock_guard lock(this->guard);
    bool conflict = false;
    Array::Ptr present(new Array);
    for (const Object::Ptr& condition : conditions)
    {
        const name id = id_of(condition);
        const auto found = this->rows.find(id);
        const bool exists = found != this->rows.end() && !found->second.deleted;
        conflict = conflict || condition->getValue<std::uint64_t>("schemaVersion") !=
                                   (exists ? found->second.version : 0);
        if (exists)
        {
            present->add(print(id, found->second));
        }
    }
    Object answer;
    if (conflict)
    {
        answer.set("rows", present);
    }
    else
    {
        ++this->version;
        for (const Object::Ptr& put : puts)
        {
            this->rows[id_of(put)] = {put->getValue<std::string>("value"), this->version, false};
        }
        for (const Object::Ptr& removal : removals)
        {
            this->rows[id_of(removal)] = {"", this->version, true};
        }
        this->changed.notify_all();
    }
    answer.set("schemaVersion", this->version);
    answer.set("nowMs", now_ms());
    return {conflict ? 412 : 200, text_of(answer), false};
}

http_server::response store::read(const http_server::request& request)
{
    const auto given = [&request](const char* field)
    {
        const auto found = request.query.find(field);
        return found == request.query.end() ? std::string{} : found->second;
    };
    const std::lock_guard lock(this->guard);
    const std::size_t limit =
        given("limit").empty() ? 500 : std::min<std::size_t>(500, std::stoull(given("limit")));
    Array::Ptr rows_found(new Array);
    bool truncated = false;
    for (auto each = this->rows.lower_bound({given("table"), given("part"), given("from")});
         each != this->rows.end() && std::get<0>(each->first) == given("table") &&
         std::get<1>(each->first) == given("part");
         ++each)
    {
        if (each->second.deleted)
        {
            continue;
        }
        if (rows_found->size() == limit)
        {
            truncated = true;
            break;
        }
        rows_found->add(print(each->first, each->second));
    }
    Object answer;
    answer.set("rows", rows_found);
    answer.set("truncated", truncated);
    answer.set("schemaVersion", this->version);
    answer.set("nowMs", now_ms());
    return {200, text_of(answer), false};
}

http_server::response store::feed(const http_server::request& request)
{
    const std::string table = request.query.at("table");
    const std::uint64_t after = std::stoull(request.query.at("after"));
    const std::int64_t until = now_ms() + std::stoll(request.query.at("waitMs"));
    std::unique_lock lock(this->guard);
    for (;;)
    {
        std::map<std::pair<std::uint64_t, name>, Object::Ptr> found;
        for (const auto& [id, stored] : this->rows)
        {
            if (std::get<0>(id) == table && stored.version > after)
            {
                found[{stored.version, id}] = print(id, stored);
            }
        }
        if (this->busy)
        {
            return {503, "{}", false};
        }
        if (!found.empty() || now_ms() >= until)
        {
            Array::Ptr list(new Array);
            for (const auto& [key, object] : found)
            {
                list->add(object);
            }
            Object answer;
            answer.set("rows", list);
            answer.set("truncated", false);
            answer.set("schemaVersion", this->version);
            answer.set("nowMs", now_ms());
            return {200, text_of(answer), false};
        }
        this->changed.wait_for(lock, std::chrono::milliseconds{until - now_ms()});
    }
}

worker::worker(settings given, duration work) : values(std::move(given)), work_ms(std::move(work))
{
    this->born = unix_ms();
    this->clock_start = now_ms() - 1;
    this->server = std::make_unique<http_server>(this->values.address,
                                                 [this](const http_server::request& request)
                                                 { return this->serve(request); });
    this->ticker = std::thread([this] { this->tick(); });
    this->beater = std::thread([this] { this->beat(); });
}

worker::~worker()
{
    this->stopping = true;
    this->changed.notify_all();
    this->ticker.join();
    this->beater.join();
    this->server.reset();
}

std::int64_t worker::clock() const
{
    return now_ms() - this->clock_start;
}

void worker::crash()
{
    const std::lock_guard lock(this->guard);
    this->up = false;
    for (auto& [unit, each] : this->live)
    {
        run_record& run = this->all[each.record];
        run.ended = now_ms();
        run.how = "crashed";
    }
    for (const listed_end& end : this->ends)
    {
        this->all[end.record].excused = true;
    }
    this->live.clear();
    this->ends.clear();
    this->barred.clear();
    record::line("worker " + this->values.id + ": crashed");
    this->changed.notify_all();
}

void worker::boot(const worker_kind& kind, std::int64_t clock_offset_ms)
{
    const std::lock_guard lock(this->guard);
    this->values.kind = kind;
    this->born = unix_ms() + clock_offset_ms;
    this->clock_start = now_ms() - 1;
    this->sequence = 0;
    this->next_end = 1;
    this->token = 0;
    this->lease_until = 0;
    this->next_beat = 0;
    this->up = true;
    record::line("worker " + this->values.id + ": started, born " + std::to_string(this->born) +
                 ", kind " + kind.label);
}

std::vector<run_record> worker::runs() const
{
    const std::lock_guard lock(this->guard);
    return this->all;
}

int worker::running_units(const std::string& job) const
{
    const std::lock_guard lock(this->guard);
    int count = 0;
    for (const auto& [unit, each] : this->live)
    {
        count += unit.starts_with(job + ".") ? 1 : 0;
    }
    return count;
}

int worker::listed_ends() const
{
    const std::lock_guard lock(this->guard);
    return static_cast<int>(this->ends.size());
}

http_server::response worker::plain(int status, const std::string& reason) const
{
    Object body;
    body.set("clockMs", this->clock());
    body.set("born", this->born);
    if (!reason.empty())
    {
        body.set("reason", reason);
    }
    return {status, text_of(body), false};
}

http_server::response worker::serve(const http_server::request& request)
{
    std::unique_lock lock(this->guard);
    if (!this->up)
    {
        return {0, "", true};
    }
    const auto expected = request.headers.find("Chicorylift-Expect-Instance");
    if (expected != request.headers.end() && expected->second != this->values.id)
    {
        return this->plain(421, "");
    }
    Object::Ptr body = parse(request.body);
    const auto given = body->optValue<std::uint64_t>("fencingToken", 0);
    if (given < this->token)
    {
        return this->plain(409, "fence");
    }
    this->token = given;
    this->advance();
    if (request.path == "/v1/run-start")
    {
        return this->on_start(*body);
    }
    if (request.path == "/v1/run-stop")
    {
        return this->on_stop(*body);
    }
    if (request.path == "/v1/hold")
    {
        return this->on_hold(*body, lock);
    }
    return this->plain(400, "");
}

http_server::response worker::on_start(Object& body)
{
    const auto unit = body.getValue<std::string>("task");
    const auto number = body.getValue<std::uint64_t>("run");
    const auto spec = body.optValue<std::string>("spec", "");
    const std::int64_t deadline = std::min(body.getValue<std::int64_t>("deadlineMs"),
                                           this->clock() + this->values.max_hold_ms);
    if (deadline <= this->clock())
    {
        return this->plain(409, "late");
    }
    this->lease_until = std::max(this->lease_until, deadline);
    const auto there = this->live.find(unit);
    if (there != this->live.end() && this->all[there->second.record].run == number)
    {
        return this->plain(200, "");
    }
    if (this->barred[unit] >= number)
    {
        return this->plain(409, "old");
    }
    const std::string name = there == this->live.end() ? unit : unit + "#" + std::to_string(number);
    live_run fresh;
    fresh.record = this->all.size();
    const work does = this->work_ms(this->values.id, unit, spec);
    fresh.done_at = now_ms() + does.ms;
    fresh.fails = does.fails;
    fresh.saves = does.saves;
    const auto checkpoint = body.optValue<std::string>("checkpoint", "");
    fresh.resumed_ms = checkpoint.empty() ? 0 : std::stoll(checkpoint, nullptr, 16);
    this->live[name] = fresh;
    run_record run;
    run.unit = unit;
    run.run = number;
    run.worker = this->values.id + " kind " + this->values.kind.label;
    run.born = this->born;
    run.started = now_ms();
    this->all.push_back(run);
    return this->plain(200, "");
}

http_server::response worker::on_stop(Object& body)
{
    const auto unit = body.getValue<std::string>("task");
    const auto number = body.getValue<std::uint64_t>("run");
    std::uint64_t& barrier = this->barred[unit];
    barrier = std::max(barrier, number);
    for (auto& [name, each] : this->live)
    {
        const run_record& run = this->all[each.record];
        if (run.unit == unit && run.run <= number && each.stop_at < 0)
        {
            each.stop_at = now_ms() + this->values.stop_ms;
        }
    }
    return this->plain(200, "");
}

http_server::response worker::on_hold(Object& body, std::unique_lock<std::mutex>& lock)
{
    constexpr std::size_t max_listed = 500;
    const auto seen = body.optValue<std::uint64_t>("lastSeen", 0);
    const std::int64_t deadline = std::min(body.optValue<std::int64_t>("deadlineMs", 0),
                                           this->clock() + this->values.max_hold_ms);
    this->lease_until = std::max(this->lease_until, deadline);
    std::erase_if(this->ends,
                  [this, seen](const listed_end& end)
                  {
                      if (end.number <= seen)
                      {
                          this->all[end.record].noted = true;
                      }
                      return end.number <= seen;
                  });
    const std::int64_t until =
        now_ms() + std::min<std::int64_t>(2000, body.optValue<std::int64_t>("waitMs", 0));
    const std::int64_t boot = this->born;
    while (this->ends.empty() && now_ms() < until && this->up && this->born == boot &&
           !this->stopping)
    {
        this->changed.wait_for(lock, std::chrono::milliseconds{until - now_ms()});
    }
    if (!this->up || this->born != boot)
    {
        return {0, "", true};
    }
    Array::Ptr running(new Array);
    for (const auto& [name, each] : this->live)
    {
        const run_record& run = this->all[each.record];
        const std::int64_t whole = std::max<std::int64_t>(1, each.done_at - run.started);
        Array::Ptr entry(new Array);
        entry->add(run.unit);
        entry->add(run.run);
        entry->add(this->saved(each));
        entry->add(std::min<std::int64_t>(99, (now_ms() - run.started) * 100 / whole));
        running->add(entry);
    }
    Array::Ptr finished(new Array);
    for (std::size_t index = 0; index < std::min(max_listed, this->ends.size()); ++index)
    {
        const run_record& run = this->all[this->ends[index].record];
        Array::Ptr entry(new Array);
        entry->add(this->ends[index].number);
        entry->add(run.unit);
        entry->add(run.run);
        entry->add(run.how);
        entry->add(run.saved);
        finished->add(entry);
    }
    Object answer;
    answer.set("clockMs", this->clock());
    answer.set("born", this->born);
    answer.set("running", running);
    answer.set("finished", finished);
    return {200, text_of(answer), false};
}

std::string worker::saved(const live_run& each) const
{
    constexpr std::int64_t interval_ms = 500;
    constexpr int digits = 16;
    const std::int64_t worked = now_ms() - this->all[each.record].started;
    const std::int64_t kept = each.resumed_ms + worked / interval_ms * interval_ms;
    std::ostringstream text;
    text << std::hex << kept;
    const std::string number = text.str();
    return each.saves && kept > 0 ? std::string(digits - number.size(), '0') + number : "";
}

void worker::finish(const std::string& name, const std::string& how)
{
    const live_run ended = this->live.at(name);
    this->live.erase(name);
    run_record& run = this->all[ended.record];
    run.ended = now_ms();
    run.how = how;
    run.saved = this->saved(ended);
    std::uint64_t& barrier = this->barred[run.unit];
    barrier = std::max(barrier, run.run);
    this->ends.push_back({this->next_end++, ended.record});
    this->changed.notify_all();
}

/// Ends runs whose time has come, and all of them when the lease has lapsed.
void worker::advance()
{
    std::vector<std::pair<std::string, std::string>> due;
    const bool lapsed = this->clock() > this->lease_until;
    for (const auto& [name, each] : this->live)
    {
        if (lapsed)
        {
            due.emplace_back(name, "lapsed");
        }
        else if (each.stop_at >= 0 && now_ms() >= each.stop_at)
        {
            due.emplace_back(name, "stopped");
        }
        else if (now_ms() >= each.done_at)
        {
            due.emplace_back(name, each.fails ? "failed" : "done");
        }
    }
    if (lapsed)
    {
        for (const listed_end& end : this->ends)
        {
            this->all[end.record].excused = true;
        }
    }
    for (const auto& [name, how] : due)
    {
        this->finish(name, how);
    }
}

void worker::tick()
{
    constexpr std::int64_t interval_ms = 5;
    while (!this->stopping)
    {
        sleep_ms(interval_ms);
        const std::lock_guard lock(this->guard);
        if (this->up)
        {
            this->advance();
        }
    }
}

void worker::beat()
{
    constexpr std::int64_t look_ms = 5;
    while (!this->stopping)
    {
        sleep_ms(look_ms);
        std::string text;
        {
            const std::lock_guard lock(this->guard);
            if (!this->up || now_ms() < this->next_beat)
            {
                continue;
            }
            this->next_beat = now_ms() + this->values.heartbeat_ms;
            Object::Ptr capacity(new Object);
            capacity->set("cpu", this->values.kind.cpu);
            capacity->set("memMb", this->values.kind.memory_mb);
            capacity->set("gpu", this->values.kind.gpu);
            Array::Ptr labels(new Array);
            labels->add(this->values.kind.label);
            labels->add(this->values.rack);
            Object body;
            body.set("service", "svc");
            body.set("address", this->values.address);
            body.set("zone", "zone-a");
            body.set("version", "v1");
            body.set("slots", 8);
            body.set("state", "ready");
            body.set("coldLeftMs", 0);
            body.set("capacity", capacity);
            body.set("labels", labels);
            body.set("clockMs", this->clock());
            body.set("seq", ++this->sequence);
            body.set("born", this->born);
            text = text_of(body);
        }
        static_cast<void>(
            call(this->values.control, "PUT", "/v1/instances/" + this->values.id, text, {}, 1000));
    }
}

process::process(std::string process_role, std::string settings, std::string log)
    : role(std::move(process_role)), settings_path(std::move(settings)), log_path(std::move(log))
{
    this->start();
}

process::~process()
{
    this->kill_now();
}

void process::start()
{
    // The commands of deploy/system.toml; like there, a process gets no other variables.
    const std::string boot = "CHICORYLIFT_BOOT=" + this->settings_path;
    const char* const path = std::getenv("PATH");
    const std::string path_variable = std::string("PATH=") + (path == nullptr ? "" : path);
    this->pid = ::fork();
    if (this->pid == 0)
    {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int log =
            ::open(this->log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
        ::dup2(log, STDOUT_FILENO);
        ::dup2(log, STDERR_FILENO);
        const char* const arguments[] = {"target/chicoryliftd", "batch", "--role",
                                         this->role.c_str(), nullptr};
        const char* const environment[] = {boot.c_str(), path_variable.c_str(), nullptr};
        ::execve(arguments[0], const_cast<char**>(arguments), const_cast<char**>(environment));
        ::_exit(127);
    }
}

void process::signal(int number) const
{
    if (this->pid > 0)
    {
        ::kill(this->pid, number);
    }
}

void process::kill_now()
{
    if (this->pid > 0)
    {
        this->signal(SIGKILL);
        ::waitpid(this->pid, nullptr, 0);
        this->pid = -1;
    }
}

site::site(const plan& wanted, const worker::duration& work_ms)
{
    std::string pattern = std::filesystem::temp_directory_path() / "review-XXXXXX";
    this->folder = ::mkdtemp(pattern.data());
    constexpr std::int64_t near_ms = 4;
    std::vector<std::pair<std::string, std::int64_t>> stores{{free_address(), near_ms}};
    for (int index = 0; index < wanted.agents; ++index)
    {
        const auto position = static_cast<std::size_t>(index);
        stores.emplace_back(free_address(), position < wanted.store_ms.size()
                                                ? wanted.store_ms[position]
                                                : near_ms);
    }
    this->platform = std::make_unique<store>(stores);
    this->platform->put(
        "op", "config",
        R"({"version":3,"routes":[{"name":"q","host":"jobs.example","pathPrefix":"/q/",)"
        R"("timeoutMs":3000,"targetLatencyMs":1500,"priority":1,"service":"svc","attempts":4,)"
        R"("slowdown":3.0,"public":false}],"services":[{"name":"svc","enforceLimits":false}],)"
        R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,)"
        R"("idleTimeoutMs":15000},"tenants":[{"name":"a","apiKeys":["key-a"],)"
        R"("guaranteed":{"gpu":8}}]})");
    // deploy/settings.template with the bounds of sites/menhely-sched.toml.
    const auto write_settings =
        [this](const std::string& name, const std::string& store_address, const std::string& own)
    {
        std::string path = this->folder + "/" + name + ".settings";
        std::ofstream(path) << "name = \"" << name << "\"\nzone = \"zone-a\"\nregion = \"region\"\n"
                            << "listen = \"" << free_address() << "\"\nmetrics = \""
                            << free_address() << "\"\nstore = \"" << store_address << "\"\n"
                            << own
                            << "longest-lease-ms = 6000\nkey-revocation-ms = 5000\n"
                               "stop-grace-s = 6\nremote-factor = 3\nrestore-ms = 600\n"
                               "keep-ended-s = 120\n";
        return path;
    };
    for (int index = 0; index < wanted.agents; ++index)
    {
        worker::settings values;
        values.id = "i-" + std::to_string(index);
        values.rack = "r" + std::to_string(index / 3);
        values.address = free_address();
        values.control = free_address();
        if (static_cast<std::size_t>(index) < wanted.kinds.size())
        {
            values.kind = wanted.kinds[static_cast<std::size_t>(index)];
        }
        const std::string name = "agent-" + std::to_string(index);
        const std::string settings = write_settings(
            name, stores[static_cast<std::size_t>(index) + 1].first,
            "control = \"" + values.control + "\"\nworker = \"" + values.address + "\"\n");
        this->controls.push_back(values.control);
        this->workers.push_back(std::make_unique<worker>(values, work_ms));
        this->agents.push_back(
            std::make_unique<process>("agent", settings, this->folder + "/" + name + ".log"));
    }
    for (int index = 0; index < wanted.entries; ++index)
    {
        const std::string name = "entry-" + std::to_string(index);
        this->fronts.push_back(free_address());
        this->readies.push_back(free_address());
        const std::string settings = write_settings(
            name, stores.front().first,
            "front = \"" + this->fronts.back() + "\"\nready = \"" + this->readies.back() + "\"\n");
        this->entries.push_back(
            std::make_unique<process>("entry", settings, this->folder + "/" + name + ".log"));
    }
}

site::~site()
{
    this->entries.clear();
    this->agents.clear();
    this->workers.clear();
    this->platform.reset();
    if (std::getenv("REVIEW_KEEP") == nullptr)
    {
        std::filesystem::remove_all(this->folder);
    }
}

bool site::wait_until_serving()
{
    constexpr std::int64_t limit_ms = 20'000;
    constexpr std::int64_t heartbeats_ms = 2500;
    const std::int64_t until = now_ms() + limit_ms;
    while (now_ms() < until)
    {
        if (this->leader() >= 0 &&
            call(this->readies.front(), "GET", "/v1/ready", "", {}, 1000).status == 200)
        {
            sleep_ms(heartbeats_ms);
            record::line("site: ready, agent-" + std::to_string(this->leader()) + " leads");
            return true;
        }
        sleep_ms(50);
    }
    record::line("site: not ready in time");
    return false;
}

answer site::request(const std::string& method, const std::string& id, const std::string& body)
{
    // Retries reach other nodes.
    static std::size_t next = 0;
    const std::string& front = this->fronts[next++ % this->fronts.size()];
    return call(
        front, method, "/q/" + id, body,
        {{"Host", "jobs.example"}, {"X-Api-Key", "key-a"}, {"Chicorylift-Deadline-Ms", "3000"}},
        3000);
}

bool site::submit(const std::string& id, const std::string& body)
{
    constexpr int attempts = 5;
    for (int attempt = 0; attempt < attempts; ++attempt)
    {
        const answer got = this->request("POST", id, body);
        record::line("requester: POST " + id + " -> " + std::to_string(got.status));
        if (got.status == 200)
        {
            return true;
        }
        sleep_ms(1000);
    }
    return false;
}

std::string site::state(const std::string& id)
{
    const answer got = this->request("GET", id);
    std::string shown = std::to_string(got.status);
    if (got.status == 200)
    {
        shown = parse(got.body)->optValue<std::string>("state", "?");
    }
    return shown;
}

int site::leader() const
{
    int found = -1;
    long highest = 0;
    for (std::size_t index = 0; index < this->agents.size(); ++index)
    {
        const std::string log =
            file_text(this->folder + "/agent-" + std::to_string(index) + ".log");
        std::size_t at = log.rfind("\"event\":\"lead_taken\"");
        if (at != std::string::npos)
        {
            at = log.find("\"epoch\":", at);
            const long epoch = std::atol(log.c_str() + at + std::strlen("\"epoch\":"));
            if (epoch > highest)
            {
                highest = epoch;
                found = static_cast<int>(index);
            }
        }
    }
    return found;
}

std::vector<run_record> site::runs() const
{
    std::vector<run_record> all;
    for (const auto& each : this->workers)
    {
        const std::vector<run_record> own = each->runs();
        all.insert(all.end(), own.begin(), own.end());
    }
    std::sort(all.begin(), all.end(),
              [](const run_record& left, const run_record& right)
              { return left.started < right.started; });
    return all;
}

int site::running_units(const std::string& job) const
{
    int count = 0;
    for (const auto& each : this->workers)
    {
        count += each->running_units(job);
    }
    return count;
}

std::vector<std::string> site::check_twice() const
{
    std::map<std::string, std::vector<run_record>> by_unit;
    for (const run_record& run : this->runs())
    {
        by_unit[run.unit].push_back(run);
    }
    std::vector<std::string> violations;
    for (const auto& [unit, list] : by_unit)
    {
        for (std::size_t first = 0; first < list.size(); ++first)
        {
            for (std::size_t second = first + 1; second < list.size(); ++second)
            {
                const run_record& before = list[first];
                const run_record& after = list[second];
                const std::string runs = unit + ": run " + std::to_string(before.run) + " on " +
                                         before.worker + " from " + std::to_string(before.started) +
                                         " to " + std::to_string(before.ended) + " (" + before.how +
                                         "), run " + std::to_string(after.run) + " on " +
                                         after.worker + " from " + std::to_string(after.started);
                if (before.ended < 0 || after.started < before.ended)
                {
                    violations.push_back("two runs at the same time: " + runs);
                }
                else if (before.how == "done" && before.noted && !before.excused)
                {
                    violations.push_back("a start after an end done that is taken note of: " +
                                         runs);
                }
            }
        }
    }
    return violations;
}

void site::record_runs() const
{
    for (const run_record& run : this->runs())
    {
        record::line("run: " + run.unit + " run " + std::to_string(run.run) + " on " + run.worker +
                     " from " + std::to_string(run.started) + " to " + std::to_string(run.ended) +
                     " " + run.how + (run.noted ? ", taken note of" : "") +
                     (run.excused ? ", lease lapsed or crashed before that" : ""));
    }
}

std::string site::control(int agent) const
{
    return this->controls[static_cast<std::size_t>(agent)];
}

std::string job_body(const std::string& spec, int count, int cpu, int estimate_ms,
                     const std::string& more)
{
    return "{\"spec\":\"" + spec + "\",\"steps\":[{\"count\":" + std::to_string(count) +
           ",\"cpu\":" + std::to_string(cpu) +
           ",\"memMb\":64,\"estimateMs\":" + std::to_string(estimate_ms) + more + "}]}";
}

std::string job_id(int number)
{
    std::string text = std::to_string(number);
    return std::string(16 - text.size(), '0') + text;
}

} // namespace review
