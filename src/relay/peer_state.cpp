#include "relay/peer_state.h"

#include "base/deflate_codec.h"
#include "fleet/owner_record_codec.h"
#include "net/http_head.h"

#include <Poco/Exception.h>
#include <Poco/URI.h>
#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>

namespace galenaroad {

namespace {

using json = nlohmann::json;

constexpr std::uint64_t max_wait_ms = 60'000;
// Shorter texts fit into one packet.
constexpr std::size_t min_compressed_bytes = 1024;
// The records of 30,000 owners, some times the planned size.
constexpr std::size_t max_text_bytes = std::size_t{16} * 1024 * 1024;
// First byte of a text that is not compressed.
constexpr char text_begin = '{';

std::optional<std::string> text_of(std::string_view body)
{
    if (body.empty() || body.front() == text_begin) {
        return std::string(body);
    }
    return deflate_codec::decompress(body, max_text_bytes);
}

std::uint64_t number_at(const json& value, const char* key)
{
    const auto found = value.find(key);
    return found != value.end() && found->is_number_unsigned() ? found->get<std::uint64_t>() : 0;
}

store_era era_at(const json& value, const char* key)
{
    const auto found = value.find(key);
    const bool is_known = found != value.end() && found->is_number_unsigned();
    return is_known ? store_era(found->get<std::uint64_t>()) : store_era();
}

std::string text_at(const json& value, const char* key)
{
    const auto found = value.find(key);
    return found != value.end() && found->is_string() ? found->get<std::string>() : "";
}

std::vector<std::string> texts_at(const json& value, const char* key)
{
    std::vector<std::string> texts;
    const auto found = value.find(key);
    if (found == value.end() || !found->is_array()) {
        return texts;
    }
    for (const auto& each : *found) {
        if (each.is_string()) {
            texts.push_back(each.get<std::string>());
        }
    }
    return texts;
}

bool flag_at(const json& value, const char* key)
{
    const auto found = value.find(key);
    return found != value.end() && found->is_boolean() && found->get<bool>();
}

using query_values = std::map<std::string, std::string>;

std::uint64_t number_in(const query_values& values, const char* name)
{
    const auto found = values.find(name);
    return found == values.end() ? 0 : http_head::parse_number(found->second).value_or(0);
}

store_era era_in(const query_values& values, const char* name)
{
    const auto found = values.find(name);
    const auto number =
        found == values.end() ? std::nullopt : http_head::parse_number(found->second);
    return number ? store_era(*number) : store_era();
}

std::string text_in(const query_values& values, const char* name)
{
    const auto found = values.find(name);
    return found == values.end() ? std::string() : found->second;
}

} // namespace

std::string peer_state_codec::encode(const state_request& request)
{
    Poco::URI uri(path);
    uri.addQueryParameter("plan", std::to_string(request.plan_version));
    if (request.reported_plan_version > 0) {
        uri.addQueryParameter("reported_plan", std::to_string(request.reported_plan_version));
    }
    if (request.plan_digest != 0) {
        uri.addQueryParameter("plan_digest", std::to_string(request.plan_digest));
        uri.addQueryParameter("reported_plan_digest", std::to_string(request.reported_plan_digest));
    }
    if (request.reported_era.is_known()) {
        uri.addQueryParameter("reported_era", std::to_string(request.reported_era.number()));
    }
    uri.addQueryParameter("digest", std::to_string(request.digest));
    uri.addQueryParameter("from", request.address);
    if (!request.position.start_id.empty()) {
        uri.addQueryParameter("start", request.position.start_id);
        uri.addQueryParameter("change", std::to_string(request.position.change));
    }
    if (!request.wants_owners) {
        uri.addQueryParameter("owners", "0");
    }
    if (request.wait.count() > 0) {
        uri.addQueryParameter("fresh", request.was_fresh ? "1" : "0");
        uri.addQueryParameter("wait_ms", std::to_string(request.wait.count()));
    }
    return uri.getPathAndQuery();
}

std::optional<state_request> peer_state_codec::decode_request(const std::string& target)
{
    try {
        const Poco::URI uri(target);
        if (uri.getPath() != path) {
            return {};
        }
        const auto parameters = uri.getQueryParameters();
        const query_values values(parameters.begin(), parameters.end());
        state_request request;
        request.plan_version = number_in(values, "plan");
        request.reported_plan_version = number_in(values, "reported_plan");
        request.plan_digest = number_in(values, "plan_digest");
        request.reported_plan_digest = number_in(values, "reported_plan_digest");
        request.reported_era = era_in(values, "reported_era");
        request.digest = number_in(values, "digest");
        request.address = text_in(values, "from");
        request.position = {text_in(values, "start"), number_in(values, "change")};
        request.was_fresh = number_in(values, "fresh") != 0;
        request.wants_owners = text_in(values, "owners") != "0";
        request.wait =
            std::chrono::milliseconds(std::min(number_in(values, "wait_ms"), max_wait_ms));
        return request;
    }
    catch (const Poco::Exception&) {
        return {};
    }
}

std::string peer_state_codec::encode(const peer_state& state)
{
    json value{{"plan_version", state.plan_version}, {"start", state.position.start_id},
               {"change", state.position.change},    {"fresh", state.is_fresh},
               {"reader", state.is_reader},          {"lost_store", state.has_lost_store},
               {"complete", state.is_complete}};
    if (state.era.is_known()) {
        value["store_era"] = state.era.number();
        value["plan_digest"] = state.plan_digest;
    }
    if (!state.fresh_daemons.empty()) {
        value["fresh_daemons"] = state.fresh_daemons;
    }
    if (!state.owners.empty()) {
        value["owners"] = json::parse(owner_record_codec::encode_all(state.owners));
    }
    // Texts from foreign writers may contain invalid UTF-8, which dump() would otherwise reject.
    auto text = value.dump(-1, ' ', false, json::error_handler_t::replace);
    return text.size() < min_compressed_bytes ? std::move(text) : deflate_codec::compress(text);
}

std::optional<peer_state> peer_state_codec::decode_state(std::string_view body)
{
    const auto text = text_of(body);
    if (!text) {
        return {};
    }
    const auto value = json::parse(*text, nullptr, false);
    if (!value.is_object()) {
        return {};
    }
    peer_state state;
    state.plan_version = number_at(value, "plan_version");
    state.plan_digest = number_at(value, "plan_digest");
    state.era = era_at(value, "store_era");
    state.position = {text_at(value, "start"), number_at(value, "change")};
    state.is_fresh = flag_at(value, "fresh");
    state.is_reader = flag_at(value, "reader");
    state.has_lost_store = flag_at(value, "lost_store");
    state.is_complete = flag_at(value, "complete");
    state.fresh_daemons = texts_at(value, "fresh_daemons");
    if (value.contains("owners")) {
        state.owners = owner_record_codec::decode_all(value["owners"]);
    }
    return state;
}

} // namespace galenaroad
