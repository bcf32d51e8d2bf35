#pragma once

#include "platform/memory_object_store.h"

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

namespace galenaroad {

/// Answers the HTTP requests of the object store from an object store in memory.
class standin_object_store_handler {
public:
    /// @param objects the objects; must outlive the handler.
    explicit standin_object_store_handler(memory_object_store& objects);

    /// Answers one request.
    /// @param request the request.
    /// @param response the response.
    void handle(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response);

private:
    void read(const std::string& bucket, const std::string& key,
              Poco::Net::HTTPServerResponse& response);
    std::error_code write(const std::string& bucket, const std::string& key,
                          Poco::Net::HTTPServerRequest& request);

    memory_object_store& m_objects;
};

} // namespace galenaroad
