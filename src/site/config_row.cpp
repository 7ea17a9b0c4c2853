#include "site/config_row.hpp"

#include "platform/http_codec.hpp"
#include "support/events.hpp"

namespace chicorylift::site
{

namespace events = support::events;

bool apply_config_row(const ports::row& row, std::string_view reader,
                      std::optional<batch::site_config>& config)
{
    if (row.id.key != platform::config_key || row.removed)
    {
        return false;
    }
    const core::instant started_at = core::boot_clock::now();
    auto parsed = platform::parse_config(row.value);
    if (!parsed.ok())
    {
        events::write("config_rejected", {{"at", reader},
                                          {"row_version", row.version},
                                          {"reason", std::string(parsed.status().message())}});
        return false;
    }
    if (config.has_value() && parsed->version < config->version)
    {
        return false;
    }
    config = std::move(*parsed);
    events::write("config_in_force",
                  {{"at", reader},
                   {"version", config->version},
                   {"row_version", row.version},
                   {"routes", static_cast<std::uint64_t>(config->routes.size())},
                   {"keys", static_cast<std::uint64_t>(config->organisation_by_key.size())},
                   {"bytes", static_cast<std::uint64_t>(row.value.size())},
                   {"parsing_ms", (core::boot_clock::now() - started_at).count()}});
    return true;
}

} // namespace chicorylift::site
