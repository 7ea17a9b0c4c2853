#pragma once

#include "cell_state.hpp"

namespace chicorylift::sched
{

/// Tries the queued jobs in the policy's order, and emits what is decided.
void run_scheduling_pass(cell_state& cell, core::instant now);

} // namespace chicorylift::sched
