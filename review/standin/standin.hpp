#pragma once

#include <Poco/JSON/Object.h>
#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

/// Stand-ins for the platform, its workers and its requesters, by the published protocol, and the
/// project's own programs as separate processes. Everything listens on loopback addresses.
namespace review
{

/// @return milliseconds of the steady clock since the program started.
std::int64_t now_ms();
/// @return milliseconds since 1970.
std::int64_t unix_ms();
void sleep_ms(std::int64_t time);
/// @return whether the case runs with its disruption (TROUBLE is not 0).
bool has_trouble();

/// The case's record.txt: what was sent, answered and run. Thread-safe.
class record
{
public:
    static void open(const std::string& path);
    static void line(const std::string& text);
};

/// HTTP server on a loopback address with one thread for each connection.
class http_server
{
public:
    struct request
    {
        std::string method;
        std::string path;
        std::map<std::string, std::string> query;
        std::map<std::string, std::string> headers;
        std::string body;
    };
    struct response
    {
        int status = 200;
        std::string body;
        /// Closes the connection without an answer.
        bool drop = false;
    };
    using handler = std::function<response(const request&)>;

    http_server(const std::string& address, handler on_request);
    ~http_server();

private:
    struct implementation;
    std::unique_ptr<implementation> inner;
};

struct answer
{
    /// 0 when there was none.
    int status{};
    std::string body;
};

/// Sends one request on a connection of its own.
answer call(const std::string& address, const std::string& method, const std::string& path,
            const std::string& body, const std::map<std::string, std::string>& headers,
            std::int64_t timeout_ms);

/// The platform's metadata store, in memory.
class store
{
public:
    /// @param addresses addresses and the time that each takes for an answer: 4 ms, and the way
    /// there and back.
    explicit store(const std::vector<std::pair<std::string, std::int64_t>>& addresses);
    /// While set, every call is refused with 503: nothing is done.
    void set_busy(bool busy);
    /// Writes a row as the operator does.
    void put(const std::string& table, const std::string& key, const std::string& value);

private:
    struct row
    {
        std::string value;
        std::uint64_t version{};
        bool deleted = false;
    };
    using name = std::tuple<std::string, std::string, std::string>;

    http_server::response serve(const http_server::request& request, std::int64_t latency_ms);
    http_server::response transact(const std::string& text);
    http_server::response read(const http_server::request& request);
    http_server::response feed(const http_server::request& request);
    [[nodiscard]] static Poco::JSON::Object::Ptr print(const name& id, const row& stored);

    std::mutex guard;
    std::condition_variable changed;
    std::map<name, row> rows;
    std::uint64_t version = 1;
    std::atomic<bool> busy = false;
    std::vector<std::unique_ptr<http_server>> servers;
};

/// One start of a work unit on a worker.
struct run_record
{
    std::string unit;
    std::uint64_t run{};
    std::string worker;
    std::int64_t born{};
    std::int64_t started{};
    std::int64_t ended = -1;
    std::string how;
    std::string saved;
    /// The end reached lastSeen.
    bool noted = false;
    /// The worker's lease lapsed, or the worker crashed, before the end was noted.
    bool excused = false;
};

/// Properties of one boot of a worker.
struct worker_kind
{
    std::string label = "a";
    std::int64_t cpu = 32000;
    std::int64_t memory_mb = 131072;
    std::int64_t gpu = 8;
};

/// What a work unit does on a worker.
struct work
{
    work(std::int64_t time_ms, bool fails_then = false, bool saves_state = false)
        : ms(time_ms), fails(fails_then), saves(saves_state)
    {
    }

    std::int64_t ms;
    /// Ends `failed` after that time, not `done`.
    bool fails;
    /// Produces a checkpoint each half second.
    bool saves;
};

/// A worker of the service "svc".
class worker
{
public:
    struct settings
    {
        std::string id;
        std::string rack;
        /// Where it takes calls.
        std::string address;
        /// The control address on its machine.
        std::string control;
        worker_kind kind;
        std::int64_t max_hold_ms = 6000;
        std::int64_t heartbeat_ms = 1500;
        std::int64_t stop_ms = 100;
    };
    /// @return what a unit does, by its worker, its name and its spec.
    using duration = std::function<work(const std::string& worker, const std::string& unit,
                                        const std::string& spec)>;

    worker(settings values, duration work_ms);
    ~worker();

    /// Crashes: sends nothing and answers nothing from now on; what runs is gone.
    void crash();
    /// Starts again at the same address and under the same id.
    /// @param clock_offset_ms how far its machine's time of day is off.
    void boot(const worker_kind& kind, std::int64_t clock_offset_ms = 0);

