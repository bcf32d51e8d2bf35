#pragma once

#include "fleet/owner_record.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace galenaroad {

/// The routing plan as the operators wrote it. Peers pass the text on unread.
struct plan_document {
    std::uint64_t version = 0;
    std::string text;
};

/// Port to the platform's store: it brings the plan and the owners, and keeps this owner's record.
/// Reading has a price, so only a daemon that is told to follows the store. All calls and hooks run
/// on the event loop.
class fleet_store {
public:
    /// Reactions to what the store reports.
    struct hooks {
        std::function<void(plan_document)> plan;
        std::function<void(const std::vector<owner_record>&)> owners;
        std::function<void(const std::string& address)> owner_removed;
        /// The owners of the own data centre, as far as they have records, have been delivered.
        std::function<void()> local_owners_listed;
        std::function<void()> owners_listed; ///< A complete list has been delivered.
        std::function<void(std::uint64_t revision)> published;
        std::function<void()>
            plan_watch_health_changed; ///< The result of is_plan_watch_healthy() has changed.
    };

    fleet_store() = default;
    fleet_store(const fleet_store&) = delete;
    fleet_store& operator=(const fleet_store&) = delete;
    fleet_store(fleet_store&&) = delete;
    fleet_store& operator=(fleet_store&&) = delete;
    virtual ~fleet_store() = default;

    /// Sets the reactions.
    /// @param reactions called with what the store reports.
    virtual void start(hooks callbacks) = 0;

    /// Reads the owners of the own data centre once; retried until the store answers.
    virtual void list_local_owners() = 0;

    /// Starts or stops to follow the plan and all owners.
    virtual void watch(bool watches) = 0;

    /// Chooses how soon it is noticed, while the plan is followed, that the store does not answer.
    /// @param closely true: within about a second, by frequent calls.
    virtual void poll_frequently(bool frequently) = 0;

    /// Writes this owner's record; retried until it or a later one is stored.
    /// @param record the record.
    virtual void publish(const owner_record& record) = 0;

    /// Calls about owners say nothing of it: each path to the store may fail by itself.
    /// @return true while the plan is followed and the store answers the calls for it.
    virtual bool is_plan_watch_healthy() const = 0;
};

} // namespace galenaroad
