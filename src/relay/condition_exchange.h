#pragma once

#include "base/random_engine.h"
#include "relay/condition_news.h"
#include "relay/relay_context.h"

#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <string>
#include <vector>

namespace galenaroad {

/// Tells the daemons of this data centre in datagrams what owners told this one, and takes what
/// they tell. A lost datagram costs nothing but knowledge; the conditions that owners tell with
/// their answers are enough to work.
class condition_exchange {
public:
    /// @param context shared state; must outlive the exchange.
    /// @param random engine that chooses the receivers.
    condition_exchange(relay_context& context, random_engine random);
    condition_exchange(const condition_exchange&) = delete;
    condition_exchange& operator=(const condition_exchange&) = delete;
    condition_exchange(condition_exchange&&) = delete;
    condition_exchange& operator=(condition_exchange&&) = delete;
    ~condition_exchange();

    /// Starts to listen and to tell. Without the address it is not told anything.
    /// @param listen_address IP address and port for datagrams.
    void start(const std::string& listen_address);

    /// Notes what an owner told this daemon.
    void note(const std::string& owner, const owner_health& condition);

private:
    void arm();
    void tell();
    void receive();
    void take(std::string_view bytes);
    std::vector<std::string> choose_receivers();

    relay_context& m_context;
    random_engine m_random;
    condition_news m_news;
    Poco::Net::DatagramSocket m_socket;
    bool m_is_listening = false;
    event_loop::timer_id m_timer = event_loop::no_timer;
};

} // namespace galenaroad
