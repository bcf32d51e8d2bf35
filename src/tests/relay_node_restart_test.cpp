#include "fleet/owner_record_codec.h"
#include "support/relay_test_fleet.h"
#include "support/store_test_fleet.h"

#include <catch2/catch.hpp>
#include <sstream>
#include <string>

using namespace galenaroad;
using namespace std::chrono_literals;

namespace {

enum class departure { draining, abrupt };

/// A daemon that is killed after it has acknowledged a departure, and its next start.
struct restart_test {
    store_test_fleet fleet;
    store_test_node& first = *fleet.nodes.front();
    http_client client{fleet.loop};
    std::unique_ptr<store_test_node> next;

    explicit restart_test(const std::vector<std::string>& data_centres = {"dc"})
        : fleet(data_centres)
    {
    }

    /// Announces the departure of the first daemon's upstream and waits for the acknowledgement.
    void leave(departure kind)
    {
        bool is_acknowledged = false;
        announce_departure(kind, [&] { is_acknowledged = true; });
        fleet.run_for(300ms);
        REQUIRE(is_acknowledged);
    }

    /// Announces the departure of the first daemon's upstream with its third heartbeat or a call.
    void announce_departure(departure kind, std::function<void()> acknowledge) const
    {
        auto departing = first.make_heartbeat(3);
        departing.is_draining = kind == departure::draining;
        if (kind == departure::draining) {
            first.node.on_heartbeat(departing, std::move(acknowledge));
        }
        else {
            first.node.on_departure(departing.id, std::move(acknowledge));
        }
    }

    /// Lets no call of the daemons of a data centre reach the store.
    void cut_off_store(const std::string& data_centre)
    {
        for (const auto& each : fleet.nodes) {
            const auto* const record = each->node.owners().find(each->peer_address);
            REQUIRE(record != nullptr);
            if (record->data_centre == data_centre) {
                each->to_store.cut(soak_link::direction::forward);
            }
        }
    }

    /// @return the state of the first daemon's upstream that the store has.
    announced_state stored_state() const
    {
        const auto value = fleet.store.value_of("galenaroad_owners", first.peer_address);
        const auto record = owner_record_codec::decode(value);
        return record ? record->state : announced_state::none;
    }

    /// Cuts the first start off from everything, as if it had been killed, and starts the next.
    void restart()
    {
        first.to_store.cut(soak_link::direction::forward);
        first.to_store.cut(soak_link::direction::backward);
        next = std::make_unique<store_test_node>(fleet.loop, fleet.log, fleet.address, "dc", 1000,
                                                 first.peer_address, free_address());
    }

    /// Sends a request to the next start as an entry daemon.
    /// @return the reason why it refuses the request; `unreachable` if it has sent it to the
    /// upstream, which does not exist.
    owner_reason ask_next()
    {
        attempt_metadata metadata;
        metadata.attempt_id = std::to_string(++m_attempts);
        metadata.service = "s";
        metadata.route = "safe";
        metadata.kind = request_kind::safe;
        metadata.entry_address = fleet.nodes.back()->peer_address;
        metadata.remaining = 1s;
        metadata.objective_remaining = 1s;
        metadata.plan_version = 1;
        client_request request;
        request.head.method = "GET";
        request.head.target = "/safe/x";
        request.head.fields = {{"Host", "h"},
                               {attempt_metadata::header, relay_message_codec::encode(metadata)}};
        auto reason = owner_reason::none;
        client_hooks hooks;
        hooks.head = [&](const auto& head) {
            const auto text = http_head::find(head.fields, attempt_report::header).value_or("");
            const auto report = relay_message_codec::decode_report(text);
            reason = report ? report->reason : owner_reason::none;
        };
        hooks.body = [](std::string_view) {};
        hooks.complete = [&] { fleet.loop.stop(); };
        hooks.failed = [&](exchange_error) { fleet.loop.stop(); };
        const auto call = client.send(next->listen_address, std::move(request), std::move(hooks));
        fleet.loop.run();
        return reason;
    }

