#pragma once

#include "net/byte_channel.h"
#include "support/free_address.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace galenaroad {

/// A faulty backend server that responds to each request with bytes chosen by the test.
class scripted_upstream {
public:
    /// Response to one request.
    struct response {
        std::string bytes;
        bool closes = false; ///< Closes the connection gracefully after the bytes.
    };

    /// @param loop the loop; must outlive the server.
    /// @param script called with the number of the request, starting at 0; returns the response.
    scripted_upstream(event_loop& loop, std::function<response(int)> script)
        : m_loop(loop), m_script(std::move(script)), m_socket(Poco::Net::SocketAddress(m_address))
    {
        m_socket.setBlocking(false);
        m_loop.watch(m_socket, socket_interest::read, [this](auto) { accept(); });
    }

    scripted_upstream(const scripted_upstream&) = delete;
    scripted_upstream& operator=(const scripted_upstream&) = delete;
    scripted_upstream(scripted_upstream&&) = delete;
    scripted_upstream& operator=(scripted_upstream&&) = delete;

    ~scripted_upstream()
    {
        m_loop.unwatch(m_socket);
        for (const auto& each : m_channels) {
            each->reset();
        }
    }

    /// @return its address.
    const std::string& address() const { return m_address; }

    /// @return number of requests that have arrived.
    int requests() const { return m_requests; }

private:
    void accept()
    {
        const auto channel = byte_channel::accept(m_loop, m_socket.acceptConnection());
        m_channels.push_back(channel);
        byte_channel::hooks callbacks;
        const std::weak_ptr<byte_channel> weak = channel;
        callbacks.received = [this, weak](std::string_view bytes) {
            const auto target = weak.lock();
            // The requests of these tests arrive in one piece.
            if (target && bytes.find("\r\n\r\n") != std::string_view::npos) {
                respond(*target);
            }
        };
        channel->set_hooks(std::move(callbacks));
    }

    void respond(byte_channel& channel)
    {
        const auto chosen = m_script(m_requests++);
        channel.send(chosen.bytes);
        if (chosen.closes) {
            channel.close();
        }
    }

    event_loop& m_loop;
    std::function<response(int)> m_script;
    std::string m_address = free_address();
    Poco::Net::ServerSocket m_socket;
    std::vector<std::shared_ptr<byte_channel>> m_channels;
    int m_requests = 0;
};

} // namespace galenaroad
