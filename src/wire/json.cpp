#include "wire/json.hpp"

#include "chicorylift/core/error.hpp"

#include <google/protobuf/util/json_util.h>

namespace chicorylift::wire
{

namespace
{

namespace json = google::protobuf::util;

absl::Status parse(std::string_view text, google::protobuf::Message& document, bool lenient)
{
    if (text.size() > max_document_bytes)
    {
        return core::make_error(core::error_kind::too_large,
                                "the document has " + std::to_string(text.size()) +
                                    " bytes; at most " + std::to_string(max_document_bytes) +
                                    " are allowed");
    }
    json::JsonParseOptions options;
    options.ignore_unknown_fields = lenient;
    const auto parsed = json::JsonStringToMessage({text.data(), text.size()}, &document, options);
    if (parsed.ok())
    {
        return absl::OkStatus();
    }
    return core::make_error(core::error_kind::invalid_request,
                            std::string(parsed.message().data(), parsed.message().size()));
}

std::string print(const google::protobuf::Message& document, bool with_defaults, bool indented)
{
    json::JsonPrintOptions options;
    options.preserve_proto_field_names = true;
    options.always_print_primitive_fields = with_defaults;
    options.add_whitespace = indented;
    std::string text;
    // Serialisation fails only for strings that are not valid UTF-8; the result is then empty.
    static_cast<void>(json::MessageToJsonString(document, &text, options));
    return text;
}

} // namespace

absl::Status from_json(std::string_view text, google::protobuf::Message& document)
{
    return parse(text, document, false);
}

absl::Status from_json_lenient(std::string_view text, google::protobuf::Message& document)
{
    return parse(text, document, true);
}

std::string to_json(const google::protobuf::Message& document)
{
    return print(document, true, false);
}

std::string to_compact_json(const google::protobuf::Message& document)
{
    return print(document, false, false);
}

std::string to_pretty_json(const google::protobuf::Message& document)
{
    return print(document, true, true);
}

} // namespace chicorylift::wire
