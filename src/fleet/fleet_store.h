#pragma once

#include "fleet/owner_record.h"
#include "fleet/store_era.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace galenaroad {

/// The routing plan as the operators wrote it.
struct plan_document {
    std::uint64_t version = 0;
    std::string text;
    store_era era{}; ///< Of the store, when it was read.
};

/// Interface to the platform's store, which delivers the plan and the owners and keeps this owner's
/// record. Reads cost money, so a daemon watches the store only after watch(true). All calls and
/// hooks run on the event loop.
class fleet_store {
public:
    /// Callbacks for what the store delivers.
    struct hooks {
        std::function<void(plan_document)> plan;
        std::function<void(const std::vector<owner_record>&)> owners;
        std::function<void(const std::string& address)> owner_removed;
        /// All records of owners in this data centre have been delivered.
        std::function<void()> local_owners_listed;
        std::function<void()> owners_listed; ///< All owners have been delivered.
        /// A record of this owner is stored. It replaces only records that have been delivered.
        std::function<void(std::uint64_t revision)> published;
        /// A write has met a record of this owner that had not been delivered, as an earlier start
        /// leaves it. The next record that is passed to publish() replaces it.
        std::function<void(const owner_record&)> own_record_found;
        /// The result of is_plan_watch_healthy() has changed.
        std::function<void()> plan_watch_health_changed;
        /// The store has come back from an older copy; era() tells the new era.
        std::function<void()> era_changed;
        std::function<void()> probe_succeeded; ///< The store has responded to probe().
    };

    fleet_store() = default;
    fleet_store(const fleet_store&) = delete;
    fleet_store& operator=(const fleet_store&) = delete;
    fleet_store(fleet_store&&) = delete;
    fleet_store& operator=(fleet_store&&) = delete;
    virtual ~fleet_store() = default;

    /// Sets the callbacks.
    /// @param callbacks called with what the store delivers.
    virtual void start(hooks callbacks) = 0;

    /// Reads the owners of this data centre once; retried until the store responds.
    virtual void list_local_owners() = 0;

    /// Starts or stops watching the plan and all owners.
    virtual void watch(bool watches) = 0;

    /// Reads the plan once, without watching it, to find out whether the store responds. A call
    /// that fails is not repeated. Has no effect while the plan is watched.
    virtual void probe() = 0;

    /// Chooses how soon a loss of the store is detected while the plan is watched.
    /// @param frequently true to detect it within about a second, by frequent calls.
    virtual void poll_frequently(bool frequently) = 0;

    /// Writes this owner's record; retried until it or a later one is stored. The write takes
    /// effect only if the stored record is the last one that this process has written or read.
    /// @param record the record.
    virtual void publish(const owner_record& record) = 0;

    /// Tries once to write the departure of another owner, which may not reach the store itself.
    /// The write takes effect only if the stored record is an earlier one.
    /// @param departure the record.
    /// @param on_end called once: true when the store has the departure.
    virtual void store_departure(const owner_record& departure,
                                 std::function<void(bool is_stored)> on_end) = 0;

    /// Compares the stored record of this owner with the one published last, unless that was done
    /// in an era, and writes it again if the store has lost it; retried until that is known.
    /// @param era era that the store is in, as far as it is known.
    virtual void verify_record(store_era era) = 0;

    /// @return the era of the store; unknown when it names none.
    virtual store_era era() const = 0;

    /// Calls for owners have no influence on the result, since calls for the plan and for owners
    /// may fail independently.
    /// @return true while the plan is watched and the store responds to the calls for it.
    virtual bool is_plan_watch_healthy() const = 0;
};

} // namespace galenaroad
