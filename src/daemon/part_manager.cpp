#include "daemon/part_manager.hpp"

#include "chicorylift/core/error.hpp"
#include "net/http_client.hpp"
#include "support/log.hpp"
#include "wire/convert.hpp"
#include "wire/json.hpp"

#include <optional>
#include <utility>

namespace chicorylift::daemon
{

namespace
{

using admit::part_key;
using admit::part_phase;

constexpr core::milliseconds task_poll_interval{250};
constexpr core::milliseconds worker_unreachable_timeout{3000};
constexpr std::size_t request_threads = 4;
constexpr std::size_t request_queue_capacity = 1024;
constexpr int status_ok = 200;
constexpr std::string_view component = "parts";

part_key key_of(const wire::part_order& order)
{
    return {core::job_id(order.job()), order.attempt()};
}

std::string task_path(const part_key& key)
{
    return "/tasks/" + key.job.str() + "/" + std::to_string(key.attempt);
}

std::optional<part_phase> phase_from(const std::string& state)
{
    for (const part_phase phase :
         {part_phase::running, part_phase::stopped, part_phase::succeeded, part_phase::failed})
    {
        if (admit::to_text(phase) == state)
        {
            return phase;
        }
    }
    return std::nullopt;
}

} // namespace

part_manager::part_manager(admit::part_settings settings, poster post, reporter report)
    : table(settings), post(std::move(post)), report(std::move(report)),
      request_pool(request_threads, request_queue_capacity)
{
}

part_manager::~part_manager()
{
    this->request_pool.stop();
}

void part_manager::apply_announcement(const wire::announcement& worker)
{
    this->worker_address = worker.address();
    this->table.set_capacity(wire::from_wire(worker.capacity()));
    this->last_reached = core::boot_clock::now();
    if (!this->ready)
    {
        this->poll_tasks();
    }
}

bool part_manager::accept_epoch(std::uint32_t epoch)
{
    const absl::Status accepted = this->table.accept_epoch(epoch);
    if (!accepted.ok())
    {
        support::log::warn(component, "ignored message of a former leader",
                           {{"reason", std::string(accepted.message())}});
    }
    return accepted.ok();
}

void part_manager::on_reserve(const wire::reserve_part& order, bool leaving)
{
    const part_key key{core::job_id(order.job()), order.attempt()};
    if (leaving || !this->ready)
    {
        this->report(key, "refused",
                     leaving ? "the worker is leaving"
                             : "the agent has not read the worker's tasks yet");
        return;
    }
    const absl::Status reserved =
        this->table.reserve(key, order.tasks(), wire::from_wire(order.per_task()),
                            core::milliseconds{order.run_time_ms()}, core::boot_clock::now());
    if (reserved.ok())
    {
        this->report(key, "reserved", "");
        return;
    }
    // A repeated reserve request can arrive after the start; report that the part runs.
    const admit::part_state* known = this->table.find(key);
    const bool runs = known != nullptr && known->phase == part_phase::running;
    this->report(key, runs ? "started" : "refused", std::string(reserved.message()));
}

void part_manager::on_start(const wire::part_order& order)
{
    const part_key key = key_of(order);
    const auto started = this->table.start(key, core::boot_clock::now());
    if (!started.ok())
    {
        const admit::part_state* known = this->table.find(key);
        const bool final = known != nullptr && admit::is_final(known->phase);
        this->report(key, final ? std::string(admit::to_text(known->phase)) : "refused",
                     std::string(started.status().message()));
        return;
    }
    if (*started)
    {
        this->start_tasks(*this->table.find(key));
        return;
    }
    const part_phase phase = this->table.find(key)->phase;
    this->report(key, phase == part_phase::succeeded ? "succeeded" : "started", "");
}

void part_manager::on_stop(const wire::part_order& order)
{
    const part_key key = key_of(order);
    if (this->table.stop(key, core::boot_clock::now()))
    {
        this->stop_tasks(key, order.checkpoint_first());
        return;
    }
    this->report(key, std::string(admit::to_text(this->table.find(key)->phase)), "");
}

void part_manager::tick()
{
    const core::instant now = core::boot_clock::now();
    for (const part_key& key : this->table.expire(now))
    {
        support::log::warn(component, "part stopped: its lease has lapsed",
                           {{"job", key.job.str()}});
        this->stop_tasks(key, true);
    }
    if (this->table.active_count() > 0 && now >= this->next_poll && !this->poll_in_flight)
    {
        this->next_poll = now + task_poll_interval;
        this->poll_tasks();
        for (const admit::part_state& part : this->table.all())
        {
            if (part.phase == part_phase::stopping)
            {
                this->stop_tasks(part.key, false);
            }
        }
    }
}

std::vector<wire::held_part> part_manager::list_parts() const
{
    const core::instant now = core::boot_clock::now();
    std::vector<wire::held_part> list;
    for (const admit::part_state& part : this->table.all())
    {
        wire::held_part held;
        held.set_job(part.key.job.str());
        held.set_attempt(static_cast<std::uint32_t>(part.key.attempt));
        held.set_tasks(static_cast<std::uint32_t>(part.tasks));
        held.set_state(std::string(admit::to_text(part.phase)));
        held.set_ran_ms(static_cast<std::uint32_t>((now - part.since).count()));
        list.push_back(std::move(held));
    }
    return list;
}

void part_manager::poll_tasks()
{
    if (this->poll_in_flight || this->worker_address.empty())
    {
        return;
    }
    net::client_request request;
    request.address = this->worker_address;
    request.path = "/tasks";
    this->poll_in_flight = this->request_pool.post(
        [this, request]
        {
            const auto answer = net::send_request(request);
            wire::worker_task_list listed;
            const bool parsed = answer.ok() && answer->status == status_ok &&
                                wire::from_json_lenient(answer->body, listed).ok();
            static_cast<void>(this->post(
                [this, parsed, listed]
                {
                    this->poll_in_flight = false;
                    if (parsed)
                    {
                        this->apply_task_list(listed);
                    }
                    else
                    {
                        this->on_poll_failed();
                    }
                }));
        });
}

void part_manager::apply_task_list(const wire::worker_task_list& listed)
{
    const core::instant now = core::boot_clock::now();
    this->last_reached = now;
    for (const wire::worker_task& task : listed.tasks())
    {
        const part_key key{core::job_id(task.job()), task.attempt()};
        const std::optional<part_phase> phase = phase_from(task.state());
        if (!phase.has_value())
        {
            continue;
        }
        const admit::part_state* known = this->table.find(key);
        if (known == nullptr && !this->ready)
        {
            this->table.adopt(key, task.tasks(), {}, *phase, now);
        }
        else if (known != nullptr && admit::is_final(*phase) && !admit::is_final(known->phase))
        {
            this->end_part(key, *phase, "");
        }
    }
    if (!this->ready)
    {
        this->ready = true;
        support::log::info(component, "read the worker's tasks; parts can be reserved",
                           {{"tasks", std::to_string(listed.tasks_size())}});
    }
}

void part_manager::on_poll_failed()
{
    const core::instant now = core::boot_clock::now();
    if (now - this->last_reached < worker_unreachable_timeout)
    {
        return;
    }
    for (const admit::part_state& part : this->table.all())
    {
        if (part.phase == part_phase::running || part.phase == part_phase::stopping)
        {
            this->end_part(part.key, part_phase::failed,
                           "the worker did not answer within the unreachable timeout");
        }
    }
}

void part_manager::start_tasks(const admit::part_state& part)
{
    wire::worker_task task;
    task.set_job(part.key.job.str());
    task.set_attempt(static_cast<std::uint32_t>(part.key.attempt));
    task.set_epoch(this->epoch());
    task.set_tasks(static_cast<std::uint32_t>(part.tasks));
    task.set_run_time_ms(static_cast<std::uint32_t>(part.run_time.count()));
    net::client_request request;
    request.address = this->worker_address;
    request.method = "POST";
    request.path = task_path(part.key);
    request.body = wire::to_json(task);
    const part_key key = part.key;
    const bool queued = this->request_pool.post(
        [this, key, request]
        {
            const auto answer = net::send_request(request);
            const bool accepted = answer.ok() && answer->status == status_ok;
            const bool known_not_running =
                answer.ok() || core::kind_of(answer.status()) == core::error_kind::no_upstream;
            static_cast<void>(this->post(
                [this, key, accepted, known_not_running]
                {
                    if (accepted)
                    {
                        this->report(key, "started", "");
                    }
                    else if (known_not_running)
                    {
                        this->end_part(key, part_phase::failed,
                                       "the worker rejected the tasks or could not be reached");
                    }
                    else
                    {
                        // The outcome is unknown and the tasks may run; stop them before reporting
                        // the part.
                        static_cast<void>(this->table.stop(key, core::boot_clock::now()));
                        this->stop_tasks(key, false);
                    }
                }));
        });
    if (!queued)
    {
        this->end_part(key, part_phase::failed, "the queue of requests to the worker is full");
    }
}

void part_manager::stop_tasks(const part_key& key, bool checkpoint_first)
{
    net::client_request request;
    request.address = this->worker_address;
    request.method = "DELETE";
    request.path = task_path(key) + (checkpoint_first ? "/checkpoint" : "/now");
    static_cast<void>(this->request_pool.post(
        [this, key, request]
        {
            const auto answer = net::send_request(request);
            if (!answer.ok() || answer->status != status_ok)
            {
                // The leader repeats its order, tick() repeats the stop of an expired part, and the
                // worker's task list shows when the part has ended.
                return;
            }
            wire::worker_task task;
            static_cast<void>(wire::from_json_lenient(answer->body, task));
            const part_phase final = phase_from(task.state()).value_or(part_phase::stopped);
            static_cast<void>(this->post([this, key, final] { this->end_part(key, final, ""); }));
        }));
}

void part_manager::end_part(const part_key& key, part_phase final, const std::string& detail)
{
    this->table.mark_ended(key, final, core::boot_clock::now());
    this->report(key, std::string(admit::to_text(this->table.find(key)->phase)), detail);
}

} // namespace chicorylift::daemon
