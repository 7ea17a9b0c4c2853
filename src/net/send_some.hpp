#pragma once

#include <Poco/Net/StreamSocket.h>
#include <string>

namespace chicorylift::net
{

/// Writes as much of @p output as a non-blocking socket accepts, and removes it from @p output.
/// Throws Poco::Exception if the connection failed.
inline void send_some(Poco::Net::StreamSocket& socket, std::string& output)
{
    while (!output.empty())
    {
        const int sent = socket.sendBytes(output.data(), static_cast<int>(output.size()));
        if (sent <= 0)
        {
            return;
        }
        output.erase(0, static_cast<std::size_t>(sent));
    }
}

} // namespace chicorylift::net
