#include "proxy/problem.h"

#include <nlohmann/json.hpp>
#include <ostream>

namespace galenaroad {

std::string problem::body(const attempt_result& failure, const std::string& request_id)
{
    const auto& row = answer_for(failure.kind);
    const nlohmann::ordered_json made{
        {"title", row.title},
        {"status", row.http_status},
        {"detail", failure.detail},
        {"kind", row.name},
        {"run", run_state_name(failure.run)},
        {"retry_after_ms", failure.retry_after.count()},
        {"request_id", request_id},
    };
    // The detail may quote bytes of a backend server that are no valid UTF-8.
    return made.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

void problem::send(Poco::Net::HTTPServerResponse& response, const attempt_result& failure,
                   const std::string& request_id)
{
    const auto text = body(failure, request_id);
    const auto status = answer_for(failure.kind).http_status;
    response.setStatusAndReason(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
    response.setContentType("application/problem+json");
    response.set("X-Request-Id", request_id);
    if (failure.retry_after.count() > 0) {
        const auto seconds = (failure.retry_after.count() + 999) / 1000;
        response.set("Retry-After", std::to_string(seconds));
    }
    response.setContentLength64(static_cast<Poco::Int64>(text.size()));
    auto& body = response.send();
    body.write(text.data(), static_cast<std::streamsize>(text.size()));
    body.flush();
}

} // namespace galenaroad
