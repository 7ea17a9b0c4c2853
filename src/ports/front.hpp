#pragma once

namespace chicorylift::ports
{

/// How the entry answers a call.
enum class front_answer
{
    accepted,
    cancelled,
    not_there,
    bad_request,
    /// Nothing was done, and nothing will be; the caller may come back.
    not_run,
    /// Too much work waits; nothing was done.
    overloaded,
    /// It is not known whether the call takes effect.
    unknown_outcome,
};

/// State of a job as callers see it.
enum class shown_state
{
    queued,
    running,
    completed,
    failed,
    cancelled,
};

} // namespace chicorylift::ports
