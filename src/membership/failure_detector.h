#pragma once

#include "base/clock.h"
#include "base/random_engine.h"
#include "membership/member_table.h"
#include "membership/membership_settings.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace galenaroad {

/// A message for membership to send on behalf of the failure detector; membership adds updates.
struct detector_message {
    std::string address;
    gossip_message message;
};

/// Result of an acknowledged ping.
struct ping_outcome {
    std::string member;
    bool link_changed = false; ///< Whether the link to the member became reachable or unreachable.
    bool direct = false;       ///< Whether the member acknowledged to this daemon directly.
};

/// SWIM-style failure detector: pings members in shuffled order, sends indirect pings through other
/// members when there is no acknowledgement, and reports members that did not acknowledge either.
class failure_detector {
public:
    /// @param settings the protocol's intervals and timeouts; must outlive the detector.
    /// @param members the members to ping; must outlive the detector.
    /// @param location the data centre of this daemon.
    /// @param engine the random engine; must outlive the detector.
    failure_detector(const membership_settings& settings, const member_table& members,
                     data_centre location, random_engine& engine);

    /// Sends the pings that are due.
    /// @param now the time.
    /// @return the messages to send.
    std::vector<detector_message> tick(steady_time now);

    /// @return the slots of the members whose pings failed since the last call.
    std::vector<member_table::slot> take_failed();

    /// Pings a target on behalf of another member.
    /// @param request the indirect ping request.
    /// @param now the time.
    /// @return the ping to send.
    detector_message relay(const gossip_message& request, steady_time now);

    /// Handles an acknowledgement.
    /// @param message the acknowledgement.
    /// @param forward set to the acknowledgement to forward when the ping was sent on behalf of
    /// another member.
    /// @return the result, if the acknowledgement belongs to a ping of this daemon.
    std::optional<ping_outcome> on_acknowledgement(const gossip_message& message,
                                                   std::optional<detector_message>& forward);

    /// Drops all pending pings. Called after this daemon itself was paused, when a missing
    /// acknowledgement says nothing about the member.
    void reset();

private:
    struct pending_ping {
        member_table::slot at = member_table::no_slot;
        std::string name;
        steady_time sent;
        bool indirect = false;
    };
    struct relayed_ping {
        std::string address;
        std::uint64_t sequence = 0;
        std::string target;
        steady_time sent;
    };
    using messages = std::vector<detector_message>;

    bool local(const member_entry& entry) const;
    member_table::slot next_local();
    void ping(member_table::slot at, steady_time now, messages& out);
    void send_indirect_pings(std::uint64_t sequence, const pending_ping& pending, messages& out);
    void check_pending_pings(steady_time now, messages& out);

    const membership_settings& m_settings;
    const member_table& m_members;
    data_centre m_location;
    random_engine& m_random;
    std::vector<member_table::slot> m_order;
    std::size_t m_position = 0;
    std::map<std::uint64_t, pending_ping> m_pending_pings;
    std::map<std::uint64_t, relayed_ping> m_relayed_pings;
    std::set<std::string> m_marked_links;
    std::vector<member_table::slot> m_failed;
    std::uint64_t m_sequence = 0;
    steady_time m_next_ping;
    steady_time m_next_remote_ping;
};

} // namespace galenaroad
