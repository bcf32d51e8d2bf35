#include "relay/condition_exchange.h"

#include "net/ip_endpoint.h"
#include "relay/condition_message.h"

#include <Poco/Net/NetException.h>
#include <algorithm>
#include <array>

namespace galenaroad {

namespace {

using namespace std::chrono_literals;

// Conditions change within the time of one request; telling them more often costs processor time
// on the smallest instances.
constexpr auto telling_interval = 250ms;
// Receivers of each message. Their number does not grow with the data centre, so that the cost of a
// daemon does not either.
constexpr std::size_t max_receivers = 5;
// Messages read before other work goes on.
constexpr int max_messages_at_once = 16;

} // namespace

condition_exchange::condition_exchange(relay_context& context, random_engine random)
    : m_context(context), m_random(random)
{
}

condition_exchange::~condition_exchange()
{
    m_context.loop.cancel(m_timer);
    if (m_is_listening) {
        m_context.loop.unwatch(m_socket);
    }
}

void condition_exchange::start(const std::string& listen_address)
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

void condition_exchange::note(const std::string& owner, const owner_health& condition)
{
    m_news.note(owner, condition, m_context.now());
    arm();
}

void condition_exchange::arm()
{
    if (!m_is_listening || m_timer != event_loop::no_timer) {
        return;
    }
    m_timer = m_context.loop.after(telling_interval, [this] {
        m_timer = event_loop::no_timer;
        tell();
    });
}

void condition_exchange::tell()
{
    const auto items = m_news.take(m_context.now());
    if (items.empty()) {
        return;
    }
    const auto message = condition_message::encode(items);
    for (const auto& receiver : choose_receivers()) {
        const auto address = ip_endpoint::parse(receiver);
        if (!address || message.size() > condition_message::max_bytes) {
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
    arm();
}

std::vector<std::string> condition_exchange::choose_receivers()
{
    std::vector<std::string> all;
    for (const auto& record : m_context.directory.all()) {
        const bool is_own = record.address == m_context.location.address;
        const bool is_near = record.data_centre == m_context.location.data_centre;
        if (is_near && !is_own && record.state != announced_state::left) {
            all.push_back(record.address);
        }
    }
    std::vector<std::string> chosen;
    std::sample(all.begin(), all.end(), std::back_inserter(chosen), max_receivers, m_random);
    return chosen;
}

void condition_exchange::receive()
{
    std::array<char, condition_message::max_bytes> buffer{};
    for (int each = 0; each < max_messages_at_once; ++each) {
        try {
            Poco::Net::SocketAddress sender;
            const int size =
                m_socket.receiveFrom(buffer.data(), static_cast<int>(buffer.size()), sender);
            if (size <= 0) {
                return;
            }
            take({buffer.data(), static_cast<std::size_t>(size)});
        }
        catch (const Poco::Exception&) {
            return; // Nothing is left to read.
        }
    }
}

void condition_exchange::take(std::string_view bytes)
{
    const auto items = condition_message::decode(bytes);
    if (!items) {
        m_context.metrics.record_health_report("unreadable");
        return;
    }
    m_context.metrics.record_health_report("received");
    for (const auto& item : *items) {
        const auto told_at = m_context.now() - item.age;
        if (m_context.directory.find(item.owner) != nullptr &&
            m_news.note(item.owner, item.condition, told_at)) {
            m_context.ranking.record_relayed_health(item.owner, item.condition, told_at);
        }
    }
    arm();
}

} // namespace galenaroad
