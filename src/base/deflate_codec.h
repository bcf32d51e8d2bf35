#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace galenaroad {

/// Compresses and decompresses texts in the zlib format.
class deflate_codec {
public:
    /// @param text the text.
    /// @return the compressed text.
    static std::string compress(std::string_view text);

    /// @param bytes a compressed text.
    /// @param max_size maximum size of the text; a few bytes may decompress to a very long one.
    /// @return the text, or nothing when the bytes are invalid or the text is longer.
    static std::optional<std::string> decompress(std::string_view bytes, std::size_t max_size);
};

} // namespace galenaroad
