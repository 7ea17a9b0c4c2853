#include "chicorylift/core/error.hpp"
#include "ctl/commands.hpp"
#include "ctl/trace.hpp"

#include <CLI/CLI.hpp>
#include <fstream>
#include <iostream>
#include <iterator>
#include <string>
#include <string_view>

namespace
{

using namespace chicorylift;

/// Reads a document from a file, or from standard input for "-".
std::string read_document(const std::string& path)
{
    if (path == "-")
    {
        return {std::istreambuf_iterator<char>(std::cin), {}};
    }
    std::ifstream file(path);
    return {std::istreambuf_iterator<char>(file), {}};
}

} // namespace

int main(int argument_count, char** arguments)
{
    // Reads logs only, and so needs neither an entry nor a token.
    if (argument_count > 1 && std::string_view(arguments[1]) == "trace")
    {
        return ctl::run_trace(argument_count - 1, arguments + 1);
    }
    constexpr int usage_error = 2;
    ctl::client_options to;
    ctl::command wanted;
    std::string name;
    std::string file;
    bool idempotent = false;
    std::string key;
    std::string timeout;
    CLI::App app("chicoryctl: operates chicorylift through one of its entries; "
                 "\"chicoryctl trace ID FILE...\" reads logs");
    app.set_version_flag("--version", "chicorylift 0.1.0");
    app.require_subcommand(1);
    app.fallthrough();
    app.add_option("--entry", to.address, "IP number and port of an entry's HTTP")
        ->envname("CHICORYLIFT_ENTRY")
        ->required();
    app.add_option("--token", to.token, "token of an organisation or of the operators")
        ->envname("CHICORYLIFT_TOKEN")
        ->required();
    app.add_option("--operator", to.operator_name, "name noted with a change of configuration")
        ->envname("CHICORYLIFT_OPERATOR");
    app.add_option("--output", to.output, "table or json")
        ->check(CLI::IsMember({"table", "json"}))
        ->capture_default_str();

    const auto plain = [&](const char* command, const char* help, const char* method,
                           const char* path, ctl::response_layout shown)
    {
        app.add_subcommand(command, help)
            ->callback(
                [&wanted, method, path, shown] {
                    wanted = {method, path, "", {}, shown};
                });
    };
    plain("status", "shows cells, members, use and what is in force", "GET", "/v1/status",
          ctl::response_layout::status);
    plain("config", "shows units, contracts and presets", "GET", "/v1/config",
          ctl::response_layout::config);
    plain("metrics", "shows the entry's histograms and counters", "GET", "/metrics",
          ctl::response_layout::text);

    const auto with_file = [&](const char* command, const char* help, const char* method,
                               const char* path, ctl::response_layout shown)
    {
        CLI::App* added = app.add_subcommand(command, help);
        added->add_option("FILE", file, "JSON document, or - for standard input")->required();
        added->callback(
            [&wanted, &file, method, path, shown] {
                wanted = {method, path, read_document(file), {}, shown};
            });
    };
    with_file("set-unit", "records an old unit", "PUT", "/v1/config/units",
              ctl::response_layout::config_head);
    with_file("set-contract", "creates an organisation or changes its contract", "PUT",
              "/v1/config/contracts", ctl::response_layout::config_head);
    with_file("set-preset", "defines a preset", "PUT", "/v1/config/presets",
              ctl::response_layout::config_head);
    with_file("submit", "submits a job", "POST", "/v1/jobs", ctl::response_layout::job);

    const auto with_name = [&](const char* command, const char* help, const char* method,
                               const char* before, const char* after, ctl::response_layout shown)
    {
        CLI::App* added = app.add_subcommand(command, help);
        added->add_option("NAME", name, "name of what is meant")->required();
        added->callback(
            [&wanted, &name, method, before, after, shown] {
                wanted = {method, before + name + after, "", {}, shown};
            });
    };
    with_name("use-preset", "puts a preset in force", "POST", "/v1/config/presets/", "/use",
              ctl::response_layout::config_head);
    with_name("job", "shows a job", "GET", "/v1/jobs/", "", ctl::response_layout::job);
    with_name("cancel", "cancels a job", "DELETE", "/v1/jobs/", "", ctl::response_layout::job);
    with_name("explain", "tells why a job waits, where it runs and what it displaced", "GET",
              "/v1/jobs/", "/explain", ctl::response_layout::explanation);
    with_name("drain", "gives an agent no further work", "POST", "/v1/agents/", "/drain",
              ctl::response_layout::text);
    with_name("undrain", "gives an agent work again", "POST", "/v1/agents/", "/undrain",
              ctl::response_layout::text);

    CLI::App* call = app.add_subcommand("call", "sends a request to a service");
    call->add_option("SERVICE", name, "name of the service")->required();
    call->add_option("FILE", file, "body of the request, or - for standard input")->required();
    call->add_flag("--idempotent", idempotent, "the request may run more than once");
    call->add_option("--key", key, "idempotency key");
    call->add_option("--timeout-ms", timeout, "time until an answer is needed");
    call->callback(
        [&]
        {
            wanted = {"POST",
                      "/v1/services/" + name + "/call",
                      read_document(file),
                      {},
                      ctl::response_layout::text};
            wanted.headers.push_back({"X-Idempotent", idempotent ? "true" : "false"});
            if (!key.empty())
            {
                wanted.headers.push_back({"Idempotency-Key", key});
            }
            if (!timeout.empty())
            {
                wanted.headers.push_back({"X-Timeout-Ms", timeout});
            }
        });
    try
    {
        app.parse(argument_count, arguments);
    }
    catch (const CLI::ParseError& fault)
    {
        return app.exit(fault) == 0 ? 0 : usage_error;
    }
    const absl::Status done = ctl::run(to, wanted, std::cout);
    if (!done.ok())
    {
        const core::error_descriptor& row = core::descriptor_for(core::kind_of(done));
        std::cerr << "chicoryctl: " << row.name << " (" << core::to_text(row.execution)
                  << "): " << done.message() << '\n';
        return row.exit_code;
    }
    return 0;
}
