#include "ctl/check_command.h"

#include "ctl/input_file.h"

namespace galenaroad {

ctl_report check_command::run(const ctl_options& options)
{
    if (options.arguments.empty()) {
        return ctl_report::failed(error_kind::invalid_request, "check needs at least one file");
    }
    ctl_report report;
    report.data["errors"] = nlohmann::ordered_json::array();
    for (const auto& path : options.arguments) {
        const auto loaded = read_input_file(path);
        if (loaded) {
            continue;
        }
        const auto& failed = loaded.error();
        report.kind = report.kind == error_kind::ok ? failed.kind : report.kind;
        report.lines.insert(report.lines.end(), failed.lines.begin(), failed.lines.end());
        for (const auto& error : failed.data["errors"]) {
            report.data["errors"].push_back(error);
        }
    }
    if (report.kind == error_kind::ok) {
        report.lines.push_back(std::to_string(options.arguments.size()) + " files are valid");
    }
    return report;
}

} // namespace galenaroad
