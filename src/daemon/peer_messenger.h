#pragma once

#include "configuration/configuration_follower.h"
#include "daemon/control_thread.h"
#include "health/statistics_report.h"
#include "membership/membership.h"
#include "model/contract_version.h"
#include "peer/client_pool.h"
#include "peer/message_codec.h"

#include <atomic>
#include <functional>
#include <string>

namespace galenaroad {

/// Sends the messages of membership and configuration to other daemons, off the control thread.
class peer_messenger {
public:
    /// Called with each piece of a response, on a thread of the messenger.
    struct events {
        std::function<void(const std::string& address, member_response)> members;
        std::function<void(const std::string& address, contract_response)> contracts;
        std::function<void(const statistics_report&, std::vector<class_reference>)> references;
    };

    /// @param clients the channels.
    /// @param codec converts messages.
    /// @param on the events.
    peer_messenger(client_pool& clients, const message_codec& codec, events on);

    /// Reports levels to an evaluator and does not wait for the answer.
    /// @param outgoing the report.
    void report(const outgoing_statistics_report& outgoing);

    /// Starts an exchange of members.
    /// @param outgoing the exchange.
    void exchange(outgoing_synchronise outgoing);

    /// Starts an exchange of contracts.
    /// @param outgoing the exchange.
    void fetch(outgoing_fetch outgoing);

    /// Ends the threads.
    void stop();

private:
    using piece_hook = std::function<void(const peer::SynchroniseResponse&)>;

    void synchronise(const std::string& address, const peer::SynchroniseRequest& request,
                     const piece_hook& piece);

    client_pool& m_clients;
    const message_codec& m_codec;
    events m_events;
    std::atomic<int> m_open_reports{0};
    control_thread m_member_thread;
    control_thread m_contract_thread;
};

} // namespace galenaroad
