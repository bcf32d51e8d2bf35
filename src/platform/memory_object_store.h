#pragma once

#include "platform/object_store.h"
#include "platform/store_faults.h"

#include <map>
#include <mutex>

namespace galenaroad {

/// Object store in memory, with injected faults. Safe for use by several threads.
class memory_object_store : public object_store {
public:
    memory_object_store() = default;

    /// @param faults the faults to inject.
    explicit memory_object_store(store_faults faults);

    /// Replaces the injected faults. Not to be called while other threads use the store.
    /// @param faults the faults to inject.
    void inject(store_faults faults);

    result<std::string> read(const std::string& bucket, const std::string& key) override;
    std::error_code write(const std::string& bucket, const std::string& key,
                          const std::string& bytes) override;
    std::error_code remove(const std::string& bucket, const std::string& key) override;

private:
    using objects = std::map<std::string, std::string>;

    bool refused(const store_call& call) const;
    bool response_lost(const store_call& call) const;

    store_faults m_faults;
    std::mutex m_mutex;
    std::map<std::string, objects> m_buckets;
};

} // namespace galenaroad
