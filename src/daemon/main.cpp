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

/// Blocks the signals that ask for a planned stop, in this thread and all that follow.
sigset_t block_stop_signals()
{
    sigset_t stops;
    sigemptyset(&stops);
    sigaddset(&stops, SIGTERM);
    sigaddset(&stops, SIGINT);
    pthread_sigmask(SIG_BLOCK, &stops, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return stops;
}

template <class Role>
void run(const chicorylift::daemon::settings& values, const sigset_t& stops)
{
    Role role(values);
    int received = 0;
    sigwait(&stops, &received);
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
    const sigset_t stops = block_stop_signals();
    try
    {
        if (parsed.values.role == "entry")
        {
            run<daemon::entry>(parsed.values, stops);
        }
        else
        {
            run<daemon::agent>(parsed.values, stops);
        }
    }
    catch (const std::exception& fault)
    {
        std::cerr << "chicoryliftd: " << fault.what() << '\n';
        return core::descriptor_for(core::error_kind::internal).exit_code;
    }
    return 0;
}
