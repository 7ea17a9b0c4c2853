#pragma once

namespace chicorylift::site
{

/// Runs the role that the settings select, entry or agent, until SIGTERM or SIGINT arrives.
/// @return the process's exit code.
int run_daemon(int argument_count, char** arguments);

} // namespace chicorylift::site
