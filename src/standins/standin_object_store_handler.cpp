#include "standins/standin_object_store_handler.h"

#include "base/error_kind.h"
#include "standins/standin_store_server.h"

#include <Poco/StreamCopier.h>
#include <Poco/URI.h>

namespace galenaroad {

namespace {

using Poco::Net::HTTPResponse;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

void send_status(HTTPServerResponse& response, HTTPResponse::HTTPStatus status)
{
    response.setStatusAndReason(status);
    response.setContentLength(0);
    response.send();
}

std::string decoded(const std::string& text)
{
    std::string decoded_text;
    Poco::URI::decode(text, decoded_text);
    return decoded_text;
}

void send_write_outcome(HTTPServerRequest& request, HTTPServerResponse& response,
                        const std::error_code& error)
{
    if (!error) {
        send_status(response, HTTPResponse::HTTP_NO_CONTENT);
    }
    else if (kind_of(error) == error_kind::store_unavailable) {
        send_status(response, HTTPResponse::HTTP_SERVICE_UNAVAILABLE);
    }
    else {
        standin_store_server::drop_connection(request);
    }
}

} // namespace

standin_object_store_handler::standin_object_store_handler(memory_object_store& objects)
    : m_objects(objects)
{
}

void standin_object_store_handler::handle(HTTPServerRequest& request, HTTPServerResponse& response)
{
    const auto& uri = request.getURI();
    const auto separator = uri.find('/', 1);
    if (separator == std::string::npos || separator + 1 == uri.size()) {
        send_status(response, HTTPResponse::HTTP_NOT_FOUND);
        return;
    }
    const auto bucket = decoded(uri.substr(1, separator - 1));
    const auto key = decoded(uri.substr(separator + 1));
    if (request.getMethod() == "GET") {
        read(bucket, key, response);
    }
    else if (request.getMethod() == "PUT") {
        send_write_outcome(request, response, write(bucket, key, request));
    }
    else if (request.getMethod() == "DELETE") {
        send_write_outcome(request, response, m_objects.remove(bucket, key));
    }
    else {
        send_status(response, HTTPResponse::HTTP_METHOD_NOT_ALLOWED);
    }
}

void standin_object_store_handler::read(const std::string& bucket, const std::string& key,
                                        HTTPServerResponse& response)
{
    const auto bytes = m_objects.read(bucket, key);
    if (bytes) {
        response.setContentType("application/octet-stream");
        response.sendBuffer(bytes->data(), bytes->size());
        return;
    }
    const bool missing = bytes.error() == std::errc::no_such_file_or_directory;
    send_status(response,
                missing ? HTTPResponse::HTTP_NOT_FOUND : HTTPResponse::HTTP_SERVICE_UNAVAILABLE);
}

std::error_code standin_object_store_handler::write(const std::string& bucket,
                                                    const std::string& key,
                                                    HTTPServerRequest& request)
{
    std::string bytes;
    Poco::StreamCopier::copyToString(request.stream(), bytes);
    return m_objects.write(bucket, key, bytes);
}

} // namespace galenaroad