    /// @return the state that a daemon knows of the first daemon's upstream.
    announced_state state_at(const store_test_node& node) const
    {
        const auto* const record = node.node.owners().find(first.peer_address);
        return record == nullptr ? announced_state::none : record->state;
    }

private:
    int m_attempts = 0;
};

/// Two daemons that know each other. The second one's upstream leaves.
struct announced_fleet : relay_test_fleet {
    announced_fleet()
    {
        a->announce();
        b->announce();
        run_for(100ms);
    }

    /// Cuts the second daemon off from the store and from its peer.
    void isolate_owner()
    {
        b->store.is_cut_off = true;
        a->link->cut(soak_link::direction::forward);
    }

    /// @return number of requests about departures that the second daemon has sent.
    int departure_requests() const
    {
        const std::string name = "galenaroad_departure_requests_total{";
        std::istringstream lines(b->metrics.text());
        int sum = 0;
        for (std::string line; std::getline(lines, line);) {
            if (line.rfind(name, 0) == 0) {
                sum += std::stoi(line.substr(line.rfind(' ') + 1));
            }
        }
        return sum;
    }

    /// @return the state of the second daemon's upstream that the store has.
    announced_state stored_state() const { return shared.records.at(b->peer_address).state; }

    /// @return what the first daemon knows of the second one.
    owner_record record_at_peer() const
    {
        const auto* const record = a->node.owners().find(b->peer_address);
        REQUIRE(record != nullptr);
        return *record;
    }
};

} // namespace

TEST_CASE("relay_node: a late heartbeat does not undo a departure that an earlier start announced",
          "[relay]")
{
    // Guards against new work for an upstream that has left: a restarted daemon took a late
    // heartbeat before the store's first response, and replaced the departure in its own record.
    const auto kind = GENERATE(departure::draining, departure::abrupt);
    const int late_heartbeats = GENERATE(1, 2);
    const auto store_fault = GENERATE(soak_store::fault::none, soak_store::fault::slow);
    restart_test test;
    test.leave(kind);
    test.fleet.store.set_fault(store_fault);
    test.restart();
    test.next->node.start();
    for (int sequence = 1; sequence <= late_heartbeats; ++sequence) {
        test.next->node.on_heartbeat(
            test.next->make_heartbeat(static_cast<std::uint64_t>(sequence)), [] {});
    }
    CHECK(test.ask_next() != owner_reason::unreachable);
    test.fleet.run_for(3s);
    const auto expected =
        kind == departure::draining ? announced_state::draining : announced_state::left;
    CHECK(test.ask_next() == owner_reason::draining);
    CHECK(test.state_at(*test.next) == expected);
    // Other daemons and the next start read what the store has.
    CHECK(test.state_at(*test.fleet.nodes.back()) == expected);
}

TEST_CASE("relay_node: a departure between a restart and the store's first response is stored",
          "[relay]")
{
    // Guards against a departure that is acknowledged before the daemon has read its record, is
    // never written and is forgotten at the next restart.
    restart_test test;
    test.restart();
    test.next->node.start();
    bool is_acknowledged = false;
    test.next->node.on_departure("i-" + test.first.peer_address, [&] { is_acknowledged = true; });
    CHECK_FALSE(is_acknowledged);
    test.fleet.run_for(300ms);
    CHECK(is_acknowledged);
    test.fleet.run_for(3s);
    CHECK(test.state_at(*test.fleet.nodes.back()) == announced_state::left);
    test.next->node.on_heartbeat(test.next->make_heartbeat(9), [] {});
    CHECK(test.ask_next() == owner_reason::draining);
}

TEST_CASE("relay_node: a restarted daemon serves its upstream again", "[relay]")
{
    // Guards against an upstream without requests after a restart of its daemon. Its record is the
    // one that the earlier start has written, or there is none.
    const bool has_record = GENERATE(true, false);
    restart_test test;
    test.restart();
    if (!has_record) {
        test.next =
            std::make_unique<store_test_node>(test.fleet.loop, test.fleet.log, test.fleet.address,
                                              "dc", 2000, free_address(), free_address());
    }
    test.next->node.start();
    test.next->node.on_heartbeat(test.next->make_heartbeat(4), [] {});
    test.fleet.run_for(500ms);
    CHECK(test.ask_next() == owner_reason::unreachable);
    CHECK(test.next->node.owners().find(test.next->peer_address) != nullptr);
}

