#include "support/batch_site.hpp"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/StreamCopier.h>
#include <Poco/Timestamp.h>
#include <algorithm>
#include <array>
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <doctest/doctest.h>
#include <fstream>
#include <iostream>
#include <mutex>
#include <random>
#include <unistd.h>

/// A randomized soak of real entries and agents: faults from outside in overlapping series, and
/// the promises by what callers and workers see.
///
/// CHICORYLIFT_SOAK=FIRST,COUNT plays that many seeds from FIRST on; the logs of one that fails
/// stay.
namespace
{

using namespace chicorylift;
using clock = core::boot_clock;
using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::batch_site;
using testing::worker_records;

constexpr int agent_count = 6;
constexpr int entry_count = 2;
constexpr int client_count = 3;
constexpr std::int64_t accelerators_per_worker = 8;
constexpr seconds faults_last{10};
/// Nothing may stand still from this long after the faults on, for longer than `stand_limit`.
constexpr seconds settling{4};
constexpr seconds stand_limit{3};
/// All jobs complete within this time after the faults.
constexpr seconds finish_limit{30};
/// Callers wait 3 s for an answer; the rest is for a busy machine.
constexpr seconds answer_limit{5};
/// An entry isn't expected to serve sooner after a fault of its own.
constexpr seconds entry_restart{3};

struct soak_job
{
    std::string id;
    std::string path;
    std::string body;
    int units{};
    int accelerators{};
    bool is_gang = false;
    bool fails = false;
    bool is_accepted = false;
    /// An attempt had no answer, or one that leaves open what became of it.
    bool is_uncertain = false;
    bool is_cancelled = false;
    bool has_ended = false;
    clock::time_point idle_since{};
    int starts{};
};

/// What happened and what broke, of all threads.
class journal
{
public:
    void note(const std::string& line) { this->add(this->events, line); }
    void broken(const std::string& line)
    {
        this->add(this->events, "BROKEN: " + line);
        this->add(this->faults, line);
    }
    std::vector<std::string> violations()
    {
        const std::lock_guard lock(this->guard);
        return this->faults;
    }
    void write(const std::string& path)
    {
        const std::lock_guard lock(this->guard);
        std::ofstream file(path);
        for (const std::string& line : this->events)
        {
            file << line << '\n';
        }
    }

private:
    void add(std::vector<std::string>& to, const std::string& line)
    {
        const std::lock_guard lock(this->guard);
        to.push_back(std::to_string(Poco::Timestamp().epochMicroseconds() / 1000) + " " + line);
    }

    std::mutex guard;
    std::vector<std::string> events;
    std::vector<std::string> faults;
};

/// Says for each entry whether callers can expect answers.
class entry_health
{
public:
    void set(int entry, bool is_impaired)
    {
        const std::lock_guard lock(this->guard);
        this->states[static_cast<std::size_t>(entry)] = {is_impaired, clock::now()};
    }
    /// @return whether an entry has had no fault since @p since, nor shortly before.
    bool is_sound_since(int entry, clock::time_point since)
    {
        const std::lock_guard lock(this->guard);
        const state& one = this->states[static_cast<std::size_t>(entry)];
        return !one.is_impaired && one.changed + entry_restart < since;
    }
    /// @return whether a connection opened at @p since may be to a process that is gone.
    bool has_changed_since(int entry, clock::time_point since)
    {
        const std::lock_guard lock(this->guard);
        return this->states[static_cast<std::size_t>(entry)].changed > since;
    }

private:
    struct state
    {
        bool is_impaired = false;
        clock::time_point changed = clock::now();
    };
    std::mutex guard;
    std::array<state, entry_count> states;
};

/// A caller that keeps one connection to each entry open.
class caller
{
public:
    caller(const batch_site& site, journal& log, entry_health& health)
        : site(site), log(log), health(health)
    {
    }

