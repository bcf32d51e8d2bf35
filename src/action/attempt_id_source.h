#pragma once

#include "action/daemon_identity.h"
#include "base/random_engine.h"

#include <cstdint>
#include <mutex>
#include <string>

namespace galenaroad {

/// Generates attempt ids that are unique in the fleet. Thread-safe.
class attempt_id_source {
public:
    /// @param daemon the daemon that dispatches the attempts.
    /// @param random a seeded engine. Its numbers make the ids unique even when two daemons are
    /// started with the same name and incarnation by mistake.
    attempt_id_source(daemon_identity daemon, random_engine random);

    /// @return a new attempt id, as `<instance>-<incarnation>-<serial>-<random>`.
    std::string next();

    /// @return the daemon that dispatches the attempts.
    const daemon_identity& daemon() const { return m_daemon; }

private:
    const daemon_identity m_daemon;
    std::mutex m_mutex;
    random_engine m_random;
    std::uint64_t m_serial = 0;
};

} // namespace galenaroad
