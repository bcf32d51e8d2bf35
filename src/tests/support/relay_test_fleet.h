#pragma once

#include "base/process_clock.h"
#include "relay/relay_node.h"
#include "soak/soak_link.h"
#include "support/free_address.h"

#include <memory>
#include <optional>

namespace galenaroad {

using namespace std::chrono_literals;

/// Store of all nodes of a test; holds the latest records and passes them to the nodes immediately.
class relay_shared_store {
public:
    void publish(const owner_record& record)
    {
        records[record.address] = record;
        for (const auto& each : listeners) {
            each({record});
        }
    }

    std::map<std::string, owner_record> records;
    std::vector<std::function<void(const std::vector<owner_record>&)>> listeners;
    plan_document plan;
    /// Changes each plan after it has been decoded.
    std::function<void(routing_plan&)> amend_plan = [](routing_plan&) {};
    bool is_unreachable = false;
};

/// One node's view of the shared store.
class relay_fake_store : public fleet_store {
public:
    explicit relay_fake_store(relay_shared_store& shared) : m_shared(shared) {}

    void start(hooks reactions) override { m_hooks = std::move(reactions); }

    void list_local_owners() override
    {
        if (m_shared.is_unreachable) {
            return;
        }
        for (const auto& [address, record] : m_shared.records) {
            m_hooks.owners({record});
        }
        m_hooks.local_owners_listed();
    }

    bool follows() const { return m_follows; }

    void watch(bool follows) override
    {
        m_follows = follows;
        if (m_shared.is_unreachable || !follows) {
            return;
        }
        m_hooks.plan(m_shared.plan);
        for (const auto& [address, record] : m_shared.records) {
            m_hooks.owners({record});
        }
        m_hooks.owners_listed();
        m_shared.listeners.push_back([this](const auto& records) {
            if (m_follows) {
                m_hooks.owners(records);
            }
        });
    }

    void poll_frequently(bool /*closely*/) override {}

    void probe() override
    {
        if (!m_shared.is_unreachable && !m_follows) {
            m_hooks.plan(m_shared.plan);
            m_hooks.probe_succeeded();
        }
    }

    void publish(const owner_record& record) override
    {
        m_pending = record;
        if (!m_shared.is_unreachable && !is_cut_off) {
            m_shared.publish(record);
            m_hooks.published(record.revision);
            m_pending.reset();
        }
    }

    void store_departure(const owner_record& departure,
                         std::function<void(bool is_stored)> on_end) override
    {
        const bool is_reached = !m_shared.is_unreachable && !is_cut_off;
        if (is_reached) {
            m_shared.publish(departure);
        }
        on_end(is_reached);
    }

    /// Writes the record that could not be written, as the store does once it is reached.
    void retry_publish()
    {
        if (m_pending) {
            publish(owner_record(*m_pending));
        }
    }

    bool is_cut_off = false; ///< Writes do not reach the store.

    void verify_record(store_era /*era*/) override {}

    store_era era() const override { return {}; }

    bool is_plan_watch_healthy() const override { return m_follows && !m_shared.is_unreachable; }

    void deliver_plan(const plan_document& plan) { m_hooks.plan(plan); }

    void deliver_owners(const std::vector<owner_record>& records) { m_hooks.owners(records); }

    /// Delivers a plan as the store does: only to a daemon that watches it.
    void deliver_plan_if_following(const plan_document& plan)
    {
        if (m_follows) {
            m_hooks.plan(plan);
        }
    }

private:
    relay_shared_store& m_shared;
    hooks m_hooks;
    bool m_follows = false;
    std::optional<owner_record> m_pending; ///< Could not be written.
};

inline tl::expected<routing_plan, std::string> relay_test_plan(const plan_document& document)
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
        rule.latency_objective = 1s;
        rule.max_attempts = 2;
        rule.targets = {{"s", 1}};
        plan.routes.push_back(rule);
    }
    route_rule download = plan.routes.front();
    download.name = "download";
    download.prefix = "/download/";
    download.kind = request_kind::download;
    download.timeout = 20s;
    plan.routes.push_back(download);
    route_rule long_once = plan.routes[1];
    long_once.name = "long-once";
    long_once.prefix = "/long-once/";
    long_once.timeout = 20s;
    plan.routes.push_back(long_once);
    plan.services["s"] = {};
    return plan;
}

/// A backend server whose responses are chosen by the test.
struct relay_test_upstream {
    std::string address = free_address();
    std::vector<std::shared_ptr<server_exchange>> requests;
    std::function<void(server_exchange&)> handler;
    int disconnects = 0;
    http_server server;

