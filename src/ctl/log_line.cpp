#include "ctl/log_line.hpp"

namespace chicorylift::ctl
{

std::string log_field(const std::string& object, const std::string& name)
{
    const std::string prefix = "\"" + name + "\":";
    const std::size_t begin = object.find(prefix);
    if (begin == std::string::npos)
    {
        return {};
    }
    std::size_t first = begin + prefix.size();
    if (first >= object.size() || object[first] != '"')
    {
        return object.substr(first, object.find_first_of(",}", first) - first);
    }
    ++first;
    std::size_t end = first;
    while (end < object.size() && object[end] != '"')
    {
        end += object[end] == '\\' ? 2 : 1;
    }
    return object.substr(first, end - first);
}

} // namespace chicorylift::ctl
