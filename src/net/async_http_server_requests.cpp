#include "net/async_http_server_impl.hpp"
#include "net/send_some.hpp"

#include <Poco/Exception.h>
#include <algorithm>
#include <array>

namespace chicorylift::net
{

namespace
{

constexpr std::size_t read_chunk_bytes = 16384;
// Bytes that a client may still send after its request was rejected; more closes the connection.
constexpr std::size_t max_discarded_bytes = 4U << 20U;
// A connection whose unsent output exceeds this is closed: the peer does not read.
constexpr std::size_t max_unsent_bytes = 1U << 20U;
// Buffers up to this size are kept between requests.
constexpr std::size_t kept_buffer_bytes = 1024;
// A request in progress holds its parsed form, its row and the call to the store, each about as
// large as its body.
constexpr std::size_t in_flight_copies = 4;
constexpr int status_header_too_large = 431;
constexpr int status_unavailable = 503;
constexpr std::string_view blank_characters = "\r\n";

} // namespace

void async_http_server::implementation::on_ready(handle here, std::uint32_t events)
{
    if ((events & EPOLLOUT) != 0 && !this->flush(here))
    {
        return;
    }
    if ((events & (EPOLLIN | EPOLLRDHUP | EPOLLHUP | EPOLLERR)) == 0)
    {
        return;
    }
    if ((here->watched_events & EPOLLIN) != 0)
    {
        this->read(here);
    }
    else if ((events & (EPOLLHUP | EPOLLERR)) != 0)
    {
        // Both directions have ended: nothing that is still to be sent can arrive.
        this->close(here);
    }
}

void async_http_server::implementation::read(handle here)
{
    std::array<char, read_chunk_bytes> chunk{};
    int count = 0;
    try
    {
        count = here->socket.receiveBytes(chunk.data(), static_cast<int>(chunk.size()));
    }
    catch (const Poco::Exception&)
    {
        this->close(here);
        return;
    }
    if (count < 0)
    {
        return;
    }
    if (count == 0)
    {
        here->peer_finished = true;
        if (!here->awaiting_response && here->output.empty())
        {
            this->close(here);
        }
        else
        {
            this->update_watch(here);
        }
        return;
    }
    const std::string_view received(chunk.data(), static_cast<std::size_t>(count));
    if (here->lingering)
    {
        here->discarded_bytes += received.size();
        if (here->discarded_bytes > max_discarded_bytes)
        {
            this->close(here);
        }
        return;
    }
    if (here->input.empty() && !here->awaiting_response &&
        received.find_first_not_of(blank_characters) != std::string_view::npos)
    {
        this->restart_clock(here);
    }
    if (this->keep(here, received))
    {
        this->advance(here);
    }
}

bool async_http_server::implementation::keep(handle here, std::string_view received)
{
    this->context.budget->add_progress(here->account, received.size(), this->loop.now());
    const std::size_t needed = here->input.size() + received.size();
    if (needed > here->input.capacity())
    {
        // Grows by doubling, and not beyond the request where its length is known.
        const std::size_t doubled = 2 * here->input.capacity();
        const std::size_t total = here->head_length + here->body_length;
        const std::size_t wanted = std::max(needed, total > 0 ? std::min(doubled, total) : 0);
        if (!this->charge(here, wanted - here->input.capacity()))
        {
            this->close(here, refusal::memory);
            return false;
        }
        here->input.reserve(wanted);
    }
    here->input.append(received);
    return this->settle(here);
}

bool async_http_server::implementation::charge(handle here, std::size_t growth)
{
    const std::size_t held =
        here->input.capacity() + here->output.capacity() + here->in_flight_bytes + growth;
    return this->context.budget->charge(here->account, held, this->loop.now());
}

bool async_http_server::implementation::settle(handle here)
{
    if (this->charge(here))
    {
        return true;
    }
    this->close(here, refusal::memory);
    return false;
}

void async_http_server::implementation::advance(handle here)
{
    if (here->awaiting_response || !here->output.empty() || here->lingering)
    {
        this->update_watch(here);
        return;
    }
    request_head head;
    bool parsed = false;
    if (here->head_length == 0)
    {
        if (!this->read_head(here, head))
        {
            return;
        }
        parsed = true;
    }
    const std::size_t total = here->head_length + here->body_length;
    if (here->input.size() < total)
    {
        return;
    }
    // The parsed head is not kept while the body arrives: many short fields take several times
    // their length.
    if (!parsed &&
        parse_request_head(here->input.substr(0, here->head_length), this->limits_of_head(), head)
            .has_value())
    {
        // The limits were lowered while the body arrived.
        this->reject(here, status_unavailable, "the limits of requests have changed",
                     refusal::body_too_large);
        return;
    }
    head.request.body = here->input.substr(here->head_length, here->body_length);
    here->in_flight_bytes = in_flight_copies * here->body_length;
    this->remove_request(here, total);
    this->dispatch(here, std::move(head.request));
}

void async_http_server::implementation::remove_request(handle here, std::size_t length)
{
    here->head_length = 0;
    here->body_length = 0;
    here->searched_length = 0;
    if (here->input.size() == length && here->input.capacity() > kept_buffer_bytes)
    {
        release(here->input);
        return;
    }
    here->input.erase(0, length);
    if (here->input.capacity() > 2 * here->input.size() + kept_buffer_bytes)
    {
        here->input.shrink_to_fit();
    }
}

head_limits async_http_server::implementation::limits_of_head() const
{
    return {this->limits.max_header_fields, this->limits.max_body_bytes};
}

bool async_http_server::implementation::read_head(handle here, request_head& head)
{
    // Skips empty lines before the request line (RFC 9112, section 2.2).
    const std::size_t blank =
        std::min(here->input.find_first_not_of(blank_characters), here->input.size());
    if (blank > 0)
    {
        here->input.erase(0, blank);
        here->searched_length = 0;
    }
    constexpr std::string_view head_end = "\r\n\r\n";
    // The end may have begun in the part that was searched before.
    const std::size_t from =
        here->searched_length - std::min(here->searched_length, head_end.size() - 1);
    const std::size_t end = here->input.find(head_end, from);
    here->searched_length = here->input.size();
    if (std::min(end, here->input.size()) > this->limits.max_header_bytes)
    {
        this->reject(here, status_header_too_large, "the request header is too large",
                     refusal::header_too_large);
        return false;
    }
    if (end == std::string::npos)
    {
        return false;
    }
    const std::size_t length = end + head_end.size();
    const std::optional<head_error> error =
        parse_request_head(here->input.substr(0, length), this->limits_of_head(), head);
    if (error.has_value())
    {
        this->reject(here, error->status, error->text, error->reason);
        return false;
    }
    here->head_length = length;
    here->body_length = head.body_length;
    here->close_after_response = !head.keep_alive;
    if (head.expects_continue)
    {
        here->output += "HTTP/1.1 100 Continue\r\n\r\n";
        return this->flush(here);
    }
    return true;
}

void async_http_server::implementation::dispatch(handle here, server_request request)
{
    ++this->pending;
    here->awaiting_response = true;
    const std::uint64_t number = ++here->request_number;
    const std::uint64_t id = here->id;
    const std::weak_ptr<implementation> self = this->shared_from_this();
    // Its outcome may depend on the store, so it is not closed to make room.
    this->context.budget->set_closable(here->account, false);
    const auto respond = [self, id, number](const server_response& response)
    {
        if (const auto alive = self.lock())
        {
            alive->on_response(id, number, response);
        }
    };
    if (!this->charge(here))
    {
        this->note(refusal::memory);
        server_response refused = plain_error(status_unavailable, "too many requests at once");
        refused.headers.push_back({"Retry-After", "1"});
        respond(refused);
        return;
    }
    this->on_request(std::move(request), respond);
    this->update_watch(here);
}

void async_http_server::implementation::on_response(std::uint64_t id, std::uint64_t number,
                                                    const server_response& response)
{
    const auto found = this->by_id.find(id);
    if (found == this->by_id.end() || !found->second->awaiting_response ||
        found->second->request_number != number)
    {
        return;
    }
    const handle here = found->second;
    --this->pending;
    here->awaiting_response = false;
    here->in_flight_bytes = 0;
    this->context.budget->set_closable(here->account, true);
    this->restart_clock(here);
    here->close_after_response =
        here->close_after_response || this->draining || response.close_connection;
    here->output += serialize_response(response, !here->close_after_response);
    if (this->flush(here) && !here->close_after_response)
    {
        this->resume(here);
    }
}

void async_http_server::implementation::resume(handle here)
{
    if (here->input.empty() || !here->output.empty() || here->will_resume ||
        here->awaiting_response || here->lingering)
    {
        return;
    }
    here->will_resume = true;
    // Deferred to a timer: advance() may be on the call stack.
    const std::weak_ptr<implementation> self = this->shared_from_this();
    this->loop.run_after(core::milliseconds{0},
                         [self, id = here->id]
                         {
                             const auto alive = self.lock();
                             if (alive == nullptr)
                             {
                                 return;
                             }
                             const auto found = alive->by_id.find(id);
                             if (found != alive->by_id.end())
                             {
                                 found->second->will_resume = false;
                                 alive->advance(found->second);
                             }
                         });
}

void async_http_server::implementation::reject(handle here, int status, const std::string& text,
                                               refusal reason)
{
    this->note(reason);
    here->close_after_response = true;
    here->lingering = true;
    here->head_length = 0;
    here->body_length = 0;
    release(here->input);
    this->restart_clock(here);
    here->output += serialize_response(plain_error(status, text), false);
    static_cast<void>(this->flush(here));
}

bool async_http_server::implementation::flush(handle here)
{
    const std::size_t unsent = here->output.size();
    try
    {
        send_some(here->socket, here->output);
    }
    catch (const Poco::Exception&)
    {
        this->close(here);
        return false;
    }
    this->context.budget->add_progress(here->account, unsent - here->output.size(),
                                       this->loop.now());
    if (here->output.empty() && here->lingering && !here->peer_finished)
    {
        return this->begin_lingering(here);
    }
    const bool finished = here->output.empty() && !here->awaiting_response &&
                          (here->close_after_response || here->peer_finished);
    if (finished)
    {
        this->close(here);
        return false;
    }
    if (here->output.size() > max_unsent_bytes)
    {
        this->close(here, refusal::answer_not_read);
        return false;
    }
    if (here->output.empty() && here->output.capacity() > kept_buffer_bytes)
    {
        release(here->output);
    }
    if (!this->settle(here))
    {
        return false;
    }
    this->update_watch(here);
    if (unsent > 0 && here->output.empty())
    {
        this->resume(here);
    }
    return true;
}

void async_http_server::implementation::update_watch(handle here)
{
    const bool reads = !here->peer_finished && here->output.empty() &&
                       !(here->awaiting_response && !here->input.empty());
    const std::uint32_t wanted =
        (reads ? EPOLLIN | EPOLLRDHUP : 0U) | (here->output.empty() ? 0U : std::uint32_t{EPOLLOUT});
    if (wanted != here->watched_events && !here->closed)
    {
        here->watched_events = wanted;
        this->loop.update_watch(descriptor_of(here->socket), wanted);
    }
}

bool async_http_server::implementation::begin_lingering(handle here)
{
    try
    {
        here->socket.shutdownSend();
    }
    catch (const Poco::Exception&)
    {
        this->close(here);
        return false;
    }
    release(here->output);
    here->watched_events = EPOLLIN;
    this->loop.update_watch(descriptor_of(here->socket), EPOLLIN);
    return this->settle(here);
}

} // namespace chicorylift::net
