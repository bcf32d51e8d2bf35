#include "standins/standin_backend_server_announcer.h"
#include "standins/standin_store_server.h"

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/StreamCopier.h>
#include <catch2/catch.hpp>

using namespace galenaroad;

namespace {

/// Admin address that records what is sent to it.
class admin_recorder {
public:
    std::string address() const { return m_server.address(); }

    std::vector<std::string> requests()
    {
        const std::lock_guard lock(m_mutex);
        return m_requests;
    }

    bool wait_for(std::size_t count)
    {
        for (int i = 0; i < 200 && requests().size() < count; ++i) {
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
        return requests().size() >= count;
    }

private:
    void record(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response)
    {
        std::string body;
        Poco::StreamCopier::copyToString(request.stream(), body);
        const std::lock_guard lock(m_mutex);
        m_requests.push_back(request.getMethod() + ' ' + request.getURI() + ' ' + body);
        response.setContentLength(0);
        response.send();
    }

    std::mutex m_mutex;
    std::vector<std::string> m_requests;
    standin_store_faults m_faults;
    standin_store_server m_server{"127.0.0.1:0", m_faults,
                                  [this](auto& in, auto& out) { record(in, out); }};
};

standin_backend_server_settings example(const std::string& admin)
{
    standin_backend_server_settings settings;
    settings.name = "finder-1";
    settings.business = "tetteh";
    settings.service = "finder";
    settings.admin_address = admin;
    return settings;
}

} // namespace

TEST_CASE("standin_backend_server_announcer: announces at once and says when it leaves",
          "[standins]")
{
    // Guards against a server that receives no work, or receives work after it has left.
    admin_recorder admin;
    const standin_backend_server_faults faults;
    standin_backend_server_announcer announcer(example(admin.address()), "127.0.0.1:9", faults);
    REQUIRE(admin.wait_for(1));
    CHECK(announcer.leave());
    const auto requests = admin.requests();
    CHECK(requests.front() == "PUT /v1/upstreams/finder-1 "
                              R"({"address":"127.0.0.1:9","business":"tetteh","connections":330,)"
                              R"("service":"finder","slots":7})");
    CHECK(requests.back() == "DELETE /v1/upstreams/finder-1 ");
}

TEST_CASE("standin_backend_server_announcer: a frozen server announces nothing", "[standins]")
{
    // Guards against a freeze that the daemon cannot notice because announcements go on.
    admin_recorder admin;
    standin_backend_server_faults faults;
    CHECK(faults.apply(R"({"frozen": true})").empty());
    const standin_backend_server_announcer announcer(example(admin.address()), "127.0.0.1:9",
                                                     faults);
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    CHECK(admin.requests().empty());
    CHECK(faults.apply(R"({"frozen": false})").empty());
    CHECK(admin.wait_for(1));
}
