#include "support/site.hpp"

#include "chicorylift/core/error.hpp"
#include "wire/json.hpp"

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <map>
#include <sstream>
#include <stdexcept>
#include <thread>
#include <unistd.h>

namespace chicorylift::testing
{

namespace
{

constexpr core::milliseconds poll{20};
constexpr core::milliseconds start_patience{10'000};
constexpr core::milliseconds request_patience{30'000};
constexpr int first_error_status = 400;

std::string binary(const std::string& name)
{
    const char* folder = std::getenv("CHICORYLIFT_BIN");
    return std::string(folder != nullptr ? folder : ".") + "/" + name;
}

std::string token_of(const std::string& organisation)
{
    return organisation + "-secret";
}

std::string make_folder()
{
    std::string pattern = (std::filesystem::temp_directory_path() / "chicorylift-XXXXXX").string();
    if (::mkdtemp(pattern.data()) == nullptr)
    {
        throw std::runtime_error("cannot make " + pattern);
    }
    return pattern;
}

absl::Status to_error(const net::client_response& answer)
{
    wire::error_document document;
    if (!wire::from_json_lenient(answer.body, document).ok())
    {
        return core::make_error(core::error_kind::internal,
                                "status " + std::to_string(answer.status));
    }
    return core::make_error(core::kind_from_name(document.error()), document.message());
}

template <class Document>
absl::StatusOr<Document> to_document(const absl::StatusOr<net::client_response>& answer)
{
    if (!answer.ok())
    {
        return answer.status();
    }
    if (answer->status >= first_error_status)
    {
        return to_error(*answer);
    }
    Document document;
    const absl::Status read = wire::from_json_lenient(answer->body, document);
    return read.ok() ? absl::StatusOr<Document>(document) : read;
}

bool answers(const std::string& address, const std::string& path)
{
    net::client_request request;
    request.address = address;
    request.path = path;
    return net::send_request(request).ok();
}

std::string text(core::milliseconds time)
{
    return std::to_string(time.count());
}

} // namespace

site::site(site_options given) : options(std::move(given)), directory(make_folder())
{
    this->platform_address = free_address();
    this->platform_process = process(
        {binary("standin_platform"), "--listen", this->platform_address}, this->log_of("platform"));
    if (!wait_until([this] { return answers(this->platform_address, "/traffic"); }, start_patience))
    {
        throw std::runtime_error("the stand-in platform does not start");
    }
    for (int index = 0; index < this->options.entries; ++index)
    {
        this->start_entry(index);
    }
    for (int index = 0; index < this->options.workers; ++index)
    {
        this->start_worker(index);
    }
    for (const std::string& address : this->entry_addresses)
    {
        if (!wait_until([&address] { return answers(address, "/healthz"); }, start_patience))
        {
            throw std::runtime_error("the entry at " + address + " does not start");
        }
    }
    const auto all_joined = [this]
    {
        const auto shown = this->status(0);
        return shown.ok() && shown->cells_size() == 1 &&
               shown->cells(0).members_size() == this->options.workers;
    };
    if (!wait_until(all_joined, start_patience))
    {
        throw std::runtime_error("the workers do not join");
    }
}

site::~site()
{
    this->upstreams.clear();
    this->agents.clear();
    this->entries.clear();
    this->platform_process = process();
    if (std::getenv("CHICORYLIFT_KEEP") == nullptr)
    {
        std::error_code ignored;
        std::filesystem::remove_all(this->directory, ignored);
    }
    else
    {
        std::cerr << "kept " << this->directory << '\n';
    }
}

void site::start_entry(int index)
{
    this->entry_addresses.push_back(free_address());
    std::vector<std::string> arguments = this->common_arguments(
        "entry", "entry-" + std::to_string(index), this->entry_addresses.back());
    for (const std::string& organisation : this->options.organisations)
    {
        arguments.push_back("--organisation-token");
        arguments.push_back(organisation + "=" + token_of(organisation));
    }
    arguments.insert(arguments.end(), {"--operator-token", operator_token, "--entries",
                                       std::to_string(this->options.entries)});
    this->entries.emplace_back(arguments, this->log_of("entry-" + std::to_string(index)));
}

void site::start_worker(int index)
{
    const std::string number = std::to_string(index);
    this->agent_addresses.push_back(free_address());
    this->upstream_addresses.push_back(free_address());
    std::vector<std::string> arguments =
        this->common_arguments("agent", "worker-" + number, this->agent_addresses.back());
    arguments.insert(arguments.end(),
                     {"--rack", std::to_string(index / this->options.workers_per_rack)});
    if (this->options.relays)
    {
        const auto listen = std::find(arguments.begin(), arguments.end(), "--listen");
        this->relays.push_back(std::make_unique<relay>(*std::next(listen)));
        arguments.insert(arguments.end(), {"--advertise", this->relays.back()->address()});
    }
    this->agents.emplace_back(arguments, this->log_of("agent-" + number));
    this->upstreams.emplace_back(
        std::vector<std::string>{
            binary("standin_upstream"), "--listen", this->upstream_addresses.back(), "--agent",
            this->agent_addresses.back(), "--service", this->options.service, "--slots",
            std::to_string(this->options.slots), "--record", this->directory + "/runs-" + number},
        this->log_of("upstream-" + number));
}

std::vector<std::string> site::common_arguments(const std::string& role, const std::string& name,
                                                const std::string& http) const
{
    return {binary("chicoryliftd"),
            "--role",
            role,
            "--name",
            name,
            "--listen",
            free_address(),
            "--http",
            http,
            "--table",
            this->platform_address,
            "--region",
            this->options.region,
            "--zone",
            this->options.zone,
            "--log-level",
            this->options.log_level,
            "--heartbeat-ms",
            text(this->options.heartbeat),
            "--suspect-ms",
            text(this->options.suspect),
            "--gang-lease-ms",
            text(this->options.gang_lease),
            "--config-poll-ms",
            text(this->options.config_poll),
            "--notice-ms",
            text(this->options.notice)};
}

std::string site::log_of(const std::string& name) const
{
    return this->directory + "/" + name + ".log";
}

int site::leader_index() const
{
    const auto shown = this->status(0);
    if (!shown.ok() || shown->cells().empty())
    {
        return -1;
    }
    const std::string& lead = shown->cells(0).lead();
    const std::size_t dash = lead.rfind('-');
    return dash == std::string::npos ? -1 : std::stoi(lead.substr(dash + 1));
}

void site::platform_fault(const std::string& fault, const std::string& value) const
{
    net::client_request request;
    request.address = this->platform_address;
    request.method = "PUT";
    request.path = "/control/" + fault + "/" + value;
    static_cast<void>(net::send_request(request));
}

void site::upstream_fault(int index, const std::string& fault, std::int64_t value) const
{
    net::client_request request;
    request.address = this->upstream_addresses.at(static_cast<std::size_t>(index));
    request.method = "PUT";
    request.path = "/control/" + fault + "/" + std::to_string(value);
    static_cast<void>(net::send_request(request));
}

absl::StatusOr<net::client_response>
site::request(int entry, const std::string& token, const std::string& method,
              const std::string& path, const std::string& body,
              const std::vector<net::http_header>& headers) const
{
    net::client_request request;
    request.address = this->entry_http(entry);
    request.method = method;
    request.path = path;
    request.body = body;
    request.headers = headers;
    request.headers.push_back({"Authorization", "Bearer " + token});
    request.response_timeout = request_patience;
    return net::send_request(request);
}

absl::StatusOr<net::client_response> site::call(int entry, const std::string& organisation,
                                                const std::string& body,
                                                const std::vector<net::http_header>& headers) const
{
    return this->request(entry, token_of(organisation), "POST",
                         "/v1/services/" + this->options.service + "/call", body, headers);
}

absl::StatusOr<wire::job_document> site::submit(int entry, const std::string& organisation,
                                                const wire::job_request& job) const
{
    return to_document<wire::job_document>(
        this->request(entry, token_of(organisation), "POST", "/v1/jobs", wire::to_json(job)));
}

absl::StatusOr<wire::job_document> site::job(int entry, const std::string& id) const
{
    return to_document<wire::job_document>(
        this->request(entry, operator_token, "GET", "/v1/jobs/" + id, ""));
}

absl::StatusOr<net::client_response> site::cancel(int entry, const std::string& id) const
{
    return this->request(entry, operator_token, "DELETE", "/v1/jobs/" + id, "");
}

absl::StatusOr<net::client_response> site::use_preset(int entry, const std::string& preset,
                                                      const std::string& who) const
{
    return this->request(entry, operator_token, "POST", "/v1/config/presets/" + preset + "/use", "",
                         {{"X-Operator", who}});
}

absl::StatusOr<wire::status_document> site::status(int entry) const
{
    return to_document<wire::status_document>(
        this->request(entry, operator_token, "GET", "/v1/status", ""));
}

bool site::wait_until(const std::function<bool()>& happened, core::milliseconds patience)
{
    const core::instant limit = core::boot_clock::now() + patience;
    while (!happened())
    {
        if (core::boot_clock::now() >= limit)
        {
            return false;
        }
        std::this_thread::sleep_for(poll);
    }
    return true;
}

bool site::wait_ready(core::milliseconds patience) const
{
    return wait_until(
        [this]
        {
            for (int index = 0; index < this->options.entries; ++index)
            {
                const auto shown = this->status(index);
                if (!shown.ok() || shown->cells_size() != 1 || shown->config_version() == 0 ||
                    shown->cells(0).members_size() != this->options.workers)
                {
                    return false;
                }
                for (const wire::member_status& member : shown->cells(0).members())
                {
                    if (member.state() != "live" ||
                        member.config_version() != shown->config_version())
                    {
                        return false;
                    }
                }
            }
            return true;
        },
        patience);
}

std::string site::wait_job(const std::string& id, core::milliseconds patience) const
{
    std::string state;
    wait_until(
        [&]
        {
            const auto shown = this->job(0, id);
            state = shown.ok() ? shown->state() : "";
            return !state.empty() && state != "accepted" && state != "committed";
        },
        patience);
    return state;
}

bool site::wait_state(const std::string& id, const std::string& state,
                      core::milliseconds patience) const
{
    return wait_until(
        [&]
        {
            const auto shown = this->job(0, id);
            return shown.ok() && shown->state() == state;
        },
        patience);
}

void site::configure() const
{
    const auto put = [this](const std::string& what, const std::string& body)
    {
        const auto answer = this->request(0, operator_token, "PUT", "/v1/config/" + what, body);
        if (!answer.ok() || answer->status >= first_error_status)
        {
            throw std::runtime_error(what + ": " + (answer.ok() ? answer->body : "no answer"));
        }
    };
    put("units", R"({"unit":"crate","amount":{"accelerators":4,"cores":16,"memory_gb":64},
                     "per_units":2})");
    for (const std::string& organisation : this->options.organisations)
    {
        put("contracts", R"({"organisation":")" + organisation + R"(",
            "guarantees":[{"name":"press","tasks":2,"unit":"crate","units_per_task":2,
                           "within":"rack"}],
            "limit_unit":"crate","limit_units":1000,"calls_per_second":2000})");
    }
    put("presets", R"({"name":"ordinary","weighting":"completion","guarantee_percent":100,
                       "limit_percent":100})");
    put("presets", R"({"name":"peak","weighting":"fragmentation","guarantee_percent":100,
                       "limit_percent":100})");
    put("presets", R"({"name":"maintenance","weighting":"completion","guarantee_percent":50,
                       "limit_percent":50})");
    const auto used = this->use_preset(0, "ordinary", "setup");
    if (!used.ok() || used->status >= first_error_status)
    {
        throw std::runtime_error("use: " + (used.ok() ? used->body : "no answer"));
    }
}

