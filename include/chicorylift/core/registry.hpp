#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace chicorylift::core
{

/// Registry of the named implementations of one interface.
///
/// Each implementation adds itself through a static registration object.
///
/// Plugin is a type with a member `name` convertible to std::string_view.
template <class Plugin>
class registry
{
public:
    /// @return the process-wide registry for this type.
    static registry& instance()
    {
        static registry singleton;
        return singleton;
    }

    /// Adds an implementation, which must live until the process exits.
    void add(const Plugin& plugin) { this->plugins.push_back(&plugin); }

    /// @return the implementation with @p name, or nullptr.
    [[nodiscard]] const Plugin* find(std::string_view name) const noexcept
    {
        for (const Plugin* plugin : this->plugins)
        {
            if (plugin->name == name)
            {
                return plugin;
            }
        }
        return nullptr;
    }

    /// @return all names, separated by ", ", for error messages.
    [[nodiscard]] std::string names() const
    {
        std::string list;
        for (const Plugin* plugin : this->plugins)
        {
            list += list.empty() ? "" : ", ";
            list += plugin->name;
        }
        return list;
    }

    /// @return all implementations.
    [[nodiscard]] const std::vector<const Plugin*>& all() const noexcept { return this->plugins; }

private:
    std::vector<const Plugin*> plugins;
};

/// Registers an implementation during static initialisation.
template <class Plugin>
struct registration
{
    explicit registration(const Plugin& plugin) { registry<Plugin>::instance().add(plugin); }
};

} // namespace chicorylift::core
