#pragma once

namespace chicorylift::ports
{

/// Outcome of a client request, as returned by the entry.
enum class client_result
{
    accepted,
    cancelled,
    not_found,
    bad_request,
    /// The request has no effect, now or later; the caller may retry.
    unavailable,
    /// Rejected because too much work is queued; the request has no effect.
    overloaded,
    /// The job was cancelled before it was accepted. It does not run, now or later.
    withdrawn,
    /// A job of another queue or organisation has the ID; the request has no effect.
    id_in_use,
    /// The request may or may not take effect.
    unknown_outcome,
};

/// Job state exposed by the client API.
enum class client_job_state
{
    queued,
    running,
    completed,
    failed,
    cancelled,
};

} // namespace chicorylift::ports
