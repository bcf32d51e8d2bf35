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
/// All calls and hooks run on the event loop.
class fleet_store {
public:
    /// Reactions to what the store reports.
    struct hooks {
        std::function<void(plan_document)> plan;
        std::function<void(const std::vector<owner_record>&)> owners;
        std::function<void(const std::string& address)> owner_removed;
        std::function<void()> owners_listed; ///< The first complete list has been delivered.
        std::function<void(std::uint64_t revision)> published;
    };

    fleet_store() = default;
    fleet_store(const fleet_store&) = delete;
    fleet_store& operator=(const fleet_store&) = delete;
    fleet_store(fleet_store&&) = delete;
    fleet_store& operator=(fleet_store&&) = delete;
    virtual ~fleet_store() = default;

    /// Starts to follow the store.
    /// @param reactions called with what it reports.
    virtual void start(hooks reactions) = 0;

    /// Writes this owner's record; retried until it or a later one is stored.
    /// @param record the record.
    virtual void publish(const owner_record& record) = 0;

    /// @return true while the store answers.
    virtual bool is_reachable() const = 0;
};

} // namespace galenaroad