    testing::caller_answer call(int entry, const std::string& method, const std::string& path,
                                const std::string& body = {})
    {
        auto& session = this->sessions[static_cast<std::size_t>(entry)];
        clock::time_point& opened = this->opened_at[static_cast<std::size_t>(entry)];
        if (session == nullptr || this->health.has_changed_since(entry, opened))
        {
            opened = clock::now();
            session = std::make_unique<Poco::Net::HTTPClientSession>(
                Poco::Net::SocketAddress(this->site.front(entry)));
            session->setKeepAlive(true);
            session->setTimeout(Poco::Timespan(1, 0), Poco::Timespan(answer_limit.count(), 0),
                                Poco::Timespan(answer_limit.count(), 0));
        }
        Poco::Net::HTTPRequest request(method, path, Poco::Net::HTTPRequest::HTTP_1_1);
        request.setHost("jobs.example");
        request.set("X-Api-Key", "key-a");
        request.set("Chicorylift-Deadline-Ms", "3000");
        request.setContentLength(static_cast<std::streamsize>(body.size()));
        const clock::time_point sent = clock::now();
        try
        {
            session->sendRequest(request) << body << std::flush;
            Poco::Net::HTTPResponse response;
            std::string text;
            Poco::StreamCopier::copyToString(session->receiveResponse(response), text);
            return {response.getStatus(), text};
        }
        catch (const Poco::Exception& error)
        {
            session.reset();
            if (this->health.is_sound_since(entry, sent))
            {
                this->log.broken(method + " " + path + " had no answer from entry-" +
                                 std::to_string(entry) + " after " +
                                 std::to_string((clock::now() - sent) / milliseconds{1}) +
                                 " ms: " + error.displayText());
            }
            return {};
        }
    }

private:
    const batch_site& site;
    journal& log;
    entry_health& health;
    std::array<std::unique_ptr<Poco::Net::HTTPClientSession>, entry_count> sessions;
    std::array<clock::time_point, entry_count> opened_at{};
};

int pick(std::mt19937_64& random, int from, int to)
{
    return std::uniform_int_distribution<int>(from, to)(random);
}

soak_job make_job(std::mt19937_64& random, int number)
{
    soak_job job;
    job.id = std::to_string(number);
    job.id.insert(0, 16 - job.id.size(), '0');
    job.path = (pick(random, 0, 1) == 0 ? "/q/" : "/low/") + job.id;
    job.units = pick(random, 1, 4);
    job.accelerators = pick(random, 1, 4);
    const int duration_ms =
        pick(random, 0, 9) == 0 ? pick(random, 4000, 9000) : pick(random, 100, 2500);
    const int kind = pick(random, 0, 9);
    std::string flags;
    std::string second;
    if (kind <= 2)
    {
        job.is_gang = true;
        job.units = pick(random, 2, kind == 2 ? 3 : 5);
        job.accelerators = kind == 2 ? 4 * pick(random, 1, 2) : job.accelerators;
        flags = std::string(R"(,"gang":true)") + (kind == 2 ? R"(,"rackLocal":true)" : "");
    }
    else if (kind <= 4)
    {
        second = R"(,{"count":1,"cpu":1000,"memMb":1000,"gpu":)" +
                 std::to_string(job.accelerators) + R"(,"estimateMs":300,"after":[0]})";
    }
    else
    {
        job.accelerators = kind == 5 ? 8 : job.accelerators;
        job.fails = kind == 6 && pick(random, 0, 3) == 0;
        flags = kind >= 8 ? R"(,"checkpointing":true)" : kind == 7 ? R"(,"dataRack":"r1")" : "";
    }
    const std::string payload = (job.fails ? "fail" : std::to_string(duration_ms)) +
                                (job.is_gang ? "/" + std::to_string(job.units) : "") + "#" +
                                std::to_string(job.accelerators);
    job.body = R"({"spec":")" + payload + R"(","steps":[{"count":)" + std::to_string(job.units) +
               R"(,"cpu":1000,"memMb":1000,"gpu":)" + std::to_string(job.accelerators) +
               R"(,"estimateMs":)" + std::to_string(duration_ms) + flags + "}" + second + "]}";
    job.units += second.empty() ? 0 : 1;
    return job;
}

/// Hands a job in as callers do: after a refusal or no answer again, at any entry.
void submit(caller& client, soak_job& job, std::mt19937_64& random)
{
    for (int attempt = pick(random, 1, 5); attempt > 0 && !job.is_accepted; --attempt)
    {
        const int status =
            client.call(pick(random, 0, entry_count - 1), "POST", job.path, job.body).status;
        job.is_accepted = status / 100 == 2;
        job.idle_since = clock::now();
        job.is_uncertain = job.is_uncertain || status == 0 || status == 502 || status == 504;
        if (!job.is_accepted)
        {
            std::this_thread::sleep_for(milliseconds{pick(random, 50, 400)});
        }
    }
}

void play_client(caller client, std::vector<soak_job>& jobs, std::mt19937_64 random, int first,
                 const std::atomic<bool>& stops)
{
    for (int number = first; !stops; ++number)
    {
        jobs.push_back(make_job(random, number));
        submit(client, jobs.back(), random);
        for (int look = pick(random, 2, 5); look > 0; --look)
        {
            soak_job& job =
                jobs[static_cast<std::size_t>(pick(random, 0, static_cast<int>(jobs.size()) - 1))];
            const int entry = pick(random, 0, entry_count - 1);
            if (pick(random, 0, 15) == 0)
            {
                // Whatever the answer, the job may now be cancelled.
                job.is_cancelled = true;
                static_cast<void>(client.call(entry, "DELETE", job.path));
            }
            else
            {
                static_cast<void>(client.call(entry, "GET", job.path));
            }
            std::this_thread::sleep_for(milliseconds{pick(random, 20, 400)});
        }
    }
}

/// Injects faults at random, several at a time.
class fault_driver
{
public:
    fault_driver(batch_site& site, journal& log, entry_health& health, std::uint64_t seed)
        : site(site), log(log), health(health), random(seed)
    {
    }

