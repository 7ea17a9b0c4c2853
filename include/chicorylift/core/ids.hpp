#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <string>
#include <utility>

/// Strongly typed identifiers for processes, records and messages.
namespace chicorylift::core
{

/// Text identifier; identifiers with different tags are distinct types.
template <class Tag>
class text_id
{
public:
    text_id() = default;
    explicit text_id(std::string text) : value(std::move(text)) {}

    /// @return the identifier as text, for messages and logs.
    [[nodiscard]] const std::string& str() const noexcept { return this->value; }
    /// @return whether the identifier is unset.
    [[nodiscard]] bool empty() const noexcept { return this->value.empty(); }

    friend auto operator<=>(const text_id&, const text_id&) = default;

private:
    std::string value;
};

using organisation_id = text_id<struct organisation_tag>;
using worker_id = text_id<struct worker_tag>;
using rack_id = text_id<struct rack_tag>;
using zone_id = text_id<struct zone_tag>;
using cell_id = text_id<struct cell_tag>;
using job_id = text_id<struct job_tag>;
using request_id = text_id<struct request_tag>;
using service_id = text_id<struct service_tag>;

} // namespace chicorylift::core

/// Hashes an identifier by its text.
template <class Tag>
struct std::hash<chicorylift::core::text_id<Tag>>
{
    std::size_t operator()(const chicorylift::core::text_id<Tag>& id) const noexcept
    {
        return std::hash<std::string>{}(id.str());
    }
};
