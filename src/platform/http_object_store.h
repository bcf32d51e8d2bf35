#pragma once

#include "platform/object_store.h"
#include "platform/store_http_client.h"

namespace galenaroad {

/// Object store by HTTP. Safe for use by several threads.
class http_object_store : public object_store {
public:
    /// @param endpoint where the object store listens.
    /// @param time the clock; must outlive the store.
    http_object_store(store_endpoint endpoint, const clock& time);

    result<std::string> read(const std::string& bucket, const std::string& key) override;
    std::error_code write(const std::string& bucket, const std::string& key,
                          const std::string& bytes) override;
    std::error_code remove(const std::string& bucket, const std::string& key) override;

private:
    store_http_client m_client;
};

} // namespace galenaroad
