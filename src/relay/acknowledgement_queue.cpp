#include "relay/acknowledgement_queue.h"

#include <algorithm>
#include <utility>

namespace galenaroad {

namespace {

// Departures that are announced again and again while the store does not respond.
constexpr std::size_t max_pending = 64;

} // namespace

void acknowledgement_queue::add(std::uint64_t revision, std::function<void()> acknowledge)
{
    m_pending.push_back({revision, std::move(acknowledge)});
    if (m_pending.size() > max_pending) {
        m_pending.erase(m_pending.begin());
    }
    acknowledge_stored();
}

void acknowledgement_queue::lower_revisions(std::uint64_t revision)
{
    for (auto& each : m_pending) {
        each.revision = std::min(each.revision, revision);
    }
    acknowledge_stored();
}

void acknowledgement_queue::on_stored(std::uint64_t revision)
{
    m_stored_revision = std::max(m_stored_revision, revision);
    acknowledge_stored();
}

void acknowledgement_queue::acknowledge_stored()
{
    std::vector<pending_acknowledgement> stored;
    auto pending = std::exchange(m_pending, {});
    for (auto& each : pending) {
        (is_stored(each.revision) ? stored : m_pending).push_back(std::move(each));
    }
    for (const auto& each : stored) {
        each.acknowledge();
    }
}

} // namespace galenaroad
