#include "ctl/ctl_report.h"

namespace galenaroad {

ctl_report ctl_report::failed(error_kind kind, const std::string& detail)
{
    ctl_report report;
    report.kind = kind;
    const std::string title(answer_for(kind).title);
    report.lines.push_back(detail.empty() ? title : title + ": " + detail);
    report.data["detail"] = detail;
    return report;
}

ctl_report ctl_report::invalid(error_kind kind, const std::vector<source_error>& errors)
{
    ctl_report report;
    report.kind = kind;
    report.data["errors"] = nlohmann::ordered_json::array();
    for (const auto& error : errors) {
        report.lines.push_back(to_text(error));
        report.data["errors"].push_back({{"file", error.file},
                                         {"line", error.line},
                                         {"column", error.column},
                                         {"message", error.message}});
    }
    return report;
}

void ctl_report::print(bool as_json, std::ostream& output, std::ostream& errors) const
{
    if (as_json) {
        nlohmann::ordered_json object{{"kind", answer_for(kind).name}};
        object.update(data);
        // Texts from daemons may not be UTF-8.
        output << object.dump(2, ' ', false, nlohmann::ordered_json::error_handler_t::replace)
               << '\n';
        return;
    }
    auto& stream = kind == error_kind::ok ? output : errors;
    for (const auto& line : lines) {
        stream << line << '\n';
    }
}

} // namespace galenaroad
