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
#include <iostream>
#include <sys/epoll.h>
#include <sys/signalfd.h>
#include <unistd.h>

namespace chicorylift::site
{

namespace
{

namespace events = support::events;

/// @return the signals that the loop handles; blocks them in this thread and all that follow.
sigset_t block_signals()
{
    sigset_t wanted;
    sigemptyset(&wanted);
    sigaddset(&wanted, SIGTERM);
    sigaddset(&wanted, SIGINT);
    sigaddset(&wanted, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &wanted, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return wanted;
}

/// Delivers signals on the loop's thread.
class signal_watch
{
public:
    signal_watch(net::event_loop& loop, const sigset_t& wanted, std::function<void(int)> on_signal)
        : loop(loop), on_signal(std::move(on_signal))
    {
        this->descriptor = ::signalfd(-1, &wanted, SFD_NONBLOCK | SFD_CLOEXEC);
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
void run_role(net::event_loop& loop, const settings& values, const sigset_t& wanted,
              int argument_count, char** arguments)
{
    std::unique_ptr<Role> role;
    const signal_watch signals(
        loop, wanted,
        [&](int number)
        {
            if (number == SIGHUP)
            {
                const parsed_settings again = parse_settings(argument_count, arguments);
                if (again.exit_code < 0)
                {
                    role->reload(again.values);
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
    // Before any other thread begins, so that only the loop's descriptor gets them.
    const sigset_t wanted = block_signals();
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
            run_role<entry>(loop, values, wanted, argument_count, arguments);
        }
        else
        {
            run_role<agent>(loop, values, wanted, argument_count, arguments);
        }
    }
    catch (const std::exception& fault)
    {
        events::write("stopped", {{"reason", fault.what()}});
        std::cerr << "chicoryliftd: " << fault.what() << '\n';
        code = core::descriptor_for(core::error_kind::internal).exit_code;
    }
    if (code == 0)
    {
        events::write("stopped", {{"reason", "asked to"}});
    }
    events::stop();
    // Threads of libraries may still wait for readers that never come.
    std::_Exit(code);
}

} // namespace chicorylift::site
