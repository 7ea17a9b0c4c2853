#include "chicorylift/core/error.hpp"
#include "ctl/commands.hpp"
#include "ctl/evacuations.hpp"
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
    // These commands read only log files, so they require neither an entry nor a token.
    if (argument_count > 1 && std::string_view(arguments[1]) == "trace")
    {
        return ctl::run_trace(argument_count - 1, arguments + 1);
    }
    if (argument_count > 1 && std::string_view(arguments[1]) == "evacuations")
    {
        return ctl::run_evacuations(argument_count - 1, arguments + 1);
    }
    constexpr int usage_error = 2;
    ctl::client_options options;
    ctl::command request;
    std::string name;
    std::string file;
    bool idempotent = false;
    std::string key;
    std::string timeout;
    CLI::App app(
        "chicoryctl: manages chicorylift through one of its entries; "
        "\"chicoryctl trace ID FILE...\" and \"chicoryctl evacuations FILE...\" read logs");
    app.set_version_flag("--version", "chicorylift 0.1.0");
    app.require_subcommand(1);
    app.fallthrough();
    app.add_option("--entry", options.address, "IP number and port of an entry's HTTP")
        ->envname("CHICORYLIFT_ENTRY")
        ->required();
    app.add_option("--token", options.token, "organisation token or operator token")
        ->envname("CHICORYLIFT_TOKEN")
        ->required();
    app.add_option("--operator", options.operator_name,
                   "operator name recorded with configuration changes")
        ->envname("CHICORYLIFT_OPERATOR");
    app.add_option("--output", options.output, "output format: table or json")
        ->check(CLI::IsMember({"table", "json"}))
        ->capture_default_str();

    const auto add_command = [&](const char* command, const char* help, const char* method,
                                 const char* path, ctl::response_layout layout)
    {
        app.add_subcommand(command, help)
            ->callback(
                [&request, method, path, layout] {
                    request = {method, path, "", {}, layout};
                });
    };
    add_command("status", "shows cells, members, usage and the active configuration", "GET",
                "/v1/status", ctl::response_layout::status);
    add_command("config", "shows units, contracts and presets", "GET", "/v1/config",
                ctl::response_layout::config);
    add_command("metrics", "shows the entry's histograms and counters", "GET", "/metrics",
                ctl::response_layout::text);

    const auto add_file_command = [&](const char* command, const char* help, const char* method,
                                      const char* path, ctl::response_layout layout)
    {
        CLI::App* added = app.add_subcommand(command, help);
        added->add_option("FILE", file, "JSON document, or - for standard input")->required();
        added->callback(
            [&request, &file, method, path, layout] {
                request = {method, path, read_document(file), {}, layout};
            });
    };
    add_file_command("set-unit", "defines a legacy resource unit", "PUT", "/v1/config/units",
                     ctl::response_layout::config_head);
    add_file_command("set-contract", "creates an organisation or changes its contract", "PUT",
                     "/v1/config/contracts", ctl::response_layout::config_head);
    add_file_command("set-preset", "creates or changes a preset", "PUT", "/v1/config/presets",
                     ctl::response_layout::config_head);
    add_file_command("submit", "submits a job", "POST", "/v1/jobs", ctl::response_layout::job);

    const auto add_name_command = [&](const char* command, const char* help, const char* method,
                                      const char* path_prefix, const char* path_suffix,
                                      ctl::response_layout layout)
    {
        CLI::App* added = app.add_subcommand(command, help);
        added->add_option("NAME", name, "name or id of the object")->required();
        added->callback(
            [&request, &name, method, path_prefix, path_suffix, layout] {
                request = {method, path_prefix + name + path_suffix, "", {}, layout};
            });
    };
    add_name_command("use-preset", "activates a preset", "POST", "/v1/config/presets/", "/use",
                     ctl::response_layout::config_head);
    add_name_command("job", "shows a job", "GET", "/v1/jobs/", "", ctl::response_layout::job);
    add_name_command("cancel", "cancels a job", "DELETE", "/v1/jobs/", "",
                     ctl::response_layout::job);
    add_name_command("explain",
                     "explains why a job waits, where it runs and which jobs it displaced", "GET",
                     "/v1/jobs/", "/explain", ctl::response_layout::explanation);
    add_name_command("drain", "stops assigning work to an agent", "POST", "/v1/agents/", "/drain",
                     ctl::response_layout::text);
    add_name_command("undrain", "resumes assigning work to an agent", "POST", "/v1/agents/",
                     "/undrain", ctl::response_layout::text);

    CLI::App* call = app.add_subcommand("call", "sends a request to a service");
    call->add_option("SERVICE", name, "name of the service")->required();
    call->add_option("FILE", file, "body of the request, or - for standard input")->required();
    call->add_flag("--idempotent", idempotent, "the request may run more than once");
    call->add_option("--key", key, "idempotency key");
    call->add_option("--timeout-ms", timeout, "timeout of the request in milliseconds");
    call->callback(
        [&]
        {
            request = {"POST",
                       "/v1/services/" + name + "/call",
                       read_document(file),
                       {},
                       ctl::response_layout::text};
            request.headers.push_back({"X-Idempotent", idempotent ? "true" : "false"});
            if (!key.empty())
            {
                request.headers.push_back({"Idempotency-Key", key});
            }
            if (!timeout.empty())
            {
                request.headers.push_back({"X-Timeout-Ms", timeout});
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
    const absl::Status done = ctl::run(options, request, std::cout);
    if (!done.ok())
    {
        const core::error_descriptor& error = core::descriptor_for(core::kind_of(done));
        std::cerr << "chicoryctl: " << error.name << " (" << core::to_text(error.execution)
                  << "): " << done.message() << '\n';
        return error.exit_code;
    }
    return 0;
}
