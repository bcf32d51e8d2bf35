#include "peer/message_codec.h"

#include "membership/name_pool.h"
#include "peer.pb.h"
#include "peer/record_codec.h"

#include <algorithm>

namespace galenaroad {

namespace {

// gRPC accepts messages up to 4 MB by default. A member's record is about 600 bytes.
constexpr std::size_t members_per_piece = 1000;
constexpr std::size_t piece_bytes = 1U << 20U;

template <typename Records, typename Wire>
void encode_all(const Records& records, Wire* wire)
{
    for (const auto& each : records) {
        encode_record(each, *wire->Add());
    }
}

template <typename Record, typename Wire>
void decode_all(const Wire& wire, std::vector<Record>& records)
{
    for (const auto& each : wire) {
        records.push_back(decode_record(each));
    }
}

void decode_all(const google::protobuf::RepeatedPtrField<peer::StateChange>& wire,
                std::vector<state_change>& records)
{
    for (const auto& each : wire) {
        if (auto change = decode_record(each)) {
            records.push_back(std::move(*change));
        }
    }
}

void decode_all(const google::protobuf::RepeatedPtrField<peer::MemberRecord>& wire,
                std::vector<member>& records, name_pool& names)
{
    for (const auto& each : wire) {
        if (auto known = decode_record(each, names)) {
            records.push_back(std::move(*known));
        }
    }
}

peer::GossipMessage::Type encode_type(gossip_type type)
{
    switch (type) {
    case gossip_type::ping:
        return peer::GossipMessage::PING;
    case gossip_type::indirect_ping:
        return peer::GossipMessage::INDIRECT_PING;
    case gossip_type::acknowledgement:
        return peer::GossipMessage::ACKNOWLEDGEMENT;
    case gossip_type::update:
        break;
    }
    return peer::GossipMessage::UPDATE;
}

gossip_type decode_type(peer::GossipMessage::Type type)
{
    switch (type) {
    case peer::GossipMessage::PING:
        return gossip_type::ping;
    case peer::GossipMessage::INDIRECT_PING:
        return gossip_type::indirect_ping;
    case peer::GossipMessage::ACKNOWLEDGEMENT:
        return gossip_type::acknowledgement;
    default:
        return gossip_type::update;
    }
}

void encode_summary(const member_response& response, peer::MemberResponse& wire)
{
    for (const auto& each : response.differing) {
        auto& version = *wire.add_differing();
        version.set_name(each.name);
        version.set_incarnation(each.incarnation);
        version.set_version(each.version);
        version.set_content_version(each.content_version);
    }
    wire.set_bucket_count(response.bucket_count);
    wire.mutable_buckets()->Add(response.buckets.begin(), response.buckets.end());
    encode_all(response.changes, wire.mutable_changes());
    encode_all(response.ejections, wire.mutable_ejections());
}

void encode_summary(const contract_response& response, peer::ContractResponse& wire)
{
    encode_all(response.differing, wire.mutable_differing());
    wire.set_bucket_count(response.bucket_count);
    wire.mutable_buckets()->Add(response.buckets.begin(), response.buckets.end());
}

} // namespace

peer::GossipMessage message_codec::encode(const gossip_message& message)
{
    peer::GossipMessage wire;
    wire.set_type(encode_type(message.type));
    wire.set_sequence(message.sequence);
    wire.set_sender(message.sender);
    wire.set_sender_address(message.sender_address);
    wire.set_target(message.target);
    wire.set_target_address(message.target_address);
    wire.set_contracts_fingerprint(message.contracts_fingerprint);
    auto& updates = *wire.mutable_updates();
    encode_all(message.updates.members, updates.mutable_members());
    encode_all(message.updates.changes, updates.mutable_changes());
    encode_all(message.updates.contracts, updates.mutable_contracts());
    encode_all(message.updates.ejections, updates.mutable_ejections());
    return wire;
}

peer::SynchroniseRequest message_codec::encode(const member_request& request)
{
    peer::SynchroniseRequest wire;
    auto& members = *wire.mutable_members();
    if (request.sender.record) {
        encode_record(request.sender, *members.mutable_sender());
    }
    members.set_everything(request.everything);
    members.mutable_digest()->Add(request.digest.begin(), request.digest.end());
    members.mutable_wanted()->Assign(request.wanted.begin(), request.wanted.end());
    for (const auto& each : request.wanted_rows) {
        auto& service = *members.add_wanted_rows();
        service.set_business(each.business);
        service.set_service(each.service);
    }
    encode_all(request.pushed, members.mutable_pushed());
    return wire;
}

peer::SynchroniseRequest message_codec::encode(const contract_request& request)
{
    peer::SynchroniseRequest wire;
    auto& contracts = *wire.mutable_contracts();
    contracts.set_everything(request.everything);
    contracts.mutable_digest()->Add(request.digest.begin(), request.digest.end());
    encode_all(request.wanted, contracts.mutable_wanted());
    return wire;
}

std::vector<peer::SynchroniseResponse> message_codec::encode(const member_response& response)
{
    std::vector<peer::SynchroniseResponse> pieces(1);
    encode_summary(response, *pieces.back().mutable_members());
    std::size_t in_piece = 0;
    for (const auto& each : response.members) {
        if (in_piece == members_per_piece) {
            pieces.emplace_back();
            in_piece = 0;
        }
        encode_record(each, *pieces.back().mutable_members()->add_members());
        ++in_piece;
    }
    return pieces;
}

std::vector<peer::SynchroniseResponse> message_codec::encode(const contract_response& response)
{
    std::vector<peer::SynchroniseResponse> pieces(1);
    encode_summary(response, *pieces.back().mutable_contracts());
    std::size_t in_piece = 0;
    for (const auto& each : response.contracts) {
        if (in_piece > 0 && in_piece + each.body.size() > piece_bytes) {
            pieces.emplace_back();
            in_piece = 0;
        }
        auto& record = *pieces.back().mutable_contracts()->add_contracts();
        record.set_business(each.head.business);
        record.set_version(each.head.version);
        record.set_body(each.body);
        in_piece += each.body.size();
    }
    for (auto& each : pieces) {
        each.mutable_contracts()->set_everything(response.everything);
        each.mutable_contracts()->set_ready(response.ready);
    }
    pieces.back().mutable_contracts()->set_complete(response.complete);
    return pieces;
}

gossip_message message_codec::decode(const peer::GossipMessage& wire) const
{
    gossip_message message;
    message.type = decode_type(wire.type());
    message.sequence = wire.sequence();
    message.sender = wire.sender();
    message.sender_address = wire.sender_address();
    message.target = wire.target();
    message.target_address = wire.target_address();
    message.contracts_fingerprint = wire.contracts_fingerprint();
    decode_all(wire.updates().members(), message.updates.members, m_names);
    decode_all(wire.updates().changes(), message.updates.changes);
    decode_all(wire.updates().contracts(), message.updates.contracts);
    decode_all(wire.updates().ejections(), message.updates.ejections);
    return message;
}

member_request message_codec::decode(const peer::MemberRequest& wire) const
{
    member_request request;
    if (auto sender = decode_record(wire.sender(), m_names)) {
        request.sender = std::move(*sender);
    }
    request.everything = wire.everything();
    request.digest.assign(wire.digest().begin(), wire.digest().end());
    request.wanted.assign(wire.wanted().begin(), wire.wanted().end());
    for (const auto& each : wire.wanted_rows()) {
        request.wanted_rows.push_back({each.business(), each.service()});
    }
    decode_all(wire.pushed(), request.pushed, m_names);
    return request;
}

contract_request message_codec::decode(const peer::ContractRequest& wire)
{
    contract_request request;
    request.everything = wire.everything();
    request.digest.assign(wire.digest().begin(), wire.digest().end());
    decode_all(wire.wanted(), request.wanted);
    return request;
}

member_response message_codec::decode_members(const peer::SynchroniseResponse& piece) const
{
    const auto& wire = piece.members();
    member_response response;
    decode_all(wire.members(), response.members, m_names);
    for (const auto& each : wire.differing()) {
        response.differing.push_back(
            {each.name(), each.incarnation(), each.version(), each.content_version()});
    }
    response.bucket_count = wire.bucket_count();
    response.buckets.assign(wire.buckets().begin(), wire.buckets().end());
    decode_all(wire.changes(), response.changes);
    decode_all(wire.ejections(), response.ejections);
    return response;
}

contract_response message_codec::decode_contracts(const peer::SynchroniseResponse& piece)
{
    const auto& wire = piece.contracts();
    contract_response response;
    response.everything = wire.everything();
    for (const auto& each : wire.contracts()) {
        response.contracts.push_back({{each.business(), each.version()}, each.body()});
    }
    decode_all(wire.differing(), response.differing);
    response.bucket_count = wire.bucket_count();
    response.buckets.assign(wire.buckets().begin(), wire.buckets().end());
    response.ready = wire.ready();
    response.complete = wire.complete();
    return response;
}

} // namespace galenaroad
