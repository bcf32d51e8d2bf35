#include "ctl/input_file.h"

#include "settings/contract_loader.h"
#include "settings/daemon_settings_loader.h"
#include "settings/sheet_reader.h"
#include "settings/yaml_section.h"

#include <regex>

namespace galenaroad {

namespace {

bool is_sheet(const std::string& path)
{
    static const std::regex pattern(".*\\.csv", std::regex::icase);
    return std::regex_match(path, pattern);
}

bool is_declaration(const std::string& text)
{
    static const std::regex pattern("(^|\\n)business *:");
    return std::regex_search(text, pattern);
}

template <typename T>
tl::expected<input_file, ctl_report> checked(load_result<T> loaded, error_kind kind)
{
    if (!loaded) {
        return tl::make_unexpected(ctl_report::invalid(kind, loaded.error()));
    }
    return input_file(std::move(*loaded));
}

} // namespace

tl::expected<input_file, ctl_report> read_input_file(const std::string& path)
{
    const auto text = read_file(path);
    if (!text) {
        return tl::make_unexpected(ctl_report::invalid(error_kind::invalid_request, text.error()));
    }
    if (is_sheet(path)) {
        return checked(sheet_reader::load_text(path, *text), error_kind::sheet_invalid);
    }
    if (is_declaration(*text)) {
        return checked(contract_loader::load_text(path, *text), error_kind::declaration_invalid);
    }
    return checked(daemon_settings_loader::load_text(path, *text), error_kind::settings_invalid);
}

} // namespace galenaroad
