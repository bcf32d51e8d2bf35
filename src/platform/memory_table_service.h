#pragma once

#include "platform/store_faults.h"
#include "platform/table_service.h"

#include <cstdint>
#include <map>
#include <mutex>

namespace galenaroad {

/// Table service in memory, with injected faults. Safe for use by several threads.
class memory_table_service : public table_service {
public:
    memory_table_service() = default;

    /// @param faults the faults to inject.
    explicit memory_table_service(store_faults faults);

    /// Replaces the injected faults. Not to be called while other threads use the store.
    /// @param faults the faults to inject.
    void inject(store_faults faults);

    result<table_row> read(const std::string& table, const std::string& key) override;
    result<std::vector<table_row>> list(const std::string& table, const std::string& prefix,
                                        int limit) override;
    result<std::string> insert(const std::string& table, const std::string& key,
                               const std::string& value) override;
    result<std::string> update(const std::string& table, const std::string& key,
                               const std::string& value, const std::string& expected_tag) override;
    std::error_code remove(const std::string& table, const std::string& key,
                           const std::string& expected_tag) override;

private:
    using rows = std::map<std::string, table_row>;

    bool refused(const store_call& call) const;
    bool response_lost(const store_call& call) const;
    result<std::string> apply(const store_call& call, const std::string& value,
                              const std::string& expected_tag);
    result<std::string> put_row(const store_call& call, const std::string& value,
                                const std::string& expected_tag);
    std::error_code remove_row(const store_call& call, const std::string& expected_tag);

    store_faults m_faults;
    std::mutex m_mutex;
    std::map<std::string, rows> m_tables;
    std::uint64_t m_last_tag = 0;
};

} // namespace galenaroad
