#pragma once

namespace chicorylift::site
{

/// Runs one of the roles that schedule batch jobs until the process is asked to end.
/// @return the process's exit code.
int run_daemon(int argument_count, char** arguments);

} // namespace chicorylift::site
