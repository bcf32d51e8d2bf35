#include "action/action_row.h"

#include "base/error_kind.h"

#include <Poco/Base64Decoder.h>
#include <Poco/Base64Encoder.h>
#include <Poco/StreamCopier.h>

#include <nlohmann/json.hpp>

#include <sstream>

namespace galenaroad {

NLOHMANN_JSON_SERIALIZE_ENUM(action_state, {{action_state::claimed, "claimed"},
                                            {action_state::released, "released"},
                                            {action_state::completed, "completed"}})

NLOHMANN_JSON_SERIALIZE_ENUM(not_run_proof, {{not_run_proof::never_dispatched, "never_dispatched"},
                                             {not_run_proof::owner_refused, "owner_refused"},
                                             {not_run_proof::fenced, "fenced"}})

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(response_header, name, value)

namespace {

// Bodies are arbitrary bytes, which JSON cannot represent directly.
std::string to_base64(const std::string& bytes)
{
    std::ostringstream text;
    Poco::Base64Encoder encoder(text);
    encoder.rdbuf()->setLineLength(0);
    encoder << bytes;
    encoder.close();
    return text.str();
}

std::string from_base64(const std::string& text)
{
    std::istringstream stream(text);
    Poco::Base64Decoder decoder(stream);
    std::string bytes;
    Poco::StreamCopier::copyToString(decoder, bytes);
    return bytes;
}

nlohmann::json response_document(const action_row& row)
{
    nlohmann::json document{{"status", row.response.status}, {"headers", row.response.headers}};
    if (row.body_object.empty()) {
        document["body"] = to_base64(row.response.body);
    }
    else {
        document["object"] = row.body_object;
    }
    return document;
}

void read_response(const nlohmann::json& document, action_row& row)
{
    row.response.status = document.at("status").get<int>();
    row.response.headers = document.at("headers").get<std::vector<response_header>>();
    row.response.body = from_base64(document.value("body", ""));
    row.body_object = document.value("object", "");
}

// Without this check, an unknown name would be read as the first enumeration value.
action_state read_state(const nlohmann::json& document)
{
    const auto state = document.at("state").get<action_state>();
    if (nlohmann::json(state) != document.at("state")) {
        throw std::invalid_argument("unknown state");
    }
    return state;
}

action_row read_row(const nlohmann::json& document)
{
    action_row row;
    row.state = read_state(document);
    row.attempt_id = document.at("attempt").get<std::string>();
    row.instance = document.at("instance").get<std::string>();
    row.incarnation = document.at("incarnation").get<std::uint64_t>();
    row.digest = document.at("digest").get<std::string>();
    row.outcome_unknown = document.value("outcome_unknown", false);
    if (row.state == action_state::released) {
        row.proof = document.at("proof").get<not_run_proof>();
    }
    if (row.state == action_state::completed) {
        read_response(document.at("response"), row);
    }
    return row;
}

} // namespace

std::string action_row::to_json() const
{
    nlohmann::json document{{"state", state},
                            {"attempt", attempt_id},
                            {"instance", instance},
                            {"incarnation", incarnation},
                            {"digest", digest}};
    if (outcome_unknown) {
        document["outcome_unknown"] = true;
    }
    if (state == action_state::released) {
        document["proof"] = proof;
    }
    if (state == action_state::completed) {
        document["response"] = response_document(*this);
    }
    // Header values may contain bytes that are not valid UTF-8.
    return document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

result<action_row> action_row::from_json(const std::string& text)
{
    try {
        return read_row(nlohmann::json::parse(text));
    }
    catch (const std::exception&) {
        return tl::unexpected(make_error_code(error_kind::internal));
    }
}

} // namespace galenaroad
