#include "experiment/fake_network.h"

#include <utility>

namespace galenaroad {

bool fake_network::later::operator()(const delivery& a, const delivery& b) const
{
    return a.at != b.at ? a.at > b.at : a.serial > b.serial;
}

bool fake_network::send(delivery message, steady_time now, std::chrono::microseconds latency)
{
    const bool lost = m_faults.loss > 0 && std::bernoulli_distribution(m_faults.loss)(m_random);
    const bool cut = m_faults.cut && m_faults.cut(message.from, message.to);
    if (lost || cut) {
        return false;
    }
    message.at = now + latency;
    if (m_faults.extra_delay.count() > 0) {
        const auto most = static_cast<std::uint64_t>(m_faults.extra_delay.count());
        message.at += std::chrono::milliseconds(m_random() % (most + 1));
    }
    message.serial = m_serial++;
    m_queue.push(std::move(message));
    return true;
}

bool fake_network::has_due(steady_time until) const
{
    return !m_queue.empty() && m_queue.top().at <= until;
}

fake_network::delivery fake_network::take()
{
    auto next = m_queue.top();
    m_queue.pop();
    return next;
}

} // namespace galenaroad
