#include "relay/plan_fetcher.h"

#include "relay/state_request.h"

#include <algorithm>

namespace galenaroad {

namespace {

using namespace std::chrono_literals;

constexpr auto max_idle = 8s;
// A peer that is suspended or trickles must not be waited for without end.
constexpr auto answer_time = 3s;
// The longest way takes 30 ms, a busy small instance 200 ms.
constexpr auto patience = 300ms;
constexpr std::size_t max_questions = 4;
constexpr std::size_t max_holders = 4;
// A peer that has told of the plan and does not answer is not asked without end.
constexpr int max_questions_to_one = 3;

} // namespace

plan_fetcher::plan_fetcher(relay_context& context, state_hook on_state, lost_hook on_lost)
    : m_context(context), m_on_state(std::move(on_state)), m_on_lost(std::move(on_lost))
{
}

plan_fetcher::~plan_fetcher()
{
    m_context.loop.cancel(m_next);
}

std::uint64_t plan_fetcher::known_version() const
{
    return std::max(m_context.plan_version(), m_context.unreadable_plan_version);
}

void plan_fetcher::hear(std::uint64_t version, const std::string& peer)
{
    if (version <= known_version()) {
        return;
    }
    if (version > m_wanted) {
        m_wanted = version;
        m_holders.clear();
    }
    const bool is_known = std::any_of(m_holders.begin(), m_holders.end(),
                                      [&](const auto& each) { return each.peer == peer; });
    if (is_known || version < m_wanted) {
        return;
    }
    if (m_holders.size() >= max_holders) {
        m_holders.erase(m_holders.begin());
    }
    m_holders.push_back({peer, 0});
    m_context.metrics.record_reported_plan(m_next == event_loop::no_timer ? "asked" : "queued");
    if (m_next == event_loop::no_timer) {
        ask_next();
    }
}

void plan_fetcher::ask(const std::string& peer)
{
    if (m_questions.size() < max_questions) {
        send(peer, max_idle);
    }
}

// Asks the holder that was asked least, the latest one of these, and another one after a moment.
void plan_fetcher::ask_next()
{
    m_context.loop.cancel(m_next);
    m_next = event_loop::no_timer;
    if (m_wanted <= known_version() || m_questions.size() >= max_questions) {
        return;
    }
    const auto chosen =
        std::min_element(m_holders.rbegin(), m_holders.rend(), [](const auto& a, const auto& b) {
            return a.times_asked < b.times_asked;
        });
    if (chosen == m_holders.rend() || chosen->times_asked >= max_questions_to_one) {
        // None of them had it; a version that was told wrongly must not hide the next one.
        m_holders.clear();
        m_wanted = 0;
        return;
    }
    const bool is_first = chosen->times_asked == 0 && m_questions.empty();
    ++chosen->times_asked;
    m_next = m_context.loop.after(patience, [this] { ask_next(); });
    send(chosen->peer, is_first ? max_idle : 0ms);
}

void plan_fetcher::send(const std::string& peer, std::chrono::milliseconds max_idle_time)
{
    state_question asked;
    asked.plan_version = m_context.plan_version();
    asked.digest = m_context.directory.digest();
    asked.address = m_context.location.address;
    const state_request_times times{max_idle_time, answer_time};
    const auto made = m_questions.insert(m_questions.end(), {peer, {}, nullptr});
    client_hooks reactions;
    reactions.head = [](const http_response_head&) {};
    reactions.body = [made](std::string_view bytes) { made->answer.append(bytes); };
    reactions.complete = [this, made] { on_answer(made); };
    reactions.failed = [this, made](exchange_error) { on_failed(made); };
    made->call =
        m_context.peers.send(peer, make_state_request(peer, asked, times), std::move(reactions));
}

void plan_fetcher::on_answer(std::list<question>::iterator asked)
{
    const auto ended = std::move(*asked);
    m_questions.erase(asked);
    const auto state = peer_state_codec::decode_state(ended.answer);
    if (!state) {
        m_context.log.note_state("peer_answer_unreadable", {{"peer", ended.peer}});
    }
    else {
        m_on_state(*state, ended.peer);
    }
}

void plan_fetcher::on_failed(std::list<question>::iterator asked)
{
    const auto ended = std::move(*asked);
    m_questions.erase(asked);
    m_on_lost(ended.peer);
    if (m_next != event_loop::no_timer) {
        ask_next();
    }
}

} // namespace galenaroad
