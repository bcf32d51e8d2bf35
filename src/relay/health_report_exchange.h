#pragma once

#include "base/random_engine.h"
#include "load/health_report_buffer.h"
#include "relay/datagram_channel.h"
#include "relay/relay_context.h"

#include <string>
#include <vector>

namespace galenaroad {

/// Exchanges health reports with the daemons of this data centre in UDP datagrams: sends the health
/// that owners have reported to this daemon, and applies what other daemons relay. A lost datagram
/// does no harm, since owners also report their health with each response.
class health_report_exchange {
public:
    /// @param context shared state; must outlive the exchange.
    /// @param datagrams the channel of the messages; must outlive the exchange.
    /// @param random random engine for the choice of receivers.
    health_report_exchange(relay_context& context, datagram_channel& datagrams,
                           random_engine random);
    health_report_exchange(const health_report_exchange&) = delete;
    health_report_exchange& operator=(const health_report_exchange&) = delete;
    health_report_exchange(health_report_exchange&&) = delete;
    health_report_exchange& operator=(health_report_exchange&&) = delete;
    ~health_report_exchange();

    /// Records the health that an owner has reported to this daemon, and schedules its relay.
    void record_health(const std::string& owner, const owner_health& health);

private:
    void schedule_send();
    void send_reports();
    void handle_message(std::string_view bytes);
    std::vector<std::string> choose_receivers();

    relay_context& m_context;
    datagram_channel& m_datagrams;
    random_engine m_random;
    health_report_buffer m_buffer;
    event_loop::timer_id m_send_timer = event_loop::no_timer;
};

} // namespace galenaroad
