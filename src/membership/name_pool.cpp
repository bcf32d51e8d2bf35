#include "membership/name_pool.h"

#include <xxhash.h>

namespace galenaroad {

namespace {

// Unused names are removed each time the pool has grown by this many names.
constexpr std::size_t purge_step = 4096;

std::size_t hash_pair(const std::string& first, const std::string& second)
{
    return XXH3_64bits_withSeed(second.data(), second.size(),
                                XXH3_64bits(first.data(), first.size()));
}

} // namespace

std::size_t name_pool::name_hash::operator()(const service_id& id) const
{
    return hash_pair(id.business, id.service);
}

std::size_t name_pool::name_hash::operator()(const data_centre& location) const
{
    return hash_pair(location.region, location.name);
}

template <typename Name>
std::shared_ptr<const Name> name_pool::shared_in(pool<Name>& names, const Name& wanted)
{
    if (names.size() % purge_step == purge_step - 1) {
        for (auto each = names.begin(); each != names.end();) {
            each = each->second.expired() ? names.erase(each) : std::next(each);
        }
    }
    auto& held = names[wanted];
    auto shared = held.lock();
    if (!shared) {
        shared = std::make_shared<const Name>(wanted);
        held = shared;
    }
    return shared;
}

std::shared_ptr<const service_id> name_pool::share(const service_id& id)
{
    const std::lock_guard lock(m_mutex);
    return shared_in(m_services, id);
}

std::shared_ptr<const data_centre> name_pool::share(const data_centre& location)
{
    const std::lock_guard lock(m_mutex);
    return shared_in(m_locations, location);
}

} // namespace galenaroad
