#pragma once

#include "base/clock.h"
#include "membership/member_record.h"
#include "model/contract_version.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace galenaroad {

/// Change of a member's state without its content. `alive` and `leaving` are announced by the
/// member itself, `suspect` and `dead` by other members.
struct state_change {
    std::string name;
    std::uint64_t incarnation = 0;
    std::uint64_t version = 0;
    std::uint64_t content_version = 0; ///< Version of the member's current content.
    instance_state state = instance_state::alive;
};

/// Copy of a service's row in table `ejections`. The row text is opaque here. A higher row version
/// replaces a lower one. A row without text only announces its version. The validity is sent as
/// remaining time, so that wall clocks of different hosts are never compared.
struct ejection_row_copy {
    service_id service;
    std::uint64_t row_version = 0;
    std::string row;
    std::chrono::milliseconds remaining{0};
};

/// Updates that daemons disseminate by gossip, at most 1,200 bytes in a message.
struct gossip_updates {
    std::vector<member> members;
    std::vector<state_change> changes;
    std::vector<contract_head> contracts;
    std::vector<ejection_row_copy> ejections;
};

/// Kind of a gossip message.
enum class gossip_type {
    ping,
    indirect_ping, ///< Asks the receiver to ping the target for the sender.
    acknowledgement,
    update,
};

/// Message of the membership protocol. Each is one-way: an acknowledgement is a message of its own.
struct gossip_message {
    gossip_type type = gossip_type::update;
    std::uint64_t sequence = 0;
    std::string sender;         ///< Instance name of the daemon that sent the message.
    std::string sender_address; ///< Peer address of the sender, for replies.
    std::string target;         ///< Indirect ping: name of the member to ping.
    std::string target_address;
    std::uint64_t contracts_fingerprint = 0; ///< Hash of all contract heads that the sender holds.
    gossip_updates updates;
};

/// A gossip message and the address that it goes to.
struct outgoing_gossip {
    std::string address;
    gossip_message message;
    steady_time queued; ///< When the message was composed.
};

/// The version of a member that a daemon knows, for comparison.
struct member_version {
    std::string name;
    std::uint64_t incarnation = 0;
    std::uint64_t version = 0;
    std::uint64_t content_version = 0;
};

/// First or second request of an exchange of members. A joining daemon sends no digest and asks for
/// all members. In anti-entropy the first request carries a digest; the second asks for single
/// members and pushes others.
struct member_request {
    member sender;
    bool everything = false;
    std::vector<std::uint32_t> digest; ///< Sums of a bucket_digest; empty in the second step.
    std::vector<std::string> wanted;
    std::vector<service_id> wanted_rows; ///< Services whose ejection rows are wanted.
    std::vector<member> pushed;
};

/// Response to a member_request.
struct member_response {
    std::vector<member> members;
    std::vector<member_version>
        differing;                      ///< All members in these buckets at the responding daemon.
    std::uint32_t bucket_count = 0;     ///< Size of the compared digest; zero without one.
    std::vector<std::uint32_t> buckets; ///< Indices of the buckets that differ.
    std::vector<state_change>
        changes; ///< Pushed members that the responding daemon considers dead.
    std::vector<ejection_row_copy> ejections;
};

} // namespace galenaroad