    explicit relay_test_upstream(event_loop& loop)
        : handler([](server_exchange& client) { respond(client, 200, "done"); }),
          server(loop, {}, [this](std::shared_ptr<server_exchange> client) {
              client->on_disconnected([this] { ++disconnects; });
              requests.push_back(client);
              handler(*client);
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
        const auto id = http_head::find(client.head().fields, "X-Request-Id");
        if (id && !http_head::find(head.fields, "X-Request-Id")) {
            head.fields.push_back({"X-Request-Id", std::string(*id)});
        }
        client.respond(std::move(head), body);
    }
};

/// A node with its upstream. Peers reach it through a soak_link.
struct relay_test_node {
    relay_test_upstream upstream;
    relay_fake_store store;
    metrics_registry metrics;
    std::string listen_address = free_address();
    std::string peer_address = free_address();
    std::string entry_address = free_address();
    std::string id;
    std::string data_centre;
    std::unique_ptr<soak_link> link;
    relay_node node;

    relay_test_node(event_loop& loop, relay_shared_store& shared, decision_log& log,
                    const std::string& name, std::string in_data_centre = {})
        : upstream(loop),
          store(shared),
          id("i-" + name),
          data_centre(in_data_centre.empty() ? "dc-" + name : std::move(in_data_centre)),
          link(std::make_unique<soak_link>(loop, peer_address, listen_address)),
          node({loop, store, log, metrics,
                [&shared](const plan_document& document) {
                    auto plan = relay_test_plan(document);
                    shared.amend_plan(*plan);
                    return plan;
                }},
               settings(name), random_engine(std::hash<std::string>()(name)))
    {
        node.start();
    }

    relay_settings settings(const std::string& name) const
    {
        relay_settings result;
        result.location = {peer_address, data_centre, "region"};
        result.listen_address = listen_address;
        result.entry_address = entry_address;
        result.own_service = "own-" + name;
        result.retries = {0.2, 58};
        result.tolerance.slack = 20;
        return result;
    }

    void announce(std::uint64_t sequence = 1) { announce(sequence, upstream.address, 2); }

    /// Announces an upstream that a test runs itself.
    void announce(std::uint64_t sequence, const std::string& address, int slots)
    {
        auto heartbeat = make_heartbeat(sequence);
        heartbeat.address = address;
        heartbeat.slots = slots;
        node.on_heartbeat(heartbeat, [] {});
    }

    /// Announces that the upstream will leave.
    void announce_draining(std::uint64_t sequence)
    {
        auto heartbeat = make_heartbeat(sequence);
        heartbeat.is_draining = true;
        node.on_heartbeat(heartbeat, [] {});
    }

    upstream_heartbeat make_heartbeat(std::uint64_t sequence) const
    {
        upstream_heartbeat heartbeat;
        heartbeat.id = id;
        heartbeat.service = "s";
        heartbeat.address = upstream.address;
        heartbeat.slots = 2;
        heartbeat.sequence = sequence;
        heartbeat.start_time_ms = 5;
        return heartbeat;
    }

    /// Queries the owner for the response to an attempt, as an entry daemon does.
    std::optional<attempt_report> query_response(http_client& client, event_loop& loop,
                                                 const std::string& attempt_id) const
    {
        client_request request;
        request.head.method = "GET";
        request.head.target = response_query::path;
        request.head.fields = {
            {"Host", "h"},
            {response_query::header, relay_message_codec::encode(response_query{attempt_id, ""})}};
        std::optional<attempt_report> report;
        client_hooks hooks;
        hooks.head = [&](const auto& head) {
            report = relay_message_codec::decode_report(
                http_head::find(head.fields, attempt_report::header).value_or(""));
        };
        hooks.body = [](std::string_view) {};
        hooks.complete = [&] { loop.stop(); };
        hooks.failed = [&](exchange_error) { loop.stop(); };
        const auto call = client.send(peer_address, std::move(request), std::move(hooks));
        loop.run();
        return report;
    }

    /// @return the load that the owner reports, or -1.
    int owner_load_percent(http_client& client, event_loop& loop) const
    {
        const auto report = query_response(client, loop, "none");
        return report ? report->load_percent : -1;
    }
};

struct relay_test_response {
    int status = 0;
    header_list fields;
    std::string body;
    bool is_aborted = false;
};

/// A request whose response arrives while the loop runs.
struct relay_test_call {
    std::shared_ptr<http_exchange> exchange;
    relay_test_response response;
    bool has_ended = false;
};

/// A request that a test sends to an owner as an entry daemon does, while the loop runs.
struct relay_test_attempt {
    std::shared_ptr<http_exchange> exchange;
    std::optional<attempt_report> report; ///< Of the owner.
};

/// A fleet of two nodes on one loop.
struct relay_test_fleet {
    process_clock time;
    event_loop loop{time};
    decision_log log{time};
    relay_shared_store shared;
    http_client client{loop};
    std::unique_ptr<relay_test_node> a;
    std::unique_ptr<relay_test_node> b;
    std::chrono::milliseconds client_timeout{1500}; ///< Sent with each request.

