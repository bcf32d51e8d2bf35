#pragma once

#include "net/event_loop.h"

#include <Poco/Net/StreamSocket.h>
#include <functional>
#include <map>
#include <string>

namespace galenaroad {

/// Finds out whether the process of another daemon has ended: its instance then refuses a
/// connection. No response means nothing.
class absence_prober {
public:
    /// Called with a daemon that does not run.
    using absence_handler = std::function<void(const std::string& address, steady_time asked_at)>;

    /// @param loop the event loop; must outlive the prober.
    /// @param on_absent called with each daemon whose connection was refused.
    absence_prober(event_loop& loop, absence_handler on_absent);
    absence_prober(const absence_prober&) = delete;
    absence_prober& operator=(const absence_prober&) = delete;
    absence_prober(absence_prober&&) = delete;
    absence_prober& operator=(absence_prober&&) = delete;
    ~absence_prober();

    /// Begins to connect to a daemon, unless that was done a short time ago.
    /// @param address IP address and port where it listens for other daemons.
    void probe(const std::string& address);

private:
    struct open_probe {
        Poco::Net::StreamSocket socket;
        steady_time asked_at;
        bool is_open = false;
    };

    void on_ready(const std::string& address);
    void close(open_probe& probe);
    void remove_old();

    event_loop& m_loop;
    absence_handler m_on_absent;
    std::map<std::string, open_probe> m_probes; ///< The latest of each daemon.
};

} // namespace galenaroad
