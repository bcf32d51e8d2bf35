#include "relay/acknowledgement_queue.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace galenaroad {

namespace {

using namespace std::chrono_literals;

// Time for which the store is preferred to peers.
constexpr auto max_store_delay = 600ms;
// Departures that are announced again and again while nothing can confirm them.
constexpr std::size_t max_pending = 64;

} // namespace

acknowledgement_queue::~acknowledgement_queue()
{
    for (const auto& each : m_pending) {
        m_loop.cancel(each.timer);
    }
}

void acknowledgement_queue::add(std::uint64_t revision, std::function<void()> acknowledge)
{
    const auto id = ++m_latest_id;
    const auto timer = m_loop.after(max_store_delay, [this, id] {
        for (auto& each : m_pending) {
            each.is_overdue = each.is_overdue || each.id == id;
        }
        acknowledge_due();
    });
    m_pending.push_back({id, revision, std::move(acknowledge), timer});
    if (m_pending.size() > max_pending) {
        m_loop.cancel(m_pending.front().timer);
        m_pending.erase(m_pending.begin());
    }
}

void acknowledgement_queue::lower_revisions(std::uint64_t revision)
{
    for (auto& each : m_pending) {
        each.revision = std::min(each.revision, revision);
    }
    acknowledge_due();
}

void acknowledgement_queue::on_stored(std::uint64_t revision)
{
    m_stored_revision = revision;
    acknowledge_due();
}

void acknowledgement_queue::on_replicated(std::uint64_t revision)
{
    m_replicated_revision = std::max(m_replicated_revision, revision);
    acknowledge_due();
}

void acknowledgement_queue::acknowledge_due()
{
    acknowledge_if([this](const auto& each) {
        return each.revision <= m_stored_revision ||
               (each.is_overdue && each.revision <= m_replicated_revision);
    });
}

template <typename Predicate>
void acknowledgement_queue::acknowledge_if(Predicate is_due)
{
    std::vector<pending_acknowledgement> due;
    auto pending = std::exchange(m_pending, {});
    for (auto& each : pending) {
        (is_due(each) ? due : m_pending).push_back(std::move(each));
    }
    for (const auto& each : due) {
        m_loop.cancel(each.timer);
        each.acknowledge();
    }
}

} // namespace galenaroad
