#pragma once

#include "standins/standin_backend_server_faults.h"
#include "standins/standin_backend_server_settings.h"

#include <condition_variable>
#include <mutex>
#include <string>
#include <thread>

namespace galenaroad {

/// Announces a backend server to the daemon of its instance until it leaves.
class standin_backend_server_announcer {
public:
    /// Time between two announcements. The daemon forgets a server after 6 s without one.
    static constexpr std::chrono::seconds interval{2};

    /// @param settings what is announced.
    /// @param address where the backend server listens.
    /// @param faults a frozen server announces nothing; must outlive the announcer.
    standin_backend_server_announcer(standin_backend_server_settings settings, std::string address,
                                     const standin_backend_server_faults& faults);
    standin_backend_server_announcer(const standin_backend_server_announcer&) = delete;
    standin_backend_server_announcer& operator=(const standin_backend_server_announcer&) = delete;
    standin_backend_server_announcer(standin_backend_server_announcer&&) = delete;
    standin_backend_server_announcer& operator=(standin_backend_server_announcer&&) = delete;
    ~standin_backend_server_announcer();

    /// Stops announcing and tells the daemon that the server leaves.
    /// @return true when the daemon confirmed.
    bool leave();

private:
    void run();
    void stop();
    bool send(const std::string& method) const;

    const standin_backend_server_settings m_settings;
    const std::string m_address;
    const standin_backend_server_faults& m_faults;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace galenaroad
