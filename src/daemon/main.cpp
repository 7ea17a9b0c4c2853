#include "chicorylift/core/error.hpp"
#include "daemon/agent.hpp"
#include "daemon/entry.hpp"
#include "daemon/settings.hpp"
#include "site/daemon.hpp"
#include "support/log.hpp"

#include <csignal>
#include <exception>
#include <iostream>
#include <string_view>

namespace
{

/// Blocks SIGTERM and SIGINT in this thread and the threads that it starts; ignores SIGPIPE.
/// @return the blocked signals, for sigwait().
sigset_t block_stop_signals()
{
    sigset_t stop_signals;
    sigemptyset(&stop_signals);
    sigaddset(&stop_signals, SIGTERM);
    sigaddset(&stop_signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &stop_signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return stop_signals;
}

template <class Role>
void run(const chicorylift::daemon::settings& values, const sigset_t& stop_signals)
{
    Role role(values);
    int signal_number = 0;
    sigwait(&stop_signals, &signal_number);
    role.stop_gracefully();
}

} // namespace

int main(int argument_count, char** arguments)
{
    using namespace chicorylift;
    if (argument_count > 1 && std::string_view(arguments[1]) == "batch")
    {
        return site::run_daemon(argument_count - 1, arguments + 1);
    }
    const daemon::parsed_settings parsed = daemon::parse_settings(argument_count, arguments);
    if (parsed.exit_code >= 0)
    {
        return parsed.exit_code;
    }
    support::log::start(support::log::level_from(parsed.values.log_level), parsed.values.name);
    const sigset_t stop_signals = block_stop_signals();
    try
    {
        if (parsed.values.role == "entry")
        {
            run<daemon::entry>(parsed.values, stop_signals);
        }
        else
        {
            run<daemon::agent>(parsed.values, stop_signals);
        }
    }
    catch (const std::exception& fault)
    {
        std::cerr << "chicoryliftd: " << fault.what() << '\n';
        return core::descriptor_for(core::error_kind::internal).exit_code;
    }
    return 0;
}
