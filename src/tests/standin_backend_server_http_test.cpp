#include "standins/standin_backend_server_http.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>
#include <catch2/catch.hpp>
#include <thread>
#include <xxhash.h>

using namespace galenaroad;

namespace {

struct answer {
    int status = 0;
    std::string body;
    std::string checksum;
};

answer ask(const standin_backend_server_http& server, const std::string& method,
           const std::string& path, const std::string& body = {})
{
    Poco::Net::HTTPClientSession session{Poco::Net::SocketAddress(server.address())};
    session.setTimeout(Poco::Timespan(5, 0));
    Poco::Net::HTTPRequest request(method, path, "HTTP/1.1");
    request.setContentLength64(static_cast<Poco::Int64>(body.size()));
    request.set("Idempotency-Key", "k-1");
    request.set("X-Request-Id", "r-1");
    answer received;
    try {
        session.sendRequest(request) << body;
        Poco::Net::HTTPResponse response;
        auto& stream = session.receiveResponse(response);
        received.status = response.getStatus();
        received.checksum = response.get("X-Content-Checksum", "");
        Poco::StreamCopier::copyToString(stream, received.body);
    }
    catch (const Poco::Exception&) {
        received.status = 0;
    }
    return received;
}

standin_backend_server_settings example()
{
    standin_backend_server_settings settings;
    settings.name = "orders-1";
    settings.slots = 1;
    return settings;
}

} // namespace

TEST_CASE("standin_backend_server_http: records each action that ran", "[standins]")
{
    // Guards against a checker that cannot see a duplicate because an action went unrecorded.
    const standin_backend_server_http server(example());
    CHECK(ask(server, "POST", "/orders", "belt").status == 201);
    const auto actions = nlohmann::json::parse(ask(server, "GET", "/_actions").body);
    REQUIRE(actions.size() == 1);
    CHECK(actions[0] == nlohmann::json{{"path", "/orders"},
                                       {"idempotency_key", "k-1"},
                                       {"request_id", "r-1"},
                                       {"body", "belt"}});
}

TEST_CASE("standin_backend_server_http: downloads match their checksum", "[standins]")
{
    // Guards against a checksum that cannot show a damaged download.
    const standin_backend_server_http server(example());
    const auto full = ask(server, "GET", "/manuals/1?bytes=200000");
    CHECK(full.body.size() == 200000);
    const auto hash = XXH64(full.body.data(), full.body.size(), 0);
    CHECK(std::stoull(full.checksum.substr(6), nullptr, 16) == hash);
}

TEST_CASE("standin_backend_server_http: shows the faults that are set", "[standins]")
{
    // Guards against an experiment that measures a healthy server because a fault had no effect.
    standin_backend_server_http server(example());
    CHECK(ask(server, "PUT", "/_faults", R"({"failure_shar": 1})").status == 400);
    CHECK(ask(server, "PUT", "/_faults", R"({"failure_share": 2})").status == 400);
    CHECK(ask(server, "PUT", "/_faults", R"({"failure_share": 1})").status == 200);
    CHECK(ask(server, "GET", "/finder?q=a").status == 500);
    CHECK(ask(server, "GET", "/health").status == 500);
    CHECK(ask(server, "PUT", "/_faults", R"({"lying_health": true})").status == 200);
    CHECK(ask(server, "GET", "/health").status == 200);
    CHECK(server.faults().apply(R"({"failure_share": 0, "truncate": true})").empty());
    const auto cut = ask(server, "GET", "/finder?q=a");
    CHECK(!nlohmann::json::accept(cut.body));
}

TEST_CASE("standin_backend_server_http: sheds beyond its slots and ends while silent", "[standins]")
{
    // Guards against a server that queues beyond its slots, and against a silent request that
    // keeps the process from ending.
    standin_backend_server_http server(example());
    CHECK(server.faults().apply(R"({"silent": true})").empty());
    answer held;
    std::thread caller([&] { held = ask(server, "GET", "/finder?q=a"); });
    int shed_status = 0;
    for (int i = 0; i < 100 && shed_status != 503; ++i) {
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
        const auto counters = nlohmann::json::parse(ask(server, "GET", "/_counters").body);
        shed_status = counters["slots_in_use"] == 1 ? ask(server, "GET", "/finder").status : 0;
    }
    CHECK(shed_status == 503);
    server.drain();
    caller.join();
    CHECK(held.status == 0);
}
