#pragma once

#include "platform/memory_table_service.h"

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

namespace galenaroad {

/// Answers the HTTP conditional requests of the table service from a table service in memory.
class standin_table_service_handler {
public:
    /// @param tables the rows; must outlive the handler.
    explicit standin_table_service_handler(memory_table_service& tables);

    /// Answers one request.
    /// @param request the request.
    /// @param response the response.
    void handle(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response);

private:
    void read(const std::string& table, const std::string& key,
              Poco::Net::HTTPServerResponse& response);
    void list(const std::string& table, Poco::Net::HTTPServerRequest& request,
              Poco::Net::HTTPServerResponse& response);
    void put(const std::string& table, const std::string& key,
             Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response);
    void remove(const std::string& table, const std::string& key,
                Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response);

    memory_table_service& m_tables;
};

} // namespace galenaroad
