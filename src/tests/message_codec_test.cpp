#include "peer/message_codec.h"

#include "membership/encoded_size.h"
#include "membership/name_pool.h"
#include "membership/update_queue.h"
#include "peer.pb.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace galenaroad;
using namespace std::chrono_literals;

namespace {

std::string text()
{
    return *rc::gen::string<std::string>();
}

std::uint64_t number()
{
    return *rc::gen::arbitrary<std::uint64_t>();
}

member random_member(name_pool& names, int most_upstreams)
{
    auto record = std::make_shared<member_record>();
    record->name = "n" + std::to_string(number());
    record->peer_address = "10.1.2.3:7000";
    record->location = names.share(data_centre{"ash", "ash-1"});
    record->incarnation = number();
    record->content_version = number();
    const auto count = *rc::gen::inRange(0, most_upstreams + 1);
    for (int i = 0; i < count; ++i) {
        const service_id service{"business-" + std::to_string(i % 3), "s" + std::to_string(i % 5)};
        record->upstreams.push_back({"upstream-" + std::to_string(i), names.share(service), 65535,
                                     65535, upstream_state::leaving});
    }
    return {record, number(), instance_state::leaving};
}

gossip_updates random_updates(name_pool& names)
{
    gossip_updates updates;
    updates.members.push_back(random_member(names, 11));
    updates.changes.push_back({"m", number(), number(), number(), instance_state::suspect});
    updates.contracts.push_back({"tetteh", number()});
    updates.ejections.push_back({{"tetteh", "finder"}, number(), "{}", 29000ms});
    return updates;
}

bool same_member(const member& a, const member& b)
{
    const auto x = to_instance(a);
    const auto y = to_instance(b);
    bool same = x.name == y.name && x.peer_address == y.peer_address && x.location == y.location &&
                x.incarnation == y.incarnation && x.version == y.version && x.state == y.state &&
                a.record->content_version == b.record->content_version &&
                x.upstreams.size() == y.upstreams.size();
    for (std::size_t i = 0; same && i < x.upstreams.size(); ++i) {
        const auto& p = x.upstreams[i];
        const auto& q = y.upstreams[i];
        same = p.id == q.id && p.service == q.service && p.slots == q.slots &&
               p.connections == q.connections && p.state == q.state;
    }
    return same;
}

} // namespace

TEST_CASE("message_codec: messages survive the way", "[peer]")
{
    // Guards against a field that is lost or mixed up between the model and the wire.
    CHECK(rc::check("gossip messages and member requests", [] {
        name_pool names;
        const message_codec codec(names);
        gossip_message message;
        message.type = gossip_type::indirect_ping;
        message.sequence = number();
        message.sender = "a";
        message.sender_address = "b";
        message.target = "c";
        message.target_address = "d";
        message.contracts_fingerprint = number();
        message.updates = random_updates(names);
        const auto back = codec.decode(message_codec::encode(message));
        RC_ASSERT(back.type == message.type);
        RC_ASSERT(back.sequence == message.sequence);
        RC_ASSERT(back.sender + back.sender_address + back.target + back.target_address == "abcd");
        RC_ASSERT(back.contracts_fingerprint == message.contracts_fingerprint);
        RC_ASSERT(same_member(back.updates.members.at(0), message.updates.members[0]));
        RC_ASSERT(back.updates.changes.at(0).version == message.updates.changes[0].version);
        RC_ASSERT(back.updates.changes[0].state == instance_state::suspect);
        RC_ASSERT(back.updates.contracts.at(0) == message.updates.contracts[0]);
        RC_ASSERT(back.updates.ejections.at(0).remaining.count() == 29000);
    }));
}

TEST_CASE("message_codec: any bytes decode without harm", "[peer]")
{
    // Guards against a crash by a message of a faulty peer, such as a service index out of range.
    CHECK(rc::check("arbitrary bytes", [] {
        name_pool names;
        peer::SynchroniseResponse piece;
        piece.ParseFromString(text());
        auto& record = *piece.mutable_members()->add_members();
        record.set_name("a");
        record.set_state(*rc::gen::arbitrary<std::uint32_t>());
        record.add_upstreams()->set_service(*rc::gen::arbitrary<std::uint32_t>());
        const auto decoded = message_codec(names).decode_members(piece);
        for (const auto& each : decoded.members) {
            RC_ASSERT(each.record->upstreams.empty());
        }
    }));
}

TEST_CASE("message_codec: large responses are split and lose nothing", "[peer]")
{
    // Guards against messages beyond gRPC's limit of 4 MB, which would end every join.
    name_pool names;
    contract_response response;
    response.ready = true;
    for (std::uint64_t i = 1; i <= 30; ++i) {
        response.contracts.push_back({{"b" + std::to_string(i), i}, std::string(300000, 'x')});
    }
    std::size_t received = 0;
    const auto pieces = message_codec::encode(response);
    for (std::size_t i = 0; i < pieces.size(); ++i) {
        CHECK(pieces[i].ByteSizeLong() < 4U << 20U);
        const auto piece = message_codec::decode_contracts(pieces[i]);
        CHECK(piece.complete == (i + 1 == pieces.size()));
        CHECK(piece.ready);
        received += piece.contracts.size();
    }
    CHECK(received == 30);
}

TEST_CASE("update_queue: updates stay within 1,200 bytes by the real codec", "[peer][membership]")
{
    // Guards against bounds that are lower than what the codec produces, and against updates that
    // are too large to be sent at all.
    CHECK(rc::check("random updates", [] {
        name_pool names;
        ejection_table ejections;
        const steady_time now{1h};
        update_queue queue(1200);
        for (int i = 0; i < 12; ++i) {
            queue.push(random_member(names, 40), update_queue::urgency::piggyback);
            queue.push(contract_head{"b" + std::to_string(number()), number()});
            const service_id service{"tetteh", std::to_string(i)};
            const auto size = *rc::gen::inRange<std::size_t>(0, 2000);
            ejections.merge({service, 1, std::string(size + 1, 'x'), 1000ms}, now);
            queue.push(service);
        }
        for (int i = 0; i < 200 && queue.size() > 0; ++i) {
            gossip_message message;
            queue.fill(message.updates, 0, 1, ejections, now);
            RC_ASSERT(message_codec::encode(message).updates().ByteSizeLong() <= 1200U);
        }
        RC_ASSERT(queue.size() == 0U);
        RC_ASSERT(!queue.has_prompt());
        RC_ASSERT(!queue.has_unsent());
    }));
}
