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
                       [](unsigned char letter) { return std::isxdigit(letter) != 0; });
}

std::string lower(std::string_view text)
{
    std::string copy(text);
    std::transform(copy.begin(), copy.end(), copy.begin(),
                   [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return copy;
}

/// @return the host without its port, in lower case.
std::string plain_host(std::string_view host)
{
    return lower(host.substr(0, host.find(':')));
}

/// Sets kind and job from method and the path behind the prefix.
void take_path(const api_request& call, std::string_view rest, resolved_request& result)
{
    if (rest.empty())
    {
        result.operation = api_operation::get_queue_length;
        result.rejection = call.method == http_method::get ? rejection_reason::none
                                                           : rejection_reason::wrong_method;
        return;
    }
    if (!is_job_id(rest))
    {
        result.rejection = rejection_reason::unknown_path;
        return;
    }
    result.job = core::job_id(std::string(rest));
    switch (call.method)
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
    const std::string wanted = plain_host(host);
    const queue_route* best = nullptr;
    for (const queue_route& route : this->routes)
    {
        const bool matches =
            plain_host(route.host) == wanted && path.starts_with(route.path_prefix);
        if (matches && (best == nullptr || route.path_prefix.size() > best->path_prefix.size()))
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

resolved_request resolve_request(const api_request& call, const site_config* config,
                                 core::milliseconds age, core::milliseconds allowed_age)
{
    resolved_request result;
    if (config == nullptr)
    {
        result.rejection = rejection_reason::no_config;
        return result;
    }
    const bool stale = age > allowed_age;
    const queue_route* const route = config->find_route(call.host, call.path);
    if (route == nullptr)
    {
        result.rejection = stale ? rejection_reason::stale_config : rejection_reason::unknown_queue;
        return result;
    }
    result.route = *route;
    const auto owner = config->organisation_by_key.find(call.key);
    if (owner != config->organisation_by_key.end())
    {
        result.organisation = owner->second;
    }
    else if (!route->is_public)
    {
        result.rejection = stale ? rejection_reason::stale_config : rejection_reason::unknown_key;
        return result;
    }
    if (stale && !route->is_public)
    {
        result.rejection = rejection_reason::stale_config;
        return result;
    }
    take_path(call, std::string_view(call.path).substr(route->path_prefix.size()), result);
    return result;
}

} // namespace chicorylift::batch
