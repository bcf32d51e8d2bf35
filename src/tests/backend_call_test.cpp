#include "base/process_clock.h"
#include "proxy/backend_call.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <catch2/catch.hpp>
#include <functional>
#include <thread>

using namespace galenaroad;
using namespace std::chrono_literals;

namespace {

using connection_script = std::function<void(Poco::Net::StreamSocket&)>;

/// Backend server that handles its connections one after the other, each by its own script.
class scripted_backend {
public:
    explicit scripted_backend(const std::vector<connection_script>& scripts)
        : m_socket(Poco::Net::SocketAddress("127.0.0.1:0")), m_thread([this, scripts] {
              for (const auto& script : scripts) {
                  m_open.push_back(m_socket.acceptConnection());
                  script(m_open.back());
              }
          })
    {
    }
    scripted_backend(const scripted_backend&) = delete;
    scripted_backend& operator=(const scripted_backend&) = delete;
    scripted_backend(scripted_backend&&) = delete;
    scripted_backend& operator=(scripted_backend&&) = delete;
    ~scripted_backend() { m_thread.join(); }
    std::string address() const { return m_socket.address().toString(); }
    bool has_further_connection()
    {
        return m_socket.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ);
    }

private:
    Poco::Net::ServerSocket m_socket;
    std::vector<Poco::Net::StreamSocket> m_open; ///< Connections stay open until the end.
    std::thread m_thread;
};

void answer_with(Poco::Net::StreamSocket& socket, const std::string& text)
{
    std::string request;
    char byte = 0;
    while (request.find("\r\n\r\n") == std::string::npos && socket.receiveBytes(&byte, 1) == 1) {
        request.push_back(byte);
    }
    socket.sendBytes(text.data(), static_cast<int>(text.size()));
}

std::string response_text(const std::string& status, const std::string& body)
{
    return "HTTP/1.1 " + status +
           "\r\nConnection: Keep-Alive\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

void answer(Poco::Net::StreamSocket& socket, const std::string& body, const std::string& more = "")
{
    answer_with(socket, response_text("200 OK", body) + more);
}

struct text_sink : answer_sink {
    std::string body;
    bool begin(const answer_head& /*head*/) override { return true; }
    bool write(std::string_view bytes) override
    {
        body.append(bytes);
        return true;
    }
};

struct no_body : body_source {
    body_read read(char* /*buffer*/, std::size_t /*capacity*/) override
    {
        return {0, body_state::complete};
    }
};

std::string call(backend_pool& pool, const std::string& address, bool idempotent = true)
{
    const process_clock time;
    backend_order order;
    order.address = address;
    order.request_id = "1";
    order.method = idempotent ? "GET" : "POST";
    order.target = "/";
    order.deadline = time.steady_now() + 900ms;
    order.idempotent = idempotent;
    order.is_cancelled = [] { return false; };
    no_body body;
    text_sink sink;
    const auto outcome = backend_call(pool, time).run(order, body, sink);
    return outcome.ok() ? sink.body : std::string(answer_for(outcome.kind).name);
}

} // namespace

TEST_CASE("backend_call: a silent reused connection is replaced by a new one", "[proxy]")
{
    // Guards against a request that waits for its deadline on a connection that went silent, while
    // new connections work.
    const process_clock time;
    scripted_backend backend({[](auto& socket) { answer(socket, "first"); },
                              [](auto& socket) { answer(socket, "second"); }});
    backend_pool pool(time, 4);
    CHECK(call(pool, backend.address()) == "first");
    CHECK(call(pool, backend.address()) == "second");
}

TEST_CASE("backend_call: bytes after a response never reach the next request", "[proxy]")
{
    // Guards against a late response of one request that is taken for the response of another.
    const process_clock time;
    const std::string stray = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray";
    scripted_backend backend({[&](auto& socket) { answer(socket, "first", stray); },
                              [](auto& socket) { answer(socket, "second"); }});
    backend_pool pool(time, 4);
    CHECK(call(pool, backend.address()) == "first");
    CHECK(call(pool, backend.address()) == "second");
}

TEST_CASE("backend_call: an action that got no answer is not sent again", "[proxy]")
{
    // Guards against a second run of an action whose connection broke after it was sent.
    const process_clock time;
    scripted_backend backend({[](auto& socket) {
        std::vector<char> buffer(1024);
        socket.receiveBytes(buffer.data(), 1024);
        socket.shutdown();
    }});
    backend_pool pool(time, 4);
    CHECK(call(pool, backend.address(), false) == "upstream_failed");
    CHECK_FALSE(backend.has_further_connection());
}

TEST_CASE("backend_call: a response with an invalid status is a failure", "[proxy]")
{
    // Guards against a caller that receives a status such as 000.
    const process_clock time;
    const std::string status = GENERATE("000 OK", "099 OK", "600 OK", "999 OK", "2000 OK", "20 OK",
                                        "2x0 OK", "200OK", "101 Switching Protocols");
    INFO(status);
    scripted_backend backend(
        {[&](auto& socket) { answer_with(socket, response_text(status, "none")); }});
    backend_pool pool(time, 4);
    CHECK(call(pool, backend.address(), false) == "upstream_failed");
}

TEST_CASE("backend_call: interim responses do not replace the final one", "[proxy]")
{
    // Guards against an interim response that is taken for the final one, and against a call that
    // reads interim responses without end.
    const process_clock time;
    const std::string interim =
        GENERATE("HTTP/1.1 103 Early Hints\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\n");
    scripted_backend backend({[&](auto& socket) {
                                  answer_with(socket,
                                              interim + interim + response_text("200 OK", "final"));
                              },
                              [&](auto& socket) {
                                  std::string endless;
                                  for (int count = 0; count < 1000; ++count) {
                                      endless += interim;
                                  }
                                  answer_with(socket, endless);
                              }});
    backend_pool pool(time, 4);
    CHECK(call(pool, backend.address(), false) == "final");
    CHECK(call(pool, backend.address(), false) == "upstream_failed");
}

TEST_CASE("backend_call: a body after a response without one belongs to no request", "[proxy]")
{
    // Guards against bytes that are delivered with this response or the next one.
    const process_clock time;
    const std::string status = GENERATE("204 No Content", "304 Not Modified");
    scripted_backend backend(
        {[&](auto& socket) { answer_with(socket, response_text(status, "stray")); },
         [](auto& socket) { answer(socket, "second"); }});
    backend_pool pool(time, 4);
    CHECK(call(pool, backend.address()).empty());
    CHECK(call(pool, backend.address()) == "second");
}
