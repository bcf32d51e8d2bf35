#include "ctl/contract_commands.h"

#include "base/process_clock.h"
#include "configuration/contract_json.h"
#include "ctl/contract_change.h"
#include "ctl/daemon_client.h"
#include "platform/http_object_store.h"
#include "platform/http_table_service.h"
#include "settings/contract_writer.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/UUIDGenerator.h>
#include <thread>

namespace galenaroad {

namespace {

constexpr int commit_attempts = 3;
constexpr std::chrono::milliseconds commit_pause{200};

store_endpoint endpoint_of(const std::string& address)
{
    const Poco::Net::SocketAddress parsed(address);
    store_endpoint endpoint;
    endpoint.host = parsed.host().toString();
    endpoint.port = parsed.port();
    return endpoint;
}

/// The platform's stores as the command line names them.
class platform_stores {
public:
    explicit platform_stores(const ctl_options& options)
        : m_table(endpoint_of(options.table_address), m_clock),
          m_objects(endpoint_of(options.objects_address), m_clock),
          m_committer(m_table, m_objects)
    {
    }

    configuration_committer& committer() { return m_committer; }

private:
    process_clock m_clock;
    http_table_service m_table;
    http_object_store m_objects;
    configuration_committer m_committer;
};

ctl_report describe(const contract_change& change)
{
    ctl_report report;
    report.lines = change.changes;
    report.data["business"] = change.next.business;
    report.data["version"] = change.current.version;
    report.data["changes"] = change.changes;
    if (change.current.version == 0) {
        // Every field of a new contract would be listed otherwise.
        report.lines = {"new contract with " + std::to_string(change.next.services.size()) +
                        " services and " + std::to_string(change.next.routes.size()) + " routes"};
    }
    if (change.changes.empty()) {
        report.lines = {"no change; version " + std::to_string(change.current.version) +
                        " is in force"};
    }
    return report;
}

/// Repeats a commit whose outcome is unknown, which is safe with the same writer.
result<commit_outcome> commit(configuration_committer& committer, const contract_change& change)
{
    const auto writer =
        "galenaroadctl/" + Poco::UUIDGenerator::defaultGenerator().createRandom().toString();
    auto outcome = committer.commit(change.current, change.next, writer);
    for (int i = 1;
         i < commit_attempts && !outcome && outcome.error() == error_kind::outcome_unknown; ++i) {
        std::this_thread::sleep_for(commit_pause);
        outcome = committer.commit(change.current, change.next, writer);
    }
    return outcome;
}

void notify(const ctl_options& options, const contract& accepted, ctl_report& report)
{
    const daemon_client client(options.admin_address);
    const auto answer =
        client.ask("POST", {"v1", "contracts", accepted.business}, to_json(accepted));
    const bool is_notified = answer.kind == error_kind::ok;
    report.data["daemon_notified"] = is_notified;
    if (!is_notified) {
        report.lines.push_back("the daemon at " + options.admin_address +
                               " was not notified; daemons read the table once per second");
    }
}

ctl_report lost_race(const contract_change& change, const commit_outcome& outcome)
{
    auto report = ctl_report::failed(error_kind::version_conflict,
                                     "version " + std::to_string(outcome.current.version) +
                                         " was accepted in place of a change to version " +
                                         std::to_string(change.current.version) + "; it changed:");
    report.lines.insert(report.lines.end(), outcome.changes.begin(), outcome.changes.end());
    report.data["version"] = outcome.current.version;
    report.data["changes"] = outcome.changes;
    return report;
}

template <typename Function>
ctl_report with_stores(const ctl_options& options, const Function& run)
{
    try {
        platform_stores stores(options);
        return run(stores.committer());
    }
    catch (const Poco::Exception& error) {
        return ctl_report::failed(error_kind::invalid_request, error.displayText());
    }
}

ctl_report commit_change(const ctl_options& options, configuration_committer& committer,
                         const contract_change& change)
{
    const auto outcome = commit(committer, change);
    if (!outcome) {
        return ctl_report::failed(kind_of(outcome.error()), "");
    }
    if (!outcome->accepted) {
        return lost_race(change, *outcome);
    }
    auto report = describe(change);
    report.data["version"] = outcome->current.version;
    report.lines.push_back("version " + std::to_string(outcome->current.version) + " of \"" +
                           outcome->current.business + "\" is accepted");
    notify(options, outcome->current, report);
    return report;
}

} // namespace

ctl_report contract_commands::diff(const ctl_options& options)
{
    return with_stores(options, [&](configuration_committer& committer) {
        const auto change = contract_change::from_files(options.arguments, committer);
        return change ? describe(*change) : change.error();
    });
}

ctl_report contract_commands::apply(const ctl_options& options)
{
    return with_stores(options, [&](configuration_committer& committer) {
        const auto change = contract_change::from_files(options.arguments, committer);
        if (!change) {
            return change.error();
        }
        if (options.dry_run || change->changes.empty()) {
            return describe(*change);
        }
        return commit_change(options, committer, *change);
    });
}

ctl_report contract_commands::print_contract(const ctl_options& options)
{
    if (options.arguments.size() != 1) {
        return ctl_report::failed(error_kind::invalid_request, "get needs the name of a business");
    }
    return with_stores(options, [&](configuration_committer& committer) {
        const auto& business = options.arguments.front();
        const auto current = committer.read(business);
        if (!current) {
            return ctl_report::failed(kind_of(current.error()), "");
        }
        if (current->version == 0) {
            return ctl_report::failed(error_kind::route_not_found,
                                      "the business \"" + business + "\" has no contract");
        }
        ctl_report report;
        auto text = contract_writer::to_yaml(*current);
        text.pop_back();
        report.lines = {"# version " + std::to_string(current->version) + ", sheet of " +
                            (current->sheet_date.empty() ? "no date" : current->sheet_date),
                        text};
        report.data["contract"] = nlohmann::ordered_json::parse(to_json(*current));
        return report;
    });
}

} // namespace galenaroad
