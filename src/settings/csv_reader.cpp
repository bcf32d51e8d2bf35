#include "settings/csv_reader.h"

#include <Poco/UTF8Encoding.h>
#include <csv.h>
#include <memory>
#include <string_view>

namespace galenaroad {

namespace {

constexpr std::string_view byte_order_mark = "\xef\xbb\xbf";
constexpr unsigned char delimiter = ';';

/// Line and column of the next character.
struct text_position {
    int line = 1;
    int column = 1;

    bool operator==(const text_position& other) const
    {
        return line == other.line && column == other.column;
    }

    void advance(char character)
    {
        if (character == '\n') {
            ++line;
            column = 1;
            return;
        }
        // Bytes 10xxxxxx are continuation bytes of a UTF-8 character.
        const bool continues = (static_cast<unsigned char>(character) & 0xc0U) == 0x80U;
        column += continues ? 0 : 1;
    }
};

std::vector<source_error> encoding_errors(const std::string& file, std::string_view text)
{
    std::vector<source_error> errors;
    const Poco::UTF8Encoding encoding;
    text_position position;
    while (!text.empty()) {
        const auto* const bytes = reinterpret_cast<const unsigned char*>(text.data());
        const int length = encoding.sequenceLength(bytes, 1);
        const bool is_whole = length > 0 && static_cast<std::size_t>(length) <= text.size();
        const bool is_legal = is_whole && Poco::UTF8Encoding::isLegal(bytes, length);
        if (!is_legal) {
            errors.push_back({file, position.line, position.column, "the text is not UTF-8"});
        }
        const std::size_t step = is_legal ? static_cast<std::size_t>(length) : 1;
        position.advance(is_legal ? text.front() : ' ');
        text.remove_prefix(step);
    }
    return errors;
}

/// Collects rows in libcsv's callbacks.
struct row_collector {
    std::vector<csv_row> rows;
    csv_row current;
    text_position field_start;
    text_position next;

    static void on_field(void* text, std::size_t size, void* self)
    {
        auto& collector = *static_cast<row_collector*>(self);
        const std::string value(text == nullptr ? "" : static_cast<const char*>(text), size);
        collector.current.push_back(
            {value, collector.field_start.line, collector.field_start.column});
        collector.field_start = collector.next;
    }

    static void on_row(int /*terminator*/, void* self)
    {
        auto& collector = *static_cast<row_collector*>(self);
        collector.rows.push_back(std::move(collector.current));
        collector.current.clear();
        collector.field_start = collector.next;
    }
};

struct parser_deleter {
    void operator()(csv_parser* parser) const
    {
        csv_free(parser);
        delete parser;
    }
};

using parser_pointer = std::unique_ptr<csv_parser, parser_deleter>;

parser_pointer make_parser()
{
    parser_pointer parser(new csv_parser);
    csv_init(parser.get(), CSV_STRICT | CSV_STRICT_FINI);
    csv_set_delim(parser.get(), delimiter);
    return parser;
}

std::vector<source_error> quoting_error(const std::string& file, const text_position& position,
                                        csv_parser* parser)
{
    const std::string reason = csv_strerror(csv_error(parser));
    return {{file, position.line, position.column, "invalid quoting: " + reason}};
}

} // namespace

load_result<std::vector<csv_row>> csv_reader::read(const std::string& file, const std::string& text)
{
    std::string_view rest = text;
    if (rest.substr(0, byte_order_mark.size()) == byte_order_mark) {
        rest.remove_prefix(byte_order_mark.size());
    }
    auto errors = encoding_errors(file, rest);
    if (!errors.empty()) {
        return tl::make_unexpected(std::move(errors));
    }
    const auto parser = make_parser();
    row_collector collector;
    // Parses one character at a time to know the position of each field, which libcsv does not
    // report.
    for (const char character : rest) {
        const auto here = collector.next;
        collector.next.advance(character);
        // Line breaks between rows, such as the LF of CR LF, do not belong to the next field.
        const bool is_between_rows = collector.current.empty() && here == collector.field_start &&
                                     (character == '\n' || character == '\r');
        if (is_between_rows) {
            collector.field_start = collector.next;
        }
        if (csv_parse(parser.get(), &character, 1, row_collector::on_field, row_collector::on_row,
                      &collector) != 1) {
            return tl::make_unexpected(quoting_error(file, here, parser.get()));
        }
    }
    if (csv_fini(parser.get(), row_collector::on_field, row_collector::on_row, &collector) != 0) {
        return tl::make_unexpected(quoting_error(file, collector.field_start, parser.get()));
    }
    return std::move(collector.rows);
}

} // namespace galenaroad
