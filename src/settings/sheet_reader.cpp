#include "settings/sheet_reader.h"

#include "settings/contract_names.h"
#include "settings/csv_reader.h"
#include "settings/nearest_name.h"
#include "settings/yaml_section.h"

#include <Poco/DateTime.h>
#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <optional>
#include <regex>

namespace galenaroad {

namespace {

const std::array<std::string, 6> columns{"date",        "business", "service",
                                         "floor_slots", "policy",   "max_timeout_s"};
constexpr std::size_t end_row_fields = 2;
constexpr double max_floor_slots = 1'000'000;
constexpr double max_timeout_seconds = 3600;
constexpr double min_timeout_seconds = 0.001;

/// Parses a number with a decimal comma.
std::optional<double> parse_decimal(const std::string& text)
{
    static const std::regex pattern("[0-9]{1,9}(,[0-9]{1,9})?");
    if (!std::regex_match(text, pattern)) {
        return std::nullopt;
    }
    auto with_point = text;
    std::replace(with_point.begin(), with_point.end(), ',', '.');
    double value = 0;
    const auto parsed =
        std::from_chars(with_point.data(), with_point.data() + with_point.size(), value);
    return parsed.ec == std::errc() ? std::optional<double>(value) : std::nullopt;
}

bool is_date(const std::string& text)
{
    static const std::regex pattern("([0-9]{4})-([0-9]{2})-([0-9]{2})");
    std::smatch parts;
    return std::regex_match(text, parts, pattern) &&
           Poco::DateTime::isValid(std::stoi(parts[1]), std::stoi(parts[2]), std::stoi(parts[3]));
}

/// Converts the rows of one file to a sheet and collects the errors.
class sheet_parser {
public:
    explicit sheet_parser(const std::string& file) { m_sheet.file = file; }

    load_result<sheet> parse(const std::vector<csv_row>& rows)
    {
        if (rows.empty()) {
            m_errors.push_back({m_sheet.file, 1, 1, "the sheet is empty"});
            return tl::make_unexpected(std::move(m_errors));
        }
        read_header(rows.front());
        const auto end = std::find_if(rows.begin() + 1, rows.end(),
                                      [](const csv_row& row) { return row.front().text == "end"; });
        std::for_each(rows.begin() + 1, end, [this](const csv_row& row) { read_row(row); });
        check_end(rows, end);
        if (!m_errors.empty()) {
            return tl::make_unexpected(std::move(m_errors));
        }
        return std::move(m_sheet);
    }

private:
    void add_error(const csv_field& field, const std::string& message)
    {
        m_errors.push_back({m_sheet.file, field.line, field.column, message});
    }

    void read_header(const csv_row& row)
    {
        for (std::size_t i = 0; i < columns.size() && i < row.size(); ++i) {
            if (row[i].text != columns.at(i)) {
                add_error(row[i], "the column must be \"" + columns.at(i) + "\", found \"" +
                                      row[i].text + '"');
            }
        }
        check_size(row);
    }

    bool check_size(const csv_row& row)
    {
        if (row.size() == columns.size()) {
            return true;
        }
        add_error(row.back(), "the row has " + std::to_string(row.size()) + " fields instead of " +
                                  std::to_string(columns.size()));
        return false;
    }

    void read_row(const csv_row& row)
    {
        if (!check_size(row)) {
            return;
        }
        read_date(row[0]);
        read_same(row[1], m_sheet.business, "business");
        sheet_row output;
        output.line = row[2].line;
        output.column = row[2].column;
        read_service(row[2], output);
        read_floor(row[3], output);
        read_policy(row[4], output);
        read_timeout(row[5], output);
        m_sheet.rows.push_back(std::move(output));
    }

    void read_date(const csv_field& field)
    {
        if (!is_date(field.text)) {
            add_error(field, "\"" + field.text + "\" is not a date, as in 2026-12-04");
            return;
        }
        read_same(field, m_sheet.date, "date");
    }

    void read_same(const csv_field& field, std::string& output, const std::string& name)
    {
        if (field.text.empty()) {
            add_error(field, "the " + name + " is empty");
            return;
        }
        if (output.empty()) {
            output = field.text;
        }
        if (field.text != output) {
            add_error(field, "all rows must have the same " + name + ": found \"" + field.text +
                                 "\" after \"" + output + '"');
        }
    }

    void read_service(const csv_field& field, sheet_row& output)
    {
        if (field.text.empty()) {
            add_error(field, "the service is empty");
            return;
        }
        output.service = field.text;
        const auto earlier =
            std::find_if(m_sheet.rows.begin(), m_sheet.rows.end(),
                         [&](const sheet_row& other) { return other.service == output.service; });
        if (earlier != m_sheet.rows.end()) {
            add_error(field, "the service \"" + output.service + "\" already has a row, in line " +
                                 std::to_string(earlier->line));
        }
    }

    void read_floor(const csv_field& field, sheet_row& output)
    {
        const auto value = parse_decimal(field.text);
        if (!value || *value != std::floor(*value) || *value > max_floor_slots) {
            add_error(field,
                      "\"" + field.text + "\" is not a whole number of slots from 0 to 1000000");
            return;
        }
        output.floor_slots = static_cast<int>(*value);
    }

    void read_policy(const csv_field& field, sheet_row& output)
    {
        const auto& names = policy_names();
        const auto found = std::find(names.begin(), names.end(), field.text);
        if (found == names.end()) {
            add_error(field, "\"" + field.text + "\" is not a policy; did you mean \"" +
                                 nearest_name(field.text, names) + "\"?");
            return;
        }
        output.policy = static_cast<detection_policy>(std::distance(names.begin(), found));
    }

    void read_timeout(const csv_field& field, sheet_row& output)
    {
        const auto value = parse_decimal(field.text);
        if (!value || *value < min_timeout_seconds || *value > max_timeout_seconds) {
            add_error(field,
                      "\"" + field.text +
                          "\" is not a time from 0,001 to 3600 seconds with a decimal comma");
            return;
        }
        output.max_timeout = std::chrono::milliseconds(std::llround(*value * 1000));
    }

    void check_end(const std::vector<csv_row>& rows, std::vector<csv_row>::const_iterator end)
    {
        if (end == rows.end()) {
            add_error(rows.back().back(), "the file is truncated: it has no row \"end;" +
                                              std::to_string(rows.size() - 1) + "\" at its end");
            return;
        }
        m_sheet.end_line = end->front().line;
        const auto count = static_cast<std::size_t>(std::distance(rows.begin() + 1, end));
        if (end->size() != end_row_fields || (*end)[1].text != std::to_string(count)) {
            add_error(end->back(), "the end row must be \"end;" + std::to_string(count) +
                                       "\"; the file may be truncated or changed by hand");
        }
        if (count == 0) {
            add_error(end->front(), "the sheet has no rows");
        }
        if (end + 1 != rows.end()) {
            add_error((end + 1)->front(), "there are rows after the end row");
        }
    }

    sheet m_sheet;
    std::vector<source_error> m_errors;
};

} // namespace

load_result<sheet> sheet_reader::load_file(const std::string& path)
{
    const auto text = read_file(path);
    if (!text) {
        return tl::make_unexpected(text.error());
    }
    return load_text(path, *text);
}

load_result<sheet> sheet_reader::load_text(const std::string& file, const std::string& text)
{
    const auto rows = csv_reader::read(file, text);
    if (!rows) {
        return tl::make_unexpected(rows.error());
    }
    return sheet_parser(file).parse(*rows);
}

} // namespace galenaroad
