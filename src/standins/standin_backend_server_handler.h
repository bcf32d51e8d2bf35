#pragma once

#include "standins/standin_backend_server_actions.h"
#include "standins/standin_backend_server_caller.h"
#include "standins/standin_backend_server_faults.h"
#include "standins/standin_backend_server_settings.h"
#include "standins/standin_backend_server_tracer.h"

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <atomic>
#include <string>

namespace galenaroad {

/// Answers the requests of a stand-in backend server. Safe for use by several threads.
///
/// POST, PUT, PATCH and DELETE are actions. GET with `bytes=N` is a download. Other GETs are
/// searches. `call=PATH` makes a nested call first.
class standin_backend_server_handler {
public:
    /// @param settings what the server is; must outlive the handler.
    /// @param faults what it does wrong; must outlive the handler.
    standin_backend_server_handler(const standin_backend_server_settings& settings,
                                   standin_backend_server_faults& faults);

    /// Answers one request.
    /// @param request the request.
    /// @param response its response.
    void handle(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response);

    /// Releases requests that a fault holds, so that the process can end.
    void stop() { m_stopping = true; }

    /// @return number of requests being worked on.
    int in_use() const { return m_in_use; }

private:
    struct work;

    void handle_faults(Poco::Net::HTTPServerRequest& request,
                       Poco::Net::HTTPServerResponse& response);
    void handle_health(Poco::Net::HTTPServerRequest& request,
                       Poco::Net::HTTPServerResponse& response);
    void handle_work(work& item);
    void run(work& item);
    void run_action(work& item);
    void run_search(work& item);
    void run_download(work& item, std::uint64_t bytes);
    bool make_nested_call(work& item);
    void fail(work& item);
    void reply(work& item, int status, const nlohmann::json& body);

    /// @return false when the caller closed its connection or the server stops.
    bool wait(work& item, std::chrono::microseconds time);
    void hold(work& item, bool standin_fault_settings::*fault);

    const standin_backend_server_settings& m_settings;
    standin_backend_server_faults& m_faults;
    standin_backend_server_caller m_caller;
    standin_backend_server_tracer m_tracer;
    standin_backend_server_actions m_actions;
    std::atomic<int> m_in_use{0};
    std::atomic<std::uint64_t> m_started{0};
    std::atomic<std::uint64_t> m_shed{0};
    std::atomic<bool> m_stopping{false};
};

} // namespace galenaroad
