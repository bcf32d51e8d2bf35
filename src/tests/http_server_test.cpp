#include "base/process_clock.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "support/free_address.h"

#include <Poco/Net/StreamSocket.h>
#include <catch2/catch.hpp>
#include <optional>
#include <thread>

using namespace galenaroad;
using namespace std::chrono_literals;

namespace {

/// An http_server on a free port of loopback, and a client on the same loop.
struct test_server {
    std::string address = free_address();
    process_clock time;
    event_loop loop{time};
    http_client client{loop};
    http_server server;

    explicit test_server(http_server::request_handler on_request, server_limits limits = {})
        : server(loop, limits, std::move(on_request))
    {
        server.listen(address);
    }

    void run_for(std::chrono::milliseconds limit)
    {
        loop.after(limit, [this] { loop.stop(); });
        loop.run();
    }
};

struct received_response {
    std::optional<http_response_head> head;
    std::string body;
    std::optional<exchange_error> error;
    bool complete = false;
};

client_hooks hooks_for(received_response& into, event_loop& loop)
{
    client_hooks hooks;
    hooks.head = [&into](const auto& head) { into.head = head; };
    hooks.body = [&into](std::string_view bytes) { into.body.append(bytes); };
    hooks.complete = [&into, &loop] {
        into.complete = true;
        loop.stop();
    };
    hooks.failed = [&into, &loop](exchange_error error) {
        into.error = error;
        loop.stop();
    };
    return hooks;
}

client_request get(const std::string& target)
{
    client_request request;
    request.head.method = "GET";
    request.head.target = target;
    request.head.fields = {{"Host", "test"}};
    request.max_idle = 5s;
    return request;
}

/// Sends raw bytes and returns everything that the server sends back.
std::string exchange_raw(test_server& at, const std::string& bytes)
{
    auto channel = byte_channel::connect(at.loop, at.address, 500ms);
    std::string bytes_received;
    byte_channel::hooks hooks;
    hooks.received = [&](std::string_view part) { bytes_received.append(part); };
    hooks.ended = [&](channel_end) { at.loop.stop(); };
    channel->set_hooks(std::move(hooks));
    channel->send(bytes);
    at.run_for(1500ms);
    return bytes_received;
}

void respond_ok(const std::shared_ptr<server_exchange>& client)
{
    http_response_head head;
    head.status = 200;
    client->respond(std::move(head), client->body());
}

} // namespace

TEST_CASE("http_server: a large response arrives complete", "[net]")
{
    // Guards against lost output when the socket accepts only a part of it: on the platform,
    // downloads over 64 KiB were truncated. The body is larger than all socket buffers.
    const std::string body(64 * 1024 * 1024, 'x');
    test_server at([&](const auto& client) {
        http_response_head head;
        head.status = 200;
        client->respond(std::move(head), body);
    });
    received_response response;
    const auto call = at.client.send(at.address, get("/"), hooks_for(response, at.loop));
    at.run_for(20s);
    CHECK(response.complete);
    CHECK_FALSE(response.error.has_value());
    CHECK(response.body.size() == body.size());
    CHECK((response.body == body));
}

TEST_CASE("http_server: a response of unknown length is framed", "[net]")
{
    // Guards against a truncated response that looks complete.
    const bool is_aborted = GENERATE(false, true);
    test_server at([&](const auto& client) {
        http_response_head head;
        head.status = 200;
        head.framing = {body_end::close, 0};
        client->begin(std::move(head));
        client->write("first ");
        client->write("second");
        if (is_aborted) {
            client->abort();
            return;
        }
        client->finish();
    });
    received_response response;
    const auto call = at.client.send(at.address, get("/"), hooks_for(response, at.loop));
    at.run_for(2s);
    CHECK(response.complete == !is_aborted);
    CHECK(response.error.has_value() == is_aborted);
    if (!is_aborted) {
        CHECK(response.body == "first second");
    }
}

TEST_CASE("http_server: chunked and pipelined requests are read", "[net]")
{
    // Guards against bytes of one request that are read as part of another.
    int requests = 0;
    test_server at([&](const auto& client) {
        ++requests;
        respond_ok(client);
    });
    const auto bytes_received =
        exchange_raw(at, "POST /a HTTP/1.1\r\nHost: t\r\nTransfer-Encoding: chunked"
                         "\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n"
                         "GET /b HTTP/1.1\r\nHost: t\r\nConnection: close\r\n\r\n");
    CHECK(requests == 2);
    CHECK(bytes_received.find("abcde") != std::string::npos);
}

