#include "accounts/holder_members.h"

#include <algorithm>
#include <xxhash.h>

namespace galenaroad {

namespace {

constexpr std::size_t max_cached_accounts = 1024;
// A bucket that was empty so long ago is full.
constexpr auto max_departure_age = std::chrono::minutes(1);

std::uint64_t hash_of(const std::string& text)
{
    return XXH3_64bits(text.data(), text.size());
}

// The finalizer of splitmix64.
std::uint64_t score(std::uint64_t member, std::uint64_t account)
{
    auto value = member ^ account;
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
    return value ^ (value >> 31U);
}

bool may_hold(const owner_record& record)
{
    return record.state == announced_state::ready || record.state == announced_state::draining;
}

} // namespace

void holder_members::update(const owner_directory& directory, bool is_complete, steady_time now)
{
    if (!is_complete) {
        return;
    }
    for (const auto& record : directory.changed_since(m_latest_change)) {
        if (may_hold(record)) {
            add(record.address, now);
        }
        else {
            remove(record.address, now);
        }
    }
    m_latest_change = directory.latest_change();
    if (directory.removals() != m_removals) {
        m_removals = directory.removals();
        for (const auto& [address, held] : std::map(m_members)) {
            if (directory.find(address) == nullptr) {
                remove(address, now);
            }
        }
    }
}

void holder_members::add(const std::string& address, steady_time now)
{
    if (m_members.try_emplace(address, member{hash_of(address), now}).second) {
        m_departures.erase(address);
        m_ranked.clear();
    }
}

void holder_members::remove(const std::string& address, steady_time now)
{
    if (m_members.erase(address) == 0) {
        return;
    }
    m_ranked.clear();
    for (auto each = m_departures.begin(); each != m_departures.end();) {
        const bool is_old = now - each->second > max_departure_age;
        each = is_old ? m_departures.erase(each) : std::next(each);
    }
    m_departures[address] = now;
}

const holder_members::member* holder_members::find(const std::string& address) const
{
    const auto found = m_members.find(address);
    return found == m_members.end() ? nullptr : &found->second;
}

const std::vector<std::string>& holder_members::ranked(const std::string& account)
{
    if (m_ranked.size() >= max_cached_accounts) {
        m_ranked.clear();
    }
    const auto [found, is_new] = m_ranked.try_emplace(account);
    if (is_new) {
        found->second = rank(account);
    }
    return found->second;
}

std::vector<std::string> holder_members::rank(const std::string& account) const
{
    const auto account_hash = hash_of(account);
    std::vector<std::pair<std::uint64_t, const std::string*>> scores;
    scores.reserve(m_members.size());
    for (const auto& [address, held] : m_members) {
        scores.emplace_back(score(held.hash, account_hash), &address);
    }
    const auto count = std::min(max_rank, scores.size());
    std::partial_sort(scores.begin(), scores.begin() + static_cast<std::ptrdiff_t>(count),
                      scores.end(), [](const auto& a, const auto& b) {
                          return a.first != b.first ? a.first > b.first : *a.second < *b.second;
                      });
    std::vector<std::string> result;
    for (std::size_t each = 0; each < count; ++each) {
        result.push_back(*scores[each].second);
    }
    return result;
}

steady_time holder_members::last_departure_before(const std::string& address,
                                                  const std::string& account) const
{
    const auto account_hash = hash_of(account);
    const auto own_score = score(hash_of(address), account_hash);
    steady_time latest;
    for (const auto& [departed, at] : m_departures) {
        if (score(hash_of(departed), account_hash) > own_score) {
            latest = std::max(latest, at);
        }
    }
    return latest;
}

} // namespace galenaroad
