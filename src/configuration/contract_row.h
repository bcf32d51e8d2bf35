#pragma once

#include "base/result.h"
#include "model/contract.h"

#include <cstdint>
#include <string>
#include <vector>

namespace galenaroad {

class object_store;

/// Table that holds one row for each business's contract.
constexpr auto contracts_table = "contracts";

/// Bodies above this size go to the object store, and the row points to them.
constexpr std::size_t most_inline_bytes = std::size_t{64} * 1024;

/// An accepted write as later rows remember it.
struct contract_write {
    std::uint64_t version = 0;
    std::string writer;
};

/// Content of a row of table `contracts`.
struct contract_row {
    contract value;
    /// The latest accepted writes, newest first. A writer whose response was lost recognises its
    /// write here even when another operator's version has followed.
    std::vector<contract_write> history;

    /// @param version a version.
    /// @param writer a writer's identity.
    /// @return whether the writer's write was accepted as this version.
    bool has_accepted(std::uint64_t version, const std::string& writer) const;
};

/// Reads only the version of a row, without its body.
/// @param value the row's value.
/// @return the version, or `declaration_invalid`.
result<std::uint64_t> row_version(const std::string& value);

/// Reads a row, with its body from the object store when the row points there.
/// @param value the row's value.
/// @param objects the object store.
/// @return the row, or an error.
result<contract_row> load_row(const std::string& value, object_store& objects);

/// Writes the value of the row that follows another. Stores the body first when it is large.
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
