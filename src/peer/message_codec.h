#pragma once

#include "membership/gossip_message.h"
#include "model/contract_version.h"

#include <vector>

namespace galenaroad {

class name_pool;

namespace peer {
class ContractRequest;
class GossipMessage;
class MemberRequest;
class SynchroniseRequest;
class SynchroniseResponse;
} // namespace peer

/// Converts between the messages of membership and configuration and their protobuf form. Decoding
/// leaves out parts that are not valid, as a newer or faulty peer may send them.
class message_codec {
public:
    /// @param names shares service and data centre names; must outlive the codec.
    explicit message_codec(name_pool& names) : m_names(names) {}

    /// @param message a gossip message.
    /// @return its protobuf form.
    static peer::GossipMessage encode(const gossip_message& message);

    /// @param request an exchange of members.
    /// @return its protobuf form.
    static peer::SynchroniseRequest encode(const member_request& request);

    /// @param request an exchange of contracts.
    /// @return its protobuf form.
    static peer::SynchroniseRequest encode(const contract_request& request);

    /// Splits a response into pieces for the response stream, each below gRPC's message limit.
    /// @param response a response; the receiver merges each piece by itself.
    static std::vector<peer::SynchroniseResponse> encode(const member_response& response);

    /// Splits a response into pieces for the response stream, each below gRPC's message limit.
    /// @param response a response; the receiver merges each piece by itself.
    static std::vector<peer::SynchroniseResponse> encode(const contract_response& response);

    /// @param message the protobuf form.
    gossip_message decode(const peer::GossipMessage& message) const;

    /// @param request the protobuf form.
    member_request decode(const peer::MemberRequest& request) const;

    /// @param request the protobuf form.
    static contract_request decode(const peer::ContractRequest& request);

    /// @param piece a piece of a response.
    /// @return its part about members.
    member_response decode_members(const peer::SynchroniseResponse& piece) const;

    /// @param piece a piece of a response.
    /// @return its part about contracts.
    static contract_response decode_contracts(const peer::SynchroniseResponse& piece);

private:
    name_pool& m_names;
};

} // namespace galenaroad