    /// @param worker_leaves one worker goes silent for good meanwhile.
    void play(clock::time_point until, bool worker_leaves)
    {
        const clock::time_point leaves_at =
            clock::now() + milliseconds{pick(this->random, 1000, 6000)};
        const std::string leaver = "i-" + std::to_string(pick(this->random, 0, agent_count - 1));
        while (clock::now() < until)
        {
            this->end_faults(clock::now());
            if (worker_leaves && clock::now() > leaves_at && this->impaired.insert(leaver).second)
            {
                this->site.workers().set_silent(leaver, true);
                this->log.note(leaver + " has left");
            }
            this->check_processes();
            this->inject();
            std::this_thread::sleep_for(milliseconds{pick(this->random, 50, 500)});
        }
        this->end_faults(clock::time_point::max());
        this->log.note("faults over");
    }

    void check_processes()
    {
        for (int index = 0; index < agent_count + entry_count; ++index)
        {
            const std::string name = name_of(index);
            std::ifstream file("/proc/" + std::to_string(this->program(index).id()) + "/stat");
            std::string text;
            std::getline(file, text);
            if (!this->impaired.contains(name) && text.find(") Z ") != std::string::npos)
            {
                this->log.broken(name + " ended by itself");
                this->program(index).kill_now();
                this->program(index).restart();
            }
        }
    }

private:
    static std::string name_of(int index)
    {
        return index < agent_count ? "agent-" + std::to_string(index)
                                   : "entry-" + std::to_string(index - agent_count);
    }

    testing::process& program(int index)
    {
        return index < agent_count ? this->site.agent(index)
                                   : this->site.entry(index - agent_count);
    }

    void inject()
    {
        const int kind = pick(this->random, 0, 19);
        if (kind < 7)
        {
            this->hit(this->site.leader());
        }
        else if (kind < 10)
        {
            this->hit(pick(this->random, 0, agent_count - 1));
        }
        else if (kind < 12)
        {
            this->hit(agent_count + pick(this->random, 0, entry_count - 1));
        }
        else if (kind < 14)
        {
            this->hit_store();
        }
        else if (kind < 16)
        {
            this->hit_store_link(pick(this->random, 0, 1) == 0
                                     ? this->site.leader()
                                     : pick(this->random, 0, agent_count - 1));
        }
        else
        {
            this->hit_worker("i-" + std::to_string(pick(this->random, 0, agent_count - 1)));
        }
    }

