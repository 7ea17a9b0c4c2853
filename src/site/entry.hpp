#pragma once

#include "chicorylift/batch/site_config.hpp"
#include "chicorylift/batch/submission_admission.hpp"
#include "chicorylift/batch/withdrawal_quota.hpp"
#include "net/async_http_server.hpp"
#include "net/event_loop.hpp"
#include "ports/client_api.hpp"
#include "ports/table_service.hpp"
#include "site/job_view.hpp"
#include "site/mirrored_table.hpp"
#include "site/refusal_log.hpp"
#include "site/settings.hpp"
#include "support/metrics.hpp"

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <set>

namespace chicorylift::site
{

/// Process that serves the client API: submits, shows and cancels batch jobs.
///
/// Durable state lives in the table service; an entry only caches it.
class entry
{
public:
    entry(net::event_loop& loop, settings values);
    ~entry();
    entry(const entry&) = delete;
    entry& operator=(const entry&) = delete;

    /// Reports not ready, drains connections within stop_grace, and then calls @p finished.
    void stop_gracefully(std::function<void()> finished);
    /// Applies the settings that can change at run time: key_revocation and stop_grace.
    void reload(const settings& values);

private:
    struct submission;
    struct cancellation;
    using responder = net::async_http_server::responder;

    [[nodiscard]] net::async_server_limits client_limits() const;
    void on_config_row(const ports::row& row);
    void on_rows_confirmed();
    void handle_request(const net::server_request& request, const responder& respond);
    void submit(const net::server_request& request, const batch::resolved_request& call,
                const std::string& key, const responder& respond);
    /// Reads from the store before writing, so that an unreachable store leads to a definite
    /// refusal.
    void probe_store_then_submit(const std::shared_ptr<submission>& pending);
    /// @return why the job is too large to be ever accepted; empty if it is not.
    [[nodiscard]] std::string describe_excess(const submission& pending) const;
    /// Decides whether the submission is taken. One that is not is answered as accepted if its job
    /// has been stored already.
    void admit(const std::shared_ptr<submission>& pending);
    [[nodiscard]] batch::admission_decision decide_admission(const submission& pending) const;
    void refuse_unless_stored(const std::shared_ptr<submission>& pending,
                              const batch::admission_decision& decision);
    void respond_overloaded(const submission& pending, const batch::admission_decision& decision);
    void begin_submission(const std::shared_ptr<submission>& pending);
    void try_submission(const std::shared_ptr<submission>& pending);
    /// Sends the write of a submission, unless enough others are being sent.
    void send_submission(const std::shared_ptr<submission>& pending);
    void send_waiting_submissions();
    void on_submission(const std::shared_ptr<submission>& pending,
                       const ports::commit_outcome& outcome);
    void on_submission_conflict(const submission& pending, const std::vector<ports::row>& rows);
    /// Answers a submission whose ID a stored job has: the same job, or another one.
    void respond_stored(const submission& pending, const cached_job& stored);
    void end_pending(const submission& pending);
    void respond_accepted(const submission& pending);
    void respond_refused(const submission& pending, ports::client_result answer,
                         const std::string& reason);
    void show(const batch::resolved_request& call, const responder& respond);
    void cancel(const net::server_request& request, const batch::resolved_request& call,
                const responder& respond);
    // Cancellations (entry_cancellations.cpp).
    /// Looks the job up and begins the write that its cancellation needs.
    void decide_cancellation(const std::shared_ptr<cancellation>& pending);
    void begin_cancellation(const std::shared_ptr<cancellation>& pending,
                            const std::optional<cached_job>& job);
    void try_cancellation(const std::shared_ptr<cancellation>& pending);
    void on_cancellation(const std::shared_ptr<cancellation>& pending,
                         const ports::commit_outcome& outcome);
    void respond_not_cancelled(const cancellation& pending, const std::string& reason);
    /// Looks a job up in this entry's view, or in the store if it is not there.
    void read_job(const core::job_id& job, core::milliseconds timeout,
                  std::function<void(const absl::StatusOr<std::optional<cached_job>>&)> on_job);
    void
    read_stored_job(const core::job_id& job, core::milliseconds timeout,
                    std::function<void(const absl::StatusOr<std::optional<cached_job>>&)> on_job);
    void count_queued(const batch::resolved_request& call, const responder& respond);
    void tick();
    void check_ready();
    void check_drained();

    [[nodiscard]] core::milliseconds config_age() const;
    [[nodiscard]] batch::config_freshness config_freshness() const;
    /// @return time since a newer configuration has been known to exist; 0 if none is.
    [[nodiscard]] core::milliseconds newer_config_known_for() const;
    [[nodiscard]] core::milliseconds max_config_age() const noexcept;
    [[nodiscard]] core::milliseconds retry_after();
    [[nodiscard]] bool is_store_unavailable() const;
    /// @return time since the store last sent a successful response or a part of one.
    [[nodiscard]] core::milliseconds time_since_store_answer() const;
    [[nodiscard]] bool is_ready() const;

    net::event_loop& loop;
    settings values;
    std::unique_ptr<ports::table_service> store;
    std::optional<batch::site_config> config;
    job_view jobs;
    support::metrics metrics;
    /// Limits the buffers of all connections of this process.
    std::shared_ptr<net::buffer_budget> buffers;
    refusal_log refusals;
    std::minstd_rand random;
    std::optional<core::instant> jobs_loaded_at;
    /// Submissions that were admitted and have not been answered.
    std::multiset<core::job_id> pending_submissions;
    /// Writes of submissions that the store has not answered.
    std::size_t submission_writes{};
    std::deque<std::shared_ptr<submission>> waiting_submissions;
    /// Reads for jobs whose submission is about to be refused.
    std::size_t refusal_reads{};
    batch::event_rate submissions_written;
    batch::retry_schedule retry_times;
    batch::withdrawal_quota withdrawals;
    bool draining = false;
    bool was_ready = false;
    bool store_unavailable = false;
    bool config_stale = false;
    core::instant drain_deadline{};
    std::function<void()> on_finished;
    std::unique_ptr<mirrored_table> config_rows;
    std::unique_ptr<mirrored_table> job_rows;
    std::unique_ptr<net::async_http_server> client_server;
    std::unique_ptr<net::async_http_server> readiness;
    std::unique_ptr<net::async_http_server> metrics_server;
};

} // namespace chicorylift::site