TEST_CASE("relay_node: without the store a restarted daemon learns its state from peers", "[relay]")
{
    // Guards against new work for an upstream that has left, and against an upstream without
    // requests, while the store turns the restarted daemon away.
    const bool leaves = GENERATE(true, false);
    restart_test test;
    if (leaves) {
        test.leave(departure::abrupt);
    }
    test.restart();
    test.next->to_store.cut(soak_link::direction::forward);
    test.next->node.start();
    test.next->node.on_heartbeat(test.next->make_heartbeat(2), [] {});
    CHECK(test.ask_next() == owner_reason::unknown_upstream);
    test.fleet.run_for(2s);
    CHECK(test.ask_next() != owner_reason::unreachable);
    test.fleet.run_for(3s);
    CHECK(test.ask_next() == (leaves ? owner_reason::draining : owner_reason::unreachable));
}

TEST_CASE("relay_node: a new upstream replaces an earlier record with a higher revision", "[relay]")
{
    // Guards against an upstream without requests: after the wall clock had been stepped back, the
    // record of the new upstream had a lower revision than the departure that peers had heard of.
    restart_test test;
    test.leave(departure::abrupt);
    auto earlier = *test.first.node.owners().find(test.first.peer_address);
    earlier.revision += std::uint64_t{60'000};
    test.first.store.publish(earlier);
    test.fleet.run_for(3s);
    test.restart();
    const bool has_store = GENERATE(true, false);
    if (!has_store) {
        test.next->to_store.cut(soak_link::direction::forward);
    }
    test.next->node.start();
    auto heartbeat = test.next->make_heartbeat(1);
    heartbeat.start_time_ms = 2;
    test.next->node.on_heartbeat(heartbeat, [] {});
    test.ask_next(); // Tells the daemon of a peer.
    test.fleet.run_for(4s);
    CHECK(test.state_at(*test.next) == announced_state::ready);
    CHECK(test.ask_next() == owner_reason::unreachable);
    if (has_store) {
        CHECK(test.state_at(*test.fleet.nodes.back()) == announced_state::ready);
    }
}

TEST_CASE("relay_node: a departure that the store does not have outlives its daemon", "[relay]")
{
    // Guards against new work for an upstream that has left: its departure was acknowledged while
    // the store did not respond to its daemon, the daemon was killed, and a late heartbeat made the
    // upstream ready again, also for peers that had known of the departure.
    const auto kind = GENERATE(departure::draining, departure::abrupt);
    const bool heartbeat_is_first = GENERATE(false, true);
    restart_test test;
    test.first.to_store.cut(soak_link::direction::forward);
    bool is_acknowledged = false;
    test.announce_departure(kind, [&] { is_acknowledged = true; });
    test.fleet.run_for(900ms);
    REQUIRE(is_acknowledged);
    test.restart();
    const auto late = test.next->make_heartbeat(2);
    test.next->node.start();
    if (heartbeat_is_first) {
        test.next->node.on_heartbeat(late, [] {});
    }
    test.fleet.run_for(1500ms);
    test.next->node.on_heartbeat(late, [] {});
    CHECK(test.ask_next() != owner_reason::unreachable);
    test.fleet.run_for(3s);
    CHECK(test.ask_next() != owner_reason::unreachable);
    CHECK(test.state_at(*test.next) != announced_state::ready);
    for (const auto& each : test.fleet.nodes) {
        INFO("draining " << (kind == departure::draining) << ", heartbeat first "
                         << heartbeat_is_first << ", first " << (each == test.fleet.nodes.front()));
        CHECK(test.state_at(*each) != announced_state::ready);
    }
}

TEST_CASE("relay_node: an acknowledged departure lies in the store", "[relay]")
{
    // Guards against new work for an upstream that has left: its departure was acknowledged while
    // the store was away, and only daemons held it. All of them were killed at the same moment, and
    // a late heartbeat made the upstream ready again.
    const auto kind = GENERATE(departure::draining, departure::abrupt);
    restart_test test;
    test.cut_off_store("dc");
    auto state_at_acknowledgement = announced_state::none;
    test.announce_departure(kind, [&] { state_at_acknowledgement = test.stored_state(); });
    test.fleet.run_for(2s);
    CHECK(state_at_acknowledgement == announced_state::none);
    CHECK(test.stored_state() == announced_state::ready);
    // The departure takes effect at once.
    CHECK(test.state_at(*test.fleet.nodes.back()) != announced_state::ready);
    for (const auto& each : test.fleet.nodes) {
        each->to_store.heal();
    }
    test.fleet.run_for(3s);
    const auto expected =
        kind == departure::draining ? announced_state::draining : announced_state::left;
    CHECK(state_at_acknowledgement == expected);
    CHECK(test.stored_state() == expected);
}

TEST_CASE("relay_node: a peer writes a departure that its daemon cannot write", "[relay]")
{
    // Guards against upstreams that wait for their acknowledgement while the store turns away only
    // their daemon, or all daemons of their data centre.
    const auto kind = GENERATE(departure::draining, departure::abrupt);
    const bool data_centre_is_cut_off = GENERATE(false, true);
    restart_test test({"dc", "other"});
    if (data_centre_is_cut_off) {
        test.cut_off_store("dc");
    }
    else {
        test.first.to_store.cut(soak_link::direction::forward);
    }
    auto state_at_acknowledgement = announced_state::none;
    test.announce_departure(kind, [&] { state_at_acknowledgement = test.stored_state(); });
    test.fleet.run_for(1s);
    const auto expected =
        kind == departure::draining ? announced_state::draining : announced_state::left;
    CHECK(state_at_acknowledgement == expected);
    // The daemon's own write meets the record of the peer, and a new upstream is announced.
    test.first.to_store.heal();
    auto heartbeat = test.first.make_heartbeat(1);
    heartbeat.start_time_ms = 2;
    test.first.node.on_heartbeat(heartbeat, [] {});
    test.fleet.run_for(3s);
    CHECK(test.stored_state() == announced_state::ready);
}

TEST_CASE("relay_node: a departure that only peers know after a restart is stored", "[relay]")
{
    // Guards against a departure that is never acknowledged: a restarted daemon learned it from
    // peers and took it for stored.
    restart_test test;
    test.cut_off_store("dc");
    test.announce_departure(departure::abrupt, [] {});
    test.fleet.run_for(1s);
    test.restart();
    test.next->to_store.cut(soak_link::direction::forward);
    test.next->node.start();
    test.next->node.on_heartbeat(test.next->make_heartbeat(2), [] {});
    test.ask_next(); // Tells the daemon of a peer.
    test.fleet.run_for(4s);
    REQUIRE(test.state_at(*test.next) == announced_state::left);
    auto state_at_acknowledgement = announced_state::none;
    test.next->node.on_departure("i-" + test.first.peer_address,
                                 [&] { state_at_acknowledgement = test.stored_state(); });
    test.fleet.run_for(1s);
    CHECK(state_at_acknowledgement == announced_state::none);
    test.next->to_store.heal();
    test.fleet.run_for(3s);
    CHECK(state_at_acknowledgement == announced_state::left);
}

TEST_CASE("relay_node: an earlier record with a higher revision confirms no departure", "[relay]")
{
    // Guards against a departure that is acknowledged and then forgotten: the wall clock had been
    // stepped back, so that a record of an earlier start seemed to be later than the departure.
    announced_fleet fleet;
    fleet.isolate_owner();
    bool is_acknowledged = false;
    fleet.b->node.on_departure(fleet.b->id, [&] { is_acknowledged = true; });
    auto earlier = fleet.record_at_peer();
    REQUIRE(earlier.state == announced_state::ready);
    earlier.revision += std::uint64_t{60'000};
    fleet.b->store.deliver_owners({earlier});
    fleet.run_for(1s);
    CHECK_FALSE(is_acknowledged);
    fleet.a->store.deliver_owners({earlier});
    fleet.a->link->heal();
    fleet.run_for(2s);
    CHECK(is_acknowledged);
    CHECK(fleet.record_at_peer().state == announced_state::left);
    CHECK(fleet.stored_state() == announced_state::left);
}

TEST_CASE("relay_node: a peer with a later record does not confirm a departure", "[relay]")
{
    // Guards against a departure that is acknowledged although the peer has kept another record,
    // which a restarted daemon would find in its place.
    announced_fleet fleet;
    auto departure = fleet.record_at_peer();
    auto later = departure;
    departure.state = announced_state::left;
    departure.revision += 1;
    later.revision += std::uint64_t{60'000};
    fleet.a->store.deliver_owners({later});
    client_request request;
    request.head.method = "PUT";
    request.head.target = departure_replicator::path;
    request.head.fields = {{"Host", "h"}};
    request.body = owner_record_codec::encode(departure);
    int status = 0;
    std::string body;
    client_hooks hooks;
    hooks.head = [&](const auto& head) { status = head.status; };
    hooks.body = [&](std::string_view bytes) { body.append(bytes); };
    hooks.complete = [&] { fleet.loop.stop(); };
    hooks.failed = [&](exchange_error) { fleet.loop.stop(); };
    const auto call =
        fleet.client.send(fleet.a->peer_address, std::move(request), std::move(hooks));
    fleet.loop.run();
    CHECK(status == 409);
    const auto kept = owner_record_codec::decode(body);
    REQUIRE(kept.has_value());
    CHECK(kept->revision == later.revision);
    CHECK(kept->state == announced_state::ready);
}

TEST_CASE("relay_node: a departure replaces a later record that a peer has", "[relay]")
{
    // Guards against a departure that is never acknowledged while the store does not respond to its
    // daemon, because the peers have a record of an earlier start with a higher revision.
    announced_fleet fleet;
    fleet.b->store.is_cut_off = true;
    auto later = fleet.record_at_peer();
    later.revision += std::uint64_t{60'000};
    fleet.a->store.deliver_owners({later});
    auto state_at_acknowledgement = announced_state::none;
    auto stored_at_acknowledgement = announced_state::none;
    fleet.b->node.on_departure(fleet.b->id, [&] {
        state_at_acknowledgement = fleet.record_at_peer().state;
        stored_at_acknowledgement = fleet.stored_state();
    });
    fleet.run_for(2s);
    CHECK(state_at_acknowledgement == announced_state::left);
    CHECK(stored_at_acknowledgement == announced_state::left);
}

TEST_CASE("relay_node: a departure that the store lacks is not acknowledged", "[relay]")
{
    // Guards against an acknowledgement that is forgotten with the processes, also when the
    // upstream announces its departure again, and when a peer holds the record.
    announced_fleet fleet;
    fleet.shared.is_unreachable = true;
    fleet.a->link->cut(soak_link::direction::forward);
    int acknowledged = 0;
    fleet.b->node.on_departure(fleet.b->id, [&] { ++acknowledged; });
    fleet.run_for(1s);
    fleet.b->node.on_departure(fleet.b->id, [&] { ++acknowledged; });
    fleet.run_for(1s);
    CHECK(acknowledged == 0);
    fleet.a->link->heal();
    fleet.run_for(2s);
    CHECK(acknowledged == 0);
    CHECK(fleet.record_at_peer().state == announced_state::left);
    fleet.shared.is_unreachable = false;
    fleet.b->store.retry_publish();
    CHECK(acknowledged == 2);
    CHECK(fleet.stored_state() == announced_state::left);
}

TEST_CASE("relay_node: peers are not asked to store the departure of a replaced upstream",
          "[relay]")
{
    // Guards against requests without end while the store does not respond, for a record that no
    // peer accepts any more.
    announced_fleet fleet;
    fleet.shared.is_unreachable = true;
    fleet.b->node.on_departure(fleet.b->id, [] {});
    fleet.run_for(1s);
    auto heartbeat = fleet.b->make_heartbeat(1);
    heartbeat.start_time_ms += 1;
    fleet.b->node.on_heartbeat(heartbeat, [] {});
    fleet.run_for(100ms);
    const auto requests = fleet.departure_requests();
    CHECK(requests > 0);
    fleet.run_for(1500ms);
    CHECK(fleet.departure_requests() == requests);
}
