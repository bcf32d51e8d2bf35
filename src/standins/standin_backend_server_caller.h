#pragma once

#include "standins/standin_backend_server_settings.h"

#include <Poco/Net/HTTPRequest.h>
#include <nlohmann/json.hpp>
#include <string>

namespace galenaroad {

/// Calls another service of the business through the daemon of the instance.
class standin_backend_server_caller {
public:
    /// @param settings address of the daemon and host name of the business.
    explicit standin_backend_server_caller(const standin_backend_server_settings& settings);

    /// Makes a nested call and waits for its answer.
    /// @param incoming the request on whose behalf the call is made; its depth, remaining time and
    /// retry budget are copied.
    /// @param path path and query to call.
    /// @param traceparent the trace header to send; may be empty.
    /// @return `status` and `body`; status 0 when no complete answer arrived.
    nlohmann::json call(const Poco::Net::HTTPRequest& incoming, const std::string& path,
                        const std::string& traceparent) const;

private:
    std::string m_entry_address;
    std::string m_host;
};

} // namespace galenaroad
