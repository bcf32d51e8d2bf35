#pragma once

#include "base/result.h"
#include "model/contract.h"

#include <string>

namespace galenaroad {

/// Writes a contract as JSON with a stable order of keys, so that equal contracts have equal text.
/// @param value the contract.
/// @return the text.
std::string to_json(const contract& value);

/// Reads a contract from JSON.
/// @param text the text.
/// @return the contract, or `declaration_invalid`.
result<contract> contract_from_json(const std::string& text);

/// Compresses a body for the way between daemons and for keeping.
/// @param text the JSON text.
/// @return the deflated bytes.
std::string deflate_body(const std::string& text);

/// Reverses deflate_body().
/// @param bytes the deflated bytes.
/// @return the text, or `declaration_invalid` when damaged or beyond 64 MiB.
result<std::string> inflate_body(const std::string& bytes);

} // namespace galenaroad
