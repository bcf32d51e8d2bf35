#include "relay/peer_follower.h"

#include "relay/state_http_request.h"

#include <Poco/Net/HTTPResponse.h>

namespace galenaroad {

namespace {

using namespace std::chrono_literals;

constexpr auto max_hold_time = 15s;
// Time for a response after the hold time. It bounds the wait for a suspended peer and for one that
// sends its response very slowly.
constexpr auto response_timeout = 1500ms;
// A peer acknowledges a held request twice a second. A suspended peer must be detected before the
// next plan change is overdue.
constexpr auto max_silence = 1250ms;
constexpr auto stale_retry_delay = 500ms;

} // namespace

peer_follower::peer_follower(relay_context& context, std::string address, state_hook on_state)
    : m_context(context), m_address(std::move(address)), m_on_state(std::move(on_state))
{
    send_request();
}

peer_follower::~peer_follower()
{
    m_context.loop.cancel(m_request_timer);
    m_context.loop.cancel(m_silence_timer);
}

void peer_follower::send_request()
{
    state_request request;
    request.plan_version = m_context.plan_version();
    request.reported_plan_version = m_plan_version;
    request.reported_era = m_era;
    if (m_era.is_known() && request.plan_version > 0) {
        request.plan_digest = m_context.plans.in_force()->digest();
        request.reported_plan_digest = m_plan_digest;
    }
    request.address = m_context.location.address;
    request.position = m_position;
    request.was_fresh = m_status == status::fresh;
    // A peer that is not fresh responds at once, so that another one can be followed instead.
    request.wait = request.was_fresh ? max_hold_time : 0ms;
    state_request_limits limits;
    limits.timeout = request.wait + response_timeout;
    m_response_body.clear();
    client_hooks callbacks;
    callbacks.interim = [this] { restart_silence_timer(); };
    callbacks.head = [this](const http_response_head& head) { m_response_status = head.status; };
    callbacks.body = [this](std::string_view bytes) {
        m_response_body.append(bytes);
        restart_silence_timer();
    };
    callbacks.complete = [this] { on_response(); };
    callbacks.failed = [this](exchange_error) { on_failed(); };
    m_call = m_context.peers.send(m_address, make_state_http_request(m_address, request, limits),
                                  std::move(callbacks));
    restart_silence_timer();
}

void peer_follower::restart_silence_timer()
{
    m_context.loop.cancel(m_silence_timer);
    m_silence_timer = m_context.loop.after(max_silence, [this] {
        if (m_call) {
            m_call->cancel();
            m_call.reset();
            on_failed();
        }
    });
}

void peer_follower::on_response()
{
    m_context.loop.cancel(m_silence_timer);
    const auto finished_call = std::move(m_call);
    m_call.reset();
    const auto state = m_response_status == Poco::Net::HTTPResponse::HTTP_OK
                           ? peer_state_codec::decode_state(m_response_body)
                           : std::nullopt;
    if (!state) {
        m_context.log.note_state("peer_answer_unreadable", {{"peer", m_address}});
        on_failed();
        return;
    }
    m_position = state->position;
    m_status = state->is_fresh ? status::fresh : status::stale;
    m_has_lost_store = state->has_lost_store;
    m_plan_version = state->plan_version;
    m_plan_digest = state->plan_digest;
    m_era = state->era;
    m_request_timer =
        m_context.loop.after(state->is_fresh ? 0ms : stale_retry_delay, [this] { send_request(); });
    // The callback may destroy this follower.
    const auto on_state = m_on_state;
    on_state(*state);
}

void peer_follower::on_failed()
{
    m_context.loop.cancel(m_silence_timer);
    m_context.log.note_state(
        "followed_peer_lost",
        {{"peer", m_address}, {"received_bytes", std::to_string(m_response_body.size())}});
    m_status = status::unreachable;
    m_has_lost_store = false;
    m_context.ranking.record_unreachable(m_address, m_context.now());
}

} // namespace galenaroad
