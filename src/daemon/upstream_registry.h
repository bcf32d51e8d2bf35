#pragma once

#include "base/clock.h"
#include "daemon/upstream_announcement.h"
#include "proxy/local_upstream.h"

#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace galenaroad {

/// The backend servers that announce themselves to this daemon. Used by the control thread.
class upstream_registry {
public:
    /// Announcements are renewed every 2 s; three are missed before one expires.
    static constexpr auto announcement_validity = std::chrono::seconds(6);

    /// @param instance the name of this instance.
    /// @param time the clock.
    upstream_registry(std::string instance, const clock& time);

    /// Adds or renews an announcement.
    /// @param made the announcement.
    /// @return true when it changed what is known of the upstream.
    bool announce(const upstream_announcement& made);

    /// Marks an upstream as leaving.
    /// @param name the upstream.
    /// @return true when it was known and not leaving.
    bool withdraw(const std::string& name);

    /// Removes expired announcements.
    /// @return the addresses of the backend servers that were removed.
    std::vector<std::string> expire();

    /// @return a snapshot for traffic threads.
    std::shared_ptr<const local_upstreams> snapshot() const;

    /// @return the upstreams for this instance's record.
    std::vector<upstream> records() const;

private:
    struct entry {
        local_upstream local;
        steady_time valid_until;
    };

    bool replace(entry& held, const upstream_announcement& made);

    std::string m_instance;
    const clock& m_clock;
    std::map<std::string, entry> m_entries;
};

} // namespace galenaroad
