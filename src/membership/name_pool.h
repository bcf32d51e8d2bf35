#pragma once

#include "model/instance.h"

#include <memory>
#include <mutex>
#include <unordered_map>

namespace galenaroad {

/// Interns service and data centre names, so that records share equal ones. A daemon has one pool;
/// without it, the names of 74,000 upstreams would take about 10 MB more. Thread-safe, because
/// messages are decoded on the threads that receive them.
class name_pool {
public:
    /// @param id a service's name.
    /// @return the shared copy.
    std::shared_ptr<const service_id> share(const service_id& id);

    /// @param location a data centre.
    /// @return the shared copy.
    std::shared_ptr<const data_centre> share(const data_centre& location);

private:
    struct name_hash {
        std::size_t operator()(const service_id& id) const;
        std::size_t operator()(const data_centre& location) const;
    };

    template <typename Name>
    using pool = std::unordered_map<Name, std::weak_ptr<const Name>, name_hash>;

    template <typename Name>
    static std::shared_ptr<const Name> shared_in(pool<Name>& names, const Name& wanted);

    std::mutex m_mutex;
    pool<service_id> m_services;
    pool<data_centre> m_locations;
};

} // namespace galenaroad
