#include "accounts/quota_holder.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace galenaroad {

namespace {

using namespace std::chrono_literals;

// Questions are repeated within a second. An idle bucket is removed when it is full, so that it is
// the same when it is created again.
constexpr auto max_idle_time = 10s;
constexpr auto clean_interval = 5s;
constexpr std::chrono::duration<double> max_retry_after = 10s;

std::uint16_t to_count(double value)
{
    constexpr double max = std::numeric_limits<std::uint16_t>::max();
    return static_cast<std::uint16_t>(std::clamp(std::floor(value), 0.0, max));
}

} // namespace

quota_holder::quota_holder(const holder_authority& authority, quota_tolerance tolerance,
                           hooks hooks)
    : m_authority(authority), m_tolerance(tolerance), m_hooks(std::move(hooks))
{
}

std::optional<quota_answer> quota_holder::answer(const quota_question& question, steady_time now)
{
    remove_idle(now);
    quota_answer result;
    result.session = question.session;
    result.sequence = question.sequence;
    const auto quota = m_hooks.quota(question.account);
    const auto right = m_authority.of(question.account, now, m_hooks.ask);
    if (!quota || right.kind == quota_authority::none) {
        return result;
    }
    auto& state = state_of(question.account, *quota, right, now);
    const auto [found, is_new] = state.answered.try_emplace(question.session);
    auto& latest = found->second;
    if (!is_new && question.sequence <= latest.answer.sequence) {
        const bool is_repeated = question.sequence == latest.answer.sequence;
        return is_repeated ? std::optional(latest.answer) : std::nullopt;
    }
    result.authority = right.kind;
    grant(state, *quota, right, question, result, now);
    latest = {result, now};
    return result;
}

quota_holder::account_state& quota_holder::state_of(const std::string& account,
                                                    const account_quota& quota,
                                                    const holder_authority::right& right,
                                                    steady_time now)
{
    const auto since = right.since;
    const auto deputy_tokens = quota_shares::of_deputy(m_tolerance, quota).burst;
    const account_state created{
        token_bucket(since), since, token_bucket(now, deputy_tokens), 0, now, {}};
    auto& state = m_accounts.try_emplace(account, created).first->second;
    if (right.kind == quota_authority::full && since > state.holder_since) {
        // In the meantime another daemon may have been the holder.
        state.bucket = token_bucket(since);
        state.holder_since = since;
    }
    return state;
}

void quota_holder::grant(account_state& state, const account_quota& quota,
                         const holder_authority::right& right, const quota_question& question,
                         quota_answer& answer, steady_time now) const
{
    const std::chrono::duration<double> elapsed = std::max(now - state.used_at, {});
    state.announced = std::max(state.announced - elapsed.count() * quota.rate, 0.0);
    state.used_at = now;
    if (!quota.is_limited()) {
        answer.granted = question.wanted;
        answer.tokens = std::numeric_limits<std::uint16_t>::max();
        return;
    }
    const bool is_holder = right.kind == quota_authority::full;
    const auto deputy_quota = quota_shares::of_deputy(m_tolerance, quota);
    auto& bucket = is_holder ? state.bucket : state.deputy_bucket;
    bucket.give_back(question.returned);
    state.bucket.update(quota, now);
    state.deputy_bucket.update(deputy_quota, now);
    int granted = is_holder ? state.bucket.take(question.wanted) : 0;
    // A holder that has just begun with an empty bucket also has the share of a deputy.
    const bool has_share = !is_holder || now - right.since < m_tolerance.window;
    if (has_share && deputy_quota.burst >= 1) {
        granted += state.deputy_bucket.take(question.wanted - granted);
    }
    answer.granted = static_cast<std::uint16_t>(granted);
    answer.tokens = to_count(bucket.level());
    if (granted < question.wanted) {
        answer.retry_after = announce_token(state, quota);
    }
}

// Those who are refused one after the other are told the times of successive tokens.
std::chrono::milliseconds quota_holder::announce_token(account_state& state,
                                                       const account_quota& quota)
{
    const double missing = 1 - state.bucket.level() + state.announced;
    const std::chrono::duration<double> wait(std::max(missing, 0.0) / quota.rate);
    if (wait < max_retry_after) {
        state.announced += 1;
    }
    return std::chrono::ceil<std::chrono::milliseconds>(std::min(wait, max_retry_after));
}

void quota_holder::remove_idle(steady_time now)
{
    if (now - m_cleaned_at < clean_interval) {
        return;
    }
    m_cleaned_at = now;
    const auto is_idle = [now](steady_time at) { return now - at > max_idle_time; };
    for (auto each = m_accounts.begin(); each != m_accounts.end();) {
        auto& state = each->second;
        for (auto sender = state.answered.begin(); sender != state.answered.end();) {
            sender = is_idle(sender->second.at) ? state.answered.erase(sender) : std::next(sender);
        }
        const auto quota = m_hooks.quota(each->first).value_or(account_quota{});
        state.bucket.update(quota, now);
        const bool is_full = state.bucket.level() >= token_bucket::capacity(quota);
        each = is_idle(state.used_at) && is_full ? m_accounts.erase(each) : std::next(each);
    }
}

} // namespace galenaroad
