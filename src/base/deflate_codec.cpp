#include "base/deflate_codec.h"

#include <Poco/DeflatingStream.h>
#include <Poco/Exception.h>
#include <Poco/InflatingStream.h>
#include <Poco/MemoryStream.h>
#include <array>
#include <sstream>

namespace galenaroad {

namespace {

constexpr std::size_t block_size = 16384;

} // namespace

std::string deflate_codec::compress(std::string_view text)
{
    std::ostringstream bytes;
    Poco::DeflatingOutputStream stream(bytes, Poco::DeflatingStreamBuf::STREAM_ZLIB);
    stream.write(text.data(), static_cast<std::streamsize>(text.size()));
    stream.close();
    return bytes.str();
}

std::optional<std::string> deflate_codec::decompress(std::string_view bytes, std::size_t max_size)
{
    try {
        Poco::MemoryInputStream source(bytes.data(), static_cast<std::streamsize>(bytes.size()));
        Poco::InflatingInputStream stream(source, Poco::InflatingStreamBuf::STREAM_ZLIB);
        stream.exceptions(std::ios::badbit);
        std::string text;
        std::array<char, block_size> block{};
        while (stream.read(block.data(), block.size()) || stream.gcount() > 0) {
            text.append(block.data(), static_cast<std::size_t>(stream.gcount()));
            if (text.size() > max_size) {
                return {};
            }
        }
        return text;
    }
    catch (const Poco::Exception&) {
        return {};
    }
    catch (const std::ios_base::failure&) {
        return {};
    }
}

} // namespace galenaroad
