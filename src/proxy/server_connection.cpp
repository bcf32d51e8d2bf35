#include "proxy/server_connection.h"

#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/NetException.h>
#include <vector>

namespace galenaroad {

namespace {

/// Names the protected members of HTTPSession that POCO's own body streams use as friends.
class session_members : public Poco::Net::HTTPServerSession {
public:
    static constexpr auto next_byte = &session_members::get;
    static constexpr auto read_bytes = &session_members::read;
};

Poco::Timespan to_timespan(std::chrono::milliseconds time)
{
    return {static_cast<Poco::Timespan::TimeDiff>(
        std::chrono::duration_cast<std::chrono::microseconds>(time).count())};
}

} // namespace

server_connection::server_connection(Poco::Net::HTTPServerRequest& request)
    : m_session(dynamic_cast<Poco::Net::HTTPServerRequestImpl&>(request).session())
{
    m_session.socket().setSendTimeout(to_timespan(send_timeout));
    m_session.socket().setNoDelay(true);
}

void server_connection::limit_wait(std::chrono::milliseconds wait)
{
    m_session.socket().setReceiveTimeout(to_timespan(wait));
}

int server_connection::next_byte()
{
    return (m_session.*session_members::next_byte)();
}

int server_connection::read_bytes(char* buffer, int capacity)
{
    return (m_session.*session_members::read_bytes)(buffer, capacity);
}

void server_connection::discard_input()
{
    std::vector<char> buffer(std::size_t{16} * 1024);
    std::size_t discarded = 0;
    const auto end = std::chrono::steady_clock::now() + discard_time;
    try {
        m_session.socket().shutdownSend();
        limit_wait(discard_time);
        while (discarded < max_discarded_bytes && std::chrono::steady_clock::now() < end) {
            const int received = read_bytes(buffer.data(), static_cast<int>(buffer.size()));
            if (received <= 0) {
                return;
            }
            discarded += static_cast<std::size_t>(received);
        }
    }
    catch (const Poco::Exception&) {
        // The caller has closed the connection or sends too slowly.
        return;
    }
}

void server_connection::shut_down()
{
    try {
        m_session.socket().shutdown();
    }
    catch (const Poco::Exception&) {
        // The caller has closed the connection already.
        return;
    }
}

} // namespace galenaroad
