#pragma once

#include "base/clock.h"
#include "fleet/owner_record.h"

#include <map>
#include <optional>
#include <string>

namespace galenaroad {

/// A heartbeat of the upstream beside this daemon.
struct upstream_heartbeat {
    std::string id;
    std::string service;
    std::string address; ///< IP address and port of the upstream.
    int slots = 1;       ///< Requests that it executes concurrently.
    bool is_draining = false;
    std::uint64_t sequence = 0;      ///< Increases with each heartbeat since one start.
    std::uint64_t start_time_ms = 0; ///< Unix time of its start; 0 when not reported.
    std::chrono::milliseconds warmup_remaining{0};
};

/// What a heartbeat or a departure changed.
enum class lifecycle_change {
    none,     ///< Nothing that peers need to be informed of.
    stale,    ///< It was older than the known state and has been ignored.
    joined,   ///< A new start of an upstream.
    draining, ///< The upstream has announced that it will leave.
    left,     ///< The upstream has left.
};

/// Tracks which upstream runs beside this daemon, from heartbeats that may be late, repeated or
/// sent by an earlier start of the upstream, and from the last record of an earlier start of this
/// daemon.
///
/// An announcement that an upstream leaves is final for that start of the upstream: no later or
/// delayed heartbeat of the same start revokes it, also not after a restart of the daemon. A daemon
/// that has just started does not know yet what an earlier start has acknowledged, and gives the
/// upstream no request until it does.
class upstream_lifecycle {
public:
    /// Called when the daemon starts: no upstream serves until finish_restore().
    void begin_restore() { m_is_restoring = true; }

    /// Restores the state that an earlier start of this daemon announced. May be called at any time
    /// and with outdated records, of which only departures take effect.
    /// @param record one of its records.
    void restore(const owner_record& record);

    /// Called when the last record of an earlier start has been restored, or there is none.
    void finish_restore() { m_is_restoring = false; }

    /// @return true while the state that an earlier start announced is not known.
    bool is_restoring() const { return m_is_restoring; }

    /// Handles a heartbeat.
    /// @param heartbeat the heartbeat.
    /// @return what it changed.
    lifecycle_change on_heartbeat(const upstream_heartbeat& heartbeat);

    /// Handles the announcement that an upstream leaves at once, without draining.
    /// @param id the upstream.
    /// @param now the current wall-clock time; ends all earlier starts of an upstream whose start
    /// time is not known.
    /// @return what it changed.
    lifecycle_change on_departure(const std::string& id, system_time now);

    /// @return the upstream that accepts requests now, or null.
    const upstream_heartbeat* serving() const;

    /// @return the state to announce.
    announced_state state() const { return m_state; }

    /// @return the latest heartbeat of the current upstream; its id is empty when there was none.
    const upstream_heartbeat& latest() const { return m_latest; }

private:
    bool is_stale(const upstream_heartbeat& heartbeat) const;
    bool has_ended(const upstream_heartbeat& heartbeat) const;
    void record_end(const std::string& id, std::uint64_t start_time_ms);

    upstream_heartbeat m_latest;
    announced_state m_state = announced_state::none;
    bool m_is_restoring = false;
    std::uint64_t m_restored_revision = 0; ///< Highest one of the restored records.
    bool m_has_heartbeat = false;          ///< A heartbeat has arrived since this daemon started.
    /// Latest start time of each upstream that has announced its departure, by its id.
    std::map<std::string, std::uint64_t> m_ended_starts;
};

} // namespace galenaroad
