#pragma once

#include "chicorylift/batch/site_config.hpp"
#include "net/async_http_server.hpp"
#include "net/event_loop.hpp"
#include "ports/front.hpp"
#include "ports/table_service.hpp"
#include "site/job_view.hpp"
#include "site/mirrored_table.hpp"
#include "site/settings.hpp"
#include "support/metrics.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <random>

namespace chicorylift::site
{

/// Process that callers speak to: accepts, shows and cancels batch jobs.
///
/// Everything lasting is a row of the table service; an entry keeps only a view of it.
class entry
{
public:
    entry(net::event_loop& loop, settings values);
    ~entry();
    entry(const entry&) = delete;
    entry& operator=(const entry&) = delete;

    /// Takes no new traffic, answers what has come, and then calls @p finished.
    void stop_gracefully(std::function<void()> finished);
    /// Takes in settings that were read again.
    void reload(const settings& values);

private:
    struct submission;
    struct cancellation;
    using responder = net::async_http_server::responder;

    void on_config_row(const ports::row& row);
    void on_confirmed();
    void answer(const net::server_request& request, const responder& respond);
    void submit(const net::server_request& request, const batch::resolved_call& call,
                const std::string& key, const responder& respond);
    /// Reads before it writes, so that a refusal is known to be true.
    void ask_store_first(const std::shared_ptr<submission>& open);
    void try_submission(const std::shared_ptr<submission>& open);
    void on_submission(const std::shared_ptr<submission>& open,
                       const ports::commit_outcome& outcome);
    void accept(const submission& open);
    void refuse(const submission& open, ports::front_answer answer, const std::string& why);
    void show(const batch::resolved_call& call, const responder& respond);
    void cancel(const net::server_request& request, const batch::resolved_call& call,
                const responder& respond);
    void try_cancellation(const std::shared_ptr<cancellation>& open);
    void on_cancellation(const std::shared_ptr<cancellation>& open,
                         const ports::commit_outcome& outcome);
    void read_job(const core::job_id& job, core::milliseconds patience,
                  std::function<void(const absl::StatusOr<std::optional<seen_job>>&)> on_job);
    void count_waiting(const batch::resolved_call& call, const responder& respond);
    void tick();
    void check_ready();
    void check_drained();

    [[nodiscard]] core::milliseconds config_age() const;
    [[nodiscard]] core::milliseconds allowed_age() const noexcept;
    [[nodiscard]] core::milliseconds come_back();
    [[nodiscard]] bool store_is_lost() const;
    /// @return time since the store has last answered anything.
    [[nodiscard]] core::milliseconds store_silence() const;
    [[nodiscard]] bool takes_traffic() const;

    net::event_loop& loop;
    settings values;
    std::unique_ptr<ports::table_service> store;
    std::optional<batch::site_config> config;
    job_view jobs;
    support::metrics figures;
    std::minstd_rand random;
    bool draining = false;
    bool was_ready = false;
    bool store_lost = false;
    bool config_stale = false;
    core::instant drain_limit{};
    std::function<void()> finished;
    std::unique_ptr<mirrored_table> config_rows;
    std::unique_ptr<mirrored_table> job_rows;
    std::unique_ptr<net::async_http_server> front;
    std::unique_ptr<net::async_http_server> readiness;
    std::unique_ptr<net::async_http_server> metrics_server;
};

} // namespace chicorylift::site
