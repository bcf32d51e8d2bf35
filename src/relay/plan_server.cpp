#include "relay/plan_server.h"

#include <Poco/Net/HTTPResponse.h>
#include <algorithm>
#include <iterator>

namespace galenaroad {

namespace {

using namespace std::chrono_literals;
using Poco::Net::HTTPResponse;

// Pages may use one part in this many of the link.
constexpr std::size_t link_share_divisor = 2;
// With two, the daemons that have the plan triple in the time of one transfer.
constexpr std::size_t max_transfers = 2;
// A peer that asks for no further page within this time gets them from elsewhere.
constexpr auto max_transfer_pause = 500ms;
// While pages wait for longer than this, no further peer begins to get a change.
constexpr auto max_delay = 250ms;
constexpr std::size_t max_sources = 4;
constexpr std::size_t max_holders = 8;

void respond(server_exchange& client, int status, std::string_view body)
{
    http_response_head head;
    head.status = status;
    client.respond(std::move(head), body);
}

} // namespace

plan_server::plan_server(relay_context& context, std::size_t link_rate)
    : m_context(context), m_rate(link_rate / link_share_divisor)
{
}

plan_server::~plan_server()
{
    m_context.loop.cancel(m_timer);
}

void plan_server::handle_request(const std::shared_ptr<server_exchange>& client)
{
    const auto request = plan_page_codec::decode_request(client->head().target);
    if (!request) {
        respond(*client, HTTPResponse::HTTP_BAD_REQUEST, {});
        return;
    }
    if (m_context.plan_version() <= request->base_version) {
        respond(*client, HTTPResponse::HTTP_NO_CONTENT, {});
        return;
    }
    auto& source = find_source(*request);
    const bool is_continued = request->version == source.version();
    const auto position = is_continued ? request->position : std::string();
    const bool is_admitted = source.is_single_page() || admit(request->address);
    if (!is_admitted || (position.empty() && is_behind())) {
        refuse(*client);
        return;
    }
    if (source.is_last(position)) {
        end_transfer(request->address, source.version());
    }
    send_page(client, source.page(position));
}

// Prefers the change of which the peer has pages; otherwise it begins with the plan in force.
plan_change_source& plan_server::find_source(const plan_page_request& request)
{
    const auto find = [this](std::uint64_t base, std::uint64_t version) {
        return std::find_if(m_sources.begin(), m_sources.end(), [=](const auto& each) {
            return each.base_version() == base && each.version() == version;
        });
    };
    auto found =
        request.position.empty() ? m_sources.end() : find(request.base_version, request.version);
    if (found == m_sources.end()) {
        const bool is_in_log = m_context.plans.knows_changes_since(request.base_version);
        const auto base = is_in_log ? request.base_version : 0;
        found = find(base, m_context.plan_version());
        if (found != m_sources.end() && found->digest() != m_context.plans.in_force()->digest()) {
            // The version has been written again with other contents.
            m_sources.erase(found);
            found = m_sources.end();
        }
        if (found == m_sources.end()) {
            found = m_sources.emplace(m_sources.begin(), m_context.plans, base);
        }
    }
    m_sources.splice(m_sources.begin(), m_sources, found);
    if (m_sources.size() > max_sources) {
        m_sources.pop_back();
    }
    return m_sources.front();
}

bool plan_server::admit(const std::string& peer)
{
    const auto now = m_context.now();
    for (auto each = m_transfers.begin(); each != m_transfers.end();) {
        const bool has_ended = now - each->second > max_transfer_pause;
        each = has_ended ? m_transfers.erase(each) : std::next(each);
    }
    if (m_transfers.count(peer) == 0 && m_transfers.size() >= max_transfers) {
        return false;
    }
    m_transfers[peer] = now;
    return true;
}

bool plan_server::is_behind() const
{
    return m_free_at > m_context.now() + max_delay;
}

void plan_server::end_transfer(const std::string& peer, std::uint64_t version)
{
    m_transfers.erase(peer);
    if (version > m_holders_version) {
        m_holders.clear();
        m_holders_version = version;
    }
    if (version < m_holders_version || peer.empty()) {
        return;
    }
    m_holders.push_back(peer);
    if (m_holders.size() > max_holders) {
        m_holders.pop_front();
    }
}

void plan_server::send_page(const std::shared_ptr<server_exchange>& client, const shared_body& body)
{
    const auto now = m_context.now();
    const auto send_at = std::max(now, m_free_at);
    if (m_rate > 0) {
        const std::chrono::duration<double> time(static_cast<double>(body.size()) /
                                                 static_cast<double>(m_rate));
        m_free_at = send_at + std::chrono::duration_cast<std::chrono::nanoseconds>(time);
    }
    if (send_at <= now && m_delayed.empty()) {
        respond(*client, HTTPResponse::HTTP_OK, body.text());
        return;
    }
    m_delayed.push_back({client, body, send_at});
    if (m_timer == event_loop::no_timer) {
        m_timer = m_context.loop.after(send_at - now, [this] { send_delayed(); });
    }
}

void plan_server::send_delayed()
{
    m_timer = event_loop::no_timer;
    const auto now = m_context.now();
    while (!m_delayed.empty() && m_delayed.front().send_at <= now) {
        const auto page = std::move(m_delayed.front());
        m_delayed.pop_front();
        respond(*page.client, HTTPResponse::HTTP_OK, page.body.text());
    }
    if (!m_delayed.empty()) {
        m_timer = m_context.loop.after(m_delayed.front().send_at - now, [this] { send_delayed(); });
    }
}

void plan_server::refuse(server_exchange& client) const
{
    const plan_page_refusal refusal{{m_holders.begin(), m_holders.end()}};
    respond(client, HTTPResponse::HTTP_SERVICE_UNAVAILABLE, plan_page_codec::encode(refusal));
}

} // namespace galenaroad