    void hit(int index)
    {
        if (index < 0 || this->impaired.contains(name_of(index)))
        {
            return;
        }
        if (index >= agent_count)
        {
            this->health.set(index - agent_count, true);
        }
        testing::process& one = this->program(index);
        const int kind = pick(this->random, 0, 2);
        one.signal(std::array<int, 3>{SIGKILL, SIGSTOP, SIGTERM}[static_cast<std::size_t>(kind)]);
        this->start_fault(name_of(index),
                          kind == 0   ? "killed"
                          : kind == 1 ? "frozen"
                                      : "terminated",
                          pick(this->random, 300, kind == 1 ? 7000 : 3500),
                          [&one, is_frozen = kind == 1]
                          {
                              if (is_frozen)
                              {
                                  one.signal(SIGCONT);
                                  return;
                              }
                              one.kill_now();
                              one.restart();
                          });
    }

    void hit_store()
    {
        if (this->impaired.contains("store"))
        {
            return;
        }
        testing::store_faults faults;
        const int kind = pick(this->random, 0, 3);
        faults.busy = kind == 0;
        faults.silent = kind == 1;
        faults.delay = milliseconds{kind == 2 ? pick(this->random, 50, 900) : 0};
        faults.lose_answers = kind == 3 ? 0.4 : 0;
        faults.late = milliseconds{pick(this->random, 0, 2500)};
        this->site.store().set_faults(faults);
        const std::array<const char*, 4> names{"busy", "silent", "slow", "loses answers"};
        this->start_fault("store", names[static_cast<std::size_t>(kind)],
                          pick(this->random, 300, 4000),
                          [this] { this->site.store().set_faults({}); });
    }

    void hit_store_link(int agent)
    {
        const std::string name = "store link of agent-" + std::to_string(agent);
        if (agent < 0 || this->impaired.contains(name))
        {
            return;
        }
        testing::relay& link = this->site.store_link(agent);
        const bool is_cut = pick(this->random, 0, 1) == 0;
        link.set_cut(is_cut);
        link.set_delay_ms(is_cut ? 0 : pick(this->random, 50, 1500));
        this->start_fault(name, is_cut ? "cut" : "slow", pick(this->random, 300, 6000),
                          [&link]
                          {
                              link.set_cut(false);
                              link.set_delay_ms(0);
                          });
    }

    void hit_worker(const std::string& id)
    {
        if (this->impaired.contains(id))
        {
            return;
        }
        const int kind = pick(this->random, 0, 2);
        if (kind == 0)
        {
            this->site.workers().reboot(id);
            this->log.note(id + " rebooted");
        }
        else if (kind == 1)
        {
            this->site.workers().set_silent(id, true);
            this->start_fault(id, "silent", pick(this->random, 300, 7000),
                              [this, id] { this->site.workers().set_silent(id, false); });
        }
        else
        {
            this->site.workers().delay_starts(2, milliseconds{pick(this->random, 100, 3000)});
            this->log.note("two starts late and not answered");
        }
    }

    void start_fault(const std::string& name, const std::string& what, int last_ms,
                     std::function<void()> undo)
    {
        this->log.note(name + " " + what + " for " + std::to_string(last_ms) + " ms");
        this->impaired.insert(name);
        this->ends.emplace(clock::now() + milliseconds{last_ms},
                           [this, name, undo = std::move(undo)]
                           {
                               undo();
                               this->impaired.erase(name);
                               if (name.starts_with("entry-"))
                               {
                                   this->health.set(std::stoi(name.substr(6)), false);
                               }
                               this->log.note(name + " is back");
                           });
    }

    void end_faults(clock::time_point until)
    {
        while (!this->ends.empty() && this->ends.begin()->first <= until)
        {
            this->ends.begin()->second();
            this->ends.erase(this->ends.begin());
        }
    }

