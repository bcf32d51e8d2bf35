#include "tests/support/golden_session.h"

#include "tests/support/download_checksum.h"

#include <array>
#include <regex>

namespace galenaroad {

namespace {

/// Headers that are part of the interface. The others differ between runs (Date) or libraries.
constexpr std::array stable_headers{"Content-Type", "Retry-After", "X-Content-Checksum",
                                    "X-Request-Id"};
constexpr std::size_t max_printed_bytes = 2000;

std::string printed_body(const std::string& body)
{
    if (body.size() > max_printed_bytes) {
        return '<' + std::to_string(body.size()) + " bytes, " + download_checksum(body) + '>';
    }
    return body;
}

} // namespace

test_answer golden_session::step(const std::string& address, const std::string& title,
                                 const test_request& request)
{
    m_text += "## " + title + '\n' + request.method + ' ' + request.target + '\n';
    for (const auto& [name, value] : request.headers) {
        m_text.append(name).append(": ").append(normalised(value)).append("\n");
    }
    m_text += printed_body(request.body) + "\n-> ";
    auto answer = test_fleet::send_to(address, request);
    m_text += std::to_string(answer.status) + '\n';
    for (const auto* const name : stable_headers) {
        const auto found = answer.headers.find(name);
        if (found != answer.headers.end()) {
            m_text += normalised(std::string(name) + ": " + found->second) + '\n';
        }
    }
    m_text += normalised(printed_body(answer.body)) + "\n\n";
    return answer;
}

std::string golden_session::normalised(const std::string& text)
{
    static const std::regex id(R"re((X-Request-Id: |"request_id\\?":\\?")[0-9a-zA-Z.:_-]+)re");
    static const std::regex key(R"re(gr1\.[0-9a-zA-Z.:_-]+)re");
    const auto made = std::regex_replace(text, id, "$1<id>");
    return std::regex_replace(made, key, "<issued key>");
}

} // namespace galenaroad
