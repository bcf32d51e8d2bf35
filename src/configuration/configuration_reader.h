#pragma once

#include "base/clock.h"
#include "base/result.h"
#include "model/contract.h"
#include "model/contract_version.h"

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

namespace galenaroad {

class object_store;
class table_service;

/// A live daemon that may be chosen as a reader. Refers to strings owned by a membership view,
/// because copying them for all daemons every second would be wasteful.
struct reader_candidate {
    std::string_view name;
    std::string_view region;
};

/// Reads the accepted contracts from the table on the daemons that are chosen as readers: the two
/// live daemons per region with the highest rendezvous hash. The fleet's read rate is therefore two
/// reads per second and region, regardless of the number of daemons.
class configuration_reader {
public:
    /// @param table the table service.
    /// @param objects the object store, for bodies above 64 KiB.
    /// @param time the clock; must outlive the reader.
    configuration_reader(table_service& table, object_store& objects, const clock& time);

    /// Chooses the readers of one region.
    /// @param live the live daemons of all regions.
    /// @param region the region.
    /// @return the names of at most two daemons, highest hash first.
    static std::vector<std::string> readers(const std::vector<reader_candidate>& live,
                                            std::string_view region);

    /// @return whether a second has passed since the last read. Callers check this first to avoid
    /// listing all live daemons when due() would return false anyway.
    bool interval_passed() const;

    /// Decides whether this daemon reads the table now: when a second has passed since the last
    /// read, and it is a reader or has no configuration yet.
    /// @param live the live daemons.
    /// @param self this daemon.
    /// @param ready whether this daemon already holds a configuration.
    /// @return whether to call read().
    bool due(const std::vector<reader_candidate>& live, const reader_candidate& self,
             bool ready) const;

    /// Lists the table once. Blocks on the table service, so the daemon calls it on a store thread
    /// and passes the contracts to its configuration_store on the control thread.
    /// @param known the versions that the daemon has; only newer contracts are loaded.
    /// @return the contracts that are newer, or the error.
    result<std::vector<contract>> read(const std::vector<contract_head>& known);

private:
    table_service& m_table;
    object_store& m_objects;
    const clock& m_clock;
    steady_time m_last_read;
};

} // namespace galenaroad