    relay_test_fleet()
    {
        structured_log::configure("test", "", log_level::error);
        shared.plan = {1, "plan"};
        a = std::make_unique<relay_test_node>(loop, shared, log, "a");
        b = std::make_unique<relay_test_node>(loop, shared, log, "b");
    }

    client_request request(const std::string& method, const std::string& target) const
    {
        client_request result;
        result.head.method = method;
        result.head.target = target;
        result.head.fields = {{"Host", "h"},
                              {"X-Request-Id", "r-1"},
                              {"X-Calling-Service", "forged"},
                              {"X-Request-Timeout-Ms", std::to_string(client_timeout.count())}};
        result.body = method == "POST" ? "order" : "";
        return result;
    }

    /// Sends a request to the first node.
    /// @param on_end called when the response is complete or has failed.
    std::shared_ptr<relay_test_call> begin(
        const std::string& method, const std::string& target, std::function<void()> on_end = [] {})
    {
        return begin(request(method, target), std::move(on_end));
    }

    std::shared_ptr<relay_test_call> begin(client_request sent, std::function<void()> on_end)
    {
        const auto call = std::make_shared<relay_test_call>();
        auto* const result = call.get();
        client_hooks hooks;
        hooks.head = [result](const auto& head) {
            result->response.status = head.status;
            result->response.fields = head.fields;
        };
        hooks.body = [result](std::string_view bytes) { result->response.body.append(bytes); };
        hooks.complete = [result, on_end] {
            result->has_ended = true;
            on_end();
        };
        hooks.failed = [result, on_end](exchange_error) {
            result->response.is_aborted = true;
            result->has_ended = true;
            on_end();
        };
        call->exchange = client.send(a->entry_address, std::move(sent), std::move(hooks));
        return call;
    }

    /// @return the metadata of an attempt that the first node would make.
    attempt_metadata make_metadata(const std::string& route, request_kind kind) const
    {
        attempt_metadata result;
        result.attempt_id = "1";
        result.service = "s";
        result.route = route;
        result.kind = kind;
        result.entry_address = a->peer_address;
        result.remaining = 1s;
        result.objective_remaining = 1s;
        result.plan_version = 1;
        return result;
    }

    /// Sends an attempt to an owner.
    /// @param on_end called when the response is complete or has failed.
    std::shared_ptr<relay_test_attempt> offer(
        const relay_test_node& owner, const attempt_metadata& metadata,
        std::function<void()> on_end = [] {})
    {
        auto sent = request("GET", "/" + metadata.route + "/x");
        sent.head.fields.push_back(
            {attempt_metadata::header, relay_message_codec::encode(metadata)});
        const auto attempt = std::make_shared<relay_test_attempt>();
        client_hooks hooks;
        hooks.head = [result = attempt.get()](const auto& head) {
            const auto text = http_head::find(head.fields, attempt_report::header).value_or("");
            result->report = relay_message_codec::decode_report(text);
        };
        hooks.body = [](std::string_view) {};
        hooks.complete = on_end;
        hooks.failed = [on_end](exchange_error) { on_end(); };
        attempt->exchange = client.send(owner.peer_address, std::move(sent), std::move(hooks));
        return attempt;
    }

    relay_test_response send(const std::string& method, const std::string& target)
    {
        const auto call = begin(method, target, [this] { loop.stop(); });
        loop.run();
        return call->response;
    }

    /// Reports to the first node that a peer has a plan, by a state request in the peer's name.
    void report_plan(std::uint64_t version, const std::string& peer)
    {
        state_request report;
        report.plan_version = version;
        report.address = peer;
        client_request http_request;
        http_request.head.method = "GET";
        http_request.head.target = peer_state_codec::encode(report);
        http_request.head.fields = {{"Host", "h"}};
        client_hooks hooks;
        hooks.head = [](const auto&) {};
        hooks.body = [](std::string_view) {};
        hooks.complete = [this] { loop.stop(); };
        hooks.failed = [this](exchange_error) { loop.stop(); };
        const auto call = client.send(a->peer_address, std::move(http_request), std::move(hooks));
        loop.run();
    }

    void run_for(std::chrono::milliseconds limit)
    {
        loop.after(limit, [this] { loop.stop(); });
        loop.run();
    }
};

inline std::string field_of(const std::shared_ptr<server_exchange>& request, const char* name)
{
    return std::string(http_head::find(request->head().fields, name).value_or(""));
}

} // namespace galenaroad