std::vector<recorded_run> site::runs() const
{
    std::vector<recorded_run> all;
    for (int index = 0; index < this->options.workers; ++index)
    {
        std::ifstream file(this->directory + "/runs-" + std::to_string(index));
        std::string line;
        while (std::getline(file, line))
        {
            std::istringstream words(line);
            recorded_run run;
            words >> run.at_ms >> run.event >> run.name >> run.detail;
            run.worker = index;
            all.push_back(std::move(run));
        }
    }
    return all;
}

int site::times_run(const std::string& event, const std::string& name) const
{
    int count = 0;
    for (const recorded_run& run : this->runs())
    {
        count += run.event == event && run.name == name ? 1 : 0;
    }
    return count;
}

wire::job_request usual_job(std::uint32_t tasks, std::uint32_t accelerators,
                            std::uint32_t run_time_ms)
{
    wire::job_request job;
    job.set_kind("tagging");
    job.set_class_("standard");
    job.set_tasks(tasks);
    job.mutable_per_task()->set_accelerators(accelerators);
    job.mutable_per_task()->set_cores(accelerators);
    job.mutable_per_task()->set_memory_gb(accelerators);
    job.set_within("zone");
    job.set_idempotent(true);
    job.set_checkpointable(true);
    job.set_declared_run_time_ms(run_time_ms);
    return job;
}

} // namespace chicorylift::testing
