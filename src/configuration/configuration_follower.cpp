#include "configuration/configuration_follower.h"

#include "configuration/configuration_store.h"

#include <algorithm>
#include <utility>

namespace galenaroad {

namespace {

using namespace std::chrono_literals;

// Above the round-trip time between regions (24 ms), with a margin for a busy peer.
constexpr auto fetch_timeout = 300ms;
constexpr auto comparison_interval = 1s;
constexpr auto unready_interval = 500ms;
// Fingerprints are expected to differ for this long while a change is being disseminated.
constexpr auto settling_time = 1s;
constexpr std::size_t max_holders = 4;
constexpr int max_attempts = 10;

} // namespace

configuration_follower::configuration_follower(configuration_store& store, const clock& time,
                                               peer_source random_peer)
    : m_store(store), m_clock(time), m_random_peer(std::move(random_peer))
{
}

void configuration_follower::on_contract_head(const contract_head& head, const std::string& address)
{
    if (head.version <= m_store.version_of(head.business)) {
        return;
    }
    auto& wanted = m_wanted[head.business];
    if (head.version < wanted.version) {
        return;
    }
    if (head.version > wanted.version) {
        wanted.version = head.version;
        wanted.holders.clear();
        wanted.requested = false;
        wanted.attempts = 0;
    }
    const auto known = std::find(wanted.holders.begin(), wanted.holders.end(), address);
    if (known == wanted.holders.end() && wanted.holders.size() < max_holders) {
        wanted.holders.push_back(address);
    }
    if (!wanted.requested) {
        request_version(head.business, wanted);
    }
}

void configuration_follower::request_version(const std::string& business, wanted_contract& wanted)
{
    wanted.requested = true;
    ++wanted.attempts;
    wanted.requested_at = m_clock.steady_now();
    contract_request request;
    request.wanted.push_back({business, wanted.version});
    m_fetches.push_back({wanted.holders.front(), std::move(request)});
    // The next attempt goes to another holder.
    std::rotate(wanted.holders.begin(), wanted.holders.begin() + 1, wanted.holders.end());
}

void configuration_follower::on_contracts_differ(const std::string& address)
{
    const auto now = m_clock.steady_now();
    if (!m_wanted.empty() || now - m_last_change < settling_time ||
        now - m_last_comparison < comparison_interval) {
        return;
    }
    m_last_comparison = now;
    m_fetches.push_back({address, m_store.digest_request()});
}

void configuration_follower::on_table_read()
{
    drop_satisfied();
    m_ready = true;
}

void configuration_follower::tick()
{
    const auto now = m_clock.steady_now();
    drop_satisfied();
    for (auto each = m_wanted.begin(); each != m_wanted.end();) {
        auto& wanted = each->second;
        // All known holders may have stopped. Digest comparisons find others.
        if (wanted.attempts >= max_attempts) {
            each = m_wanted.erase(each);
            continue;
        }
        if (now - wanted.requested_at >= fetch_timeout) {
            request_version(each->first, wanted);
        }
        ++each;
    }
    if (m_ready || now - m_last_comparison < unready_interval) {
        return;
    }
    const auto address = m_random_peer ? m_random_peer() : std::string();
    if (address.empty()) {
        return;
    }
    m_last_comparison = now;
    auto request = m_store.digest_request();
    if (m_store.heads().empty()) {
        request = {};
        request.everything = true;
    }
    m_fetches.push_back({address, std::move(request)});
}

std::vector<outgoing_fetch> configuration_follower::take_fetches()
{
    return std::exchange(m_fetches, {});
}

contract_response configuration_follower::answer(const contract_request& request) const
{
    auto response = m_store.answer(request);
    response.ready = m_ready;
    return response;
}

void configuration_follower::drop_satisfied()
{
    for (auto each = m_wanted.begin(); each != m_wanted.end();) {
        const bool satisfied = m_store.version_of(each->first) >= each->second.version;
        each = satisfied ? m_wanted.erase(each) : std::next(each);
    }
}

void configuration_follower::merge(const std::string& address, const contract_response& response)
{
    for (const auto& each : response.contracts) {
        if (m_store.adopt(each)) {
            m_last_change = m_clock.steady_now();
        }
    }
    for (const auto& each : response.differing) {
        on_contract_head(each, address);
    }
    drop_satisfied();
    // A response to a request for single contracts does not show all versions of the peer.
    const bool full = response.bucket_count > 0 || response.everything;
    if (response.ready && response.complete && full) {
        m_compared_with_ready_peer = true;
    }
    m_ready = m_ready || (m_compared_with_ready_peer && m_wanted.empty());
}

} // namespace galenaroad
