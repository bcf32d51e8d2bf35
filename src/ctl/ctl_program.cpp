#include "ctl/ctl_program.h"

#include "ctl/check_command.h"
#include "ctl/contract_commands.h"
#include "ctl/daemon_commands.h"
#include "settings/nearest_name.h"

#include <algorithm>
#include <map>

namespace galenaroad {

namespace {

constexpr std::size_t summary_column = 48;

std::string padded(std::string text)
{
    text.resize(std::max(text.size() + 1, summary_column), ' ');
    return text;
}

/// Names the error kinds that share an exit code.
std::map<int, std::string> exit_codes()
{
    std::map<int, std::string> codes;
    for (int value = 0; value <= static_cast<int>(error_kind::internal); ++value) {
        const auto& answer = answer_for(static_cast<error_kind>(value));
        auto& names = codes[answer.exit_code];
        names += (names.empty() ? "" : ", ") + std::string(answer.name);
    }
    return codes;
}

} // namespace

ctl_program::ctl_program()
    : m_commands{
          {"check", "FILE...", "check settings, declarations and sheets", check_command::run},
          {"diff", "FILE [FILE]", "compare files with the contract in force",
           contract_commands::diff},
          {"apply", "FILE [FILE]", "commit a declaration, a sheet or both",
           contract_commands::apply},
          {"get", "BUSINESS", "print the contract in force", contract_commands::print_contract},
          {"status", "", "ask a daemon for its readiness and fleet", daemon_commands::status},
          {"drain", "BUSINESS SERVICE INSTANCE UPSTREAM", "take an upstream out of service",
           daemon_commands::drain},
          {"undrain", "BUSINESS SERVICE INSTANCE UPSTREAM", "return a drained upstream",
           daemon_commands::undrain},
          {"issue-key", "", "issue an idempotency key", daemon_commands::issue_key},
          {"completion", "bash", "print the completion script of a shell",
           [this](const ctl_options& options) {
               if (options.arguments != std::vector<std::string>{"bash"}) {
                   return ctl_report::failed(error_kind::invalid_request,
                                             "completion needs the argument bash");
               }
               ctl_report report;
               report.lines = {bash_completion()};
               report.data["script"] = bash_completion();
               return report;
           }}}
{
}

ctl_report ctl_program::run(const ctl_options& options) const
{
    ctl_report report;
    if (!options.fault.empty()) {
        return ctl_report::failed(error_kind::invalid_request, options.fault);
    }
    if (options.show_version) {
        report.lines = {std::string("galenaroadctl ") + GALENAROAD_VERSION};
        report.data["version"] = GALENAROAD_VERSION;
        return report;
    }
    if (options.show_help) {
        report.lines = {help(options)};
        report.data["help"] = report.lines.front();
        return report;
    }
    const auto found =
        std::find_if(m_commands.begin(), m_commands.end(),
                     [&](const ctl_command& command) { return command.name == options.command; });
    return found == m_commands.end() ? unknown(options.command) : found->run(options);
}

std::string ctl_program::help(const ctl_options& options) const
{
    auto text = options.help + "\nCommands:\n";
    for (const auto& command : m_commands) {
        text += padded("  " + command.name + ' ' + command.arguments) + command.summary + '\n';
    }
    text += "\nExit codes:\n";
    for (const auto& [code, names] : exit_codes()) {
        text += "  " + std::to_string(code) + "  " + names + '\n';
    }
    text.pop_back();
    return text;
}

ctl_report ctl_program::unknown(const std::string& name) const
{
    if (name.empty()) {
        return ctl_report::failed(error_kind::invalid_request, "a command is needed; see --help");
    }
    std::vector<std::string> names;
    for (const auto& command : m_commands) {
        names.push_back(command.name);
    }
    return ctl_report::failed(error_kind::invalid_request, "unknown command \"" + name +
                                                               "\"; did you mean \"" +
                                                               nearest_name(name, names) + "\"?");
}

std::string ctl_program::bash_completion() const
{
    std::string commands;
    for (const auto& command : m_commands) {
        commands += command.name + ' ';
    }
    std::string options;
    for (const auto& name : ctl_options::names()) {
        options += name + ' ';
    }
    return "_galenaroadctl()\n{\n"
           "    local word=${COMP_WORDS[COMP_CWORD]}\n"
           "    case \"$word\" in\n"
           "    -*) COMPREPLY=($(compgen -W \"" +
           options +
           "\" -- \"$word\")) ;;\n"
           "    *) COMPREPLY=($(compgen -W \"" +
           commands +
           "\" -- \"$word\") "
           "$(compgen -f -- \"$word\")) ;;\n"
           "    esac\n}\n"
           "complete -o filenames -F _galenaroadctl galenaroadctl";
}

} // namespace galenaroad
