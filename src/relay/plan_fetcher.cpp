#include "relay/plan_fetcher.h"

#include "relay/state_http_request.h"
#include "telemetry/duration_text.h"

#include <algorithm>

namespace galenaroad {

namespace {

using namespace std::chrono_literals;

constexpr auto max_idle = 8s;
// Bounds the wait for a suspended peer and for one that sends its response very slowly.
constexpr auto response_timeout = 3s;
// The longest network path takes 30 ms, a busy small instance 200 ms.
constexpr auto next_holder_delay = 300ms;
// For each purpose.
constexpr std::ptrdiff_t max_pending_requests = 4;
constexpr std::size_t max_holders = 4;
// Limits the requests to a peer that has reported the plan but does not deliver it.
constexpr int max_attempts_per_holder = 3;

} // namespace

plan_fetcher::plan_fetcher(relay_context& context, state_hook on_state,
                           unreachable_hook on_unreachable)
    : m_context(context),
      m_on_state(std::move(on_state)),
      m_on_unreachable(std::move(on_unreachable))
{
}

plan_fetcher::~plan_fetcher()
{
    m_context.loop.cancel(m_next_holder_timer);
}

std::uint64_t plan_fetcher::known_version() const
{
    return std::max(m_context.plan_version(), m_context.unreadable_plan_version);
}

void plan_fetcher::on_newer_version(std::uint64_t version, const std::string& peer)
{
    if (version <= known_version()) {
        return;
    }
    if (version > m_wanted_version) {
        m_wanted_version = version;
        m_holders.clear();
    }
    const bool is_known = std::any_of(m_holders.begin(), m_holders.end(),
                                      [&](const auto& each) { return each.peer == peer; });
    if (is_known || version < m_wanted_version) {
        return;
    }
    if (m_holders.size() >= max_holders) {
        m_holders.erase(m_holders.begin());
    }
    m_holders.push_back({peer, 0});
    m_context.metrics.record_reported_plan(m_next_holder_timer == event_loop::no_timer ? "asked"
                                                                                       : "queued");
    if (m_next_holder_timer == event_loop::no_timer) {
        request_from_next_holder();
    }
}

void plan_fetcher::request_state(const std::string& peer)
{
    if (make_room(request_purpose::poll)) {
        send(peer, request_purpose::poll, max_idle);
    }
}

// Sends a request to the holder with the fewest attempts, the most recent of these, and schedules a
// request to another holder.
void plan_fetcher::request_from_next_holder()
{
    m_context.loop.cancel(m_next_holder_timer);
    m_next_holder_timer = event_loop::no_timer;
    if (m_wanted_version <= known_version()) {
        return;
    }
    const auto chosen =
        std::min_element(m_holders.rbegin(), m_holders.rend(),
                         [](const auto& a, const auto& b) { return a.attempts < b.attempts; });
    if (chosen == m_holders.rend() || chosen->attempts >= max_attempts_per_holder) {
        // No holder delivered the plan. A wrongly reported version must not hide the next plan.
        m_holders.clear();
        m_wanted_version = 0;
        return;
    }
    m_next_holder_timer =
        m_context.loop.after(next_holder_delay, [this] { request_from_next_holder(); });
    if (!make_room(request_purpose::fetch)) {
        return;
    }
    const bool is_first = chosen->attempts == 0 && m_requests.empty();
    ++chosen->attempts;
    send(chosen->peer, request_purpose::fetch, is_first ? max_idle : 0ms);
}

const char* plan_fetcher::name_of(request_purpose purpose)
{
    return purpose == request_purpose::fetch ? "fetch" : "poll";
}

// Abandons the oldest request of a peer that has sent nothing, if there are too many requests.
// Returns false when all peers are sending their responses.
bool plan_fetcher::make_room(request_purpose purpose)
{
    const auto pending = std::count_if(m_requests.begin(), m_requests.end(),
                                       [=](const auto& each) { return each.purpose == purpose; });
    if (pending < max_pending_requests) {
        return true;
    }
    const auto silent = std::find_if(m_requests.begin(), m_requests.end(), [=](const auto& each) {
        return each.purpose == purpose && each.response_body.empty();
    });
    if (silent == m_requests.end()) {
        m_context.metrics.record_state_request(name_of(purpose), "not_sent");
        return false;
    }
    silent->call->cancel();
    m_context.metrics.record_state_request(name_of(purpose), "failed");
    const auto peer = silent->peer;
    m_requests.erase(silent);
    m_on_unreachable(peer);
    return true;
}

void plan_fetcher::send(const std::string& peer, request_purpose purpose,
                        std::chrono::milliseconds max_idle_time)
{
    state_request request;
    request.plan_version = m_context.plan_version();
    request.digest = m_context.directory.digest();
    request.address = m_context.location.address;
    const state_request_limits limits{max_idle_time, response_timeout};
    const auto pending =
        m_requests.insert(m_requests.end(), {peer, purpose, m_context.now(), {}, nullptr});
    client_hooks callbacks;
    callbacks.head = [](const http_response_head&) {};
    callbacks.body = [pending](std::string_view bytes) { pending->response_body.append(bytes); };
    callbacks.complete = [this, pending] { on_response(pending); };
    callbacks.failed = [this, pending](exchange_error) { on_failed(pending); };
    pending->call = m_context.peers.send(peer, make_state_http_request(peer, request, limits),
                                         std::move(callbacks));
}

void plan_fetcher::on_response(std::list<pending_request>::iterator pending)
{
    const auto finished = std::move(*pending);
    m_requests.erase(pending);
    m_context.metrics.record_state_request(name_of(finished.purpose), "ok");
    const auto state = peer_state_codec::decode_state(finished.response_body);
    if (!state) {
        m_context.log.note_state("peer_answer_unreadable", {{"peer", finished.peer}});
    }
    else {
        m_on_state(*state, finished.peer);
    }
}

void plan_fetcher::on_failed(std::list<pending_request>::iterator pending)
{
    const auto finished = std::move(*pending);
    m_requests.erase(pending);
    m_context.metrics.record_state_request(name_of(finished.purpose), "failed");
    m_context.log.note_state("state_request_failed",
                             {{"peer", finished.peer},
                              {"purpose", name_of(finished.purpose)},
                              {"received_bytes", std::to_string(finished.response_body.size())},
                              {"after_ms", ms_text(m_context.now() - finished.sent_at)}});
    m_on_unreachable(finished.peer);
    if (m_next_holder_timer != event_loop::no_timer) {
        request_from_next_holder();
    }
}

} // namespace galenaroad
