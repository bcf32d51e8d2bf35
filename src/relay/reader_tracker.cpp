#include "relay/reader_tracker.h"

#include "fleet/store_reader_order.h"

#include <algorithm>

namespace galenaroad {

namespace {

using namespace std::chrono_literals;

constexpr auto wanted_readers = store_reader_role::readers_per_data_centre;
// A peer that does not read the store may be about to, so it is given this time; then other peers
// are tried until the skip time is over.
constexpr auto max_stale_time = 600ms;
constexpr auto skip_time = 2500ms;
// The skip time of an unreachable peer doubles with each failure. Otherwise lost instances at the
// front of the order would be tried again and again before the ones behind them.
constexpr auto max_skip_time = 10s;
constexpr int max_skip_doublings = 2;
// While no followed peer responds, this many more are followed after each interval.
constexpr auto widening_interval = 250ms;
constexpr std::size_t widening_step = 2;
constexpr std::size_t max_parallel_followed = 8;

bool contains(const std::vector<std::string>& addresses, const std::string& address)
{
    return std::find(addresses.begin(), addresses.end(), address) != addresses.end();
}

} // namespace

reader_tracker::reader_tracker(relay_context& context, state_hook on_state)
    : m_context(context), m_on_state(std::move(on_state)), m_widened_at(context.now())
{
}

void reader_tracker::update(bool accepts_any)
{
    refresh_order();
    end_skips();
    const auto wanted = candidates(accepts_any);
    drop_unusable(wanted);
    drop_surplus(wanted);
    widen_search();
    follow_more(wanted);
    m_suggested.clear();
}

void reader_tracker::refresh_order()
{
    const auto change = m_context.directory.latest_change();
    if (change == m_order_change) {
        return;
    }
    m_order_change = change;
    m_order = store_reader_order::daemons(m_context.directory, m_context.location.data_centre);
    m_order.erase(std::remove(m_order.begin(), m_order.end(), m_context.location.address),
                  m_order.end());
    for (auto each = m_failures.begin(); each != m_failures.end();) {
        each = contains(m_order, each->first) ? std::next(each) : m_failures.erase(each);
    }
}

bool reader_tracker::is_suggested(const std::string& address) const
{
    return contains(m_suggested, address);
}

bool reader_tracker::precedes_self(const std::string& address) const
{
    return store_reader_order::is_before(address, m_context.location.address);
}

// Daemons that a peer reported as fresh come first.
std::vector<std::string> reader_tracker::candidates(bool accepts_any) const
{
    std::vector<std::string> wanted;
    std::copy_if(m_order.begin(), m_order.end(), std::back_inserter(wanted),
                 [&](const auto& address) { return accepts_any || precedes_self(address); });
    std::stable_partition(wanted.begin(), wanted.end(),
                          [this](const auto& address) { return is_suggested(address); });
    return wanted;
}

void reader_tracker::end_skips()
{
    const auto now = m_context.now();
    for (auto each = m_skipped.begin(); each != m_skipped.end();) {
        const auto& skipped = each->second;
        const bool has_ended = skipped.until <= now || !contains(m_order, each->first);
        const bool is_worth_trying = skipped.is_reachable && is_suggested(each->first);
        each = has_ended || is_worth_trying ? m_skipped.erase(each) : std::next(each);
    }
}

void reader_tracker::drop_unusable(const std::vector<std::string>& wanted)
{
    for (auto each = m_followed.begin(); each != m_followed.end();) {
        const bool is_dropped =
            skip_if_unusable(each->first, each->second) || !contains(wanted, each->first);
        each = is_dropped ? m_followed.erase(each) : std::next(each);
    }
}

// Returns true when the peer is not to be followed for a while.
bool reader_tracker::skip_if_unusable(const std::string& address, followed_peer& followed)
{
    const auto now = m_context.now();
    const auto status = followed.follower->current_status();
    if (status == peer_follower::status::unreachable) {
        const auto doublings = std::min(m_failures[address]++, max_skip_doublings);
        const auto time =
            std::min<std::chrono::milliseconds>(skip_time * (1 << doublings), max_skip_time);
        m_skipped[address] = {now + time, false, false};
        return true;
    }
    if (status != peer_follower::status::pending) {
        m_failures.erase(address);
    }
    const bool is_stale = status == peer_follower::status::stale;
    if (is_stale && !followed.is_stale) {
        followed.stale_since = now;
    }
    followed.is_stale = is_stale;
    if (!is_stale || now - followed.stale_since < max_stale_time) {
        return false;
    }
    m_skipped[address] = {now + skip_time, true, followed.follower->has_lost_store()};
    return true;
}

// Ends the search when enough peers are fresh.
void reader_tracker::drop_surplus(const std::vector<std::string>& wanted)
{
    std::vector<std::string> kept;
    for (const auto& address : wanted) {
        const auto found = m_followed.find(address);
        const bool is_fresh =
            found != m_followed.end() &&
            found->second.follower->current_status() == peer_follower::status::fresh;
        if (is_fresh && kept.size() < wanted_readers) {
            kept.push_back(address);
        }
    }
    if (kept.size() < wanted_readers) {
        return;
    }
    for (auto each = m_followed.begin(); each != m_followed.end();) {
        each = contains(kept, each->first) ? std::next(each) : m_followed.erase(each);
    }
}

// A peer that responds costs little time, whether it is fresh or not; a silent one does.
void reader_tracker::widen_search()
{
    const auto now = m_context.now();
    const bool any_responds =
        std::any_of(m_followed.begin(), m_followed.end(), [](const auto& each) {
            const auto status = each.second.follower->current_status();
            return status == peer_follower::status::fresh || status == peer_follower::status::stale;
        });
    if (any_responds || m_followed.empty()) {
        m_max_followed = wanted_readers;
        m_widened_at = now;
        return;
    }
    if (now - m_widened_at >= widening_interval) {
        m_max_followed = std::min(m_max_followed + widening_step, max_parallel_followed);
        m_widened_at = now;
    }
}

void reader_tracker::follow_more(const std::vector<std::string>& wanted)
{
    for (const auto& address : wanted) {
        if (m_followed.size() >= m_max_followed) {
            return;
        }
        if (m_followed.count(address) > 0 || m_skipped.count(address) > 0) {
            continue;
        }
        m_followed[address].follower = std::make_unique<peer_follower>(
            m_context, address, [this, address](const auto& state) { m_on_state(state, address); });
    }
}

preceding_daemons reader_tracker::preceding() const
{
    preceding_daemons result;
    result.total = static_cast<std::size_t>(
        std::count_if(m_order.begin(), m_order.end(),
                      [this](const auto& address) { return precedes_self(address); }));
    std::size_t pending = 0;
    for (const auto& [address, followed] : m_followed) {
        if (!precedes_self(address)) {
            continue;
        }
        const auto status = followed.follower->current_status();
        pending += status == peer_follower::status::pending ? 1 : 0;
        const bool is_fresh = status == peer_follower::status::fresh;
        const bool is_stale = status == peer_follower::status::stale;
        result.fresh += is_fresh ? 1 : 0;
        result.responding += is_fresh || is_stale ? 1 : 0;
        result.lost_store += followed.follower->has_lost_store() ? 1 : 0;
        result.unreachable += status == peer_follower::status::unreachable ? 1 : 0;
    }
    for (const auto& [address, skipped] : m_skipped) {
        if (!precedes_self(address)) {
            continue;
        }
        result.responding += skipped.is_reachable ? 1 : 0;
        result.lost_store += skipped.has_lost_store ? 1 : 0;
        result.unreachable += skipped.is_reachable ? 0 : 1;
    }
    // A peer that was sent its first request will probably respond, unless others did not.
    if (result.unreachable == 0) {
        result.responding += pending;
    }
    return result;
}

std::vector<std::string> reader_tracker::fresh() const
{
    std::vector<std::string> addresses;
    for (const auto& [address, followed] : m_followed) {
        if (followed.follower->current_status() == peer_follower::status::fresh) {
            addresses.push_back(address);
        }
    }
    return addresses;
}

std::map<std::string, std::uint64_t> reader_tracker::plan_versions() const
{
    std::map<std::string, std::uint64_t> versions;
    for (const auto& [address, followed] : m_followed) {
        versions[address] = followed.follower->plan_version();
    }
    return versions;
}

std::vector<std::string> reader_tracker::reachable() const
{
    std::vector<std::string> addresses;
    for (const auto& [address, followed] : m_followed) {
        if (followed.follower->current_status() != peer_follower::status::unreachable) {
            addresses.push_back(address);
        }
    }
    return addresses;
}

} // namespace galenaroad
