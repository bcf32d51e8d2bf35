#include "relay/absence_prober.h"

#include "net/ip_endpoint.h"

#include <Poco/Net/NetException.h>

namespace galenaroad {

namespace {

using namespace std::chrono_literals;

// Several times in holder_ranking::absence_time, so that a lost packet ends no absence.
constexpr auto probe_interval = 200ms;
constexpr auto connect_timeout = 1s;

} // namespace

absence_prober::absence_prober(event_loop& loop, absence_handler on_absent)
    : m_loop(loop), m_on_absent(std::move(on_absent))
{
}

absence_prober::~absence_prober()
{
    for (auto& [address, probe] : m_probes) {
        close(probe);
    }
}

void absence_prober::probe(const std::string& address)
{
    const auto target = ip_endpoint::parse(address);
    const auto now = m_loop.time().steady_now();
    remove_old();
    if (!target || m_probes.count(address) > 0) {
        return;
    }
    auto& probe = m_probes[address];
    probe.asked_at = now;
    try {
        probe.socket = Poco::Net::StreamSocket(target->family());
        probe.socket.connectNB(*target);
        probe.is_open = true;
        m_loop.watch(probe.socket, socket_interest::write,
                     [this, address](auto) { on_ready(address); });
    }
    catch (const Poco::Net::ConnectionRefusedException&) {
        m_on_absent(address, now);
    }
    catch (const Poco::Exception&) {
        return; // It is not known whether the daemon runs.
    }
}

void absence_prober::on_ready(const std::string& address)
{
    auto& probe = m_probes[address];
    const bool is_refused = probe.socket.impl()->socketError() == POCO_ECONNREFUSED;
    close(probe);
    if (is_refused) {
        m_on_absent(address, probe.asked_at);
    }
}

void absence_prober::close(open_probe& probe)
{
    if (probe.is_open) {
        m_loop.unwatch(probe.socket);
        probe.socket.close();
        probe.is_open = false;
    }
}

void absence_prober::remove_old()
{
    const auto now = m_loop.time().steady_now();
    for (auto each = m_probes.begin(); each != m_probes.end();) {
        const auto limit = each->second.is_open ? connect_timeout : probe_interval;
        if (now - each->second.asked_at < limit) {
            ++each;
            continue;
        }
        close(each->second);
        each = m_probes.erase(each);
    }
}

} // namespace galenaroad
