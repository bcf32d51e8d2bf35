#include "platform/memory_object_store.h"

#include "base/error_kind.h"

#include <utility>

namespace galenaroad {

memory_object_store::memory_object_store(store_faults faults) : m_faults(std::move(faults)) {}

void memory_object_store::inject(store_faults faults)
{
    m_faults = std::move(faults);
}

result<std::string> memory_object_store::read(const std::string& bucket, const std::string& key)
{
    const store_call call{store_operation::read, bucket, key};
    if (refused(call) || response_lost(call)) {
        return tl::unexpected(make_error_code(error_kind::store_unavailable));
    }
    const std::lock_guard lock(m_mutex);
    const auto& objects_of_bucket = m_buckets[bucket];
    const auto found = objects_of_bucket.find(key);
    if (found == objects_of_bucket.end()) {
        return tl::unexpected(std::make_error_code(std::errc::no_such_file_or_directory));
    }
    return found->second;
}

std::error_code memory_object_store::write(const std::string& bucket, const std::string& key,
                                           const std::string& bytes)
{
    const store_call call{store_operation::write, bucket, key};
    if (refused(call)) {
        return error_kind::store_unavailable;
    }
    {
        const std::lock_guard lock(m_mutex);
        m_buckets[bucket][key] = bytes;
    }
    return response_lost(call) ? make_error_code(error_kind::outcome_unknown) : std::error_code();
}

std::error_code memory_object_store::remove(const std::string& bucket, const std::string& key)
{
    const store_call call{store_operation::remove, bucket, key};
    if (refused(call)) {
        return error_kind::store_unavailable;
    }
    {
        const std::lock_guard lock(m_mutex);
        m_buckets[bucket].erase(key);
    }
    return response_lost(call) ? make_error_code(error_kind::outcome_unknown) : std::error_code();
}

bool memory_object_store::refused(const store_call& call) const
{
    if (m_faults.delay) {
        m_faults.delay(call);
    }
    return m_faults.fail_before_effect && m_faults.fail_before_effect(call);
}

bool memory_object_store::response_lost(const store_call& call) const
{
    return m_faults.lose_response && m_faults.lose_response(call);
}

} // namespace galenaroad