    batch_site& site;
    journal& log;
    entry_health& health;
    std::mt19937_64 random;
    std::multimap<clock::time_point, std::function<void()>> ends;
    std::set<std::string> impaired;
};

bool is_of(const std::string& unit, const soak_job& job)
{
    return unit.starts_with(job.id);
}

/// @return whether a job could run twice over with less than half of the site in use.
bool has_room(const soak_job& job, const worker_records& records)
{
    std::int64_t used = 0;
    std::int64_t places = 0;
    for (const auto& [id, in_use] : records.in_use)
    {
        used += in_use;
        places += (accelerators_per_worker - in_use) / job.accelerators;
    }
    const auto workers = static_cast<std::int64_t>(records.in_use.size());
    return 2 * used < workers * accelerators_per_worker &&
           places >= 2 * std::int64_t{job.is_gang ? job.units : 1};
}

/// Notes a job that stands still though it could run.
void check_stands(soak_job& job, const worker_records& records, clock::time_point from,
                  journal& log)
{
    int starts = 0;
    for (auto each = records.starts.lower_bound(job.id);
         each != records.starts.end() && is_of(each->first, job); ++each)
    {
        starts += each->second;
    }
    const auto running = records.running.lower_bound(job.id);
    const bool runs = running != records.running.end() && is_of(*running, job);
    // Ends that were lost with their worker don't count: these units have to run again.
    const auto done = std::count_if(records.done.begin(), records.done.end(),
                                    [&](const auto& each) { return is_of(each.first, job); });
    const clock::time_point now = clock::now();
    if (runs || starts != job.starts || done >= job.units || !has_room(job, records))
    {
        job.idle_since = now;
    }
    job.starts = starts;
    job.idle_since = std::max(job.idle_since, from);
    if (now - job.idle_since > stand_limit)
    {
        log.broken("job " + job.id + " stands still though there is room");
        // Once for each job.
        job.idle_since = clock::time_point::max() - std::chrono::hours{1};
    }
}

/// Looks at a job as its caller does.
void check_state(batch_site& site, caller& client, soak_job& job, int entry, journal& log)
{
    const testing::caller_answer answer = client.call(entry, "GET", job.path);
    const worker_records records = site.workers().records();
    if (answer.status == 410)
    {
        log.broken("job " + job.id + " was accepted and isn't known");
        job.has_ended = true;
        return;
    }
    const auto shows = [&](const char* state)
    { return answer.body.find(state) != std::string::npos; };
    job.has_ended = shows("\"completed\"") || shows("\"failed\"") || shows("\"cancelled\"");
    if (job.has_ended)
    {
        log.note("job " + job.id + " is shown as " + answer.body);
    }
    const auto done = std::count_if(records.ever_done.begin(), records.ever_done.end(),
                                    [&](const std::string& unit) { return is_of(unit, job); });
    if ((shows("\"completed\"") && (job.fails || done < job.units)) ||
        (shows("\"failed\"") && !job.fails) || (shows("\"cancelled\"") && !job.is_cancelled))
    {
        log.broken("job " + job.id + " is shown as " + answer.body + ", with " +
                   std::to_string(done) + " of " + std::to_string(job.units) + " units done");
    }
}

/// Follows the calm site until all jobs have ended.
void check_calm_site(batch_site& site, std::vector<soak_job>& jobs, fault_driver& faults,
                     caller& client, journal& log, clock::time_point calm)
{
    std::size_t left = jobs.size();
    int entry = 0;
    while (left > 0 && clock::now() < calm + finish_limit)
    {
        left = 0;
        faults.check_processes();
        for (soak_job& job : jobs)
        {
            if (!job.is_accepted || job.has_ended)
            {
                continue;
            }
            entry = (entry + 1) % entry_count;
            check_state(site, client, job, entry, log);
            if (!job.has_ended && !job.is_cancelled)
            {
                check_stands(job, site.workers().records(), calm + settling, log);
            }
            left += job.has_ended ? 0U : 1U;
        }
        std::this_thread::sleep_for(milliseconds{50});
    }
    for (const soak_job& job : jobs)
    {
        if (job.is_accepted && !job.has_ended)
        {
            log.broken("job " + job.id + " hasn't ended in time");
        }
    }
}

void check_refused_jobs(const std::vector<soak_job>& jobs, const worker_records& records,
                        journal& log)
{
    for (const soak_job& job : jobs)
    {
        const auto start = records.starts.lower_bound(job.id);
        if (!job.is_accepted && !job.is_uncertain && start != records.starts.end() &&
            is_of(start->first, job))
        {
            log.broken("job " + job.id + " was refused and has run");
        }
    }
}

void configure(batch_site& site)
{
    const auto route = [](const std::string& name, int priority)
    {
        return R"({"name":")" + name + R"(","host":"jobs.example","pathPrefix":"/)" + name +
               R"(/","kind":"unsafe","timeoutMs":3000,"targetLatencyMs":500,"priority":)" +
               std::to_string(priority) +
               R"(,"service":"svc","attempts":3,"slowdown":2.0,"public":false})";
    };
    site.store().put(
        "op", "config",
        R"({"version":1,"routes":[)" + route("q", 0) + "," + route("low", 2) +
            R"(],"services":[{"name":"svc"}],"limits":{"maxHeaderBytes":16384,)"
            R"("maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000},)"
            R"("tenants":[{"name":"a","apiKeys":["key-a"],"guaranteed":{"gpu":16}}]})");
}

