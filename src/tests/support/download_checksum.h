#pragma once

#include <string>

namespace galenaroad {

/// Computes the checksum of a download in the form of the header `X-Content-Checksum`.
/// @param bytes the body.
/// @return the checksum.
std::string download_checksum(const std::string& bytes);

} // namespace galenaroad
