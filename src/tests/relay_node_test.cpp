#include "relay/relay_node.h"

#include "base/process_clock.h"
#include "support/free_address.h"

#include <catch2/catch.hpp>
#include <optional>

using namespace galenaroad;
using namespace std::chrono_literals;

namespace {

/// Store of all nodes of a test; holds the latest records and tells them to the nodes at once.
class shared_store {
public:
    void tell(const owner_record& record)
    {
        records[record.address] = record;
        for (const auto& each : listeners) {
            each({record});
        }
    }

    std::map<std::string, owner_record> records;
    std::vector<std::function<void(const std::vector<owner_record>&)>> listeners;
    plan_document plan;
    bool is_away = false;
};

/// One node's view of the shared store.
class fake_store : public fleet_store {
public:
    explicit fake_store(shared_store& shared) : m_shared(shared) {}

    void start(hooks reactions) override
    {
        m_hooks = std::move(reactions);
        if (m_shared.is_away) {
            return;
        }
        m_hooks.plan(m_shared.plan);
        for (const auto& [address, record] : m_shared.records) {
            m_hooks.owners({record});
        }
        m_hooks.owners_listed();
        m_shared.listeners.push_back(m_hooks.owners);
    }

    void publish(const owner_record& record) override
    {
        if (!m_shared.is_away) {
            m_shared.tell(record);
            m_hooks.published(record.revision);
        }
    }

    bool is_reachable() const override { return !m_shared.is_away; }

    void tell_plan(const plan_document& plan) { m_hooks.plan(plan); }

private:
    shared_store& m_shared;
    hooks m_hooks;
};

tl::expected<routing_plan, std::string> test_plan(const plan_document& document)
{
    routing_plan plan;
    plan.version = document.version;
    for (const auto kind : {request_kind::safe, request_kind::at_most_once}) {
        route_rule rule;
        rule.name = kind == request_kind::safe ? "safe" : "once";
        rule.host = "h";
        rule.prefix = kind == request_kind::safe ? "/safe/" : "/once/";
        rule.kind = kind;
        rule.timeout = 2s;
        rule.latency_goal = 1s;
        rule.max_attempts = 2;
        rule.targets = {{"s", 1}};
        plan.routes.push_back(rule);
    }
    plan.services["s"] = {};
    return plan;
}

/// A backend server whose answers a test decides.
struct test_upstream {
    std::string address = free_address();
    std::vector<std::shared_ptr<server_exchange>> seen;
    std::function<void(server_exchange&)> answer;
    int gone = 0;
    http_server server;

    explicit test_upstream(event_loop& loop)
        : answer([](server_exchange& client) { respond(client, 200, "done"); }),
          server(loop, {}, [this](std::shared_ptr<server_exchange> client) {
              client->on_gone([this] { ++gone; });
              seen.push_back(client);
              answer(*client);
          })
    {
        server.listen(address);
    }

    static void respond(server_exchange& client, int status, const std::string& body,
                        header_list fields = {{"X-Upstream-Stamp", "stamp"}})
    {
        http_response_head head;
        head.status = status;
        head.fields = std::move(fields);
        client.respond(std::move(head), body);
    }
};

/// A node with its upstream.
struct test_node {
    test_upstream upstream;
    fake_store store;
    metrics_registry metrics;
    std::string peer_address = free_address();
    std::string entry_address = free_address();
    std::string id;
    relay_node node;

    test_node(event_loop& loop, shared_store& shared, decision_log& log, const std::string& name)
        : upstream(loop),
          store(shared),
          id("i-" + name),
          node({loop, store, log, metrics, test_plan}, settings(name), random_engine(7))
    {
        node.start();
    }

    relay_settings settings(const std::string& name) const
    {
        relay_settings made;
        made.location = {peer_address, "dc-" + name, "region"};
        made.entry_address = entry_address;
        made.own_service = "own-" + name;
        made.retries = {0.2, 58};
        return made;
    }

