#include "load/slot_queue.h"

#include <algorithm>
#include <iterator>

namespace galenaroad {

namespace {

// Service times vary: most requests are served within this multiple of their average.
constexpr double admission_service_time_factor = 1.5;
// A waiting request is kept as long as it would be in time if it took the average service time.
constexpr double min_service_time_factor = 1.0;
// Maximum number of routes with a credit. Beyond it, all credits are discarded.
constexpr std::size_t max_routes = 512;

bool is_late(const slot_request& request, std::chrono::duration<double> wait, steady_time now,
             const slot_request* newcomer)
{
    const double factor =
        &request == newcomer ? admission_service_time_factor : min_service_time_factor;
    const auto needed = wait + request.service_time * factor;
    return now + std::chrono::duration_cast<steady_time::duration>(needed) > request.deadline;
}

} // namespace

bool slot_queue::add(const slot_request& request, const slot_queue_timing& timing, steady_time now)
{
    const auto added = m_waiting.emplace(key_of(request), request).first;
    const auto turned_away = victims(waiting(), timing, now, &added->second);
    if (std::find(turned_away.begin(), turned_away.end(), &added->second) != turned_away.end()) {
        turn_away(added->second);
        return false;
    }
    for (const auto* const each : turned_away) {
        m_turned_away.push_back(each->ticket);
        turn_away(*each);
    }
    return true;
}

std::vector<std::uint64_t> slot_queue::take_unservable(const slot_queue_timing& timing,
                                                       steady_time now)
{
    auto tickets = std::move(m_turned_away);
    m_turned_away.clear();
    for (const auto* const each : victims(waiting(), timing, now, nullptr)) {
        tickets.push_back(each->ticket);
        turn_away(*each);
    }
    return tickets;
}

bool slot_queue::withdraw(std::uint64_t ticket)
{
    m_turned_away.erase(std::remove(m_turned_away.begin(), m_turned_away.end(), ticket),
                        m_turned_away.end());
    const auto found = std::find_if(m_waiting.begin(), m_waiting.end(),
                                    [&](const auto& each) { return each.second.ticket == ticket; });
    if (found == m_waiting.end()) {
        return false;
    }
    m_waiting.erase(found);
    return true;
}

std::optional<slot_request> slot_queue::take_first()
{
    if (m_waiting.empty()) {
        return {};
    }
    auto first = std::move(m_waiting.begin()->second);
    m_waiting.erase(m_waiting.begin());
    record_start(first);
    return first;
}

void slot_queue::record_start(const slot_request& request)
{
    m_credits.erase(request.route);
    m_accounts.record(request.account, request.service_time);
}

std::chrono::duration<double> slot_queue::expected_wait(const slot_queue_timing& timing) const
{
    const auto requests = waiting();
    return wait_behind(requests.begin(), requests.end(), timing);
}

slot_queue::queue_key slot_queue::key_of(const slot_request& request)
{
    return {request.priority, request.deadline, request.ticket};
}

slot_queue::request_list slot_queue::waiting() const
{
    request_list requests;
    requests.reserve(m_waiting.size());
    std::transform(m_waiting.begin(), m_waiting.end(), std::back_inserter(requests),
                   [](const auto& each) { return &each.second; });
    return requests;
}

// The wait for the first slot and for the requests in the range.
std::chrono::duration<double> slot_queue::wait_behind(request_list::const_iterator begin,
                                                      request_list::const_iterator end,
                                                      const slot_queue_timing& timing) const
{
    auto work = timing.mean_service_time;
    std::for_each(begin, end, [&](const auto* each) {
        work += m_policy.weighs_work ? std::chrono::duration<double>(each->service_time)
                                     : timing.mean_service_time;
    });
    return work / std::max(timing.slots, 1);
}

slot_queue::request_list::const_iterator slot_queue::first_late(const request_list& requests,
                                                                const slot_queue_timing& timing,
                                                                steady_time now,
                                                                const slot_request* newcomer) const
{
    auto wait = wait_behind(requests.begin(), requests.begin(), timing);
    for (auto each = requests.begin(); each != requests.end(); ++each) {
        if (is_late(**each, wait, now, newcomer)) {
            return each;
        }
        const auto work = m_policy.weighs_work
                              ? std::chrono::duration<double>((*each)->service_time)
                              : timing.mean_service_time;
        wait += work / std::max(timing.slots, 1);
    }
    return requests.end();
}

slot_queue::request_list::const_iterator slot_queue::victim(const request_list& requests,
                                                            request_list::const_iterator late,
                                                            const slot_queue_timing& timing,
                                                            steady_time now,
                                                            const slot_request* newcomer) const
{
    const auto first = std::find_if(requests.begin(), late, [&](const auto* each) {
        return each->priority == (*late)->priority;
    });
    // Late even if all others of its priority were turned away.
    if (is_late(**late, wait_behind(requests.begin(), first, timing), now, newcomer)) {
        return late;
    }
    return std::max_element(std::make_reverse_iterator(std::next(late)),
                            std::make_reverse_iterator(first),
                            [this](const auto* a, const auto* b) {
                                return std::make_pair(rank(*a), weight(*a)) <
                                       std::make_pair(rank(*b), weight(*b));
                            })
               .base() -
           1;
}

std::vector<const slot_request*> slot_queue::victims(request_list requests,
                                                     const slot_queue_timing& timing,
                                                     steady_time now,
                                                     const slot_request* newcomer) const
{
    std::vector<const slot_request*> turned_away;
    for (auto late = first_late(requests, timing, now, newcomer); late != requests.end();
         late = first_late(requests, timing, now, newcomer)) {
        const auto found = victim(requests, late, timing, now, newcomer);
        turned_away.push_back(*found);
        requests.erase(found);
    }
    return turned_away;
}

void slot_queue::turn_away(const slot_request& request)
{
    if (m_credits.size() >= max_routes && m_credits.count(request.route) == 0) {
        m_credits.clear();
    }
    ++m_credits[request.route];
    m_waiting.erase(key_of(request));
}

// The requests with the greatest rank are turned away first.
int slot_queue::rank(const slot_request& request) const
{
    if (m_policy.weighs_accounts && m_accounts.is_above_share(request.account)) {
        return 2;
    }
    return m_policy.spares_under_way && request.is_under_way ? 0 : 1;
}

double slot_queue::weight(const slot_request& request) const
{
    if (!m_policy.weighs_work) {
        return 0;
    }
    const auto credit = m_credits.find(request.route);
    const double refused = credit == m_credits.end() ? 0 : credit->second;
    return std::chrono::duration<double>(request.service_time).count() /
           (1 + refused / credit_step);
}

} // namespace galenaroad
