#include "net/http_head.h"
#include "support/relay_test_fleet.h"
#include "support/scripted_upstream.h"

#include <catch2/catch.hpp>

using namespace galenaroad;

namespace {

const std::string stamp = "X-Request-Id: r-1\r\nX-Upstream-Stamp: s\r\n";
const std::string body = "Content-Length: 4\r\n\r\ndone";

std::string response_text(const std::string& line)
{
    auto text = line;
    return text.append("\r\n").append(body);
}

/// Status lines that no client may receive as a response.
const std::vector<std::string> invalid_lines = {
    "HTTP/1.1 000 OK",  "HTTP/1.1 0 OK",    "HTTP/1.1 099 OK", "HTTP/1.1 600 OK", "HTTP/1.1 999 OK",
    "HTTP/1.1 2000 OK", "HTTP/1.1 20 OK",   "HTTP/1.1 -20 OK", "HTTP/1.1 +20 OK", "HTTP/1.1 2x0 OK",
    "HTTP/1.1 200OK",   "HTTP/1.1  200 OK", "HTTP/1.1 OK",     "HTTP/1.1 ",       "HTTP/2 200 OK",
};

/// Status lines with control characters in their reason phrases. Clients that take a line feed for
/// the end of a line read another response than the one that was sent.
const std::vector<std::string> lines_with_control_characters = {
    "HTTP/1.1 200 OK\nContent-Length: 8\n\nspoilt!\n",
    "HTTP/1.1 200 OK\n",
    "HTTP/1.1 200 \nOK",
    "HTTP/1.1 200 O\rK",
    "HTTP/1.1 200 O\x01K",
    "HTTP/1.1 200 O\x7fK",
    std::string("HTTP/1.1 200 O\0K", sizeof "HTTP/1.1 200 O\0K" - 1),
};

/// Sends two requests to an upstream that responds to the first one with the given bytes.
struct scripted_exchange {
    relay_test_fleet fleet;
    scripted_upstream upstream;
    relay_test_response first;
    relay_test_response second;

    explicit scripted_exchange(const std::string& bytes, const std::string& method = "POST")
        : upstream(fleet.loop, [bytes](int request) {
              return scripted_upstream::response{
                  request == 0 ? bytes : "HTTP/1.1 200 OK\r\n" + stamp + body, false};
          })
    {
        fleet.b->announce(1, upstream.address(), 2);
        first = fleet.send(method, "/once/x");
        second = fleet.send(method, "/once/x");
    }
};

} // namespace

TEST_CASE("http_head: a status outside 100 to 599 is malformed", "[net]")
{
    // Guards against a response without a meaning that is taken for a success or a failure.
    for (const auto& line : invalid_lines) {
        INFO(line);
        CHECK_FALSE(http_head::read_response(response_text(line), "GET").has_value());
    }
    for (const auto* const line : {"HTTP/1.1 100 OK", "HTTP/1.1 200", "HTTP/1.0 599 "}) {
        INFO(line);
        CHECK(http_head::read_response(std::string(line) + "\r\n\r\n", "GET").has_value());
    }
}

TEST_CASE("http_head: a reason phrase with control characters is malformed", "[net]")
{
    // Guards against bytes that some clients take for a response of their own.
    for (const auto& line : lines_with_control_characters) {
        INFO(line);
        CHECK_FALSE(http_head::read_response(response_text(line), "GET").has_value());
    }
    for (const auto* const line : {"HTTP/1.1 200 a\tb", "HTTP/1.1 200 \xc3\xa9t\xc3\xa9"}) {
        INFO(line);
        CHECK(http_head::read_response(response_text(line), "GET").has_value());
    }
}

TEST_CASE("relay_node: a reason phrase with control characters reaches no client", "[relay]")
{
    // Guards against a client that receives the line feeds of an upstream's status line.
    const auto line = GENERATE(from_range(lines_with_control_characters));
    INFO(line);
    const scripted_exchange exchange(line + "\r\n" + stamp + body);
    CHECK(exchange.first.status == 502);
    CHECK(exchange.first.body.empty());
}

TEST_CASE("relay_node: a response with an invalid status is not delivered", "[relay]")
{
    // Guards against a client that receives a status such as 000.
    const auto line = GENERATE(from_range(invalid_lines));
    INFO(line);
    const scripted_exchange exchange(line + "\r\n" + stamp + body);
    CHECK(exchange.first.status == 502);
    CHECK(exchange.first.body.empty());
}

TEST_CASE("relay_node: interim responses do not replace the final one", "[relay]")
{
    // Guards against an interim response that is delivered as the final one, and against bytes
    // after it, or of another protocol, that are taken for a response.
    const std::string final_response = "HTTP/1.1 200 OK\r\n" + stamp + body;
    const auto hints = "HTTP/1.1 103 Early Hints\r\n" + stamp + "\r\n";
    CHECK(scripted_exchange(hints + final_response).first.status == 200);
    const auto interim_with_body = "HTTP/1.1 100 Continue\r\n" + body;
    CHECK(scripted_exchange(interim_with_body + final_response).first.status == 502);
    const auto upgrade = "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n" + stamp + "\r\n";
    CHECK(scripted_exchange(upgrade + final_response).first.status == 502);
}

TEST_CASE("relay_node: a body after a response without one belongs to no request", "[relay]")
{
    // Guards against bytes that are delivered with this response or the next one.
    const auto status = GENERATE(204, 304);
    const auto head = "HTTP/1.1 " + std::to_string(status) + " Empty\r\n" + stamp;
    const scripted_exchange exchange(head + body);
    CHECK(exchange.first.status == status);
    CHECK(exchange.first.body.empty());
    CHECK_FALSE(exchange.first.is_aborted);
    CHECK(exchange.second.status == 200);
    CHECK(exchange.second.body == "done");
}
