#pragma once

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Process.h>
#include <atomic>
#include <stdexcept>
#include <string>

namespace galenaroad {

/// Hands out loopback addresses for listeners. Each process has ports of its own, below those that
/// the system gives to connections: a port that was only free a moment ago may be taken by a test
/// that runs at the same time.
/// @return an address whose port is free.
/// @throw std::runtime_error when all ports of this process are in use.
inline std::string free_address()
{
    constexpr int first_port = 10000;
    constexpr int ports_of_process = 220;
    constexpr int blocks = 100;
    static std::atomic<int> next{0}; // Fleets of threads take addresses concurrently.
    const int block = static_cast<int>(Poco::Process::id()) % blocks;
    for (int tried = 0; tried < ports_of_process; ++tried) {
        const int port = first_port + block * ports_of_process + next++ % ports_of_process;
        const auto address = "127.0.0.1:" + std::to_string(port);
        try {
            Poco::Net::ServerSocket socket;
            socket.bind(Poco::Net::SocketAddress(address), true, false);
            return address;
        }
        catch (const Poco::Exception&) {
            continue;
        }
    }
    throw std::runtime_error("no free port");
}

} // namespace galenaroad
