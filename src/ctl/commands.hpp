#pragma once

#include "net/http_client.hpp"

#include <absl/status/status.h>
#include <ostream>
#include <string>
#include <vector>

/// Requests of the command-line tool and the printing of their responses.
namespace chicorylift::ctl
{

/// Address and credentials of an entry, and the output format.
struct client_options
{
    std::string address;
    std::string token;
    std::string operator_name;
    std::string output = "table";
};

/// Layout in which a response is printed.
enum class response_layout
{
    text,
    status,
    config,
    config_head,
    job,
    explanation,
};

/// HTTP request of one subcommand, and the layout of its response.
struct command
{
    std::string method;
    std::string path;
    std::string body;
    std::vector<net::http_header> headers;
    response_layout layout = response_layout::text;
};

/// Sends the request and prints the response to @p out.
/// @return the error in the entry's response, or no_upstream when the entry is unreachable.
[[nodiscard]] absl::Status run(const client_options& options, const command& wanted,
                               std::ostream& out);

} // namespace chicorylift::ctl
