#pragma once

#include "base/result.h"
#include "model/contract.h"

#include <string>

namespace galenaroad {

/// Serialises a contract as JSON with sorted keys, so that equal contracts have equal text.
/// @param value the contract.
/// @return the text.
std::string to_json(const contract& value);

/// Parses a contract from JSON.
/// @param text the text.
/// @return the contract, or `declaration_invalid`.
result<contract> contract_from_json(const std::string& text);

/// Compresses a contract's JSON for transfer between daemons and for storage.
/// @param text the JSON text.
/// @return the deflated bytes.
std::string deflate_body(const std::string& text);

/// Decompresses the output of deflate_body().
/// @param bytes the deflated bytes.
/// @return the text, or `declaration_invalid` when corrupt or larger than 64 MiB.
result<std::string> inflate_body(const std::string& bytes);

} // namespace galenaroad
