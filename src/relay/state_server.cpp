#include "relay/state_server.h"

#include <Poco/Net/HTTPResponse.h>

namespace galenaroad {

namespace {

using namespace std::chrono_literals;

// More would hold connections that clients and other peers need.
constexpr std::size_t max_held = 512;
constexpr auto owners_delay = 300ms;
// Held questions are acknowledged at this interval; see peer_follower.
constexpr auto sweep_interval = 500ms;

} // namespace

state_server::state_server(relay_context& context, hooks reads, std::string start)
    : m_context(context), m_hooks(std::move(reads)), m_start(std::move(start))
{
}

std::optional<state_question> state_server::answer(const std::shared_ptr<server_exchange>& client)
{
    auto question = peer_state_codec::decode_question(client->head().target);
    if (!question) {
        http_response_head head;
        head.status = Poco::Net::HTTPResponse::HTTP_BAD_REQUEST;
        client->respond(std::move(head), {});
        return {};
    }
    if (question->wait == 0ms || has_news(*question) || m_held.size() >= max_held) {
        respond(*client, *question);
        return question;
    }
    const auto until = m_context.now() + question->wait;
    const auto held = m_held.insert(m_held.end(), {client, *question, until});
    client->on_disconnected([this, held] { m_held.erase(held); });
    sweep();
    return question;
}

void state_server::note_change()
{
    answer_held([this](const auto& each) { return has_urgent_news(each.question); });
    if (m_tells_soon || m_held.empty()) {
        return;
    }
    m_tells_soon = true;
    m_context.loop.after(owners_delay, [this] {
        m_tells_soon = false;
        answer_held([this](const auto& each) { return has_news(each.question); });
    });
}

bool state_server::has_urgent_news(const state_question& question) const
{
    return m_hooks.document().version > question.plan_version ||
           m_hooks.is_fresh() != question.was_fresh;
}

bool state_server::has_news(const state_question& question) const
{
    const auto& position = question.position;
    return has_urgent_news(question) || position.start != m_start ||
           position.change != m_context.directory.latest_change();
}

void state_server::respond(server_exchange& client, const state_question& question) const
{
    peer_state state;
    const auto& document = m_hooks.document();
    if (document.version > question.plan_version) {
        state.plan = document;
    }
    state.owners = owners_for(question);
    state.position = {m_start, m_context.directory.latest_change()};
    state.is_fresh = m_hooks.is_fresh();
    state.is_reader = m_hooks.is_reader();
    state.is_complete = m_hooks.is_complete();
    if (!state.is_fresh) {
        state.fresh_daemons = m_hooks.fresh_daemons();
    }
    http_response_head head;
    head.status = Poco::Net::HTTPResponse::HTTP_OK;
    head.fields = {{"Content-Type", "application/json"}};
    client.respond(std::move(head), peer_state_codec::encode(state));
}

std::vector<owner_record> state_server::owners_for(const state_question& question) const
{
    const auto& directory = m_context.directory;
    if (!question.wants_owners) {
        return {};
    }
    if (question.position.start == m_start) {
        return directory.changed_since(question.position.change);
    }
    const bool is_equal = question.digest != 0 && question.digest == directory.digest();
    return is_equal ? std::vector<owner_record>() : directory.all();
}

template <typename Predicate>
void state_server::answer_held(Predicate is_due)
{
    for (auto each = m_held.begin(); each != m_held.end();) {
        if (!is_due(*each)) {
            ++each;
            continue;
        }
        const auto due = std::move(*each);
        each = m_held.erase(each);
        // The exchange must not erase the entry again.
        due.client->on_disconnected(nullptr);
        respond(*due.client, due.question);
    }
}

void state_server::sweep()
{
    if (m_is_sweeping || m_held.empty()) {
        return;
    }
    m_is_sweeping = true;
    m_context.loop.after(sweep_interval, [this] {
        m_is_sweeping = false;
        const auto now = m_context.now();
        answer_held([now](const auto& each) { return each.until <= now; });
        for (const auto& each : m_held) {
            each.client->acknowledge();
        }
        sweep();
    });
}

} // namespace galenaroad
