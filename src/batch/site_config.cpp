#include "chicorylift/batch/site_config.hpp"

#include <algorithm>
#include <cctype>

namespace chicorylift::batch
{

namespace
{

constexpr std::size_t job_id_digits = 16;

bool is_job_id(std::string_view text)
{
    return text.size() == job_id_digits &&
           std::all_of(text.begin(), text.end(),
                       [](unsigned char character) { return std::isxdigit(character) != 0; });
}

std::string_view without_port(std::string_view host)
{
    return host.substr(0, host.find(':'));
}

/// Ignores case and port.
bool is_same_host(std::string_view left, std::string_view right)
{
    left = without_port(left);
    right = without_port(right);
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [](unsigned char one, unsigned char other)
                      { return std::tolower(one) == std::tolower(other); });
}

/// Sets the operation and job, or the rejection, from the method and the rest of the path after the
/// route's prefix.
void resolve_path(const api_request& request, std::string_view suffix, resolved_request& result)
{
    if (suffix.empty())
    {
        result.operation = api_operation::get_queue_length;
        result.rejection = request.method == http_method::get ? rejection_reason::none
                                                              : rejection_reason::wrong_method;
        return;
    }
    if (!is_job_id(suffix))
    {
        result.rejection = rejection_reason::unknown_path;
        return;
    }
    result.job = core::job_id(std::string(suffix));
    switch (request.method)
    {
    case http_method::get:
        result.operation = api_operation::get_status;
        break;
    case http_method::post:
        result.operation = api_operation::submit;
        break;
    case http_method::remove:
        result.operation = api_operation::cancel;
        break;
    case http_method::other:
        result.rejection = rejection_reason::wrong_method;
        break;
    }
}

} // namespace

const queue_route* site_config::find_route(std::string_view host, std::string_view path) const
{
    const queue_route* best = nullptr;
    for (const queue_route& route : this->routes)
    {
        // The prefix rules out most routes at the least cost.
        if (path.starts_with(route.path_prefix) && is_same_host(route.host, host) &&
            (best == nullptr || route.path_prefix.size() > best->path_prefix.size()))
        {
            best = &route;
        }
    }
    return best;
}

std::map<queue_id, queue_policy> site_config::queue_policies() const
{
    std::map<queue_id, queue_policy> all;
    for (const queue_route& route : this->routes)
    {
        all[route.policy.queue] = route.policy;
    }
    return all;
}

resolved_request resolve_request(const api_request& request, const site_config* config,
                                 const config_freshness& freshness)
{
    resolved_request result;
    if (config == nullptr)
    {
        result.rejection = rejection_reason::no_config;
        return result;
    }
    const bool stale = freshness.age > freshness.allowed_age;
    const queue_route* const route = config->find_route(request.host, request.path);
    if (route == nullptr)
    {
        result.rejection = stale ? rejection_reason::stale_config : rejection_reason::unknown_queue;
        return result;
    }
    result.route = *route;
    const auto owner = config->organisation_by_key.find(request.key);
    if (owner != config->organisation_by_key.end())
    {
        result.organisation = owner->second;
    }
    else if (!route->is_public)
    {
        result.rejection = stale ? rejection_reason::stale_config : rejection_reason::unknown_key;
        return result;
    }
    if (stale && (!route->is_public || freshness.newer_exists))
    {
        result.rejection = rejection_reason::stale_config;
        return result;
    }
    resolve_path(request, std::string_view(request.path).substr(route->path_prefix.size()), result);
    return result;
}

} // namespace chicorylift::batch