TEST_CASE("http_server: malformed requests are refused with the standard statuses", "[net]")
{
    // Guards against request smuggling, and against statuses that clients interpret differently.
    struct invalid_request {
        std::string bytes;
        std::string status;
    };
    const auto request = GENERATE(values<invalid_request>({
        {"POST / HTTP/1.1\r\nHost: t\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
         "400"},
        {"POST / HTTP/1.1\r\nHost: t\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", "400"},
        {"POST / HTTP/1.1\r\nHost: t\r\nContent-Length: -1\r\n\r\n", "400"},
        {"GET / HTTP/1.1\r\n\r\n", "400"},
        {"GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", "400"},
        {"GET / HTTP/1.1\r\nHost : t\r\n\r\n", "400"},
        {"POST / HTTP/1.1\r\nHost: t\r\nTransfer-Encoding: gzip\r\n\r\n", "501"},
        {"POST / HTTP/1.1\r\nHost: t\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", "400"},
        {"POST / HTTP/1.1\r\nHost: t\r\nContent-Length: 99999999999\r\n\r\n", "413"},
        {"GET / HTTP/1.1\r\nHost: t\r\nX: " + std::string(20000, 'y') + "\r\n\r\n", "431"},
    }));
    test_server at([](const auto&) { FAIL("The request was accepted"); });
    const auto bytes_received = exchange_raw(at, request.bytes);
    CHECK(bytes_received.substr(0, 12) == "HTTP/1.1 " + request.status);
    CHECK(bytes_received.find("Connection: close") != std::string::npos);
}

TEST_CASE("http_server: incomplete heads do not delay other clients", "[net]")
{
    // Guards against slow clients that prevent the daemon from serving others.
    server_limits limits;
    limits.head_timeout = 300ms;
    test_server at(respond_ok, limits);
    std::vector<std::shared_ptr<byte_channel>> slow;
    std::string bytes_received;
    for (int count = 0; count < 200; ++count) {
        slow.push_back(byte_channel::connect(at.loop, at.address, 500ms));
        byte_channel::hooks hooks;
        hooks.received = [&](std::string_view part) { bytes_received = std::string(part); };
        slow.back()->set_hooks(std::move(hooks));
        slow.back()->send("GET / HT");
    }
    received_response response;
    const auto start = at.time.steady_now();
    const auto call = at.client.send(at.address, get("/"), hooks_for(response, at.loop));
    at.loop.run();
    CHECK(response.complete);
    CHECK(at.time.steady_now() - start < 250ms);
}

TEST_CASE("http_server: a client that disconnects is detected while its request is pending",
          "[net]")
{
    // Guards against work on requests whose client has disconnected.
    std::shared_ptr<server_exchange> held;
    bool is_disconnected = false;
    test_server at([&](auto client) {
        held = std::move(client);
        held->on_disconnected([&] {
            is_disconnected = true;
            at.loop.stop();
        });
    });
    received_response response;
    auto call = at.client.send(at.address, get("/"), hooks_for(response, at.loop));
    at.loop.after(100ms, [&] { call.reset(); });
    at.run_for(2s);
    CHECK(is_disconnected);
}

TEST_CASE("http_server: an exchange may respond after its server was destroyed", "[net]")
{
    // Guards against a crash seen in the soak at seed 100: an upstream was restarted while a
    // request was pending, and the response used the destroyed server.
    const process_clock time;
    event_loop loop(time);
    http_client client(loop);
    std::shared_ptr<server_exchange> held;
    const auto address = free_address();
    auto server = std::make_unique<http_server>(loop, server_limits(), [&](auto exchange) {
        held = std::move(exchange);
        loop.stop();
    });
    server->listen(address);
    received_response response;
    const auto call = client.send(address, get("/"), hooks_for(response, loop));
    loop.run();
    REQUIRE(held);
    server.reset();
    respond_ok(held);
    loop.run();
    CHECK(response.error.has_value());
}

TEST_CASE("http_client: a response to an earlier request is dropped", "[net]")
{
    // Guards against a late response that is delivered to another request on a reused connection.
    int requests = 0;
    test_server at([&](const auto& client) {
        ++requests;
        http_response_head head;
        head.status = 200;
        const auto id = http_head::find(client->head().fields, "X-Request-Id");
        head.fields = {{"X-Request-Id", std::string(id.value_or(""))}};
        client->respond(std::move(head), "answer");
    });
    auto request = get("/");
    request.head.fields.push_back({"X-Request-Id", "one"});
    request.match_response = [](const auto& head) {
        const bool is_own = http_head::find(head.fields, "X-Request-Id") == "two";
        return is_own ? response_match::own : response_match::other;
    };
    received_response response;
    const auto call = at.client.send(at.address, std::move(request), hooks_for(response, at.loop));
    at.run_for(300ms);
    CHECK(requests == 1);
    CHECK_FALSE(response.complete);
    CHECK_FALSE(response.head.has_value());
}

TEST_CASE("http_client: connections are reused, and a refused one is reported", "[net]")
{
    // Guards against a new connection for each request, and against a failure that is not reported.
    test_server at(respond_ok);
    for (int round = 0; round < 3; ++round) {
        received_response response;
        const auto call = at.client.send(at.address, get("/"), hooks_for(response, at.loop));
        event_loop& loop = at.loop;
        loop.run();
        CHECK(response.complete);
    }
    received_response refused;
    const auto call = at.client.send(free_address(), get("/"), hooks_for(refused, at.loop));
    at.loop.run();
    REQUIRE(refused.error.has_value());
    CHECK(*refused.error == exchange_error::refused);
    CHECK(at.client.opened_connections() == 2);
}

