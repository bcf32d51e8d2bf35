#include "daemon/upstream_announcement.h"

#include "base/error_kind.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <nlohmann/json.hpp>

namespace galenaroad {

namespace {

constexpr int max_slots = 100'000;
constexpr std::size_t max_name_bytes = 128;

bool is_valid(const upstream_announcement& made)
{
    if (made.name.empty() || made.name.size() > max_name_bytes) {
        return false;
    }
    if (made.service.business.empty() || made.service.service.empty()) {
        return false;
    }
    if (made.slots < 1 || made.slots > max_slots || made.connections < 0) {
        return false;
    }
    try {
        return Poco::Net::SocketAddress(made.address).port() != 0;
    }
    catch (const Poco::Exception&) {
        return false;
    }
}

} // namespace

result<upstream_announcement> upstream_announcement::parse(const std::string& name,
                                                           const std::string& text)
{
    try {
        const auto body = nlohmann::json::parse(text);
        upstream_announcement made;
        made.name = name;
        made.service = {body.at("business"), body.at("service")};
        made.address = body.at("address");
        made.slots = body.at("slots");
        made.connections = body.value("connections", 0);
        if (is_valid(made)) {
            return made;
        }
    }
    catch (const nlohmann::json::exception&) {
        // Reported below, like a member with an invalid value.
    }
    return tl::make_unexpected(make_error_code(error_kind::invalid_request));
}

} // namespace galenaroad
