#pragma once

#include "net/byte_channel.h"

#include <Poco/Net/ServerSocket.h>
#include <memory>
#include <set>
#include <string>

namespace galenaroad {

/// A faulty backend server: its responses start with a prefix and repeat other bytes until the
/// client closes the connection.
class endless_upstream {
public:
    /// Response to each request.
    struct response {
        std::string prefix;
        std::string repeated;
        std::chrono::milliseconds pause{0}; ///< Before each repetition; zero to send at full speed.
    };

    /// @param loop the loop; must outlive the server.
    /// @param sent the response.
    endless_upstream(event_loop& loop, response sent);
    endless_upstream(const endless_upstream&) = delete;
    endless_upstream& operator=(const endless_upstream&) = delete;
    endless_upstream(endless_upstream&&) = delete;
    endless_upstream& operator=(endless_upstream&&) = delete;
    ~endless_upstream();

    /// @return its address.
    const std::string& address() const { return m_address; }

    /// @return number of connections that the client has not closed.
    std::size_t open() const { return m_channels.size(); }

    /// @return number of bytes sent, including those in system buffers.
    std::size_t sent() const { return m_sent; }

private:
    void accept();
    void serve(const std::shared_ptr<byte_channel>& channel);
    void repeat(const std::shared_ptr<byte_channel>& channel);
    bool is_open(const std::shared_ptr<byte_channel>& channel) const;

    event_loop& m_loop;
    response m_response;
    std::string m_address;
    Poco::Net::ServerSocket m_socket;
    std::set<std::shared_ptr<byte_channel>> m_channels; ///< Not closed by the clients.
    std::size_t m_sent = 0;
};

} // namespace galenaroad
