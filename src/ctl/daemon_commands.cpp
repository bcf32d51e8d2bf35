#include "ctl/daemon_commands.h"

#include "ctl/daemon_client.h"

namespace galenaroad {

namespace {

constexpr std::size_t drain_arguments = 4;

ctl_report change_drain(const ctl_options& options, const std::string& method,
                        const std::string& body, const std::string& done)
{
    if (options.arguments.size() != drain_arguments) {
        return ctl_report::failed(error_kind::invalid_request,
                                  options.command + " needs BUSINESS SERVICE INSTANCE UPSTREAM");
    }
    std::vector<std::string> path{"v1", "drains"};
    path.insert(path.end(), options.arguments.begin(), options.arguments.end());
    const auto answer = daemon_client(options.admin_address).ask(method, path, body);
    if (answer.kind != error_kind::ok) {
        return ctl_report::failed(answer.kind, answer.detail);
    }
    ctl_report report;
    report.lines = {"the upstream \"" + options.arguments.back() + "\" of \"" +
                    options.arguments.at(2) + "\" " + done};
    report.data["upstream"] = options.arguments.back();
    report.data["instance"] = options.arguments.at(2);
    return report;
}

} // namespace

ctl_report daemon_commands::status(const ctl_options& options)
{
    const daemon_client client(options.admin_address);
    const auto ready = client.ask("GET", {"ready"}, "");
    if (ready.kind == error_kind::peer_unreachable) {
        return ctl_report::failed(ready.kind, ready.detail);
    }
    const auto fleet = client.ask("GET", {"v1", "fleet"}, "");
    if (fleet.kind != error_kind::ok) {
        return ctl_report::failed(fleet.kind, fleet.detail);
    }
    ctl_report report;
    report.kind = ready.kind;
    report.lines.push_back(ready.kind == error_kind::ok ? "ready" : "not ready: " + ready.detail);
    const auto parsed = nlohmann::ordered_json::parse(fleet.body, nullptr, false);
    report.lines.push_back(parsed.is_discarded() ? fleet.body : parsed.dump(2));
    report.data["ready"] = ready.kind == error_kind::ok;
    report.data["fleet"] = parsed.is_discarded() ? nlohmann::ordered_json() : parsed;
    return report;
}

ctl_report daemon_commands::drain(const ctl_options& options)
{
    const nlohmann::json body{{"reason", options.reason}};
    const auto text = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return change_drain(options, "PUT", text, "is drained");
}

ctl_report daemon_commands::undrain(const ctl_options& options)
{
    return change_drain(options, "DELETE", "", "is no longer drained");
}

ctl_report daemon_commands::issue_key(const ctl_options& options)
{
    const auto answer =
        daemon_client(options.entry_address).ask("POST", {"v1", "idempotency-keys"}, "");
    if (answer.kind != error_kind::ok) {
        return ctl_report::failed(answer.kind, answer.detail);
    }
    const auto parsed = nlohmann::json::parse(answer.body, nullptr, false);
    if (!parsed.is_object() || !parsed.contains("key") || !parsed["key"].is_string()) {
        return ctl_report::failed(error_kind::internal, "the daemon's answer holds no key");
    }
    ctl_report report;
    report.lines = {parsed["key"].get<std::string>()};
    report.data["key"] = parsed["key"];
    return report;
}

} // namespace galenaroad
