#include "relay/health_report_exchange.h"

#include "relay/health_report_codec.h"

#include <algorithm>

namespace galenaroad {

namespace {

using namespace std::chrono_literals;

// Health changes within the time of one request. More frequent messages would cost too much CPU
// time on the smallest instances.
constexpr auto send_interval = 250ms;
// Receivers of each message. The number is fixed, so that the cost for a daemon does not grow with
// the data centre.
constexpr std::size_t max_receivers = 5;

} // namespace

health_report_exchange::health_report_exchange(relay_context& context, datagram_channel& datagrams,
                                               random_engine random)
    : m_context(context), m_datagrams(datagrams), m_random(random)
{
    m_datagrams.on_other_message([this](auto bytes, const auto&) { handle_message(bytes); });
}

health_report_exchange::~health_report_exchange()
{
    m_context.loop.cancel(m_send_timer);
}

void health_report_exchange::record_health(const std::string& owner, const owner_health& health)
{
    m_buffer.record_health(owner, health, m_context.now());
    schedule_send();
}

void health_report_exchange::schedule_send()
{
    if (!m_datagrams.is_listening() || m_send_timer != event_loop::no_timer) {
        return;
    }
    m_send_timer = m_context.loop.after(send_interval, [this] {
        m_send_timer = event_loop::no_timer;
        send_reports();
    });
}

void health_report_exchange::send_reports()
{
    const auto reports = m_buffer.take_due(m_context.now());
    if (reports.empty()) {
        return;
    }
    const auto message = health_report_codec::encode(reports);
    for (const auto& receiver : choose_receivers()) {
        const bool is_sent = m_datagrams.send(receiver, message);
        m_context.metrics.record_health_report(is_sent ? "sent" : "not_sent");
    }
    schedule_send();
}

std::vector<std::string> health_report_exchange::choose_receivers()
{
    std::vector<std::string> local_owners;
    for (const auto& record : m_context.directory.all()) {
        const bool is_own = record.address == m_context.location.address;
        const bool is_local = record.data_centre == m_context.location.data_centre;
        if (is_local && !is_own && record.state != announced_state::left) {
            local_owners.push_back(record.address);
        }
    }
    std::vector<std::string> chosen;
    std::sample(local_owners.begin(), local_owners.end(), std::back_inserter(chosen), max_receivers,
                m_random);
    return chosen;
}

void health_report_exchange::handle_message(std::string_view bytes)
{
    const auto reports = health_report_codec::decode(bytes);
    if (!reports) {
        m_context.metrics.record_health_report("unreadable");
        return;
    }
    m_context.metrics.record_health_report("received");
    for (const auto& report : *reports) {
        const auto reported_at = m_context.now() - report.age;
        if (m_context.directory.find(report.owner) != nullptr &&
            m_buffer.record_health(report.owner, report.health, reported_at)) {
            m_context.ranking.record_relayed_health(report.owner, report.health, reported_at);
        }
    }
    schedule_send();
}

} // namespace galenaroad
