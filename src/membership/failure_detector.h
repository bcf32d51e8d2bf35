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

/// A message that the failure detector wants to be sent; updates are added by membership.
struct detector_message {
    std::string address;
    gossip_message message;
};

/// What an acknowledgement showed.
struct ping_outcome {
    std::string member;
    bool link_changed = false; ///< Whether the link to the member was marked or unmarked by it.
    bool direct = false;       ///< Whether the member answered this daemon itself.
};

/// Pings members in shuffled order, asks others to ping those that do not answer, and reports those
/// that answer nobody.
class failure_detector {
public:
    /// @param settings the times of the protocol.
    /// @param members the members to ping; must outlive the detector.
    /// @param location where the own instance stands.
    /// @param engine the random engine; must outlive the detector.
    failure_detector(const membership_settings& settings, const member_table& members,
                     data_centre location, random_engine& engine);

    /// Sends the pings that are due.
    /// @param now the time.
    /// @return the messages to send.
    std::vector<detector_message> tick(steady_time now);

    /// Takes the members whose pings failed since the last call.
    /// @return their slots.
    std::vector<member_table::slot> take_failed();

    /// Pings for another member.
    /// @param request the indirect ping.
    /// @param now the time.
    /// @return the ping to send.
    detector_message relay(const gossip_message& request, steady_time now);

    /// Handles an acknowledgement.
    /// @param message the acknowledgement.
    /// @param forward set to the acknowledgement to pass on when the ping was for another member.
    /// @return what it showed, if it belongs to a ping of this daemon.
    std::optional<ping_outcome> acknowledged(const gossip_message& message,
                                             std::optional<detector_message>& forward);

    /// Drops all pings under way, after this daemon itself was paused.
    void reset();

private:
    struct probe {
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
    void ask_others(std::uint64_t sequence, const probe& waiting, messages& out);
    void check_probes(steady_time now, messages& out);

    const membership_settings& m_settings;
    const member_table& m_members;
    data_centre m_location;
    random_engine& m_random;
    std::vector<member_table::slot> m_order;
    std::size_t m_position = 0;
    std::map<std::uint64_t, probe> m_probes;
    std::map<std::uint64_t, relayed_ping> m_relays;
    std::set<std::string> m_marked_links;
    std::vector<member_table::slot> m_failed;
    std::uint64_t m_sequence = 0;
    steady_time m_next_ping;
    steady_time m_next_remote_ping;
};

} // namespace galenaroad
