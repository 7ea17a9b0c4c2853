#include "site/daemon.hpp"

#include "chicorylift/core/error.hpp"
#include "net/event_loop.hpp"
#include "site/agent.hpp"
#include "site/entry.hpp"
#include "site/settings.hpp"
#include "support/events.hpp"
#include "support/random_hex_id.hpp"

#include <array>
#include <csignal>
#include <exception>
#include <google/protobuf/stubs/logging.h>
#include <iostream>
#include <malloc.h>
#include <sys/epoll.h>
#include <sys/signalfd.h>
#include <unistd.h>

namespace chicorylift::site
{

namespace
{

namespace events = support::events;

/// Blocks the signals that the event loop handles, in this thread and those it starts later.
/// @return the blocked signals.
sigset_t block_signals()
{
    sigset_t signal_set;
    sigemptyset(&signal_set);
    sigaddset(&signal_set, SIGTERM);
    sigaddset(&signal_set, SIGINT);
    sigaddset(&signal_set, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &signal_set, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signal_set;
}

/// Returns large freed blocks to the system one by one. By default the allocator stops doing so
/// once large blocks have been freed, and keeps the holes that the bodies of many clients leave.
void limit_kept_memory(const std::string& role)
{
    // An entry's large blocks are buffers of clients. A leader also builds lists of this size in
    // each pass, for which a call to the system would cost more than the memory is worth.
    constexpr int entry_threshold_bytes = 64 << 10;
    constexpr int agent_threshold_bytes = 1 << 20;
    ::mallopt(M_MMAP_THRESHOLD, role == "entry" ? entry_threshold_bytes : agent_threshold_bytes);
}

/// Delivers signals on the event loop's thread.
class signal_watch
{
public:
    signal_watch(net::event_loop& loop, const sigset_t& signal_set,
                 std::function<void(int)> on_signal)
        : loop(loop), on_signal(std::move(on_signal))
    {
        this->descriptor = ::signalfd(-1, &signal_set, SFD_NONBLOCK | SFD_CLOEXEC);
        this->loop.watch(this->descriptor, EPOLLIN, [this](std::uint32_t) { this->read(); });
    }
    ~signal_watch()
    {
        this->loop.unwatch(this->descriptor);
        ::close(this->descriptor);
    }
    signal_watch(const signal_watch&) = delete;
    signal_watch& operator=(const signal_watch&) = delete;

private:
    void read()
    {
        signalfd_siginfo info{};
        while (::read(this->descriptor, &info, sizeof info) == sizeof info)
        {
            this->on_signal(static_cast<int>(info.ssi_signo));
        }
    }

    net::event_loop& loop;
    std::function<void(int)> on_signal;
    int descriptor = -1;
};

template <class Role>
void run_role(net::event_loop& loop, const settings& values, const sigset_t& signal_set,
              int argument_count, char** arguments)
{
    std::unique_ptr<Role> role;
    const signal_watch signals(
        loop, signal_set,
        [&](int number)
        {
            if (number == SIGHUP)
            {
                const parsed_settings reloaded = parse_settings(argument_count, arguments);
                if (reloaded.exit_code < 0)
                {
                    role->reload(reloaded.values);
                }
                return;
            }
            events::write("stopping", {{"signal", static_cast<std::int64_t>(number)}});
            role->stop_gracefully([&loop] { loop.stop(); });
        });
    role = std::make_unique<Role>(loop, values);
    loop.run();
}

} // namespace

int run_daemon(int argument_count, char** arguments)
{
    const parsed_settings parsed = parse_settings(argument_count, arguments);
    if (parsed.exit_code >= 0)
    {
        return parsed.exit_code;
    }
    const settings& values = parsed.values;
    limit_kept_memory(values.role);
    // The library writes a line to standard error for each malformed message, without a limit; the
    // transport counts them.
    google::protobuf::SetLogHandler(nullptr);
    // Threads inherit the signal mask: blocking before any thread starts ensures that only the
    // signal descriptor receives the signals.
    const sigset_t signal_set = block_signals();
    events::start(values.name, support::random_hex_id());
    events::write("started", {{"role", values.role},
                              {"zone", values.zone},
                              {"listen", values.listen},
                              {"store", values.store},
                              {"lease_ms", lease_duration(values).count()},
                              {"lapse_ms", lease_timeout(values).count()},
                              {"key_revocation_ms", values.key_revocation.count()}});
    int code = 0;
    try
    {
        net::event_loop loop;
        if (values.role == "entry")
        {
            run_role<entry>(loop, values, signal_set, argument_count, arguments);
        }
        else
        {
            run_role<agent>(loop, values, signal_set, argument_count, arguments);
        }
    }
    catch (const std::exception& error)
    {
        events::write("stopped", {{"reason", error.what()}});
        std::cerr << "chicoryliftd: " << error.what() << '\n';
        code = core::descriptor_for(core::error_kind::internal).exit_code;
    }
    if (code == 0)
    {
        events::write("stopped", {{"reason", "received a signal to stop"}});
    }
    events::stop();
    // Library threads may still wait for readers that never come; a normal exit could hang on them.
    std::_Exit(code);
}

} // namespace chicorylift::site
