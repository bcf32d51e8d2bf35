#pragma once

#include "base/result.h"
#include "model/contract.h"

#include <cstdint>
#include <string>
#include <vector>

namespace galenaroad {

class object_store;

/// Name of the table with one row per business.
constexpr auto contracts_table = "contracts";

/// Larger bodies are stored in the object store, and the row refers to them by key.
constexpr std::size_t max_inline_bytes = std::size_t{64} * 1024;

/// An accepted write in the history of a row.
struct contract_write {
    std::uint64_t version = 0;
    std::string writer;
};

/// Content of a row of table `contracts`.
struct contract_row {
    contract value;
    /// The latest accepted writes, newest first. A writer that lost the response finds its write
    /// here even when another operator's version has followed.
    std::vector<contract_write> history;

    /// @param version a version.
    /// @param writer a writer's identity.
    /// @return whether the writer's write was accepted as this version.
    bool has_accepted(std::uint64_t version, const std::string& writer) const;
};

/// Parses only the version of a row, without loading its body.
/// @param value the row's value.
/// @return the version, or `declaration_invalid`.
result<std::uint64_t> row_version(const std::string& value);

/// Parses a row, and loads its body from the object store when the row refers to it.
/// @param value the row's value.
/// @param objects the object store.
/// @return the row, or an error.
result<contract_row> load_row(const std::string& value, object_store& objects);

/// Builds the value of the row that replaces another. Stores a large body in the object store
/// first.
/// @param current the row that is replaced.
/// @param next the contract, with its version and writer.
/// @param objects the object store.
/// @return the value; `store_unavailable` when the body could not be stored.
result<std::string> next_row_value(const contract_row& current, const contract& next,
                                   object_store& objects);

/// @param value a contract with its version and writer.
/// @return the key of its body in the object store, unique to this write.
std::string body_key(const contract& value);

} // namespace galenaroad
