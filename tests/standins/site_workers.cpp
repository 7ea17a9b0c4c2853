#include "standins/site_workers.hpp"

#include "chicorylift/batch/job.hpp"
#include "platform/json_reader.hpp"

#include <algorithm>
#include <mutex>

namespace chicorylift::testing
{

namespace
{

using platform::json_reader;
using responder = net::async_http_server::responder;

constexpr core::milliseconds beat_interval{300};
constexpr core::milliseconds stop_time{60};
constexpr core::milliseconds gang_patience{3000};
constexpr int status_conflict = 409;
constexpr std::size_t max_listed_ends = 500;

struct run
{
    std::string unit;
    std::uint64_t number{};
    std::int64_t duration_ms{};
    int members = 1;
    std::int64_t accelerators{};
    bool fails = false;
    bool working = false;
    bool stopping = false;
    std::int64_t working_since{};
    std::uint64_t token{};

    /// @return how much of the work is done, as workers list it.
    [[nodiscard]] std::int64_t percent() const
    {
        constexpr std::int64_t at_most = 99;
        const std::int64_t worked =
            core::boot_clock::now().time_since_epoch().count() - this->working_since;
        return !this->working
                   ? 0
                   : std::min(at_most, 100 * worked / std::max<std::int64_t>(1, this->duration_ms));
    }
};

struct end
{
    std::uint64_t number{};
    std::string unit;
    std::uint64_t run{};
    std::string how;
    /// The unit must not run again, unless this end is lost before it was noted.
    bool binding = true;
};

struct worker
{
    worker_place place;
    std::unique_ptr<net::async_http_server> server;
    std::int64_t born{};
    std::uint64_t sequence{};
    std::map<std::string, run> runs;
    std::map<std::string, std::uint64_t> barred;
    std::vector<end> ends;
    std::uint64_t next_end = 1;
    std::uint64_t token{};
    std::int64_t lease_until{};
    std::vector<responder> waiting;
    bool silent = false;
    bool responses_lost = false;
    bool lists_odd_rows = false;
};

std::int64_t now_ms()
{
    return core::boot_clock::now().time_since_epoch().count();
}

} // namespace

struct site_workers::implementation
    : public std::enable_shared_from_this<site_workers::implementation>
{
    explicit implementation(net::event_loop& loop) : loop(loop), client(loop) {}

    void add(const worker_place& place)
    {
        worker& one = this->workers[place.id];
        one.place = place;
        one.born = ++this->next_born;
        one.server = std::make_unique<net::async_http_server>(
            this->loop, place.address, net::async_server_limits{},
            [this, &one](const net::server_request& request, const responder& respond)
            {
                const std::lock_guard lock(this->guard);
                this->answer(one, request,
                             [&one, respond](const net::server_response& response)
                             {
                                 if (!one.responses_lost)
                                 {
                                     respond(response);
                                 }
                             });
            });
        this->beat(place.id);
        this->watch_lease(place.id);
    }

    void beat(const std::string& id)
    {
        const std::lock_guard lock(this->guard);
        worker& one = this->workers.at(id);
        if (!one.silent)
        {
            Poco::JSON::Object body;
            body.set("service", "svc");
            body.set("address", one.place.address);
            body.set("zone", one.place.zone);
            body.set("slots", 8);
            body.set("state", "ready");
            body.set("born", one.born);
            body.set("clockMs", now_ms());
            body.set("seq", ++one.sequence);
            Poco::JSON::Object::Ptr capacity(new Poco::JSON::Object);
            capacity->set("cpu", 32000);
            capacity->set("memMb", 131072);
            capacity->set("gpu", one.place.accelerators);
            body.set("capacity", capacity);
            Poco::JSON::Array::Ptr labels(new Poco::JSON::Array);
            labels->add("a");
            labels->add(one.place.rack);
            body.set("labels", labels);
            net::client_request request;
            request.address = one.place.agent;
            request.method = "PUT";
            request.path = "/v1/instances/" + id;
            request.body = platform::to_text(body);
            this->client.send(request, [](const absl::StatusOr<net::client_response>&) {});
        }
        this->loop.run_after(beat_interval,
                             [self = this->shared_from_this(), id] { self->beat(id); });
    }

    void leave(const std::string& id)
    {
        const std::lock_guard lock(this->guard);
        worker& one = this->workers.at(id);
        one.silent = true;
        one.runs.clear();
        one.server.reset();
        net::client_request request;
        request.address = one.place.agent;
        request.method = "DELETE";
        request.path = "/v1/instances/" + id;
        this->client.send(request, [](const absl::StatusOr<net::client_response>&) {});
    }

    void watch_lease(const std::string& id)
    {
        constexpr core::milliseconds interval{20};
        {
            const std::lock_guard lock(this->guard);
            worker& one = this->workers.at(id);
            if (now_ms() > one.lease_until)
            {
                // An end that was not noted before the lease lapsed does not bind anybody.
                for (end& each : one.ends)
                {
                    if (each.binding)
                    {
                        this->seen.done.erase(each.unit);
                        each.binding = false;
                    }
                }
            }
            while (!one.runs.empty() && now_ms() > one.lease_until)
            {
                this->finish(one, one.runs.begin()->first, "lapsed");
            }
        }
        this->loop.run_after(interval,
                             [self = this->shared_from_this(), id] { self->watch_lease(id); });
    }

    void answer(worker& one, const net::server_request& request, const responder& respond)
    {
        if (one.silent)
        {
            return;
        }
        auto body = json_reader::parse(request.body);
        if (!body.ok() || request.path_segments.size() != 2)
        {
            respond(this->plain(one, 400, ""));
            return;
        }
        const auto token = static_cast<std::uint64_t>(body->get_integer("fencingToken", false));
        if (token < one.token)
        {
            respond(this->plain(one, status_conflict, "fence"));
            return;
        }
        one.token = token;
        if (request.path_segments[1] == "run-start")
        {
            this->on_start(one, *body, respond);
        }
        else if (request.path_segments[1] == "run-stop")
        {
            this->on_stop(one, *body, respond);
        }
        else
        {
            this->on_hold(one, *body, respond);
        }
    }

    /// @return accelerators of the runs that are there, also of those that are being stopped.
    static std::int64_t in_use(const worker& one)
    {
        std::int64_t sum = 0;
        for (const auto& [unit, each] : one.runs)
        {
            sum += each.accelerators;
        }
        return sum;
    }

    net::server_response plain(const worker& one, int status, const std::string& reason) const
    {
        Poco::JSON::Object body;
        body.set("clockMs", now_ms());
        body.set("born", one.born);
        if (!reason.empty())
        {
            body.set("reason", reason);
        }
        net::server_response response;
        response.status = status;
        response.body = platform::to_text(body);
        return response;
    }

    void on_start(worker& one, json_reader& body, const responder& respond)
    {
        const std::string unit = body.get_string("task");
        const auto number = static_cast<std::uint64_t>(body.get_integer("run"));
        const std::string payload = body.get_string("spec");
        const std::int64_t until = body.get_integer("deadlineMs");
        if (this->late_starts > 0)
        {
            --this->late_starts;
            this->loop.run_after(this->lateness,
                                 [self = this->shared_from_this(), id = one.place.id, unit, number,
                                  payload, until, token = one.token, born = one.born]
                                 {
                                     const std::lock_guard lock(self->guard);
                                     worker& there = self->workers.at(id);
                                     if (there.token <= token && there.born == born)
                                     {
                                         static_cast<void>(
                                             self->begin(there, unit, number, payload, until));
                                     }
                                 });
            return;
        }
        const std::string refused = this->begin(one, unit, number, payload, until);
        respond(this->plain(one, refused.empty() ? 200 : status_conflict, refused));
    }

    std::string begin(worker& one, const std::string& unit, std::uint64_t number,
                      const std::string& payload, std::int64_t until)
    {
        // Also taken from a start of a run that is there or is refused as old.
        one.lease_until = std::max(one.lease_until, until);
        const auto there = one.runs.find(unit);
        if (there != one.runs.end() && there->second.number == number)
        {
            return "";
        }
        if (until <= now_ms())
        {
            return "late";
        }
        if (one.barred[unit] >= number)
        {
            return "old";
        }
        for (const auto& [id, other] : this->workers)
        {
            if (other.runs.contains(unit))
            {
                this->seen.violations.push_back(unit + " runs twice");
            }
        }
        if (this->seen.done.contains(unit))
        {
            this->seen.violations.push_back(unit + " starts after it was done");
        }
        run fresh;
        fresh.unit = unit;
        fresh.number = number;
        fresh.fails = payload.starts_with("fail");
        fresh.duration_ms = fresh.fails ? 50 : std::stoll(payload);
        const std::size_t slash = payload.find('/');
        fresh.members = slash == std::string::npos ? 1 : std::stoi(payload.substr(slash + 1));
        const std::size_t mark = payload.find('#');
        fresh.accelerators = mark == std::string::npos ? 0 : std::stoi(payload.substr(mark + 1));
        fresh.token = ++this->next_token;
        one.runs[unit] = fresh;
        if (in_use(one) > one.place.accelerators)
        {
            this->seen.violations.push_back(unit + " takes " + one.place.id +
                                            " over its accelerators");
        }
        ++this->seen.starts[unit];
        ++this->seen.zone_starts[one.place.zone];
        const auto bound = this->evacuated.find(one.place.zone);
        if (bound != this->evacuated.end() && core::boot_clock::now() > bound->second)
        {
            this->seen.violations.push_back(unit + " starts in evacuated zone " + one.place.zone);
        }
        this->gather(number, fresh.members);
        this->expire_lonely(one.place.id, unit, fresh.token);
        return "";
    }

    void gather(std::uint64_t number, int members)
    {
        int present = 0;
        for (auto& [id, one] : this->workers)
        {
            for (auto& [unit, each] : one.runs)
            {
                present += each.number == number ? 1 : 0;
            }
        }
        if (present < members)
        {
            return;
        }
        for (auto& [id, one] : this->workers)
        {
            for (auto& [unit, each] : one.runs)
            {
                if (each.number == number && !each.working)
                {
                    each.working = true;
                    each.working_since = now_ms();
                    this->finish_later(id, unit, each);
                }
            }
        }
    }

    void finish_later(const std::string& id, const std::string& unit, const run& each)
    {
        this->loop.run_after(core::milliseconds{each.duration_ms},
                             [self = this->shared_from_this(), id, unit, token = each.token]
                             {
                                 const std::lock_guard lock(self->guard);
                                 worker& one = self->workers.at(id);
                                 const auto found = one.runs.find(unit);
                                 if (found != one.runs.end() && found->second.token == token &&
                                     !found->second.stopping)
                                 {
                                     self->finish(one, unit,
                                                  found->second.fails ? "failed" : "done");
                                 }
                             });
    }

    void expire_lonely(const std::string& id, const std::string& unit, std::uint64_t token)
    {
        this->loop.run_after(gang_patience,
                             [self = this->shared_from_this(), id, unit, token]
                             {
                                 const std::lock_guard lock(self->guard);
                                 worker& one = self->workers.at(id);
                                 const auto found = one.runs.find(unit);
                                 if (found != one.runs.end() && found->second.token == token &&
                                     !found->second.working)
                                 {
                                     ++self->seen.alone;
                                     self->finish(one, unit, "alone");
                                 }
                             });
    }

    void on_stop(worker& one, json_reader& body, const responder& respond)
    {
        const std::string unit = body.get_string("task");
        const auto number = static_cast<std::uint64_t>(body.get_integer("run"));
        std::uint64_t& barred = one.barred[unit];
        barred = std::max(barred, number);
        const auto found = one.runs.find(unit);
        if (found != one.runs.end() && found->second.number <= number)
        {
            found->second.stopping = true;
            this->loop.run_after(stop_time,
                                 [self = this->shared_from_this(), id = one.place.id, unit,
                                  token = found->second.token]
                                 {
                                     const std::lock_guard lock(self->guard);
                                     worker& there = self->workers.at(id);
                                     const auto again = there.runs.find(unit);
                                     if (again != there.runs.end() && again->second.token == token)
                                     {
                                         self->finish(there, unit, "stopped");
                                     }
                                 });
        }
        respond(this->plain(one, 200, ""));
    }

    void on_hold(worker& one, json_reader& body, const responder& respond)
    {
        const auto noted = static_cast<std::uint64_t>(body.get_integer("lastSeen", false));
        one.lease_until = std::max(one.lease_until, body.get_integer("deadlineMs", false));
        std::erase_if(one.ends, [noted](const end& each) { return each.number <= noted; });
        const core::milliseconds wait{body.get_integer("waitMs", false)};
        if (!one.ends.empty() || wait.count() == 0)
        {
            respond(this->lists(one));
            return;
        }
        one.waiting.push_back(respond);
        this->loop.run_after(wait,
                             [self = this->shared_from_this(), id = one.place.id]
                             {
                                 const std::lock_guard lock(self->guard);
                                 self->wake(self->workers.at(id));
                             });
    }

    void wake(worker& one)
    {
        std::vector<responder> waiting;
        waiting.swap(one.waiting);
        for (const responder& respond : waiting)
        {
            if (!one.silent)
            {
                respond(this->lists(one));
            }
        }
    }

    net::server_response lists(const worker& one) const
    {
        Poco::JSON::Array::Ptr running(new Poco::JSON::Array);
        for (const auto& [unit, each] : one.runs)
        {
            Poco::JSON::Array::Ptr row(new Poco::JSON::Array);
            row->add(unit);
            row->add(each.number);
            row->add("");
            row->add(each.percent());
            running->add(row);
        }
        Poco::JSON::Array::Ptr finished(new Poco::JSON::Array);
        for (const end& each : one.ends)
        {
            if (finished->size() == max_listed_ends)
            {
                break;
            }
            Poco::JSON::Array::Ptr row(new Poco::JSON::Array);
            row->add(each.number);
            row->add(each.unit);
            row->add(each.run);
            row->add(each.how);
            row->add("");
            finished->add(row);
        }
        if (one.lists_odd_rows)
        {
            Poco::JSON::Array::Ptr odd(new Poco::JSON::Array);
            odd->add("0000000000000099.0.0.0");
            odd->add(-1.5);
            odd->add(std::string("saved"));
            running->add(odd);
            running->add(7);
            finished->add(odd);
        }
        Poco::JSON::Object body;
        body.set("clockMs", now_ms());
        body.set("born", one.born);
        body.set("running", running);
        body.set("finished", finished);
        net::server_response response;
        response.body = platform::to_text(body);
        return response;
    }

    void finish(worker& one, const std::string& named, const std::string& how)
    {
        // The node keeps the name alive, which may be the caller's reference into the map.
        const auto node = one.runs.extract(one.runs.find(named));
        const std::string& unit = node.key();
        const run& ended = node.mapped();
        std::uint64_t& barred = one.barred[unit];
        barred = std::max(barred, ended.number);
        one.ends.push_back({one.next_end++, unit, ended.number, how, true});
        if (how == "done")
        {
            ++this->seen.done[unit];
            this->seen.ever_done.insert(unit);
        }
        if (ended.members > 1 && how != "done")
        {
            this->break_gang(ended.number);
        }
        this->wake(one);
    }

    void break_gang(std::uint64_t number)
    {
        for (auto& [id, one] : this->workers)
        {
            std::vector<std::string> units;
            for (const auto& [unit, each] : one.runs)
            {
                if (each.number == number && each.working)
                {
                    units.push_back(unit);
                }
            }
            for (const std::string& unit : units)
            {
                one.runs.at(unit).members = 1;
                this->finish(one, unit, "broken");
            }
        }
    }

    net::event_loop& loop;
    net::async_http_client client;
    mutable std::recursive_mutex guard;
    std::map<std::string, worker> workers;
    worker_records seen;
    std::int64_t next_born = 1000;
    std::uint64_t next_token{};
    /// Until when work may start in each evacuated zone.
    std::map<std::string, core::instant> evacuated;
    int late_starts = 0;
    core::milliseconds lateness{};
};

site_workers::site_workers(net::event_loop& loop, const std::vector<worker_place>& places)
    : inner(std::make_shared<implementation>(loop))
{
    for (const worker_place& place : places)
    {
        this->inner->add(place);
    }
}

site_workers::~site_workers() = default;

worker_records site_workers::records() const
{
    const std::lock_guard lock(this->inner->guard);
    worker_records records = this->inner->seen;
    for (const auto& [id, one] : this->inner->workers)
    {
        records.leases[id] = core::instant_at(core::milliseconds{one.lease_until});
        if (!one.silent)
        {
            records.in_use[id] = implementation::in_use(one);
        }
        for (const auto& [unit, each] : one.runs)
        {
            records.running.insert(unit);
        }
    }
    return records;
}

void site_workers::reboot(const std::string& id)
{
    this->inner->loop.post(
        [self = this->inner, id]
        {
            const std::lock_guard lock(self->guard);
            worker& one = self->workers.at(id);
            std::vector<std::uint64_t> gangs;
            for (const auto& [unit, each] : one.runs)
            {
                if (each.members > 1)
                {
                    gangs.push_back(each.number);
                }
            }
            for (const end& each : one.ends)
            {
                // An end that nobody noted is lost with this life, and its unit runs again.
                if (each.binding)
                {
                    self->seen.done.erase(each.unit);
                }
            }
            one.runs.clear();
            one.barred.clear();
            one.ends.clear();
            one.next_end = 1;
            one.token = 0;
            one.sequence = 0;
            one.lease_until = 0;
            one.born = ++self->next_born;
            for (const std::uint64_t number : gangs)
            {
                self->break_gang(number);
            }
        });
}

void site_workers::set_silent(const std::string& id, bool silent)
{
    const std::lock_guard lock(this->inner->guard);
    this->inner->workers.at(id).silent = silent;
}

void site_workers::leave(const std::string& id)
{
    this->inner->loop.post([inner = this->inner, id] { inner->leave(id); });
}

void site_workers::lose_responses(const std::string& id, bool lost)
{
    const std::lock_guard lock(this->inner->guard);
    this->inner->workers.at(id).responses_lost = lost;
}

void site_workers::list_odd_rows(const std::string& id)
{
    const std::lock_guard lock(this->inner->guard);
    this->inner->workers.at(id).lists_odd_rows = true;
}

void site_workers::evacuate(const std::string& zone, core::milliseconds limit)
{
    const std::lock_guard lock(this->inner->guard);
    this->inner->evacuated[zone] = core::boot_clock::now() + limit;
}

void site_workers::restore(const std::string& zone)
{
    const std::lock_guard lock(this->inner->guard);
    this->inner->evacuated.erase(zone);
}

void site_workers::delay_starts(int count, core::milliseconds late)
{
    const std::lock_guard lock(this->inner->guard);
    this->inner->late_starts = count;
    this->inner->lateness = late;
}

} // namespace chicorylift::testing