    void announce(std::uint64_t sequence = 1)
    {
        upstream_heartbeat beat;
        beat.id = id;
        beat.service = "s";
        beat.address = upstream.address;
        beat.slots = 2;
        beat.sequence = sequence;
        beat.born_ms = 5;
        node.note_heartbeat(beat, [] {});
    }
};

struct answer_seen {
    int status = 0;
    header_list fields;
    std::string body;
    bool is_broken = false;
};

/// A fleet of two nodes on one loop.
struct test_fleet {
    process_clock time;
    event_loop loop{time};
    decision_log log{time};
    shared_store shared;
    http_client client{loop};
    std::unique_ptr<test_node> a;
    std::unique_ptr<test_node> b;

    test_fleet()
    {
        structured_log::configure("test", "", log_level::error);
        shared.plan = {1, "plan"};
        a = std::make_unique<test_node>(loop, shared, log, "a");
        b = std::make_unique<test_node>(loop, shared, log, "b");
    }

    client_request request(const std::string& method, const std::string& target) const
    {
        client_request made;
        made.head.method = method;
        made.head.target = target;
        made.head.fields = {{"Host", "h"},
                            {"X-Request-Id", "r-1"},
                            {"X-Calling-Service", "forged"},
                            {"X-Request-Timeout-Ms", "1500"}};
        made.body = method == "POST" ? "order" : "";
        return made;
    }

    answer_seen ask(const std::string& method, const std::string& target)
    {
        answer_seen seen;
        client_hooks hooks;
        hooks.head = [&](const auto& head) {
            seen.status = head.status;
            seen.fields = head.fields;
        };
        hooks.body = [&](std::string_view bytes) { seen.body.append(bytes); };
        hooks.complete = [&] { loop.stop(); };
        hooks.failed = [&](exchange_fault) {
            seen.is_broken = true;
            loop.stop();
        };
        const auto call = client.send(a->entry_address, request(method, target), std::move(hooks));
        loop.run();
        return seen;
    }

    void run_for(std::chrono::milliseconds limit)
    {
        loop.after(limit, [this] { loop.stop(); });
        loop.run();
    }
};

std::string field(const std::shared_ptr<server_exchange>& request, const char* name)
{
    return std::string(http_head::find(request->head().fields, name).value_or(""));
}

} // namespace

TEST_CASE("relay_node: a request reaches the upstream of another node unchanged", "[relay]")
{
    // Guards against a request whose path, body or id is changed, or whose caller is forged.
    test_fleet fleet;
    fleet.b->announce();
    CHECK(fleet.a->node.is_ready());
    const auto answer = fleet.ask("POST", "/once/x?q=1");
    CHECK(answer.status == 200);
    CHECK(answer.body == "done");
    CHECK(http_head::find(answer.fields, "X-Upstream-Stamp") == "stamp");
    CHECK_FALSE(http_head::find(answer.fields, owner_report::header).has_value());
    REQUIRE(fleet.b->upstream.seen.size() == 1);
    const auto& seen = fleet.b->upstream.seen.front();
    CHECK(seen->head().target == "/once/x?q=1");
    CHECK(seen->body() == "order");
    CHECK(field(seen, "X-Request-Id") == "r-1");
    CHECK(field(seen, "X-Calling-Service") == "own-a");
    CHECK(field(seen, "X-Expected-Upstream") == "i-b");
    CHECK(field(seen, relay_order::header).empty());
    const auto remaining = http_head::number(field(seen, "X-Request-Timeout-Ms")).value_or(0);
    CHECK(remaining > 1000);
    CHECK(remaining <= 1500);
}

TEST_CASE("relay_node: without a route or an upstream the answer comes at once", "[relay]")
{
    // Guards against requests that are held although nobody can serve them.
    test_fleet fleet;
    const auto start = fleet.time.steady_now();
    CHECK(fleet.ask("GET", "/none/").status == 404);
    const auto refused = fleet.ask("GET", "/safe/x");
    CHECK(refused.status == 503);
    CHECK(http_head::find(refused.fields, "Retry-After").has_value());
    CHECK(fleet.time.steady_now() - start < 500ms);
}

TEST_CASE("relay_node: only what may run twice is sent twice", "[relay]")
{
    // Guards against an order that runs twice and against a search that fails with one upstream.
    test_fleet fleet;
    fleet.a->announce();
    fleet.b->announce();
    fleet.a->upstream.answer = [](auto& client) { client.abort(); };
    const bool is_safe = GENERATE(true, false);
    const auto answer = fleet.ask(is_safe ? "GET" : "POST", is_safe ? "/safe/x" : "/once/x");
    CHECK(answer.status == (is_safe ? 200 : 502));
    CHECK(fleet.a->upstream.seen.size() == 1);
    CHECK(fleet.b->upstream.seen.size() == (is_safe ? 1 : 0));
}

