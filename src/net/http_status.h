#pragma once

#include <Poco/Net/HTTPResponse.h>

namespace galenaroad {

/// @param status a response's status.
/// @return true for a server error (5xx).
constexpr bool is_server_error(int status)
{
    return status >= Poco::Net::HTTPResponse::HTTP_INTERNAL_SERVER_ERROR;
}

/// @param status a response's status.
/// @return true for a success (2xx).
constexpr bool is_success(int status)
{
    return status >= Poco::Net::HTTPResponse::HTTP_OK &&
           status < Poco::Net::HTTPResponse::HTTP_MULTIPLE_CHOICES;
}

/// @param status a response's status.
/// @return true when clients may conclude from it that the request has not been executed and never
/// will be.
constexpr bool implies_not_run(int status)
{
    using Poco::Net::HTTPResponse;
    return status == HTTPResponse::HTTP_REQUEST_TIMEOUT ||
           status == HTTPResponse::HTTP_MISDIRECTED_REQUEST ||
           status == HTTPResponse::HTTP_TOO_MANY_REQUESTS ||
           status == HTTPResponse::HTTP_SERVICE_UNAVAILABLE;
}

} // namespace galenaroad
