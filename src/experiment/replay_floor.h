#pragma once

#include "experiment/replay_server.h"

#include <cstddef>
#include <map>
#include <memory>
#include <utility>
#include <vector>

namespace galenaroad {

/// Counts the spans in which most sound upstreams of a service got no request, while a part of its
/// requests was not served.
class replay_floor {
public:
    /// Notes a request that an upstream received.
    /// @param server index of the upstream.
    /// @param at time since the start of the replay.
    void note_arrival(std::size_t server, std::chrono::nanoseconds at);

    /// Notes the end of a request or call.
    /// @param service index of its service.
    /// @param is_served whether it was served.
    /// @param at time since the start of the replay.
    void note_end(std::size_t service, bool is_served, std::chrono::nanoseconds at);

    /// @param servers all upstreams.
    /// @param length length of the replay.
    /// @return how many spans broke the floor, over all services.
    long breaches(const std::vector<std::unique_ptr<replay_server>>& servers,
                  std::chrono::nanoseconds length) const;

private:
    struct ends {
        int all = 0;
        int served = 0;
    };

    /// The share of a service's sound upstreams with work.
    struct use {
        int sound = 0;
        int used = 0;
    };

    bool was_used(std::size_t server, long last_slice) const;
    bool is_part_unserved(std::size_t service, long last_slice) const;

    std::map<std::pair<std::size_t, long>, int> m_arrivals; ///< By server and slice of time.
    std::map<std::pair<std::size_t, long>, ends> m_ends;    ///< By service and slice of time.
};

} // namespace galenaroad