void play_seed(std::uint64_t seed, bool worker_leaves)
{
    journal log;
    batch_site site(entry_count, agent_count, {}, true);
    configure(site);
    REQUIRE(batch_site::wait_for(
        [&]
        {
            return site.leader() >= 0 && site.call(0, "GET", "").status == 200 &&
                   site.call(1, "GET", "").status == 200;
        }));
    entry_health health;
    std::atomic<bool> stops = false;
    std::array<std::vector<soak_job>, client_count> jobs_of;
    std::vector<std::thread> clients;
    clients.reserve(client_count);
    for (int index = 0; index < client_count; ++index)
    {
        clients.emplace_back(
            [&, index]
            {
                play_client(caller(site, log, health), jobs_of[static_cast<std::size_t>(index)],
                            std::mt19937_64(seed * client_count + static_cast<unsigned>(index)),
                            (index + 1) * 10'000, stops);
            });
    }
    fault_driver faults(site, log, health, seed);
    faults.play(clock::now() + faults_last, worker_leaves);
    const clock::time_point calm = clock::now();
    std::this_thread::sleep_for(settling);
    stops = true;
    std::vector<soak_job> jobs;
    for (std::size_t index = 0; index < client_count; ++index)
    {
        clients[index].join();
        jobs.insert(jobs.end(), jobs_of[index].begin(), jobs_of[index].end());
    }
    caller last(site, log, health);
    check_calm_site(site, jobs, faults, last, log, calm);
    const auto ended = clock::now() - calm;
    const worker_records records = site.workers().records();
    check_refused_jobs(jobs, records, log);
    for (const std::string& line : records.violations)
    {
        log.broken(line);
    }
    const auto accepted = std::count_if(jobs.begin(), jobs.end(),
                                        [](const soak_job& job) { return job.is_accepted; });
    std::cout << "seed " << seed << ": " << jobs.size() << " jobs, " << accepted
              << " accepted, ended " << ended / milliseconds{1} << " ms after the faults"
              << std::endl;
    for (const std::string& line : log.violations())
    {
        FAIL_CHECK("seed " << seed << ": " << line);
    }
    log.write(site.log_folder() + "/soak.log");
    if (!log.violations().empty())
    {
        site.keep_logs();
        std::cout << "seed " << seed << " failed, logs in " << site.log_folder() << std::endl;
    }
}

void play_seeds(bool worker_leaves)
{
    // Daemons refuse variables that they don't know.
    static const std::string range = []
    {
        const char* const value = std::getenv("CHICORYLIFT_SOAK");
        std::string text = value == nullptr ? "1,1" : value;
        ::unsetenv("CHICORYLIFT_SOAK");
        return text;
    }();
    const std::uint64_t first = std::stoull(range);
    const std::uint64_t count = std::stoull(range.substr(range.find(',') + 1));
    for (std::uint64_t seed = first; seed < first + count; ++seed)
    {
        play_seed(seed, worker_leaves);
    }
}

TEST_CASE("a site whose processes and workers and store fail in series keeps its promises")
{
    play_seeds(false);
}

// Guards against LOST: jobs wait for the runs of a worker that left while its agent goes on.
TEST_CASE("a site that loses a worker for good amid other faults keeps its promises")
{
    play_seeds(true);
}

} // namespace
