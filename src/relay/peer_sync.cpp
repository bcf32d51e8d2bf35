#include "relay/peer_sync.h"

#include "fleet/owner_record_codec.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/URI.h>
#include <nlohmann/json.hpp>

namespace galenaroad {

namespace {

using namespace std::chrono_literals;
using json = nlohmann::json;

constexpr auto follow_interval = 500ms;
constexpr auto connect_timeout = 400ms;
constexpr auto max_idle = 8s;
constexpr std::size_t max_contacts = 16;

/// What a peer told with its question.
struct state_question {
    std::uint64_t plan_version = 0;
    std::uint64_t digest = 0;
    std::string address;
};

state_question read_question(const std::string& target)
{
    state_question question;
    for (const auto& [name, value] : Poco::URI(target).getQueryParameters()) {
        if (name == "plan") {
            question.plan_version = http_head::number(value).value_or(0);
        }
        if (name == "digest") {
            question.digest = http_head::number(value).value_or(0);
        }
        if (name == "from") {
            question.address = value;
        }
    }
    return question;
}

} // namespace

peer_sync::peer_sync(relay_context& context, hooks reactions, random_engine random)
    : m_context(context), m_hooks(std::move(reactions)), m_random(random)
{
}

void peer_sync::start()
{
    m_context.loop.after(follow_interval, [this] {
        tick();
        start();
    });
}

void peer_sync::tick()
{
    if (m_hooks.has_store()) {
        return;
    }
    const auto address = any_peer();
    if (!address.empty()) {
        ask(address);
    }
}

void peer_sync::heard_plan(std::uint64_t version, const std::string& address)
{
    if (address.empty() || address == m_context.location.address) {
        return;
    }
    if (m_context.directory.find(address) == nullptr && m_contacts.size() < max_contacts) {
        m_contacts.insert(address);
    }
    if (version > m_context.plan_version() && !m_call) {
        ask(address);
    }
}

std::string peer_sync::any_peer()
{
    std::vector<std::string> peers(m_contacts.begin(), m_contacts.end());
    for (const auto& record : m_context.directory.all()) {
        const bool is_self = record.address == m_context.location.address;
        if (!is_self && m_context.ranking.is_reachable(record.address, m_context.now())) {
            peers.push_back(record.address);
        }
    }
    if (peers.empty()) {
        return {};
    }
    std::uniform_int_distribution<std::size_t> any(0, peers.size() - 1);
    return peers[any(m_random)];
}

void peer_sync::ask(const std::string& address)
{
    client_request request;
    request.head.method = "GET";
    request.head.target = std::string(path) + "?plan=" + std::to_string(m_context.plan_version()) +
                          "&digest=" + std::to_string(m_context.directory.digest()) +
                          "&from=" + m_context.location.address;
    request.head.fields = {{"Host", address}};
    request.connect_timeout = connect_timeout;
    request.max_idle = max_idle;
    m_answer.clear();
    m_asked = address;
    client_hooks reactions;
    reactions.head = [](const http_response_head&) {};
    reactions.body = [this](std::string_view bytes) { m_answer.append(bytes); };
    reactions.complete = [this] {
        const auto held = std::move(m_call);
        m_call.reset();
        on_answer(m_answer);
    };
    reactions.failed = [this](exchange_fault) {
        const auto held = std::move(m_call);
        m_call.reset();
        m_contacts.erase(m_asked);
        m_context.ranking.note_unreachable(m_asked, m_context.now());
    };
    m_call = m_context.peers.send(address, std::move(request), std::move(reactions));
}

void peer_sync::on_answer(const std::string& text)
{
    const auto value = json::parse(text, nullptr, false);
    if (!value.is_object()) {
        m_context.log.note_state("peer_answer_unreadable", {{"peer", m_asked}});
        return;
    }
    if (value.contains("owners")) {
        m_hooks.owners(owner_record_codec::decode_all(value["owners"].dump()));
    }
    if (value.contains("plan_text") && value["plan_text"].is_string()) {
        plan_document document;
        document.version = value.value("plan_version", std::uint64_t{0});
        document.text = value["plan_text"].get<std::string>();
        m_hooks.plan(std::move(document));
    }
}

void peer_sync::answer(server_exchange& client)
{
    const auto question = read_question(client.head().target);
    json value{{"plan_version", m_context.plan_version()}};
    const auto& document = m_hooks.document();
    if (document.version > question.plan_version) {
        value["plan_text"] = document.text;
    }
    if (question.digest != m_context.directory.digest()) {
        value["owners"] = json::parse(owner_record_codec::encode_all(m_context.directory.all()));
    }
    http_response_head head;
    head.status = Poco::Net::HTTPResponse::HTTP_OK;
    head.fields = {{"Content-Type", "application/json"}};
    client.respond(std::move(head), value.dump());
    heard_plan(question.plan_version, question.address);
}

} // namespace galenaroad
