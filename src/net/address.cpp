#include "net/address.hpp"

#include <Poco/Net/IPAddress.h>
#include <charconv>
#include <cstdint>

namespace chicorylift::net
{

bool is_address(const std::string& text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos)
    {
        return false;
    }
    std::string host = text.substr(0, colon);
    const bool is_bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (is_bracketed)
    {
        host = host.substr(1, host.size() - 2);
    }
    std::uint16_t port = 0;
    const char* const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
    Poco::Net::IPAddress number;
    return parsed.ec == std::errc{} && parsed.ptr == end &&
           Poco::Net::IPAddress::tryParse(host, number) &&
           (number.family() == Poco::Net::IPAddress::IPv6) == is_bracketed;
}

} // namespace chicorylift::net
