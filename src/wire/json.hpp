#pragma once

#include <absl/status/status.h>
#include <google/protobuf/message.h>
#include <string>
#include <string_view>

/// Documents as JSON text.
namespace chicorylift::wire
{

/// Longest JSON document that is read, in bytes.
inline constexpr std::size_t max_document_bytes = 1U << 20U;

/// Reads a document; unknown fields and wrong types are errors that name the field.
[[nodiscard]] absl::Status from_json(std::string_view text, google::protobuf::Message& document);
/// Reads a document that a newer version may have written; unknown fields are passed over.
[[nodiscard]] absl::Status from_json_lenient(std::string_view text,
                                             google::protobuf::Message& document);
/// @return the document on one line, with all fields.
[[nodiscard]] std::string to_json(const google::protobuf::Message& document);
/// @return the document on one line, without fields at their default.
[[nodiscard]] std::string to_compact_json(const google::protobuf::Message& document);
/// @return the document indented, for people.
[[nodiscard]] std::string to_pretty_json(const google::protobuf::Message& document);

} // namespace chicorylift::wire
