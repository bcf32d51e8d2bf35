#pragma once

#include "base/clock.h"
#include "base/random_engine.h"
#include "membership/gossip_message.h"
#include "model/contract_version.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <variant>
#include <vector>

namespace galenaroad {

/// Faults of a fake network.
struct network_faults {
    double loss = 0;                          ///< Share of messages that are lost.
    std::chrono::milliseconds extra_delay{0}; ///< Greatest random delay; reorders messages.
    /// Whether messages from one daemon to another are cut; one-way when not symmetrical.
    std::function<bool(int from, int to)> cut;
};

/// In-memory network between the daemons of one process. Time moves with a manual clock.
class fake_network {
public:
    using payload = std::variant<gossip_message, member_request, member_response, contract_request,
                                 contract_response>;

    /// A message under way.
    struct delivery {
        steady_time at;
        std::uint64_t serial = 0; ///< Orders messages that arrive at the same time.
        int from = 0;
        int to = 0;
        std::shared_ptr<const payload> content;
    };

    /// @param engine the random engine; must outlive the network.
    explicit fake_network(random_engine& engine) : m_random(engine) {}

    /// Sends a message, unless a fault takes it.
    /// @param message the message; its arrival time and serial are set here.
    /// @param now the time.
    /// @param latency the one-way latency of the link.
    /// @return whether the message will arrive.
    bool send(delivery message, steady_time now, std::chrono::microseconds latency);

    /// @param until a time.
    /// @return whether a message arrives at or before it.
    bool has_due(steady_time until) const;

    /// @return the next message; has_due() must hold.
    delivery take();

    /// @return the faults, which may be changed at any time.
    network_faults& faults() { return m_faults; }

private:
    struct later {
        bool operator()(const delivery& a, const delivery& b) const;
    };

    random_engine& m_random;
    network_faults m_faults;
    std::priority_queue<delivery, std::vector<delivery>, later> m_queue;
    std::uint64_t m_serial = 0;
};

} // namespace galenaroad
