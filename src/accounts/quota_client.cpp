#include "accounts/quota_client.h"

#include <algorithm>
#include <limits>

namespace galenaroad {

namespace {

using namespace std::chrono_literals;

// Above the time to the farthest region and back.
constexpr auto repeat_interval = 60ms;
constexpr auto max_wait = 1s;
// A way that was silent is left out for this time, which is longer than it takes to find another
// one.
constexpr auto silence_time = 2s;
constexpr auto return_delay = 50ms;
// After a refusal an account is refused here without a question for up to this time, so that its
// refusals stay cheap, and short enough that its bucket does not fill up meanwhile.
constexpr auto max_refusal_time = 200ms;
constexpr auto not_known_time = 100ms;
constexpr auto min_retry_after = 250ms;
constexpr std::size_t max_wanted = 1000;

bool is_refused_by_deputy(const quota_answer& answer, const quota_question& question)
{
    return answer.authority == quota_authority::deputy && answer.granted < question.wanted;
}

std::chrono::milliseconds to_ms(std::chrono::nanoseconds time)
{
    return std::chrono::ceil<std::chrono::milliseconds>(time);
}

} // namespace

quota_client::quota_client(holder_members& members, quota_tolerance tolerance, random_engine random,
                           hooks hooks)
    : m_members(members),
      m_tolerance(tolerance),
      m_random(random),
      m_hooks(std::move(hooks)),
      m_session(static_cast<std::uint32_t>(m_random()))
{
}

void quota_client::request(const std::string& account, handler on_verdict, steady_time now)
{
    auto& state = m_accounts[account];
    if (now < state.refused_until) {
        on_verdict(repeated_refusal(state, now));
        return;
    }
    state.waiting.push_back({std::move(on_verdict), now});
    update(account, state, now);
}

void quota_client::give_back(const std::string& account, const std::string& holder, steady_time now)
{
    auto& state = m_accounts[account];
    if (state.returned_to != holder) {
        state.returned_to = holder;
        state.returned = 0;
    }
    if (state.returned < std::numeric_limits<std::uint16_t>::max()) {
        ++state.returned;
    }
    if (!state.return_at) {
        state.return_at = now + return_delay;
        schedule(*state.return_at, now);
    }
}

// Sends the next question if there is a reason and none is open.
void quota_client::update(const std::string& account, account_state& state, steady_time now)
{
    if (state.open) {
        return;
    }
    if (!state.waiting.empty()) {
        ask(account, state, 0, now);
    }
    else if (state.return_at && now >= *state.return_at) {
        send(account, state, {state.returned_to, {}}, 0, now);
    }
}

// A holder that does not answer directly may answer another daemon: often only one path is lost.
std::vector<quota_route> quota_client::routes_of(const std::string& account) const
{
    const auto& holders = m_members.ranked(account);
    std::vector<quota_route> routes;
    for (std::size_t rank = 0; rank < holders.size(); ++rank) {
        if (rank > 0 && rank <= quota_shares::deputies) {
            routes.push_back({holders.front(), holders[rank]});
        }
        routes.push_back({holders[rank], {}});
    }
    return routes;
}

void quota_client::ask(const std::string& account, account_state& state, std::size_t first_step,
                       steady_time now)
{
    const auto routes = routes_of(account);
    for (auto step = first_step; step < routes.size(); ++step) {
        if (!is_silent(routes[step], now)) {
            send(account, state, routes[step], step, now);
            return;
        }
    }
    quota_verdict verdict;
    verdict.retry_after = min_retry_after + spread(min_retry_after);
    state.refusal = verdict;
    state.refused_until = now + not_known_time;
    state.next_token_at = now + verdict.retry_after;
    refuse(state, state.waiting.size(), verdict, now);
}

void quota_client::send(const std::string& account, account_state& state, const quota_route& route,
                        std::size_t step, steady_time now)
{
    state.open = open_question();
    auto& open = *state.open;
    open.route = route;
    open.step = step;
    open.sent_at = now;
    open.give_up_at = now + quota_shares::max_token_age(m_tolerance) / 2;
    open.next_step_at = now + repeat_interval;
    auto& question = open.question;
    question.session = m_session;
    question.sequence = ++m_sequence;
    question.account = account;
    question.wanted = static_cast<std::uint16_t>(std::min(state.waiting.size(), max_wanted));
    if (state.returned_to == route.address) {
        question.returned = state.returned;
        state.returned = 0;
        state.return_at.reset();
    }
    m_open[question.sequence] = account;
    schedule(open.next_step_at, now);
    m_hooks.send(quota_route(route), quota_question(question));
}

void quota_client::on_answer(const quota_answer& answer, steady_time now)
{
    const auto found = m_open.find(answer.sequence);
    if (found == m_open.end() || answer.session != m_session) {
        return;
    }
    const auto account = found->second;
    apply(account, m_accounts[account], answer, now);
}

void quota_client::apply(const std::string& account, account_state& state,
                         const quota_answer& answer, steady_time now)
{
    const auto open = *state.open;
    m_open.erase(answer.sequence);
    state.open.reset();
    m_silent_until.erase(open.route);
    quota_verdict verdict;
    verdict.holder = open.route.address;
    verdict.tokens = answer.tokens;
    verdict.age = to_ms(now - open.sent_at);
    const bool is_fresh = verdict.age <= quota_shares::max_token_age(m_tolerance);
    const int granted = std::min(answer.granted, open.question.wanted);
    for (int token = 0; token < granted; ++token) {
        bool is_used = false;
        if (is_fresh && !state.waiting.empty()) {
            const auto next = std::move(state.waiting.front());
            state.waiting.pop_front();
            verdict.value = quota_verdict::decision::granted;
            is_used = next.on_verdict(verdict);
        }
        if (!is_used) {
            give_back(account, open.route.address, now);
        }
    }
    if (answer.authority == quota_authority::none || is_refused_by_deputy(answer, open.question)) {
        if (!state.waiting.empty()) {
            ask(account, state, open.step + 1, now);
        }
        return;
    }
    const int refused = open.question.wanted - granted;
    if (refused > 0) {
        verdict.value = quota_verdict::decision::over_quota;
        verdict.retry_after = answer.retry_after;
        state.refusal = verdict;
        state.refused_until =
            now + std::min<std::chrono::milliseconds>(answer.retry_after, max_refusal_time);
        state.next_token_at = now + answer.retry_after;
        refuse(state, static_cast<std::size_t>(refused), verdict, now);
    }
    update(account, state, now);
}

void quota_client::refuse(account_state& state, std::size_t count, const quota_verdict& verdict,
                          steady_time now)
{
    bool is_first = true;
    for (; count > 0 && !state.waiting.empty(); --count) {
        const auto next = std::move(state.waiting.front());
        state.waiting.pop_front();
        next.on_verdict(is_first ? verdict : repeated_refusal(state, now));
        is_first = false;
    }
}

// The next token is for one of those who wait; the others are told later times.
quota_verdict quota_client::repeated_refusal(const account_state& state, steady_time now)
{
    auto verdict = state.refusal;
    const auto wait = to_ms(std::max(state.next_token_at - now, steady_time::duration::zero()));
    verdict.retry_after = wait + spread(std::max<std::chrono::milliseconds>(wait, min_retry_after));
    return verdict;
}

std::chrono::milliseconds quota_client::spread(std::chrono::milliseconds range)
{
    std::uniform_int_distribution<std::int64_t> any(0, range.count());
    return std::chrono::milliseconds(any(m_random));
}

bool quota_client::is_silent(const quota_route& route, steady_time now) const
{
    const auto found = m_silent_until.find(route);
    return found != m_silent_until.end() && now < found->second;
}

void quota_client::on_silent(const std::string& account, account_state& state, steady_time now)
{
    const auto open = *state.open;
    m_open.erase(open.question.sequence);
    state.open.reset();
    m_silent_until[open.route] = now + silence_time;
    while (!state.waiting.empty() && now - state.waiting.front().since >= max_wait) {
        quota_verdict verdict;
        verdict.retry_after = min_retry_after + spread(min_retry_after);
        refuse(state, 1, verdict, now);
    }
    if (!state.waiting.empty()) {
        ask(account, state, open.step + 1, now);
    }
}

void quota_client::repeat(open_question& open, steady_time now) const
{
    open.next_step_at = std::min(now + 2 * repeat_interval, open.give_up_at);
    m_hooks.send(quota_route(open.route), quota_question(open.question));
}

void quota_client::schedule(steady_time at, steady_time now)
{
    if (m_timer_at && *m_timer_at <= at) {
        return;
    }
    m_timer_at = at;
    m_hooks.schedule(at - now);
}

void quota_client::on_timer(steady_time now)
{
    if (!m_timer_at || now < *m_timer_at) {
        return; // A timer that an earlier one has replaced.
    }
    m_timer_at.reset();
    for (auto each = m_silent_until.begin(); each != m_silent_until.end();) {
        each = now >= each->second ? m_silent_until.erase(each) : std::next(each);
    }
    for (auto each = m_accounts.begin(); each != m_accounts.end();) {
        const auto& account = each->first;
        auto& state = each->second;
        if (state.open && now >= state.open->give_up_at) {
            on_silent(account, state, now);
        }
        else if (state.open && now >= state.open->next_step_at) {
            repeat(*state.open, now);
        }
        else {
            update(account, state, now);
        }
        if (state.open) {
            schedule(state.open->next_step_at, now);
        }
        else if (state.return_at) {
            schedule(*state.return_at, now);
        }
        const bool is_idle =
            !state.open && state.waiting.empty() && !state.return_at && now >= state.refused_until;
        each = is_idle ? m_accounts.erase(each) : std::next(each);
    }
}

} // namespace galenaroad
