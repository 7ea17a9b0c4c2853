#pragma once

#include "net/http_client.hpp"

#include <absl/status/status.h>
#include <ostream>
#include <string>
#include <vector>

/// The command-line tool's requests and tables.
namespace chicorylift::ctl
{

/// How to reach an entry and how to show its answers.
struct client_options
{
    std::string address;
    std::string token;
    std::string operator_name;
    std::string output = "table";
};

/// Table that an answer is shown as.
enum class response_layout
{
    text,
    status,
    config,
    config_head,
    job,
    explanation,
};

/// One request.
struct command
{
    std::string method;
    std::string path;
    std::string body;
    std::vector<net::http_header> headers;
    response_layout layout = response_layout::text;
};

/// Sends the request and prints the answer to @p out.
/// @return the error that the entry answered, or no_upstream when it cannot be reached.
[[nodiscard]] absl::Status run(const client_options& to, const command& wanted, std::ostream& out);

} // namespace chicorylift::ctl