TEST_CASE("http_client: an interim response arrives before the response and is not part of it",
          "[net]")
{
    // Guards against an interim response that is taken for the response.
    std::shared_ptr<server_exchange> held;
    test_server at([&](std::shared_ptr<server_exchange> client) {
        held = std::move(client);
        held->acknowledge();
    });
    received_response response;
    int interims = 0;
    auto hooks = hooks_for(response, at.loop);
    hooks.interim = [&] { ++interims; };
    const auto call = at.client.send(at.address, get("/"), std::move(hooks));
    at.run_for(200ms);
    CHECK(interims == 1);
    CHECK_FALSE(response.head.has_value());
    REQUIRE(held);
    http_response_head head;
    head.status = 200;
    held->respond(std::move(head), "late");
    at.loop.run();
    CHECK(response.complete);
    CHECK(response.body == "late");
}

TEST_CASE("http_server: reports whether bytes of a response wait to be sent", "[net]")
{
    // Guards against a lost response: a process ended while a download was still being sent to a
    // client on a slow link.
    const std::string large(std::size_t{24} * 1024 * 1024, 'x');
    test_server at([&](const std::shared_ptr<server_exchange>& client) {
        http_response_head head;
        head.status = 200;
        client->respond(std::move(head), large);
    });
    received_response response;
    std::shared_ptr<http_exchange> call;
    auto hooks = hooks_for(response, at.loop);
    hooks.head = [&](const auto&) { call->pause(true); };
    call = at.client.send(at.address, get("/"), std::move(hooks));
    CHECK_FALSE(at.server.has_unsent_bytes());
    at.loop.after(300ms, [&] {
        CHECK(at.server.has_unsent_bytes());
        call->pause(false);
    });
    at.run_for(4s);
    CHECK(response.complete);
    CHECK_FALSE(at.server.has_unsent_bytes());
}

TEST_CASE("http_server: a response that closes its connection reaches a slow client completely",
          "[net]")
{
    // Guards against a response that is truncated one second after it was written.
    const std::string large(std::size_t{24} * 1024 * 1024, 'x');
    test_server at([&](const std::shared_ptr<server_exchange>& client) {
        http_response_head head;
        head.status = 200;
        head.keep_alive = false;
        client->respond(std::move(head), large);
    });
    received_response response;
    auto call = at.client.send(at.address, get("/"), hooks_for(response, at.loop));
    at.loop.after(50ms, [&] { call->pause(true); });
    at.loop.after(1600ms, [&] { call->pause(false); });
    at.run_for(4s);
    CHECK(response.complete);
    CHECK(response.body.size() == large.size());
}

TEST_CASE("http_server: a request that arrives as its connection times out gets a response",
          "[net]")
{
    // Guards against a lost request: a daemon that was slow to read closed a connection as idle
    // although a request was waiting on it.
    server_limits limits;
    limits.idle_timeout = 300ms;
    std::shared_ptr<byte_channel> waiting;
    std::string bytes_received;
    test_server at(
        [&](const auto& client) {
            if (client->head().target == "/slow") {
                // The request arrives after the loop has looked for input.
                waiting->send("GET /waiting HTTP/1.1\r\nHost: h\r\n\r\n");
                std::this_thread::sleep_for(700ms);
            }
            respond_ok(client);
        },
        limits);
    waiting = byte_channel::connect(at.loop, at.address, 500ms);
    byte_channel::hooks hooks;
    hooks.received = [&](std::string_view bytes) { bytes_received.append(bytes); };
    waiting->set_hooks(std::move(hooks));
    waiting->send("GET /first HTTP/1.1\r\nHost: h\r\n\r\n");
    at.run_for(100ms);
    REQUIRE_FALSE(bytes_received.empty());
    bytes_received.clear();
    received_response slow;
    const auto call = at.client.send(at.address, get("/slow"), hooks_for(slow, at.loop));
    at.loop.run();
    at.run_for(500ms);
    CHECK(bytes_received.rfind("HTTP/1.1 200", 0) == 0);
    waiting.reset();
}

TEST_CASE("http_server: a previous, longer idle timeout stays in effect for its duration", "[net]")
{
    // Guards against a change of the plan that closes connections on which clients still rely.
    server_limits limits;
    limits.idle_timeout = 1200ms;
    test_server at(respond_ok, limits);
    std::string bytes_received;
    bool has_ended = false;
    const auto channel = byte_channel::connect(at.loop, at.address, 500ms);
    byte_channel::hooks hooks;
    hooks.received = [&](std::string_view bytes) { bytes_received.append(bytes); };
    hooks.ended = [&](channel_end) { has_ended = true; };
    channel->set_hooks(std::move(hooks));
    channel->send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    at.run_for(100ms);
    limits.idle_timeout = 100ms;
    at.server.set_limits(limits);
    at.run_for(800ms);
    CHECK_FALSE(has_ended);
    bytes_received.clear();
    channel->send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    at.run_for(100ms);
    CHECK(bytes_received.rfind("HTTP/1.1 200", 0) == 0);
    at.run_for(1000ms);
    CHECK(has_ended);
}
