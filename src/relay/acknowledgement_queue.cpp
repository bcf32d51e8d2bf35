#include "relay/acknowledgement_queue.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace galenaroad {

namespace {

using namespace std::chrono_literals;

constexpr auto max_delay = 600ms;

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
    const auto timer = m_loop.after(max_delay, [this, id] {
        acknowledge_if([id](const auto& each) { return each.id == id; });
    });
    m_pending.push_back({id, revision, std::move(acknowledge), timer});
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
    m_stored_revision = revision;
    acknowledge_stored();
}

void acknowledgement_queue::acknowledge_stored()
{
    acknowledge_if([this](const auto& each) { return each.revision <= m_stored_revision; });
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
