#include "support/events.hpp"

#include <algorithm>
#include <array>
#include <boost/log/attributes/constant.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/drop_on_overflow.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/smart_ptr/make_shared.hpp>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <future>
#include <iostream>
#include <mutex>
#include <thread>

namespace chicorylift::support::events
{

namespace
{

namespace sinks = boost::log::sinks;

// Lines queued for a slow reader of standard output; further lines are dropped.
constexpr std::size_t max_queued_lines = 2048;
// Limits how long stop() waits for the queued lines to be written: standard output may be a pipe
// that nobody reads.
constexpr std::chrono::milliseconds flush_timeout{200};

using bounded_sink =
    sinks::asynchronous_sink<sinks::text_ostream_backend,
                             sinks::bounded_fifo_queue<max_queued_lines, sinks::drop_on_overflow>>;

constexpr std::array kinds{
    event_kind{"started", 10, "the process runs with these settings"},
    event_kind{"stopping", 10, "the process was asked to end"},
    event_kind{"stopped", 10, "the process ends"},
    event_kind{"reloaded", 10, "the settings were reloaded"},
    event_kind{"store_lost", 10, "the table service does not answer"},
    event_kind{"store_regained", 10, "the table service answers again"},
    event_kind{"table_call_failed", 20,
               "a listing or watch of a table failed, with the time and bytes it took"},
    event_kind{"table_call_slow", 20, "an answer took long to arrive or to be decoded"},
    event_kind{"table_relisted", 20,
               "a table is listed again since its changes are larger than a listing"},
    event_kind{"config_in_force", 50, "a configuration version takes effect"},
    event_kind{"config_rejected", 10, "a configuration version cannot be parsed"},
    event_kind{"config_stale", 10, "the configuration was not confirmed in time"},
    event_kind{"config_fresh", 10, "the configuration is confirmed again"},
    event_kind{"ready", 10, "the entry starts or stops accepting traffic"},
    event_kind{"job_accepted", 100, "a job is stored"},
    event_kind{"job_refused", 100, "a job was rejected, with the reason"},
    event_kind{"job_unsettled", 100, "an unknown outcome was reported to the caller"},
    event_kind{"job_cancel_accepted", 100, "a cancellation is stored"},
    event_kind{"job_shown", 50, "the end of a job was reported to the caller"},
    event_kind{"call_refused", 50,
               "a call that does not submit a job was rejected, with the reason"},
    event_kind{"connections_refused", 20,
               "requests refused and connections closed by the limits, once a second and reason"},
    event_kind{"job_known", 100, "the leader has loaded a job"},
    event_kind{"job_cancelled", 100, "the leader stops a job"},
    event_kind{"job_completed", 100, "all units of a job have succeeded"},
    event_kind{"job_failed", 100, "a unit or gang has used up its attempts"},
    event_kind{"run_placed", 200, "units were assigned to workers"},
    event_kind{"work_reclaimed", 50, "runs are preempted for more urgent work, with the work lost"},
    event_kind{"run_started", 200, "a worker has started a unit"},
    event_kind{"run_stopped", 200, "the leader stops a run, with the reason"},
    event_kind{"run_ended", 200, "a run ended without success"},
    event_kind{"job_waiting", 100, "a job has a unit that could run and does not, with the reason"},
    event_kind{"scheduling_held", 20, "the leader places no work, with the reason"},
    event_kind{"scheduling_resumed", 20, "the leader places work again"},
    event_kind{"evacuation_begun", 20, "an availability zone gets no further work"},
    event_kind{"evacuation_state", 20,
               "what still runs in an evacuated zone, and whether it may be switched off"},
    event_kind{"evacuation_ended", 20, "an evacuated zone is restored to service"},
    event_kind{"evacuation_odd", 20, "something odd about a request to evacuate a zone"},
    event_kind{"start_dropped", 50, "an agent does not pass a start on; the leader sends it again"},
    event_kind{"start_refused", 100, "a worker rejected a start, with the reason"},
    event_kind{"order_lost", 100, "a worker did not answer an order"},
    event_kind{"orders_late", 50, "orders of the leader arrived after newer ones and are ignored"},
    event_kind{"report_late", 50, "a report of an agent arrived after newer ones and is ignored"},
    event_kind{"progress_written", 50, "job progress is stored"},
    event_kind{"row_ignored", 20, "a row of the store that is not what its key says"},
    event_kind{"jobs_trimmed", 10, "rows of ended jobs are removed after their retention period"},
    event_kind{"worker_announced", 20, "a worker has registered or changed its announcement"},
    event_kind{"announcement_ignored", 20,
               "an announcement that is not from the agent's worker, or not from its process"},
    event_kind{"worker_rows_ignored", 5, "rows of a worker's run lists that cannot be read"},
    event_kind{"worker_left", 20, "a worker has reported its shutdown"},
    event_kind{"worker_silent", 20, "a worker does not answer its agent"},
    event_kind{"worker_back", 20, "a worker answers its agent again"},
    event_kind{"worker_restarted", 20, "a worker has restarted"},
    event_kind{"worker_lost", 20, "a worker's lease has expired; its work is placed elsewhere"},
    event_kind{"worker_distrusted", 20,
               "a worker is temporarily excluded from placement, with the reason"},
    event_kind{"worker_speed", 20,
               "a worker is clearly slower or faster than is typical, or no longer"},
    event_kind{"run_time_ignored", 5, "a reported progress or run time that is not plausible"},
    event_kind{"lead_suspected", 20, "no heartbeat from the lead arrived in time"},
    event_kind{"lead_taken", 20, "this process leads from now on"},
    event_kind{"lead_lost", 20, "this process leads no longer, and why"},
    event_kind{"lead_load", 10,
               "what the leader's time went to and what waits for it, once a second"},
    event_kind{"lead_followed", 20, "this agent now follows the lead of another epoch"},
    event_kind{"member_left", 20, "the leader found the row of an agent that leaves removed"},
    event_kind{"member_unregistered", 20, "an agent that leaves removes its row, or could not"},
    event_kind{"job_withdrawn", 100, "the cancellation of a job that is not stored is stored"},
    event_kind{"withdrawals_trimmed", 10,
               "rows of cancelled jobs that were never stored are removed"},
    event_kind{"job_set_aside", 20, "a leader has no memory for a job, which waits"},
    event_kind{"progress_too_large", 5,
               "a job's progress does not fit into a row and is not stored"},
    event_kind{"dropped", 10, "number of lines of a kind dropped by its rate limit"},
    event_kind{"unlisted", 10, "a line whose kind is not in this list"},
};

struct line_budget
{
    std::int64_t second{};
    std::uint32_t written{};
    std::uint64_t suppressed{};
};

struct log_state
{
    std::mutex mutex;
    std::string process;
    std::string incarnation;
    std::array<line_budget, kinds.size()> budgets{};
    std::uint64_t dropped{};
    boost::shared_ptr<bounded_sink> sink;
    boost::log::sources::logger_mt logger;
};

log_state& state()
{
    static log_state instance;
    return instance;
}

void append_escaped(std::string& out, std::string_view text)
{
    constexpr unsigned char first_printable = 0x20;
    out += '"';
    for (const char character : text)
    {
        if (character == '"' || character == '\\')
        {
            out += '\\';
            out += character;
        }
        else if (static_cast<unsigned char>(character) < first_printable)
        {
            std::array<char, 8> escaped{};
            std::snprintf(escaped.data(), escaped.size(), "\\u%04x",
                          static_cast<unsigned>(static_cast<unsigned char>(character)));
            out += escaped.data();
        }
        else
        {
            out += character;
        }
    }
    out += '"';
}

std::string time_text(std::chrono::system_clock::time_point now)
{
    constexpr std::int64_t milliseconds_per_second = 1000;
    const auto since_epoch =
        std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count();
    const std::time_t seconds = since_epoch / milliseconds_per_second;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 40> text{};
    const std::size_t length = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    std::snprintf(text.data() + length, text.size() - length, ".%03dZ",
                  static_cast<int>(since_epoch % milliseconds_per_second));
    return text.data();
}

std::size_t kind_index(std::string_view kind)
{
    const auto found = std::find_if(kinds.begin(), kinds.end(),
                                    [kind](const event_kind& each) { return each.name == kind; });
    return static_cast<std::size_t>(
        std::distance(kinds.begin(), found == kinds.end() ? std::prev(kinds.end()) : found));
}

} // namespace

std::span<const event_kind> event_kinds() noexcept
{
    return kinds;
}

void start(std::string_view process, std::string_view incarnation)
{
    log_state& log = state();
    log.process = process;
    log.incarnation = incarnation;
    const auto backend = boost::make_shared<sinks::text_ostream_backend>();
    backend->add_stream(boost::shared_ptr<std::ostream>(&std::cout, [](std::ostream*) {}));
    backend->auto_flush(true);
    log.sink = boost::make_shared<bounded_sink>(backend);
    log.sink->set_formatter(boost::log::expressions::stream << boost::log::expressions::message);
    boost::log::core::get()->add_sink(log.sink);
}

void stop()
{
    log_state& log = state();
    if (log.sink == nullptr)
    {
        return;
    }
    std::promise<void> written;
    std::future<void> done = written.get_future();
    std::thread(
        [sink = log.sink, written = std::move(written)]() mutable
        {
            sink->stop();
            sink->flush();
            written.set_value();
        })
        .detach();
    done.wait_for(flush_timeout);
}

std::string to_line(std::string_view time, std::string_view process, std::string_view incarnation,
                    std::string_view kind, std::initializer_list<field> fields)
{
    std::string line = "{\"time\":";
    append_escaped(line, time);
    line += ",\"process\":";
    append_escaped(line, process);
    line += ",\"incarnation\":";
    append_escaped(line, incarnation);
    line += ",\"event\":";
    append_escaped(line, kind);
    for (const field& each : fields)
    {
        line += ',';
        append_escaped(line, each.name);
        line += ':';
        if (each.is_number)
        {
            line += each.value;
        }
        else
        {
            append_escaped(line, each.value);
        }
    }
    return line + '}';
}

void write(std::string_view kind, std::initializer_list<field> fields)
{
    log_state& log = state();
    if (log.sink == nullptr)
    {
        return;
    }
    const auto now = std::chrono::system_clock::now();
    const std::string time = time_text(now);
    const std::int64_t second =
        std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count();
    const std::size_t index = kind_index(kind);
    std::string line;
    {
        const std::lock_guard lock(log.mutex);
        line_budget& budget = log.budgets.at(index);
        if (budget.second != second)
        {
            if (budget.suppressed > 0)
            {
                line = to_line(time, log.process, log.incarnation, "dropped",
                               {{"kind", kinds.at(index).name}, {"lines", budget.suppressed}}) +
                       '\n';
            }
            budget = {second, 0, 0};
        }
        if (++budget.written > kinds.at(index).max_lines_per_second)
        {
            ++budget.suppressed;
            ++log.dropped;
            return;
        }
    }
    line += to_line(time, log.process, log.incarnation, kind, fields);
    BOOST_LOG(log.logger) << line;
}

std::uint64_t dropped_lines() noexcept
{
    log_state& log = state();
    const std::lock_guard lock(log.mutex);
    return log.dropped;
}

} // namespace chicorylift::support::events
