#pragma once

namespace chicorylift::ports
{

/// How the entry answers a call.
enum class client_result
{
    accepted,
    cancelled,
    not_found,
    bad_request,
    /// Nothing was done, and nothing will be; the caller may come back.
    unavailable,
    /// Too much work waits; nothing was done.
    overloaded,
    /// It is not known whether the call takes effect.
    unknown_outcome,
};

/// State of a job as callers see it.
enum class client_job_state
{
    queued,
    running,
    completed,
    failed,
    cancelled,
};

} // namespace chicorylift::ports
