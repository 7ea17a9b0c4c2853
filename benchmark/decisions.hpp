#pragma once

namespace chicorylift::benchmark
{

/// Compares the weightings with the baselines on both users' mixes.
/// @return the number of replays in which an invariant broke.
int run_decisions();

/// Measures nanoseconds and bytes per decision as the cell and the fleet grow.
int run_cost();

/// Compares weightings of the batch scheduler over seeded days; prints a table and JSON lines.
/// @return the exit code.
int run_load(int argument_count, char** arguments);

/// Measures a leader's time and memory for large jobs; prints a table.
int run_large_jobs();

} // namespace chicorylift::benchmark
