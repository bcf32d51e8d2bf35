#pragma once

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <atomic>
#include <stdexcept>
#include <string>

namespace galenaroad {

/// A range of loopback ports, below those that the system gives to connections, that no other
/// process of the tests uses while this object exists. It is reserved by binding its first port.
class port_block {
public:
    static constexpr int count = 100; ///< Number of blocks.
    static constexpr int size = 220;  ///< Ports of one block, with the reserving one.

    /// @param preferred number of the block that is tried first; others are tried in order.
    /// @throw std::runtime_error when all blocks are reserved.
    explicit port_block(int preferred)
    {
        for (int tried = 0; tried < count; ++tried) {
            m_first_port = lowest_port + (preferred + tried) % count * size;
            if (try_bind(m_reservation, m_first_port, false)) {
                return;
            }
        }
        throw std::runtime_error("no free block of ports");
    }

    /// @return the port that reserves the block.
    int first_port() const { return m_first_port; }

    /// May be called by several threads.
    /// @return an address of the block at which nothing listens.
    /// @throw std::runtime_error when all ports of the block are in use.
    std::string free_address()
    {
        constexpr int usable = size - 1;
        for (int tried = 0; tried < usable; ++tried) {
            const int port = m_first_port + 1 + m_next++ % usable;
            Poco::Net::ServerSocket socket;
            if (try_bind(socket, port, true)) {
                return address_of(port);
            }
        }
        throw std::runtime_error("no free port");
    }

private:
    static constexpr int lowest_port = 10000;

    static std::string address_of(int port) { return "127.0.0.1:" + std::to_string(port); }

    static bool try_bind(Poco::Net::ServerSocket& socket, int port, bool reuses_address)
    {
        try {
            socket.bind(Poco::Net::SocketAddress(address_of(port)), reuses_address, false);
            return true;
        }
        catch (const Poco::Exception&) {
            return false;
        }
    }

    Poco::Net::ServerSocket m_reservation;
    int m_first_port = 0;
    std::atomic<int> m_next{0};
};

} // namespace galenaroad
