#pragma once

#include "fleet/store_era.h"

#include <cstdint>
#include <string>

namespace galenaroad {

/// State of an upstream as its owner announces it.
enum class announced_state {
    none,     ///< The instance has no upstream yet.
    ready,    ///< It accepts requests.
    draining, ///< It finishes its requests and leaves.
    left,     ///< It has left.
};

/// What the daemon beside an upstream (its owner) announces about itself and the upstream. Only the
/// owner writes it; of two records of one owner, the one with the higher revision is valid.
struct owner_record {
    std::string address; ///< IP address and port at which peers reach the owner.
    std::string data_centre;
    std::string region;
    std::uint64_t revision = 0;
    std::string upstream_id;
    std::string service;
    announced_state state = announced_state::none;
    std::uint64_t start_time_ms = 0; ///< Unix time of the upstream's start; 0 when not known.
    std::uint64_t sequence = 0;      ///< Number of the heartbeat that reported the state.
    store_era era; ///< Of the store, when the record was written there; not known elsewhere.
};

/// @param record a record.
/// @return true if its upstream has announced that it leaves.
inline bool has_departed(const owner_record& record)
{
    return record.state == announced_state::draining || record.state == announced_state::left;
}

} // namespace galenaroad
