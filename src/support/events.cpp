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

// Lines that may wait for a slow reader; further ones are dropped.
constexpr std::size_t most_waiting = 2048;
// A process that ends waits so long for a reader of its last lines.
constexpr std::chrono::milliseconds last_lines_patience{200};

using bounded_sink =
    sinks::asynchronous_sink<sinks::text_ostream_backend,
                             sinks::bounded_fifo_queue<most_waiting, sinks::drop_on_overflow>>;

constexpr std::array kinds{
    event_kind{"started", 10, "the process runs with these settings"},
    event_kind{"stopping", 10, "the process was asked to end"},
    event_kind{"stopped", 10, "the process ends"},
    event_kind{"reloaded", 10, "the settings were read again"},
    event_kind{"store_lost", 10, "the table service does not answer"},
    event_kind{"store_regained", 10, "the table service answers again"},
    event_kind{"config_in_force", 50, "a version of the configuration applies from now on"},
    event_kind{"config_rejected", 10, "a version of the configuration cannot be read"},
    event_kind{"config_stale", 10, "the configuration was not confirmed in time"},
    event_kind{"config_fresh", 10, "the configuration is confirmed again"},
    event_kind{"ready", 10, "the entry takes traffic, or no longer does"},
    event_kind{"job_accepted", 100, "a job is stored"},
    event_kind{"job_refused", 100, "a job was not taken, and why"},
    event_kind{"job_unsettled", 100, "a caller was told that the outcome is not known"},
    event_kind{"job_cancel_accepted", 100, "a cancellation is stored"},
    event_kind{"job_shown", 50, "a caller was told that a job has ended"},
    event_kind{"call_refused", 50, "another call was not carried out, and why"},
    event_kind{"job_known", 100, "the lead has taken a job in"},
    event_kind{"job_cancelled", 100, "the lead stops a job"},
    event_kind{"job_completed", 100, "all units of a job have ended well"},
    event_kind{"job_failed", 100, "a unit or gang has used up its attempts"},
    event_kind{"run_placed", 200, "units were given workers"},
    event_kind{"work_reclaimed", 50, "runs are stopped for more urgent work, and what that loses"},
    event_kind{"run_started", 200, "a worker has begun a unit"},
    event_kind{"run_stopped", 200, "the lead stops a run, and why"},
    event_kind{"run_ended", 200, "a run ended in another way than well"},
    event_kind{"start_refused", 100, "a worker refused a start, and why"},
    event_kind{"order_lost", 100, "a worker did not answer an order"},
    event_kind{"progress_written", 50, "changes of jobs are stored"},
    event_kind{"jobs_trimmed", 10, "rows of jobs that ended long ago are removed"},
    event_kind{"worker_announced", 20, "a worker has announced itself, or changed"},
    event_kind{"worker_left", 20, "a worker says that it has ended"},
    event_kind{"worker_silent", 20, "a worker does not answer its agent"},
    event_kind{"worker_back", 20, "a worker answers its agent again"},
    event_kind{"worker_restarted", 20, "a worker has begun a new life"},
    event_kind{"worker_lost", 20, "a worker's lease has lapsed; its work is placed elsewhere"},
    event_kind{"worker_distrusted", 20, "a worker gets no work for a while, and why"},
    event_kind{"lead_suspected", 20, "the lead was not heard in time"},
    event_kind{"lead_taken", 20, "this process leads from now on"},
    event_kind{"lead_lost", 20, "this process leads no longer, and why"},
    event_kind{"lead_followed", 20, "this agent takes orders of another epoch from now on"},
    event_kind{"dropped", 10, "lines of a kind that were beyond its budget"},
    event_kind{"unlisted", 10, "a line whose kind is missing in this list"},
};

struct budget
{
    std::int64_t second{};
    std::uint32_t written{};
    std::uint64_t over{};
};

struct log_state
{
    std::mutex guard;
    std::string process;
    std::string incarnation;
    std::array<budget, kinds.size()> budgets{};
    std::uint64_t dropped{};
    boost::shared_ptr<bounded_sink> sink;
    boost::log::sources::logger_mt logger;
};

log_state& state()
{
    static log_state only;
    return only;
}

void append_escaped(std::string& out, std::string_view text)
{
    constexpr unsigned char first_printable = 0x20;
    out += '"';
    for (const char letter : text)
    {
        if (letter == '"' || letter == '\\')
        {
            out += '\\';
            out += letter;
        }
        else if (static_cast<unsigned char>(letter) < first_printable)
        {
            std::array<char, 8> escaped{};
            std::snprintf(escaped.data(), escaped.size(), "\\u%04x",
                          static_cast<unsigned>(static_cast<unsigned char>(letter)));
            out += escaped.data();
        }
        else
        {
            out += letter;
        }
    }
    out += '"';
}

std::string time_text(std::chrono::system_clock::time_point now)
{
    constexpr std::int64_t thousand = 1000;
    const auto since =
        std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count();
    const std::time_t seconds = since / thousand;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 40> text{};
    const std::size_t length = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    std::snprintf(text.data() + length, text.size() - length, ".%03dZ",
                  static_cast<int>(since % thousand));
    return text.data();
}

std::size_t index_of(std::string_view kind)
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
    done.wait_for(last_lines_patience);
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
    const std::size_t index = index_of(kind);
    std::string line;
    {
        const std::lock_guard lock(log.guard);
        budget& left = log.budgets.at(index);
        if (left.second != second)
        {
            if (left.over > 0)
            {
                line = to_line(time, log.process, log.incarnation, "dropped",
                               {{"kind", kinds.at(index).name}, {"lines", left.over}}) +
                       '\n';
            }
            left = {second, 0, 0};
        }
        if (++left.written > kinds.at(index).max_lines_per_second)
        {
            ++left.over;
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
    const std::lock_guard lock(log.guard);
    return log.dropped;
}

} // namespace chicorylift::support::events
