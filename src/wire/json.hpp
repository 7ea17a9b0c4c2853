#pragma once

#include <absl/status/status.h>
#include <google/protobuf/message.h>
#include <string>
#include <string_view>

/// JSON serialisation of protocol buffer messages.
namespace chicorylift::wire
{

/// Maximum size of a parsed JSON document, in bytes.
inline constexpr std::size_t max_document_bytes = 1U << 20U;

/// Parses a document; an unknown field or a wrong type is an error that names the field.
[[nodiscard]] absl::Status from_json(std::string_view text, google::protobuf::Message& document);
/// Parses a document that a newer version may have written; ignores unknown fields.
[[nodiscard]] absl::Status from_json_lenient(std::string_view text,
                                             google::protobuf::Message& document);
/// @return the document on one line, with all fields.
[[nodiscard]] std::string to_json(const google::protobuf::Message& document);
/// @return the document on one line, without fields that have their default value.
[[nodiscard]] std::string to_compact_json(const google::protobuf::Message& document);
/// @return the document indented, with all fields.
[[nodiscard]] std::string to_pretty_json(const google::protobuf::Message& document);

} // namespace chicorylift::wire
