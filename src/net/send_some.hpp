#pragma once

#include <Poco/Net/StreamSocket.h>
#include <string>

namespace chicorylift::net
{

/// Sends what a socket that does not block takes now, and removes it from @p output.
/// Throws Poco::Exception when the connection is gone.
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
