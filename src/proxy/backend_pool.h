#pragma once

#include "base/clock.h"
#include "proxy/backend_connection.h"

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace galenaroad {

/// Idle connections to the backend servers of this instance. Thread-safe.
///
/// Only a connection whose last exchange was complete comes back; all others are destroyed by
/// their user, so no late part of a response can reach another request.
class backend_pool {
public:
    /// Backend servers close idle connections themselves after some seconds; a shorter limit here
    /// avoids sending a request on a connection that is being closed.
    static constexpr auto max_idle_time = std::chrono::seconds(4);

    /// @param time the clock; must outlive this object.
    /// @param max_idle_per_address idle connections to keep per backend server.
    backend_pool(const clock& time, std::size_t max_idle_per_address);

    /// Takes an idle connection.
    /// @param address the backend server.
    /// @return a connection with `reused` set, or null when none is usable.
    std::unique_ptr<backend_connection> take_idle(const std::string& address);

    /// Returns a connection after a complete exchange.
    /// @param connection the connection.
    void give_back(std::unique_ptr<backend_connection> connection);

    /// Closes the idle connections to a backend server that has left or failed.
    /// @param address the backend server.
    void forget(const std::string& address);

private:
    using idle_list = std::vector<std::unique_ptr<backend_connection>>;

    std::unique_ptr<backend_connection> take_latest(const std::string& address);

    const clock& m_clock;
    std::size_t m_max_idle;
    std::mutex m_mutex;
    std::map<std::string, idle_list> m_idle;
};

} // namespace galenaroad
