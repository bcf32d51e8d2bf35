#pragma once

#include "load/account_slot_time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace galenaroad {

/// A request for one of the upstream's slots.
struct slot_request {
    std::uint64_t ticket = 0; ///< Unique id of the request.
    int priority = 0;         ///< 0 is the most urgent.
    steady_time deadline;     ///< Time by which the response must be complete.
    bool may_wait = false;    ///< If false, the request gets a free slot at once or is refused.
    std::chrono::milliseconds service_time{
        0};                    ///< Expected time for which the request holds the slot.
    std::string route;         ///< Requests of one route are expected to take about the same time.
    std::string account;       ///< Name of the client account; empty without one.
    bool is_under_way = false; ///< Work has been done for it that a refusal would waste.
};

/// What a slot_queue weighs when it cannot serve all requests in time. Without any of it, the
/// request that is late is turned away.
struct slot_queue_policy {
    bool weighs_work = true;     ///< Expected service times of the requests.
    bool weighs_accounts = true; ///< What the client accounts have used.
    bool spares_under_way = true;
};

/// When the requests of a slot_queue get their slots.
struct slot_queue_timing {
    int slots = 1;
    std::chrono::duration<double> mean_service_time{0}; ///< Of the requests that hold a slot.
};

/// Orders the requests that wait for a slot and decides which of them are turned away when they
/// cannot all be served in time.
///
/// Requests are served by priority, then by deadline. While a request in this order would be late,
/// one request is turned away: of the requests up to the late one, those with the least urgent
/// priority are considered, which is the priority of the late one. Of these,
/// - requests of accounts above their share go first and those that are under way go last;
/// - among equals, the one with the longest expected service time goes, as in the rule of Moore and
///   Hodgson, which minimises the number of late jobs;
/// - among equals, the late one goes.
///
/// The expected service time counts less with each request of the route that has been turned away
/// since one got a slot, so that a route with long requests is served as well.
class slot_queue {
public:
    /// A route's service time counts half after this many of its requests have been turned away in
    /// a row, a third after twice as many, and so on. With 4, fewer were served in time under heavy
    /// overload than by turning away whoever is late.
    static constexpr double credit_step = 16;

    /// @param policy what is weighed.
    explicit slot_queue(slot_queue_policy policy = {}) : m_policy(policy) {}

    /// Lets what the accounts have used decay.
    /// @param now the current time; must not decrease.
    void advance(steady_time now) { m_accounts.advance(now); }

    /// Queues a request unless it is the one to turn away.
    /// @param request the request.
    /// @param timing when the requests get their slots.
    /// @param now the current time.
    /// @return false if the request is refused; no other request is turned away then.
    bool add(const slot_request& request, const slot_queue_timing& timing, steady_time now);

    /// Removes the requests that are turned away.
    /// @param timing when the requests get their slots.
    /// @param now the current time.
    /// @return the tickets of the removed requests, also of those for which add() made no room.
    std::vector<std::uint64_t> take_unservable(const slot_queue_timing& timing, steady_time now);

    /// Removes a waiting request.
    /// @return false if the request was not waiting.
    bool withdraw(std::uint64_t ticket);

    /// Removes the first request, which gets a slot.
    /// @return the request, or nothing if none is waiting.
    std::optional<slot_request> take_first();

    /// Records that a request gets a slot.
    void record_start(const slot_request& request);

    /// @param timing when the requests get their slots.
    /// @return the expected time until a request queued last would get a slot.
    std::chrono::duration<double> expected_wait(const slot_queue_timing& timing) const;

    /// @return number of waiting requests.
    std::size_t size() const { return m_waiting.size(); }

private:
    /// Orders requests by priority, deadline and ticket; the ticket makes the key unique.
    using queue_key = std::tuple<int, steady_time, std::uint64_t>;
    using request_list = std::vector<const slot_request*>;

    static queue_key key_of(const slot_request& request);

    request_list waiting() const;
    std::chrono::duration<double> wait_behind(request_list::const_iterator begin,
                                              request_list::const_iterator end,
                                              const slot_queue_timing& timing) const;
    request_list::const_iterator first_late(const request_list& requests,
                                            const slot_queue_timing& timing, steady_time now,
                                            const slot_request* newcomer) const;
    request_list::const_iterator victim(const request_list& requests,
                                        request_list::const_iterator late,
                                        const slot_queue_timing& timing, steady_time now,
                                        const slot_request* newcomer) const;
    std::vector<const slot_request*> victims(request_list requests, const slot_queue_timing& timing,
                                             steady_time now, const slot_request* newcomer) const;
    void turn_away(const slot_request& request);
    int rank(const slot_request& request) const;
    double weight(const slot_request& request) const;

    slot_queue_policy m_policy;
    std::map<queue_key, slot_request> m_waiting;
    std::vector<std::uint64_t> m_turned_away; ///< Removed by add(), not yet taken.
    /// Requests turned away since one got a slot, by route.
    std::unordered_map<std::string, int> m_credits;
    account_slot_time m_accounts;
};

} // namespace galenaroad
