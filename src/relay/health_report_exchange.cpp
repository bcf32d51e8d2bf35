#include "relay/health_report_exchange.h"

#include "net/ip_endpoint.h"
#include "relay/health_report_codec.h"

#include <Poco/Net/NetException.h>
#include <algorithm>
#include <array>

namespace galenaroad {

namespace {

using namespace std::chrono_literals;

// Health changes within the time of one request. More frequent messages would cost too much CPU
// time on the smallest instances.
constexpr auto send_interval = 250ms;
// Receivers of each message. The number is fixed, so that the cost for a daemon does not grow with
// the data centre.
constexpr std::size_t max_receivers = 5;
// Messages read in one event loop callback, so that other events are not delayed.
constexpr int max_messages_per_wakeup = 16;

} // namespace

health_report_exchange::health_report_exchange(relay_context& context, random_engine random)
    : m_context(context), m_random(random)
{
}

health_report_exchange::~health_report_exchange()
{
    m_context.loop.cancel(m_send_timer);
    if (m_is_listening) {
        m_context.loop.unwatch(m_socket);
    }
}

void health_report_exchange::start(const std::string& listen_address)
{
    const auto address = ip_endpoint::parse(listen_address);
    if (!address) {
        return;
    }
    try {
        m_socket.bind(*address);
        m_socket.setBlocking(false);
    }
    catch (const Poco::Exception& error) {
        m_context.log.note_state("condition_news_off",
                                 {{"address", listen_address}, {"error", error.displayText()}});
        return;
    }
    m_is_listening = true;
    m_context.loop.watch(m_socket, socket_interest::read, [this](auto) { receive(); });
}

void health_report_exchange::record_health(const std::string& owner, const owner_health& health)
{
    m_buffer.record_health(owner, health, m_context.now());
    schedule_send();
}

void health_report_exchange::schedule_send()
{
    if (!m_is_listening || m_send_timer != event_loop::no_timer) {
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
        const auto address = ip_endpoint::parse(receiver);
        if (!address || message.size() > health_report_codec::max_bytes) {
            continue;
        }
        try {
            m_socket.sendTo(message.data(), static_cast<int>(message.size()), *address);
            m_context.metrics.record_health_report("sent");
        }
        catch (const Poco::Exception&) {
            m_context.metrics.record_health_report("not_sent");
        }
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

void health_report_exchange::receive()
{
    std::array<char, health_report_codec::max_bytes> buffer{};
    for (int count = 0; count < max_messages_per_wakeup; ++count) {
        try {
            Poco::Net::SocketAddress sender;
            const int size =
                m_socket.receiveFrom(buffer.data(), static_cast<int>(buffer.size()), sender);
            if (size <= 0) {
                return;
            }
            handle_message({buffer.data(), static_cast<std::size_t>(size)});
        }
        catch (const Poco::Exception&) {
            return; // No datagram is left to read.
        }
    }
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