TEST_CASE("relay_node: a rejection by the upstream is proof that it has not run", "[relay]")
{
    // Guards against an order that is lost although another upstream could run it.
    test_fleet fleet;
    fleet.a->announce();
    fleet.b->announce();
    fleet.a->upstream.answer = [](auto& client) {
        test_upstream::respond(client, 503, "", {{"X-Not-Run", "1"}});
    };
    const auto answer = fleet.ask("POST", "/once/x");
    CHECK(answer.status == 200);
    CHECK(fleet.b->upstream.seen.size() == 1);
}

TEST_CASE("relay_node: a status that promises too much is not passed on", "[relay]")
{
    // Guards against a client that repeats an order because a 503 told it that it had not run.
    test_fleet fleet;
    fleet.a->announce();
    fleet.a->upstream.answer = [](auto& client) { test_upstream::respond(client, 503, ""); };
    CHECK(fleet.ask("POST", "/once/x").status == 502);
}

TEST_CASE("relay_node: what is not the upstream's answer is not delivered", "[relay]")
{
    // Guards against a success without the upstream's stamp, in a coding that nobody asked for, or
    // that broke off.
    test_fleet fleet;
    fleet.a->announce();
    const auto fault = GENERATE(0, 1, 2);
    fleet.a->upstream.answer = [fault](server_exchange& client) {
        if (fault == 0) {
            test_upstream::respond(client, 200, "x", {});
            return;
        }
        if (fault == 1) {
            test_upstream::respond(client, 200, "x",
                                   {{"X-Upstream-Stamp", "s"}, {"Content-Encoding", "gzip"}});
            return;
        }
        http_response_head head;
        head.status = 200;
        head.fields = {{"X-Upstream-Stamp", "s"}};
        head.framing = {body_end::length, 100};
        client.begin(std::move(head));
        client.write("only a part");
        client.abort();
    };
    CHECK(fleet.ask("POST", "/once/x").status == 502);
}

TEST_CASE("relay_node: work ends when its client leaves, unless it is an action", "[relay]")
{
    // Guards against upstreams that work for nobody, and against half of an order.
    test_fleet fleet;
    fleet.b->announce();
    fleet.b->upstream.answer = [](auto&) {};
    const bool is_safe = GENERATE(true, false);
    client_hooks hooks;
    hooks.head = [](const auto&) {};
    hooks.body = [](std::string_view) {};
    hooks.complete = [] {};
    hooks.failed = [](exchange_fault) {};
    auto call = fleet.client.send(
        fleet.a->entry_address,
        fleet.request(is_safe ? "GET" : "POST", is_safe ? "/safe/x" : "/once/x"), hooks);
    fleet.run_for(200ms);
    REQUIRE(fleet.b->upstream.seen.size() == 1);
    call.reset();
    fleet.run_for(300ms);
    CHECK(fleet.b->upstream.gone == (is_safe ? 1 : 0));
}

TEST_CASE("relay_node: an upstream that hangs is answered for at the deadline", "[relay]")
{
    // Guards against a client that waits without an answer.
    test_fleet fleet;
    fleet.b->announce();
    fleet.b->upstream.answer = [](auto&) {};
    const auto start = fleet.time.steady_now();
    CHECK(fleet.ask("POST", "/once/x").status == 504);
    const auto elapsed = fleet.time.steady_now() - start;
    CHECK(elapsed >= 1400ms);
    CHECK(elapsed < 1700ms);
}

TEST_CASE("relay_node: a plan that only one peer knows spreads by requests", "[relay]")
{
    // Guards against a daemon that the store turns away and that stays with an old plan.
    test_fleet fleet;
    fleet.b->announce();
    fleet.b->store.tell_plan({2, "plan"});
    CHECK(fleet.ask("GET", "/safe/x").status == 200);
    fleet.run_for(300ms);
    REQUIRE(fleet.a->node.plan() != nullptr);
    CHECK(fleet.a->node.plan()->plan().version == 2);
    fleet.a->store.tell_plan({1, "plan"});
    CHECK(fleet.a->node.plan()->plan().version == 2);
}

