#include "membership/encoded_size.h"

#include <set>

namespace galenaroad {

namespace {

constexpr std::size_t varint_bound = 11; ///< Tag and a varint of 64 bits.
constexpr std::size_t small_bound = 4;   ///< Tag and a varint below 2^21.
constexpr std::size_t fixed_bound = 9;   ///< Tag and eight bytes.
constexpr std::size_t length_bound = 4;  ///< Tag and length of a field below 2 MiB.

std::size_t text(const std::string& value)
{
    return length_bound + value.size();
}

} // namespace

std::size_t encoded_bound(const member& update)
{
    const auto& record = *update.record;
    std::size_t bytes = length_bound + text(record.name) + text(record.peer_address) +
                        text(record.location->region) + text(record.location->name) + fixed_bound +
                        2 * varint_bound + small_bound;
    std::set<service_id> services;
    for (const auto& each : record.upstreams) {
        bytes += length_bound + text(each.name) + 4 * small_bound;
        if (services.insert(*each.service).second) {
            bytes += length_bound + text(each.service->business) + text(each.service->service);
        }
    }
    return bytes;
}

std::size_t encoded_bound(const state_change& change)
{
    return length_bound + text(change.name) + fixed_bound + 2 * varint_bound + small_bound;
}

std::size_t encoded_bound(const contract_head& head)
{
    return length_bound + text(head.business) + varint_bound;
}

std::size_t encoded_bound(const ejection_row_copy& row)
{
    return length_bound + text(row.service.business) + text(row.service.service) + text(row.row) +
           2 * varint_bound;
}

} // namespace galenaroad
