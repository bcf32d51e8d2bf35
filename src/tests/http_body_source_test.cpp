#include "base/manual_clock.h"
#include "proxy/http_body_source.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstring>
#include <string>

using namespace galenaroad;
using namespace std::chrono_literals;

namespace {

/// Connection that delivers a text and then ends.
class text_input : public byte_input {
public:
    explicit text_input(std::string text) : m_text(std::move(text)) {}
    void limit_wait(std::chrono::milliseconds /*wait*/) override {}
    int next_byte() override
    {
        return m_at < m_text.size() ? static_cast<unsigned char>(m_text[m_at++]) : -1;
    }
    int read_bytes(char* buffer, int capacity) override
    {
        const auto size =
            std::min<std::size_t>(static_cast<std::size_t>(capacity), m_text.size() - m_at);
        std::memcpy(buffer, m_text.data() + m_at, size);
        m_at += size;
        return static_cast<int>(size);
    }

private:
    std::string m_text;
    std::size_t m_at = 0;
};

std::pair<std::string, body_state> read_all(const std::string& text, body_framing framing)
{
    const manual_clock time;
    text_input input(text);
    http_body_source source(input, framing, time, time.steady_now() + 1s);
    std::string body;
    body_read part;
    while (part.state == body_state::more) {
        std::string buffer(3, '\0');
        part = source.read(buffer.data(), buffer.size());
        body.append(buffer, 0, part.size);
    }
    return {body, part.state};
}

} // namespace

TEST_CASE("http_body_source: tells complete bodies from truncated ones", "[proxy]")
{
    // Guards against a truncated body that is taken for a complete one at any place of its end.
    const std::string whole = "5\r\nhello\r\n6;x=y\r\n world\r\n0\r\nA: b\r\n\r\n";
    const body_framing chunked{body_framing::kind::chunked};
    CHECK(read_all(whole, chunked) ==
          std::make_pair(std::string("hello world"), body_state::complete));
    for (std::size_t size = 0; size < whole.size(); ++size) {
        CHECK(read_all(whole.substr(0, size), chunked).second == body_state::early_end);
    }
    const body_framing fixed{body_framing::kind::fixed_length, 5};
    CHECK(read_all("hello", fixed).second == body_state::complete);
    CHECK(read_all("hell", fixed).second == body_state::early_end);
}

TEST_CASE("http_body_source: refuses chunks that parsers could read differently", "[proxy]")
{
    // Guards against request smuggling by chunk sizes, and against bodies beyond the limit.
    const body_framing chunked{body_framing::kind::chunked, 0, 16};
    for (const auto* text : {"+5\r\nhello\r\n0\r\n\r\n", "5\nhello\r\n0\r\n\r\n",
                             "0x5\r\nhello\r\n0\r\n\r\n", "5\r\nhelloX\r\n0\r\n\r\n", "\r\n",
                             "fffffffffffffffff\r\n", "11\r\n01234567890123456\r\n"}) {
        CHECK(read_all(text, chunked).second == body_state::malformed);
    }
}
