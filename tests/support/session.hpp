#pragma once

#include <string>

namespace chicorylift::testing
{

/// Plays a decision session in virtual time against the shipped scheduler.
///
/// Each line is "MS EVENT ARGUMENTS"; "#" begins a comment. Events: worker ID RACK ACCELERATORS,
/// lost ID, leaving ID, policy NAME, guarantee ORG SHAPE TASKSxACCELERATORS WITHIN, limit ORG
/// ACCELERATORS, apply, submit JOB ORG CLASS TASKSxACCELERATORS WITHIN FLAGS RUN_MS, cancel JOB,
/// started JOB, refused JOB WORKER, finished JOB, failed JOB WORKER, stopped JOB, stale, fresh,
/// explain JOB, shortfalls. FLAGS are letters: i idempotent, c checkpointable, - neither.
/// @return the script with every decision behind the event that caused it; a broken invariant
///         shows as a line "BROKEN".
[[nodiscard]] std::string play_session(const std::string& script);

} // namespace chicorylift::testing
