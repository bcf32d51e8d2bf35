#pragma once

#include "base/error_kind.h"
#include "daemon/upstream_announcement.h"
#include "model/upstream.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <functional>
#include <string>

namespace galenaroad {

/// What the admin address can do.
struct admin_actions {
    std::function<void(const upstream_announcement&)> announce;
    std::function<void(const std::string& upstream)> withdraw;
    /// Drains an upstream or ends its drain.
    std::function<std::error_code(const service_id&, const upstream_id&, bool is_drained)> drain;
    /// A change of a contract was accepted.
    std::function<void()> contract_accepted;
    std::function<std::string()> metrics;
    /// Why the daemon is not ready, or an empty text when it is.
    std::function<std::string()> not_ready;
    /// The fleet as JSON, for operators.
    std::function<std::string()> fleet;
};

/// Handles requests of local backend servers and operators on the admin address.
class admin_handler : public Poco::Net::HTTPRequestHandler {
public:
    static constexpr std::size_t max_body_bytes = std::size_t{64} * 1024;

    /// @param actions what the address can do; outlives the handler.
    explicit admin_handler(const admin_actions& actions);

    void handleRequest(Poco::Net::HTTPServerRequest& request,
                       Poco::Net::HTTPServerResponse& response) override;

private:
    void handle_upstream(const std::string& name, Poco::Net::HTTPServerRequest& request,
                         Poco::Net::HTTPServerResponse& response) const;
    void announce(const std::string& name, Poco::Net::HTTPServerRequest& request,
                  Poco::Net::HTTPServerResponse& response) const;
    void handle_drain(const std::string& path, Poco::Net::HTTPServerRequest& request,
                      Poco::Net::HTTPServerResponse& response) const;
    void report_readiness(Poco::Net::HTTPServerResponse& response) const;

    const admin_actions& m_actions;
};

} // namespace galenaroad
