#pragma once

#include "base/clock.h"
#include "membership/member_record.h"
#include "membership/membership_settings.h"

#include <map>
#include <memory>
#include <string>

namespace galenaroad {

class name_pool;

/// The record that this daemon announces about itself, with its upstreams, which expire unless
/// renewed.
class own_record {
public:
    /// @param identity the record without upstreams.
    /// @param settings the protocol's intervals and timeouts.
    own_record(member_record identity, const membership_settings& settings);

    /// Records an upstream's announcement.
    /// @return whether it has to be published at once, because the upstream is leaving.
    bool announce(const upstream& announced, name_pool& names, steady_time now);

    /// Removes an upstream.
    /// @return whether it was announced.
    bool withdraw(const std::string& name);

    /// Removes upstreams whose announcements were not renewed.
    /// @param now the time.
    void expire(steady_time now);

    /// @param now the time.
    /// @return whether unpublished changes exist and the minimum interval between publications has
    /// passed.
    bool due(steady_time now) const;

    /// @return whether the unpublished changes remove an upstream.
    bool removes_upstreams() const;

    /// Raises the version and publishes the changes.
    /// @param now the time.
    void publish(steady_time now);

    /// Raises the version above one that other daemons disseminate. The content does not change.
    /// @param version the version to exceed.
    void raise_version_above(std::uint64_t version);

    /// Marks the daemon as leaving; raises the version.
    void leave();

    /// Changes to an incarnation above that of an earlier daemon with the same name.
    /// @param incarnation the incarnation to exceed.
    void raise_incarnation_above(std::uint64_t incarnation);

    /// Extends all announcements after this daemon itself was paused, because it could not receive
    /// renewals in that time.
    /// @param pause the length of the pause.
    void compensate_for_pause(std::chrono::nanoseconds pause);

    /// @return the published record with its version and state.
    const member& published() const { return m_published; }

private:
    struct announcement {
        member_upstream content;
        steady_time renewed;
    };

    std::chrono::milliseconds m_expiry;
    std::chrono::milliseconds m_publish_interval;
    std::map<std::string, announcement> m_announcements;
    member m_published;
    steady_time m_last_publish;
    bool m_changed = false;
};

} // namespace galenaroad
