#include "proxy/backend_connection.h"

#include <Poco/Net/HTTPHeaderStream.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>

namespace galenaroad {

namespace {

Poco::Timespan to_timespan(std::chrono::milliseconds time)
{
    return {static_cast<Poco::Timespan::TimeDiff>(
        std::chrono::duration_cast<std::chrono::microseconds>(time).count())};
}

constexpr auto send_timeout = std::chrono::milliseconds(10'000);
constexpr int min_interim_status = 100;
constexpr int min_final_status = 200;
constexpr int max_final_status = 599;
// A server that sends them without end would hold the call beyond its deadline.
constexpr int max_interim_responses = 16;

} // namespace

backend_connection::backend_connection(const std::string& address)
    : Poco::Net::HTTPClientSession(Poco::Net::SocketAddress(address)), m_address(address)
{
    setKeepAlive(true);
}

bool backend_connection::open(std::chrono::milliseconds timeout)
{
    try {
        setTimeout(to_timespan(timeout), to_timespan(send_timeout), to_timespan(send_timeout));
        reconnect();
        return true;
    }
    catch (const Poco::Exception&) {
        return false;
    }
}

void backend_connection::send_head(Poco::Net::HTTPRequest& request)
{
    m_body = &sendRequest(request);
}

bool backend_connection::send_body(const char* bytes, std::size_t size)
{
    m_body->write(bytes, static_cast<std::streamsize>(size));
    return m_body->good();
}

bool backend_connection::finish_request()
{
    m_body = nullptr;
    flushRequest();
    return networkException() == nullptr;
}

int backend_connection::write(const char* buffer, std::streamsize length)
{
    // HTTPClientSession::write() would reconnect on its own when the connection is closed.
    return HTTPSession::write(buffer, length); // NOLINT(bugprone-parent-virtual-call)
}

bool backend_connection::wait_readable(std::chrono::milliseconds wait)
{
    if (buffered() > 0) {
        return true;
    }
    return socket().poll(to_timespan(wait), Poco::Net::Socket::SELECT_READ);
}

bool backend_connection::receive_head(Poco::Net::HTTPResponse& response)
{
    for (int count = 0; count <= max_interim_responses; ++count) {
        read_head(response);
        const int status = response.getStatus();
        if (status >= min_final_status) {
            return status <= max_final_status;
        }
        // No request asks for another protocol.
        if (status < min_interim_status ||
            status == Poco::Net::HTTPResponse::HTTP_SWITCHING_PROTOCOLS) {
            return false;
        }
    }
    return false;
}

// HTTPClientSession::receiveResponse() would skip `100 Continue` for as long as it arrives.
void backend_connection::read_head(Poco::Net::HTTPResponse& response)
{
    response.clear();
    Poco::Net::HTTPHeaderInputStream head(*this);
    try {
        response.read(head);
    }
    catch (const Poco::Exception&) {
        if (networkException() != nullptr) {
            networkException()->rethrow();
        }
        throw;
    }
}

void backend_connection::abandon()
{
    try {
        abort();
    }
    catch (const Poco::Exception&) {
        // The connection is already closed.
        return;
    }
}

bool backend_connection::has_stray_input()
{
    try {
        return !connected() || wait_readable(std::chrono::milliseconds(0));
    }
    catch (const Poco::Exception&) {
        return true;
    }
}

void backend_connection::limit_wait(std::chrono::milliseconds wait)
{
    socket().setReceiveTimeout(to_timespan(wait));
}

int backend_connection::next_byte()
{
    return get();
}

int backend_connection::read_bytes(char* buffer, int capacity)
{
    return HTTPClientSession::read(buffer, capacity);
}

} // namespace galenaroad
