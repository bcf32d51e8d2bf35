#include "accounts/holder_ranking.h"

#include "accounts/quota_tolerance.h"

#include <algorithm>
#include <set>
#include <xxhash.h>

namespace galenaroad {

namespace {

constexpr std::size_t max_cached_accounts = 1024;
// A bucket that was empty so long ago is taken as full.
constexpr auto max_absence_age = std::chrono::minutes(1);

std::uint64_t hash_of(const std::string& text)
{
    return XXH3_64bits(text.data(), text.size());
}

// The finalizer of splitmix64.
std::uint64_t mixed(std::uint64_t value)
{
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
    return value ^ (value >> 31U);
}

} // namespace

holder_ranking::holder_ranking(std::string own_address) : m_own_address(std::move(own_address)) {}

void holder_ranking::update(const owner_directory& directory, bool is_complete, steady_time now)
{
    if (!is_complete || (m_is_complete && directory.digest() == m_digest)) {
        return;
    }
    m_is_complete = true;
    m_digest = directory.digest();
    for (const auto& record : directory.changed_since(m_latest_change)) {
        const bool is_candidate = record.state == announced_state::ready ||
                                  record.state == announced_state::draining;
        update_member(record.address, is_candidate, now);
    }
    m_latest_change = directory.latest_change();
    if (directory.size() < m_members.size()) {
        for (const auto& [address, held] : std::map(m_members)) {
            if (directory.find(address) == nullptr) {
                update_member(address, false, now);
                m_members.erase(address);
            }
        }
    }
}

void holder_ranking::update_member(const std::string& address, bool is_candidate, steady_time now)
{
    auto& held = m_members[address];
    if (held.is_candidate == is_candidate) {
        return;
    }
    if (!is_candidate) {
        m_absences[address] = {now, now};
    }
    held = {hash_of(address), is_candidate, now};
    m_ranked.clear();
}

const std::vector<std::string>& holder_ranking::ranked(const std::string& account)
{
    if (m_ranked.size() >= max_cached_accounts) {
        m_ranked.clear();
    }
    const auto [found, is_new] = m_ranked.try_emplace(account);
    if (is_new) {
        rank(account, found->second);
    }
    return found->second;
}

void holder_ranking::rank(const std::string& account, std::vector<std::string>& result) const
{
    const auto account_hash = hash_of(account);
    std::vector<std::pair<std::uint64_t, const std::string*>> scores;
    scores.reserve(m_members.size());
    for (const auto& [address, held] : m_members) {
        if (held.is_candidate) {
            scores.emplace_back(mixed(held.hash ^ account_hash), &address);
        }
    }
    const auto count = std::min(max_rank, scores.size());
    std::partial_sort(scores.begin(), scores.begin() + static_cast<std::ptrdiff_t>(count),
                      scores.end(), [](const auto& a, const auto& b) {
                          return a.first != b.first ? a.first > b.first : *a.second < *b.second;
                      });
    for (std::size_t each = 0; each < count; ++each) {
        result.push_back(*scores[each].second);
    }
}

void holder_ranking::record_absence(const std::string& address, steady_time asked_at)
{
    const auto [found, is_new] = m_absences.try_emplace(address, absence{asked_at, asked_at});
    auto& held = found->second;
    if (!is_new && asked_at - held.latest > absence_time) {
        held.since = asked_at;
    }
    held.latest = std::max(held.latest, asked_at);
}

holder_ranking::authority holder_ranking::own_authority(
    const std::string& account, steady_time now,
    const std::function<void(const std::string&)>& on_unknown)
{
    for (auto each = m_absences.begin(); each != m_absences.end();) {
        const bool is_old = now - each->second.latest > max_absence_age;
        each = is_old ? m_absences.erase(each) : std::next(each);
    }
    const auto& order = ranked(account);
    const auto own = std::find(order.begin(), order.end(), m_own_address);
    if (own == order.end()) {
        return {};
    }
    const auto own_since = m_members.at(m_own_address).since;
    authority result{quota_authority::full, own_since + start_time};
    int unknown = 0;
    for (auto each = order.begin(); each != own; ++each) {
        const auto found = m_absences.find(*each);
        const bool has_joined_lately = now - m_members.at(*each).since <= absence_time;
        if (found != m_absences.end() && now - found->second.latest <= absence_time) {
            result.since = std::max(result.since, found->second.since);
        }
        else if (!has_joined_lately) {
            ++unknown;
        }
        on_unknown(*each);
    }
    const auto account_hash = hash_of(account);
    const auto own_score = mixed(hash_of(m_own_address) ^ account_hash);
    for (const auto& [address, held] : m_absences) {
        const auto member = m_members.find(address);
        const bool has_left = member == m_members.end() || !member->second.is_candidate;
        if (has_left && mixed(hash_of(address) ^ account_hash) > own_score) {
            result.since = std::max(result.since, held.since);
        }
    }
    const bool is_new = now < own_since + start_time;
    if (unknown > 0 || is_new) {
        result.kind = unknown < quota_shares::deputies ? quota_authority::deputy
                                                       : quota_authority::none;
        result.since = own_since;
    }
    return result;
}

} // namespace galenaroad
