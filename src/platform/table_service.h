#pragma once

#include "base/result.h"

#include <string>
#include <vector>

namespace galenaroad {

/// A row of the table service.
struct table_row {
    std::string key;
    std::string value; ///< JSON text.
    std::string tag;   ///< Entity tag; changes with each write.
};

/// Port to the platform's transactional table service.
///
/// A failed call reports `store_unavailable` when it certainly had no effect, `version_conflict`
/// when the expected tag did not match, and `outcome_unknown` when a write may have taken effect;
/// its writer then reads the row again and recognises its own write by the identity in the value.
class table_service {
public:
    table_service() = default;
    table_service(const table_service&) = delete;
    table_service& operator=(const table_service&) = delete;
    table_service(table_service&&) = delete;
    table_service& operator=(table_service&&) = delete;
    virtual ~table_service() = default;

    /// Reads a row.
    /// @param table the table's name.
    /// @param key the row's key.
    /// @return the row; an empty tag when there is no such row; or an error.
    virtual result<table_row> read(const std::string& table, const std::string& key) = 0;

    /// Lists rows in the order of their keys.
    /// @param table the table's name.
    /// @param prefix the prefix that keys must have.
    /// @param limit the greatest number of rows to return.
    /// @return the rows, or an error.
    virtual result<std::vector<table_row>> list(const std::string& table, const std::string& prefix,
                                                int limit) = 0;

    /// Writes a row that must not exist yet.
    /// @return the new tag, or an error.
    virtual result<std::string> insert(const std::string& table, const std::string& key,
                                       const std::string& value) = 0;

    /// Replaces a row whose tag must equal the expected one.
    /// @return the new tag, or an error.
    virtual result<std::string> update(const std::string& table, const std::string& key,
                                       const std::string& value,
                                       const std::string& expected_tag) = 0;

    /// Removes a row whose tag must equal the expected one.
    /// @return the error, or a code of zero.
    virtual std::error_code remove(const std::string& table, const std::string& key,
                                   const std::string& expected_tag) = 0;
};

} // namespace galenaroad
