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
    int slots = 1;       ///< Requests that it runs at the same time.
    bool is_draining = false;
    std::uint64_t sequence = 0;      ///< Increases with each heartbeat of one start.
    std::uint64_t start_time_ms = 0; ///< Unix time of its start; 0 when not told.
    std::chrono::milliseconds warmup_remaining{0};
};

/// What a heartbeat or a departure changed.
enum class lifecycle_change {
    none,     ///< Nothing that peers need to know.
    stale,    ///< It was older than what is known and has been ignored.
    joined,   ///< A new start of an upstream.
    draining, ///< The upstream has announced that it leaves.
    left,     ///< The upstream has left.
};

/// Decides which upstream runs beside this daemon, from heartbeats that may be late, repeated or
/// sent by an earlier start, and from what an earlier start of this daemon announced.
///
/// An announcement that an upstream leaves is final for its start: no later or delayed heartbeat
/// of the same start takes it back.
class upstream_lifecycle {
public:
    /// Takes over what an earlier start of this daemon announced.
    /// @param record its last record.
    void restore(const owner_record& record);

    /// Takes a heartbeat.
    /// @param beat the heartbeat.
    /// @return what it changed.
    lifecycle_change on_heartbeat(const upstream_heartbeat& heartbeat);

    /// Takes the announcement that an upstream leaves without having drained.
    /// @param id the upstream.
    /// @param now the time of day, for an upstream whose start is not known.
    /// @return what it changed.
    lifecycle_change on_departure(const std::string& id, system_time now);

    /// @return the upstream that takes work now, or null.
    const upstream_heartbeat* serving() const;

    /// @return the state to announce.
    announced_state state() const { return m_state; }

    /// @return the latest heartbeat of the current upstream; its id is empty when there was none.
    const upstream_heartbeat& latest() const { return m_latest; }

private:
    bool is_stale(const upstream_heartbeat& heartbeat) const;
    void record_end(const std::string& id, std::uint64_t start_time_ms);

    upstream_heartbeat m_latest;
    announced_state m_state = announced_state::none;
    bool m_has_heartbeat = false; ///< A heartbeat has arrived since this daemon started.
    /// Latest start of each upstream that has announced its end.
    std::map<std::string, std::uint64_t> m_ended_starts;
};

} // namespace galenaroad
