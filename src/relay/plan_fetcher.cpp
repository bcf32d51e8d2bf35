#include "relay/plan_fetcher.h"

#include "telemetry/duration_text.h"

#include <Poco/Net/HTTPResponse.h>
#include <algorithm>
#include <random>

namespace galenaroad {

namespace {

using namespace std::chrono_literals;
using Poco::Net::HTTPResponse;

constexpr auto connect_timeout = 400ms;
constexpr auto max_idle = 8s;
// Bounds the wait for a suspended peer and for one that sends a page very slowly.
constexpr auto response_timeout = 3s;
constexpr std::uint64_t max_response_bytes = std::uint64_t{1} * 1024 * 1024;
// The longest network path takes 30 ms, a busy small instance 200 ms. Pages are small, so that a
// second copy of one costs little.
constexpr auto next_holder_delay = 300ms;
// After a refusal. The spread keeps daemons that were refused together from asking together.
constexpr std::int64_t min_refusal_delay_ms = 40;
constexpr std::int64_t max_refusal_delay_ms = 120;
constexpr std::size_t max_pending_requests = 4;
constexpr std::size_t max_holders = 8;
// Limits the requests to a peer that has reported the plan but does not deliver it.
constexpr int max_attempts_per_holder = 3;

} // namespace

plan_fetcher::plan_fetcher(relay_context& context, hooks callbacks, random_engine random)
    : m_context(context), m_hooks(std::move(callbacks)), m_random(random)
{
}

plan_fetcher::~plan_fetcher()
{
    m_context.loop.cancel(m_timer);
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
    m_wanted_version = std::max(m_wanted_version, version);
    add_holder(peer, version);
    const bool is_idle = m_timer == event_loop::no_timer;
    m_context.metrics.record_reported_plan(is_idle ? "asked" : "queued");
    if (is_idle) {
        m_began_at = m_context.now();
        request_page();
    }
}

void plan_fetcher::on_plan_changed()
{
    if (m_change.version > 0 && m_change.version <= known_version()) {
        reset_change();
    }
}

void plan_fetcher::add_holder(const std::string& peer, std::uint64_t version)
{
    if (peer == m_context.location.address) {
        return;
    }
    if (auto* const held = find_holder(peer)) {
        if (version > held->version) {
            *held = {peer, version, 0, held->busy_until};
        }
        return;
    }
    if (m_holders.size() >= max_holders) {
        m_holders.erase(m_holders.begin());
    }
    m_holders.push_back({peer, version, 0, {}});
}

plan_fetcher::holder* plan_fetcher::find_holder(const std::string& peer)
{
    const auto found = std::find_if(m_holders.begin(), m_holders.end(),
                                    [&](const auto& each) { return each.peer == peer; });
    return found == m_holders.end() ? nullptr : &*found;
}

// Returns the holder with the fewest attempts, the most recent of these; null when all of them send
// pages to others.
plan_fetcher::holder* plan_fetcher::choose_holder()
{
    const auto now = m_context.now();
    holder* chosen = nullptr;
    for (auto& each : m_holders) {
        const bool is_usable = each.attempts < max_attempts_per_holder && each.busy_until <= now &&
                               each.version > known_version();
        if (is_usable && (chosen == nullptr || each.attempts <= chosen->attempts)) {
            chosen = &each;
        }
    }
    return chosen;
}

bool plan_fetcher::has_usable_holder() const
{
    return std::any_of(m_holders.begin(), m_holders.end(), [this](const auto& each) {
        return each.attempts < max_attempts_per_holder && each.version > known_version();
    });
}

// Asks a holder for the wanted page, and another one when no page has come for a while.
void plan_fetcher::request_page()
{
    m_context.loop.cancel(m_timer);
    m_timer = event_loop::no_timer;
    if (m_wanted_version <= known_version()) {
        return;
    }
    if (!has_usable_holder() && !m_requests.empty()) {
        request_page_later(next_holder_delay);
        return;
    }
    if (!has_usable_holder()) {
        // No holder delivered the plan. A wrongly reported version must not hide the next plan.
        m_holders.clear();
        m_wanted_version = 0;
        reset_change();
        return;
    }
    request_page_later(next_holder_delay);
    auto* const sender = find_holder(m_latest_sender);
    const bool sender_is_usable = sender != nullptr && sender->attempts == 0 &&
                                  sender->busy_until <= m_context.now() &&
                                  sender->version > known_version();
    auto* const chosen = sender_is_usable ? sender : choose_holder();
    if (chosen == nullptr) {
        request_page_later(std::chrono::milliseconds(min_refusal_delay_ms));
        return;
    }
    if (make_room()) {
        send(*chosen);
    }
}

void plan_fetcher::request_page_later(std::chrono::milliseconds delay)
{
    m_context.loop.cancel(m_timer);
    m_timer = m_context.loop.after(delay, [this] { request_page(); });
}

// Abandons the oldest request, if there are too many.
bool plan_fetcher::make_room()
{
    if (m_requests.size() < max_pending_requests) {
        return true;
    }
    const auto silent = std::find_if(m_requests.begin(), m_requests.end(),
                                     [](const auto& each) { return each.response_body.empty(); });
    if (silent == m_requests.end()) {
        m_context.metrics.record_plan_page("not_sent", 0);
        return false;
    }
    silent->call->cancel();
    m_context.metrics.record_plan_page("failed", 0);
    const auto peer = silent->peer;
    m_requests.erase(silent);
    m_hooks.unreachable(peer);
    return true;
}

void plan_fetcher::send(holder& chosen)
{
    plan_page_request request;
    const bool is_first = m_change.version == 0;
    const auto own_version = m_needs_whole ? 0 : m_context.plan_version();
    request.base_version = is_first ? own_version : m_change.base_version;
    request.version = m_change.version;
    request.position = m_position;
    request.address = m_context.location.address;
    // A kept connection may have fallen silent, so it is not used a second time.
    const bool may_reuse = chosen.attempts == 0 && m_requests.empty();
    ++chosen.attempts;
    client_request http_request;
    http_request.head.method = "GET";
    http_request.head.target = plan_page_codec::encode(request);
    http_request.head.fields = {{"Host", chosen.peer}};
    http_request.connect_timeout = connect_timeout;
    http_request.max_idle = may_reuse ? max_idle : 0ms;
    http_request.time_limit = response_timeout;
    http_request.limits.max_body_bytes = max_response_bytes;
    const auto pending = m_requests.insert(
        m_requests.end(), {chosen.peer, std::move(request), m_context.now(), 0, {}, nullptr});
    client_hooks callbacks;
    callbacks.head = [pending](const http_response_head& head) { pending->status = head.status; };
    callbacks.body = [pending](std::string_view bytes) { pending->response_body.append(bytes); };
    callbacks.complete = [this, pending] { on_response(pending); };
    callbacks.failed = [this, pending](exchange_error) { on_failed(pending); };
    pending->call =
        m_context.peers.send(chosen.peer, std::move(http_request), std::move(callbacks));
}

void plan_fetcher::on_response(request_iterator pending)
{
    const auto finished = std::move(*pending);
    m_requests.erase(pending);
    if (finished.status == HTTPResponse::HTTP_SERVICE_UNAVAILABLE) {
        on_refused(finished);
        return;
    }
    if (finished.status == HTTPResponse::HTTP_NO_CONTENT) {
        m_context.metrics.record_plan_page("not_newer", 0);
        return;
    }
    auto page = finished.status == HTTPResponse::HTTP_OK
                    ? plan_page_codec::decode_page(finished.response_body)
                    : std::nullopt;
    if (!page) {
        m_context.metrics.record_plan_page("failed", finished.response_body.size());
        m_context.log.note_state("peer_answer_unreadable", {{"peer", finished.peer}});
        return;
    }
    m_context.metrics.record_plan_page("ok", finished.response_body.size());
    on_page(std::move(*page), finished.peer);
}

void plan_fetcher::on_failed(request_iterator pending)
{
    const auto finished = std::move(*pending);
    m_requests.erase(pending);
    m_context.metrics.record_plan_page("failed", finished.response_body.size());
    m_context.log.note_state("plan_page_failed",
                             {{"peer", finished.peer},
                              {"received_bytes", std::to_string(finished.response_body.size())},
                              {"after_ms", ms_text(m_context.now() - finished.sent_at)}});
    m_hooks.unreachable(finished.peer);
    if (m_timer != event_loop::no_timer) {
        request_page();
    }
}

void plan_fetcher::on_refused(const pending_request& finished)
{
    m_context.metrics.record_plan_page("refused", finished.response_body.size());
    std::uniform_int_distribution<std::int64_t> delay_ms(min_refusal_delay_ms,
                                                         max_refusal_delay_ms);
    std::uint64_t version = m_wanted_version;
    if (auto* const held = find_holder(finished.peer)) {
        version = held->version;
        held->attempts = std::max(held->attempts - 1, 0);
        held->busy_until = m_context.now() + std::chrono::milliseconds(delay_ms(m_random));
    }
    for (const auto& peer : plan_page_codec::decode_refusal(finished.response_body).holders) {
        add_holder(peer, version);
    }
    if (m_requests.empty() && m_timer != event_loop::no_timer) {
        request_page();
    }
}

void plan_fetcher::on_page(plan_page page, const std::string& peer)
{
    const auto base = page.part.base_version;
    const bool is_usable =
        page.part.version > known_version() && (base == 0 || base == m_context.plan_version());
    const bool is_first = page.position.empty();
    const bool begins_change =
        is_first && (m_change.version == 0 || page.part.version > m_change.version);
    if (!is_usable || !(begins_change || continues_change(page))) {
        return;
    }
    if (begins_change) {
        reset_change();
    }
    m_wanted_version = std::max(m_wanted_version, page.part.version);
    add_holder(peer, page.part.version);
    if (auto* const held = find_holder(peer)) {
        held->attempts = 0;
    }
    m_latest_sender = peer;
    cancel_requests();
    add_page(std::move(page));
    if (m_position.empty()) {
        finish_change(peer);
    }
    else {
        request_page();
    }
}

bool plan_fetcher::continues_change(const plan_page& page) const
{
    return m_change.version > 0 && page.part.version == m_change.version &&
           page.part.base_version == m_change.base_version && page.position == m_position;
}

void plan_fetcher::add_page(plan_page page)
{
    auto& part = page.part;
    m_position = std::move(page.next_position);
    ++m_pages;
    if (m_change.version == 0) {
        m_change = std::move(part);
        return;
    }
    m_change.append(std::move(part));
}

void plan_fetcher::finish_change(const std::string& peer)
{
    const auto change = std::move(m_change);
    m_context.log.note_state("plan_fetched", {{"version", std::to_string(change.version)},
                                              {"base", std::to_string(change.base_version)},
                                              {"peer", peer},
                                              {"pages", std::to_string(m_pages)},
                                              {"routes", std::to_string(change.routes.size())},
                                              {"accounts", std::to_string(change.accounts.size())},
                                              {"after_ms", ms_text(m_context.now() - m_began_at)}});
    reset_change();
    const bool is_applied = m_hooks.change(change, peer);
    m_needs_whole = !is_applied && change.base_version > 0;
    if (!is_applied) {
        m_context.log.note_state("plan_change_mismatched",
                                 {{"version", std::to_string(change.version)},
                                  {"base", std::to_string(change.base_version)},
                                  {"peer", peer}});
        if (auto* const held = find_holder(peer)) {
            ++held->attempts;
        }
    }
    m_began_at = m_context.now();
    request_page();
}

// Requests for a page that has come from another peer.
void plan_fetcher::cancel_requests()
{
    for (const auto& each : m_requests) {
        each.call->cancel();
        m_context.metrics.record_plan_page("superseded", each.response_body.size());
    }
    m_requests.clear();
}

void plan_fetcher::reset_change()
{
    m_change = {};
    m_position.clear();
    m_latest_sender.clear();
    m_pages = 0;
}

} // namespace galenaroad
