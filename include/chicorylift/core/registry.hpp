#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace chicorylift::core
{

/// List of named implementations of one kind, filled by the implementations themselves.
///
/// Plugin is a type with a member `name` convertible to std::string_view.
template <class Plugin>
class registry
{
public:
    /// @return the one registry of this kind.
    static registry& instance()
    {
        static registry only;
        return only;
    }

    /// Adds an implementation, which must outlive the process.
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

/// Registers an implementation while the program starts.
template <class Plugin>
struct registration
{
    explicit registration(const Plugin& plugin) { registry<Plugin>::instance().add(plugin); }
};

} // namespace chicorylift::core
