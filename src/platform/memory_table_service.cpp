#include "platform/memory_table_service.h"

#include "base/error_kind.h"

#include <utility>

namespace galenaroad {

memory_table_service::memory_table_service(store_faults faults) : m_faults(std::move(faults)) {}

void memory_table_service::inject(store_faults faults)
{
    m_faults = std::move(faults);
}

result<table_row> memory_table_service::read(const std::string& table, const std::string& key)
{
    const store_call call{store_operation::read, table, key};
    if (refused(call) || response_lost(call)) {
        return tl::unexpected(make_error_code(error_kind::store_unavailable));
    }
    const std::lock_guard lock(m_mutex);
    const auto& rows_of_table = m_tables[table];
    const auto found = rows_of_table.find(key);
    return found == rows_of_table.end() ? table_row{key, {}, {}} : found->second;
}

result<std::vector<table_row>> memory_table_service::list(const std::string& table,
                                                          const std::string& prefix, int limit)
{
    const store_call call{store_operation::list, table, prefix};
    if (refused(call) || response_lost(call)) {
        return tl::unexpected(make_error_code(error_kind::store_unavailable));
    }
    const std::lock_guard lock(m_mutex);
    const auto& rows_of_table = m_tables[table];
    std::vector<table_row> found;
    for (auto row = rows_of_table.lower_bound(prefix); row != rows_of_table.end(); ++row) {
        const bool has_prefix = row->first.compare(0, prefix.size(), prefix) == 0;
        if (!has_prefix || static_cast<int>(found.size()) >= limit) {
            break;
        }
        found.push_back(row->second);
    }
    return found;
}

result<std::string> memory_table_service::insert(const std::string& table, const std::string& key,
                                                 const std::string& value)
{
    return apply({store_operation::insert, table, key}, value, {});
}

result<std::string> memory_table_service::update(const std::string& table, const std::string& key,
                                                 const std::string& value,
                                                 const std::string& expected_tag)
{
    return apply({store_operation::update, table, key}, value, expected_tag);
}

std::error_code memory_table_service::remove(const std::string& table, const std::string& key,
                                             const std::string& expected_tag)
{
    const store_call call{store_operation::remove, table, key};
    if (refused(call)) {
        return error_kind::store_unavailable;
    }
    const auto error = remove_row(call, expected_tag);
    if (response_lost(call)) {
        return error_kind::outcome_unknown;
    }
    return error;
}

bool memory_table_service::refused(const store_call& call) const
{
    if (m_faults.delay) {
        m_faults.delay(call);
    }
    return m_faults.fail_before_effect && m_faults.fail_before_effect(call);
}

bool memory_table_service::response_lost(const store_call& call) const
{
    return m_faults.lose_response && m_faults.lose_response(call);
}

result<std::string> memory_table_service::apply(const store_call& call, const std::string& value,
                                                const std::string& expected_tag)
{
    if (refused(call)) {
        return tl::unexpected(make_error_code(error_kind::store_unavailable));
    }
    auto written = put_row(call, value, expected_tag);
    if (response_lost(call)) {
        return tl::unexpected(make_error_code(error_kind::outcome_unknown));
    }
    return written;
}

result<std::string> memory_table_service::put_row(const store_call& call, const std::string& value,
                                                  const std::string& expected_tag)
{
    const std::lock_guard lock(m_mutex);
    auto& rows_of_table = m_tables[call.container];
    const auto found = rows_of_table.find(call.key);
    const std::string current_tag = found == rows_of_table.end() ? "" : found->second.tag;
    const bool must_exist = call.operation == store_operation::update;
    if (current_tag != expected_tag || (must_exist && current_tag.empty())) {
        return tl::unexpected(make_error_code(error_kind::version_conflict));
    }
    const std::string tag = std::to_string(++m_last_tag);
    rows_of_table[call.key] = table_row{call.key, value, tag};
    return tag;
}

std::error_code memory_table_service::remove_row(const store_call& call,
                                                 const std::string& expected_tag)
{
    const std::lock_guard lock(m_mutex);
    auto& rows_of_table = m_tables[call.container];
    const auto found = rows_of_table.find(call.key);
    if (found == rows_of_table.end() || found->second.tag != expected_tag) {
        return error_kind::version_conflict;
    }
    rows_of_table.erase(found);
    return {};
}

} // namespace galenaroad
