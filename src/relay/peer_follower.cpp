#include "relay/peer_follower.h"

#include "relay/state_request.h"

#include <Poco/Net/HTTPResponse.h>

namespace galenaroad {

namespace {

using namespace std::chrono_literals;

constexpr auto longest_hold = 15s;
// A peer that is suspended, or that trickles, counts as unreachable after its hold and this time.
constexpr auto answer_time = 1500ms;
// A peer acknowledges a held question twice a second. One that is suspended must be noticed before
// the next change of the plan is overdue.
constexpr auto longest_silence = 1250ms;
constexpr auto pause_after_stale = 500ms;

} // namespace

peer_follower::peer_follower(relay_context& context, std::string address, state_hook on_state)
    : m_context(context), m_address(std::move(address)), m_on_state(std::move(on_state))
{
    ask();
}

peer_follower::~peer_follower()
{
    m_context.loop.cancel(m_timer);
    m_context.loop.cancel(m_silence_timer);
}

void peer_follower::ask()
{
    state_question question;
    question.plan_version = m_context.plan_version();
    question.address = m_context.location.address;
    question.position = m_position;
    question.was_fresh = m_status == status::fresh;
    // A peer that is not fresh answers at once, so that another one can be followed instead.
    question.wait = question.was_fresh ? longest_hold : 0ms;
    state_request_times times;
    times.limit = question.wait + answer_time;
    m_body.clear();
    client_hooks reactions;
    reactions.interim = [this] { watch_silence(); };
    reactions.head = [this](const http_response_head& head) { m_http_status = head.status; };
    reactions.body = [this](std::string_view bytes) { m_body.append(bytes); };
    reactions.complete = [this] { on_answer(); };
    reactions.failed = [this](exchange_error) { on_failed(); };
    m_call = m_context.peers.send(m_address, make_state_request(m_address, question, times),
                                  std::move(reactions));
    watch_silence();
}

void peer_follower::watch_silence()
{
    m_context.loop.cancel(m_silence_timer);
    m_silence_timer = m_context.loop.after(longest_silence, [this] {
        if (m_call) {
            m_call->cancel();
            m_call.reset();
            on_failed();
        }
    });
}

void peer_follower::on_answer()
{
    m_context.loop.cancel(m_silence_timer);
    const auto held = std::move(m_call);
    m_call.reset();
    const auto state = m_http_status == Poco::Net::HTTPResponse::HTTP_OK
                           ? peer_state_codec::decode_state(m_body)
                           : std::nullopt;
    if (!state) {
        m_context.log.note_state("peer_answer_unreadable", {{"peer", m_address}});
        on_failed();
        return;
    }
    m_position = state->position;
    m_status = state->is_fresh ? status::fresh : status::stale;
    m_was_fresh = m_was_fresh || state->is_fresh;
    m_has_lost_store = m_was_fresh && state->is_reader && !state->is_fresh;
    m_timer = m_context.loop.after(state->is_fresh ? 0ms : pause_after_stale, [this] { ask(); });
    // The reaction may end this follower.
    const auto on_state = m_on_state;
    on_state(*state);
}

void peer_follower::on_failed()
{
    m_context.loop.cancel(m_silence_timer);
    m_status = status::unreachable;
    m_has_lost_store = false;
    m_context.ranking.record_unreachable(m_address, m_context.now());
}

} // namespace galenaroad