    [[nodiscard]] std::vector<run_record> runs() const;
    [[nodiscard]] int running_units(const std::string& job) const;
    [[nodiscard]] int listed_ends() const;
    [[nodiscard]] std::string id() const { return this->values.id; }

private:
    struct live_run
    {
        std::size_t record{};
        std::int64_t done_at{};
        std::int64_t stop_at = -1;
        bool fails = false;
        bool saves = false;
        /// Work in the checkpoint that it started from.
        std::int64_t resumed_ms{};
    };
    struct listed_end
    {
        std::uint64_t number{};
        std::size_t record{};
    };

    http_server::response serve(const http_server::request& request);
    http_server::response on_start(Poco::JSON::Object& body);
    http_server::response on_stop(Poco::JSON::Object& body);
    http_server::response on_hold(Poco::JSON::Object& body, std::unique_lock<std::mutex>& lock);
    [[nodiscard]] http_server::response plain(int status, const std::string& reason) const;
    [[nodiscard]] std::int64_t clock() const;
    [[nodiscard]] std::string saved(const live_run& each) const;
    void finish(const std::string& unit, const std::string& how);
    void advance();
    void tick();
    void beat();

    settings values;
    duration work_ms;
    mutable std::mutex guard;
    std::condition_variable changed;
    bool up = true;
    std::int64_t born{};
    std::int64_t clock_start{};
    std::uint64_t sequence{};
    std::map<std::string, live_run> live;
    std::map<std::string, std::uint64_t> barred;
    std::vector<listed_end> ends;
    std::uint64_t next_end = 1;
    std::uint64_t token{};
    std::int64_t lease_until{};
    std::int64_t next_beat{};
    std::vector<run_record> all;
    std::atomic<bool> stopping = false;
    std::unique_ptr<http_server> server;
    std::thread ticker;
    std::thread beater;
};

/// One process of the system, started by the deploy file's command.
class process
{
public:
    process(std::string role, std::string settings_path, std::string log_path);
    ~process();
    void start();
    void signal(int number) const;
    void kill_now();

private:
    std::string role;
    std::string settings_path;
    std::string log_path;
    pid_t pid = -1;
};

/// A small deployment.
class site
{
public:
    struct plan
    {
        int entries = 1;
        int agents = 3;
        std::vector<worker_kind> kinds;
        /// Time that an agent's call to the store takes; 4 ms for those not named.
        std::vector<std::int64_t> store_ms;
    };
    site(const plan& wanted, const worker::duration& work_ms);
    ~site();

    /// Waits until an entry is ready, a leader has taken over and all workers may be used.
    [[nodiscard]] bool wait_until_serving();
    /// Sends a call with the tenant's key and a time limit of 3 s.
    answer request(const std::string& method, const std::string& id, const std::string& body = {});
    /// Hands a job in as a requester does, with up to 4 retries.
    bool submit(const std::string& id, const std::string& body);
    /// @return the state in the answer to a GET, or the status as text.
    std::string state(const std::string& id);
    /// @return the index of the agent that leads, by the agents' logs; -1 if none.
    [[nodiscard]] int leader() const;
    /// @return runs on all workers.
    [[nodiscard]] std::vector<run_record> runs() const;
    [[nodiscard]] int running_units(const std::string& job) const;
    /// Rule TWICE for all units.
    /// @return one line for each violation.
    [[nodiscard]] std::vector<std::string> check_twice() const;
    /// Writes all runs to the record.
    void record_runs() const;

    [[nodiscard]] std::string control(int agent) const;
    store& table() { return *this->platform; }
    worker& machine(int index) { return *this->workers[static_cast<std::size_t>(index)]; }
    process& agent(int index) { return *this->agents[static_cast<std::size_t>(index)]; }
    [[nodiscard]] int agent_count() const { return static_cast<int>(this->agents.size()); }

private:
    std::string folder;
    std::unique_ptr<store> platform;
    std::vector<std::unique_ptr<worker>> workers;
    std::vector<std::unique_ptr<process>> entries;
    std::vector<std::unique_ptr<process>> agents;
    std::vector<std::string> fronts;
    std::vector<std::string> readies;
    std::vector<std::string> controls;
};

/// @return a job's body: one step of @p count units.
std::string job_body(const std::string& spec, int count, int cpu, int estimate_ms,
                     const std::string& more = {});
/// @return an id of 16 hexadecimal digits.
std::string job_id(int number);

/// Exit codes of a case.
enum verdict
{
    held = 0,
    broken = 1,
    not_run = 2,
};

} // namespace review
