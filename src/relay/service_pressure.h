#pragma once

#include "base/clock.h"

#include <map>
#include <string>

namespace galenaroad {

/// How many requests have ended lately, and how many of them were not served. Older ones count
/// less.
struct request_ends {
    double all = 0;
    double unserved = 0;
};

/// Tells from the ends of the requests of a data centre's daemons whether many are not served.
///
/// Answers the load where part of the upstreams has failed or is full: evidence against an upstream
/// is worth less than the capacity that it keeps idle, so requests that can be sent again try it.
class service_pressure {
public:
    /// Notes the end of a request of this daemon.
    /// @param is_served it had a success.
    /// @param now the current time.
    void note(bool is_served, steady_time now);

    /// Notes what another daemon of the data centre has told of its requests.
    /// @param daemon its address.
    /// @param ends its latest requests.
    /// @param now the current time.
    void note_neighbour(const std::string& daemon, const request_ends& ends, steady_time now);

    /// @param now the current time.
    /// @return the latest requests of this daemon.
    request_ends own(steady_time now) const;

    /// @param now the current time.
    /// @return true while a notable share of the latest requests was not served.
    bool is_high(steady_time now) const;

private:
    struct neighbour {
        request_ends ends;
        steady_time told_at;
    };

    request_ends m_own; ///< As of m_at.
    steady_time m_at;
    std::map<std::string, neighbour> m_neighbours;
};

} // namespace galenaroad
