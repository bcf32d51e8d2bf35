#include "fleet/store_reader_order.h"

#include <algorithm>
#include <xxhash.h>

namespace galenaroad {

namespace {

std::uint64_t hash_of(const std::string& address)
{
    return XXH3_64bits(address.data(), address.size());
}

} // namespace

std::vector<std::string> store_reader_order::daemons(const owner_directory& directory,
                                                     const std::string& data_centre)
{
    std::vector<std::string> addresses;
    for (const auto& record : directory.all()) {
        if (record.data_centre == data_centre && record.state == announced_state::ready) {
            addresses.push_back(record.address);
        }
    }
    std::sort(addresses.begin(), addresses.end(), is_before);
    return addresses;
}

// Addresses reflect the class and the rack of an instance. Ordering by hash avoids that instances
// of one class or rack do most of the reading.
bool store_reader_order::is_before(const std::string& first, const std::string& second)
{
    const auto a = hash_of(first);
    const auto b = hash_of(second);
    return a != b ? a < b : first < second;
}

} // namespace galenaroad
