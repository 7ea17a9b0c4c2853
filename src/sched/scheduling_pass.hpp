#pragma once

#include "cell_state.hpp"

namespace chicorylift::sched
{

/// Tries to place the queued jobs in the policy's order, and appends the decisions to the cell's
/// pending decisions.
void run_scheduling_pass(cell_state& cell, core::instant now);

} // namespace chicorylift::sched
