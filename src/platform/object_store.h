#pragma once

#include "base/result.h"

#include <string>

namespace galenaroad {

/// Port to the platform's object store.
class object_store {
public:
    object_store() = default;
    object_store(const object_store&) = delete;
    object_store& operator=(const object_store&) = delete;
    object_store(object_store&&) = delete;
    object_store& operator=(object_store&&) = delete;
    virtual ~object_store() = default;

    /// Reads an object.
    /// @param bucket the bucket's name.
    /// @param key the object's key.
    /// @return its bytes; `std::errc::no_such_file_or_directory` when there is no such object; or
    /// `store_unavailable`.
    virtual result<std::string> read(const std::string& bucket, const std::string& key) = 0;

    /// Writes an object, replacing one with the same key.
    /// @return the error, or a code of zero.
    virtual std::error_code write(const std::string& bucket, const std::string& key,
                                  const std::string& bytes) = 0;

    /// Removes an object.
    /// @return the error, or a code of zero.
    virtual std::error_code remove(const std::string& bucket, const std::string& key) = 0;
};

} // namespace galenaroad
