#include "site/row_codec.hpp"

#include "net/address.hpp"
#include "support/events.hpp"

#include <algorithm>

namespace chicorylift::site
{

namespace
{

constexpr std::string_view accepted_suffix = "/accepted";
constexpr std::string_view progress_suffix = "/progress";
constexpr std::string_view cancel_suffix = "/cancel";

// More ended units and steps are written as bits, of which the largest job needs 13 KB. Programs of
// earlier versions read only lists.
constexpr std::size_t max_listed_units = 4096;
constexpr std::int64_t bits_per_byte = 8;

// A key holds 200 bytes; a job's ID, a hash and separators take the rest.
constexpr std::size_t max_organisation_bytes_in_key = 150;

/// @return the 64-bit FNV-1a hash, which is the same on all machines.
std::uint64_t fnv1a(std::string_view text)
{
    constexpr std::uint64_t offset = 14695981039346656037U;
    constexpr std::uint64_t prime = 1099511628211U;
    std::uint64_t hash = offset;
    for (const unsigned char byte : text)
    {
        hash = (hash ^ byte) * prime;
    }
    return hash;
}

void fill(wire::batch_amount& row, const batch::resource_amount& amount)
{
    row.set_millicores(amount.millicores);
    row.set_memory_mb(amount.memory_mb);
    row.set_accelerators(amount.accelerators);
}

batch::resource_amount from(const wire::batch_amount& row)
{
    return {row.millicores(), row.memory_mb(), row.accelerators()};
}

void fill(wire::batch_terms& row, const batch::queue_policy& terms)
{
    row.set_queue(terms.queue.str());
    row.set_service(terms.service.str());
    row.set_priority(terms.priority);
    row.set_attempts(terms.max_attempts);
    row.set_slowdown(terms.max_slowdown);
    row.set_target_latency_ms(terms.latency_allowance.count());
}

batch::queue_policy from(const wire::batch_terms& row)
{
    batch::queue_policy terms;
    terms.queue = batch::queue_id(row.queue());
    terms.service = core::service_id(row.service());
    terms.priority = row.priority();
    terms.max_attempts = row.attempts();
    terms.max_slowdown = row.slowdown();
    terms.latency_allowance = core::milliseconds{row.target_latency_ms()};
    return terms;
}

void fill(wire::batch_step& row, const batch::step_spec& step)
{
    row.set_units(step.units);
    fill(*row.mutable_per_unit(), step.per_unit);
    row.set_estimate_ms(step.estimate.count());
    for (const std::int64_t earlier : step.depends_on)
    {
        row.add_after(earlier);
    }
    row.set_required_label(step.required_label);
    row.set_data_rack(step.data_rack);
    row.set_image(step.image);
    row.set_most_per_worker(step.max_per_worker);
    row.set_may_miss_plus_one(step.max_unavailable + 1);
    row.set_latency_target_ms(step.tail_latency_target.count());
    row.set_gang(step.gang);
    row.set_rack_local(step.rack_local);
    row.set_checkpointing(step.checkpointing);
    row.set_speculative(step.speculative);
    row.set_long_running(step.long_running);
    row.set_fills(step.best_effort_cpu);
}

batch::step_spec from(const wire::batch_step& row)
{
    batch::step_spec step;
    step.units = row.units();
    step.per_unit = from(row.per_unit());
    step.estimate = core::milliseconds{row.estimate_ms()};
    step.depends_on.assign(row.after().begin(), row.after().end());
    step.required_label = row.required_label();
    step.data_rack = row.data_rack();
    step.image = row.image();
    step.max_per_worker = row.most_per_worker();
    step.max_unavailable = row.may_miss_plus_one() - 1;
    step.tail_latency_target = core::milliseconds{row.latency_target_ms()};
    step.gang = row.gang();
    step.rack_local = row.rack_local();
    step.checkpointing = row.checkpointing();
    step.speculative = row.speculative();
    step.long_running = row.long_running();
    step.best_effort_cpu = row.fills();
    return step;
}

wire::batch_end_kind to_message(batch::run_outcome kind)
{
    // Both enums have the same order; the message's has an additional unknown value first.
    return static_cast<wire::batch_end_kind>(static_cast<int>(kind) + 1);
}

batch::run_outcome from(wire::batch_end_kind kind)
{
    return kind == wire::BATCH_END_UNKNOWN || !wire::batch_end_kind_IsValid(kind)
               ? batch::run_outcome::stopped
               : static_cast<batch::run_outcome>(static_cast<int>(kind) - 1);
}

batch::run_phase from(wire::batch_run_phase phase)
{
    return wire::batch_run_phase_IsValid(phase)
               ? static_cast<batch::run_phase>(static_cast<int>(phase))
               : batch::run_phase::starting;
}

batch::job_outcome from(wire::batch_outcome outcome)
{
    return wire::batch_outcome_IsValid(outcome)
               ? static_cast<batch::job_outcome>(static_cast<int>(outcome))
               : batch::job_outcome::unfinished;
}

std::size_t count_entries(const std::vector<batch::completed_units>& completed)
{
    std::size_t count = 0;
    for (const batch::completed_units& done : completed)
    {
        count += std::max<std::size_t>(1, done.units.size());
    }
    return count;
}

void set_bit(std::string& bits, std::int64_t index)
{
    const auto byte = static_cast<std::size_t>(index / bits_per_byte);
    if (byte >= bits.size())
    {
        bits.resize(byte + 1);
    }
    bits[byte] = static_cast<char>(static_cast<unsigned char>(bits[byte]) |
                                   (1U << static_cast<unsigned>(index % bits_per_byte)));
}

/// @return the indices of the bits that are set, at most as many as the largest job has units.
std::vector<std::int64_t> indices_of(std::string_view bits)
{
    std::vector<std::int64_t> indices;
    const auto end =
        std::min(batch::max_units, static_cast<std::int64_t>(bits.size()) * bits_per_byte);
    for (std::int64_t index = 0; index < end; ++index)
    {
        const auto byte =
            static_cast<unsigned char>(bits[static_cast<std::size_t>(index / bits_per_byte)]);
        if ((byte >> static_cast<unsigned>(index % bits_per_byte) & 1U) != 0)
        {
            indices.push_back(index);
        }
    }
    return indices;
}

void fill_lists(wire::batch_progress& row, const batch::job_progress& progress)
{
    for (const batch::completed_units& done : progress.completed)
    {
        wire::batch_done_units& each = *row.add_done();
        each.set_occurrence(done.occurrence);
        each.set_step(done.step);
        for (const std::int64_t unit : done.units)
        {
            each.add_units(unit);
        }
    }
}

void fill_bits(wire::batch_progress& row, const batch::job_progress& progress)
{
    row.set_steps(progress.steps);
    for (const batch::completed_units& done : progress.completed)
    {
        if (done.units.empty())
        {
            set_bit(*row.mutable_done_steps(), done.occurrence * progress.steps + done.step);
            continue;
        }
        wire::batch_done_bits& each = *row.add_done_bits();
        each.set_occurrence(done.occurrence);
        each.set_step(done.step);
        for (const std::int64_t unit : done.units)
        {
            set_bit(*each.mutable_units(), unit);
        }
    }
}

void read_bits(const wire::batch_progress& row, batch::job_progress& progress)
{
    if (row.steps() > 0)
    {
        for (const std::int64_t index : indices_of(row.done_steps()))
        {
            progress.completed.push_back({index / row.steps(), index % row.steps(), {}});
        }
    }
    for (const wire::batch_done_bits& done : row.done_bits())
    {
        std::vector<std::int64_t> units = indices_of(done.units());
        // An empty list would mean all units.
        if (!units.empty())
        {
            progress.completed.push_back({done.occurrence(), done.step(), std::move(units)});
        }
    }
}

batch::worker_info from(const wire::batch_worker& message)
{
    batch::worker_info worker;
    worker.id = core::worker_id(message.id());
    worker.started_at = batch::unix_time{message.born_ms()};
    worker.service = core::service_id(message.service());
    worker.capacity = from(message.capacity());
    worker.labels.assign(message.labels().begin(), message.labels().end());
    worker.rack = core::rack_id(worker.labels.empty() ? "" : worker.labels.back());
    worker.zone = core::zone_id(message.zone());
    worker.draining = message.draining();
    worker.announced = message.announced();
    worker.unresponsive = message.gone();
    return worker;
}

} // namespace

ports::row_id job_row_id(const core::job_id& job, job_row_kind kind)
{
    const std::string_view suffix = kind == job_row_kind::accepted   ? accepted_suffix
                                    : kind == job_row_kind::progress ? progress_suffix
                                                                     : cancel_suffix;
    return {job_table, site_partition, job.str() + std::string(suffix)};
}

ports::row_id withdrawal_row_id(const core::job_id& job, const core::organisation_id& organisation)
{
    std::string name = organisation.str();
    if (name.size() > max_organisation_bytes_in_key)
    {
        name = name.substr(0, max_organisation_bytes_in_key) + "~" + std::to_string(fnv1a(name));
    }
    return {withdrawal_table, site_partition, job.str() + "/" + name};
}

ports::row_id leader_row_id()
{
    return {leader_table, site_partition, leader_key};
}

ports::row_id member_row_id(const batch::agent_id& agent)
{
    return {member_table, site_partition, agent.str()};
}

std::optional<job_row_key> parse_job_row_key(std::string_view key)
{
    const std::size_t slash = key.find('/');
    if (slash == std::string_view::npos)
    {
        return std::nullopt;
    }
    const std::string_view suffix = key.substr(slash);
    job_row_key parsed{core::job_id(std::string(key.substr(0, slash))), job_row_kind::accepted};
    if (suffix == progress_suffix)
    {
        parsed.kind = job_row_kind::progress;
    }
    else if (suffix == cancel_suffix)
    {
        parsed.kind = job_row_kind::cancel;
    }
    else if (suffix != accepted_suffix)
    {
        return std::nullopt;
    }
    return parsed;
}

std::optional<wire::batch_member> parse_member(const ports::row& row)
{
    wire::batch_member member;
    if (!member.ParseFromString(row.value) || member.agent() != row.id.key ||
        !net::is_address(member.address()))
    {
        return std::nullopt;
    }
    return member;
}

std::optional<wire::batch_job> parse_job(const ports::row& row)
{
    wire::batch_job job;
    const auto key = parse_job_row_key(row.id.key);
    if (!key.has_value() || !job.ParseFromString(row.value) || job.id() != key->job.str() ||
        !batch::validate_job(from_row(job)).ok())
    {
        return std::nullopt;
    }
    return job;
}

void log_ignored_row(const ports::row& row, std::string_view reason)
{
    support::events::write("row_ignored", {{"table", row.id.table},
                                           {"key", row.id.key},
                                           {"row_version", row.version},
                                           {"reason", reason}});
}

wire::batch_job to_row(const batch::job_spec& job)
{
    wire::batch_job row;
    row.set_id(job.id.str());
    row.set_organisation(job.organisation.str());
    fill(*row.mutable_terms(), job.policy);
    row.set_payload(job.payload);
    for (const batch::step_spec& step : job.steps)
    {
        fill(*row.add_steps(), step);
    }
    row.set_occurrences(job.occurrences);
    row.set_first_due_ms(job.first_due.count());
    row.set_interval_ms(job.interval.count());
    row.set_accepted_ms(job.accepted.count());
    return row;
}

batch::job_spec from_row(const wire::batch_job& row)
{
    batch::job_spec job;
    job.id = core::job_id(row.id());
    job.organisation = core::organisation_id(row.organisation());
    job.policy = from(row.terms());
    job.payload = row.payload();
    for (const wire::batch_step& step : row.steps())
    {
        job.steps.push_back(from(step));
    }
    job.occurrences = row.occurrences();
    job.first_due = batch::unix_time{row.first_due_ms()};
    job.interval = core::milliseconds{row.interval_ms()};
    job.accepted = batch::unix_time{row.accepted_ms()};
    return job;
}

wire::batch_progress to_row(const batch::job_progress& progress)
{
    wire::batch_progress row;
    row.set_outcome(static_cast<wire::batch_outcome>(static_cast<int>(progress.outcome)));
    if (progress.steps > 0 && count_entries(progress.completed) > max_listed_units)
    {
        fill_bits(row, progress);
    }
    else
    {
        fill_lists(row, progress);
    }
    for (const batch::failed_run& failed : progress.failed)
    {
        wire::batch_failed_run& each = *row.add_failed();
        each.set_occurrence(failed.occurrence);
        each.set_step(failed.step);
        each.set_unit(failed.unit);
        each.set_run(failed.run);
    }
    for (const batch::unit_checkpoint& saved : progress.checkpoints)
    {
        wire::batch_saved_unit& each = *row.add_saved();
        each.set_occurrence(saved.occurrence);
        each.set_step(saved.step);
        each.set_unit(saved.unit);
        each.set_checkpoint(saved.checkpoint);
    }
    for (const batch::agent_id& agent : progress.agents)
    {
        row.add_agents(agent.str());
    }
    return row;
}

batch::job_progress from_row(const wire::batch_progress& row)
{
    batch::job_progress progress;
    progress.outcome = from(row.outcome());
    progress.steps = row.steps();
    read_bits(row, progress);
    for (const wire::batch_done_units& done : row.done())
    {
        progress.completed.push_back(
            {done.occurrence(), done.step(), {done.units().begin(), done.units().end()}});
    }
    for (const wire::batch_failed_run& failed : row.failed())
    {
        progress.failed.push_back(
            {failed.occurrence(), failed.step(), failed.unit(), failed.run()});
    }
    for (const wire::batch_saved_unit& saved : row.saved())
    {
        progress.checkpoints.push_back(
            {saved.occurrence(), saved.step(), saved.unit(), saved.checkpoint()});
    }
    for (const std::string& agent : row.agents())
    {
        progress.agents.insert(batch::agent_id(agent));
    }
    return progress;
}

wire::batch_worker to_message(const batch::worker_info& worker)
{
    wire::batch_worker message;
    message.set_id(worker.id.str());
    message.set_born_ms(worker.started_at.count());
    message.set_service(worker.service.str());
    fill(*message.mutable_capacity(), worker.capacity);
    for (const std::string& label : worker.labels)
    {
        message.add_labels(label);
    }
    message.set_zone(worker.zone.str());
    message.set_draining(worker.draining);
    message.set_announced(worker.announced);
    message.set_gone(worker.unresponsive);
    return message;
}

batch::worker_report from_message(const wire::batch_report& message)
{
    batch::worker_report report;
    report.agent = batch::agent_id(message.agent());
    report.worker = from(message.worker());
    report.lists_valid = message.lists_valid();
    report.lists_incomplete = message.lists_incomplete();
    report.agent_stopping = message.leaving();
    report.lists_age = core::milliseconds{message.lists_age_ms()};
    for (const wire::batch_run& run : message.runs())
    {
        const auto unit = batch::parse_unit_key(run.unit());
        if (unit.ok())
        {
            report.runs.push_back(
                {*unit, run.run(), from(run.phase()), run.checkpoint(), run.percent()});
        }
    }
    for (const wire::batch_end& end : message.ends())
    {
        const auto unit = batch::parse_unit_key(end.unit());
        if (unit.ok())
        {
            report.ends.push_back(
                {end.number(), *unit, end.run(), from(end.kind()), end.checkpoint(), end.reason()});
        }
    }
    return report;
}

void add_runs(wire::batch_report& message, const std::vector<batch::reported_run>& runs)
{
    for (const batch::reported_run& run : runs)
    {
        wire::batch_run& each = *message.add_runs();
        each.set_unit(batch::to_text(run.unit));
        each.set_run(run.run);
        each.set_phase(static_cast<wire::batch_run_phase>(static_cast<int>(run.phase)));
        each.set_checkpoint(run.checkpoint);
        each.set_percent(run.progress_percent);
    }
}

void add_ends(wire::batch_report& message, const std::vector<batch::reported_end>& ends)
{
    for (const batch::reported_end& end : ends)
    {
        wire::batch_end& each = *message.add_ends();
        each.set_number(end.number);
        each.set_unit(batch::to_text(end.unit));
        each.set_run(end.run);
        each.set_kind(to_message(end.outcome));
        each.set_checkpoint(end.checkpoint);
        each.set_reason(end.reason);
    }
}

} // namespace chicorylift::site
