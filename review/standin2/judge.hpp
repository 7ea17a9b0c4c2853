#pragma once

#include "deployment.hpp"

#include <string>

/// The check that the scripts of this review share.
namespace chicorylift::review
{

/// Exit codes of a script.
inline constexpr int rule_held = 0;
inline constexpr int rule_broken = 1;
inline constexpr int could_not_run = 2;

/// `finish_s` of a small installation: accepted jobs are asked for this long after the traffic.
inline constexpr std::chrono::seconds finish_time{14};
/// For this long a job may have nothing running while there is room for it.
inline constexpr std::chrono::seconds idle_limit{3};

/// @return the identifier of a job with this number.
[[nodiscard]] std::string job_id(int number);
/// @return the body of a job with one step.
/// @param payload duration of a unit in milliseconds, for the worker stand-in.
[[nodiscard]] std::string one_step(const std::string& payload, int units, int millicores,
                                   int memory_mb, int accelerators);

/// Waits until the entries are ready and a first job has been completed.
[[nodiscard]] bool warm_up(deployment& site);

/// Checks the part of LOST that holds `finish_s` after the end of the traffic: for 3 s, an accepted
/// job has nothing running while a unit's turn has come, and the workers are idle.
/// @param units number of the job's units.
/// @return the exit code.
int judge_lost(deployment& site, const std::string& route, const std::string& job,
               const std::string& key, int units);

/// Writes the starts and ends that the workers have seen to record.txt.
void record_work(deployment& site);

} // namespace chicorylift::review