TEST_CASE("relay_node: a daemon that starts without the store learns from peers", "[relay]")
{
    // Guards against a restarted daemon that is useless until the store returns. Its peers' calls
    // tell it where they are.
    test_fleet fleet;
    fleet.b->announce();
    fleet.shared.is_away = true;
    test_node late(fleet.loop, fleet.shared, fleet.log, "late");
    CHECK_FALSE(late.node.is_ready());
    relay_order order;
    order.upstream_id = "i-late";
    order.service = "s";
    order.entry_address = fleet.b->peer_address;
    order.plan_version = 1;
    auto request = fleet.request("GET", "/safe/x");
    request.head.fields.push_back({relay_order::header, relay_message::encode(order)});
    client_hooks hooks;
    hooks.head = [](const auto&) {};
    hooks.body = [](std::string_view) {};
    hooks.complete = [] {};
    hooks.failed = [](exchange_fault) {};
    const auto call = fleet.client.send(late.peer_address, std::move(request), hooks);
    fleet.run_for(1s);
    CHECK(late.node.is_ready());
}

TEST_CASE("relay_node: a slow attempt goes on beside the second one", "[relay]")
{
    // Guards against an answer that is broken off while its upstream works on it (LOST on scale-1
    // of cista-pipa-mesh), and against a search that hangs with one upstream.
    test_fleet fleet;
    fleet.a->announce();
    fleet.b->announce();
    const bool first_hangs = GENERATE(true, false);
    fleet.a->upstream.answer = [&](server_exchange&) {
        const auto held = fleet.a->upstream.seen.back();
        if (!first_hangs) {
            fleet.loop.after(1100ms, [held] { test_upstream::respond(*held, 200, "first"); });
        }
    };
    fleet.b->upstream.answer = [&](server_exchange& client) {
        test_upstream::respond(client, first_hangs ? 200 : 500, "second");
    };
    const auto answer = fleet.ask("GET", "/safe/x");
    CHECK(answer.status == 200);
    CHECK(answer.body == (first_hangs ? "second" : "first"));
}

TEST_CASE("relay_node: a stop breaks off no request in favour of another attempt", "[relay]")
{
    // Guards against trouble-2 on tvw-mesh-grown (LOST): after SIGTERM the entry gave up a slow
    // search at half of its time, and the second attempt failed.
    test_fleet fleet;
    fleet.a->announce();
    fleet.a->upstream.answer = [&](server_exchange&) {
        const auto held = fleet.a->upstream.seen.back();
        fleet.loop.after(1s, [held] { test_upstream::respond(*held, 200, "slow"); });
    };
    fleet.loop.after(100ms, [&] { fleet.a->node.stop([] {}); });
    const auto answer = fleet.ask("GET", "/safe/x");
    CHECK(answer.status == 200);
    CHECK(answer.body == "slow");
}

TEST_CASE("relay_node: a stop refuses new work and finishes what runs", "[relay]")
{
    // Guards against a planned stop that cuts a request, and against new work during it.
    test_fleet fleet;
    fleet.a->announce();
    std::shared_ptr<server_exchange> held;
    fleet.a->upstream.answer = [&](auto&) { held = fleet.a->upstream.seen.back(); };
    answer_seen seen;
    client_hooks hooks;
    hooks.head = [&](const auto& head) { seen.status = head.status; };
    hooks.body = [&](std::string_view bytes) { seen.body.append(bytes); };
    hooks.complete = [] {};
    hooks.failed = [&](exchange_fault) { seen.is_broken = true; };
    const auto call =
        fleet.client.send(fleet.a->entry_address, fleet.request("POST", "/once/x"), hooks);
    fleet.run_for(200ms);
    REQUIRE(held);
    bool has_stopped = false;
    fleet.a->node.stop([&] { has_stopped = true; });
    CHECK_FALSE(fleet.a->node.is_ready());
    CHECK(fleet.ask("GET", "/safe/x").status == 503);
    test_upstream::respond(*held, 200, "kept");
    fleet.run_for(500ms);
    CHECK(seen.status == 200);
    CHECK(seen.body == "kept");
    CHECK_FALSE(has_stopped);
    fleet.run_for(2500ms);
    CHECK(has_stopped);
}
