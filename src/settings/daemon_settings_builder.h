#pragma once

#include "settings/daemon_settings.h"

#include <utility>

namespace galenaroad {

/// Builds daemon settings step by step, for tests and programs that have no settings file.
class daemon_settings_builder {
public:
    /// @param name the instance's name.
    daemon_settings_builder& instance(std::string name);

    /// @param region the region's name.
    /// @param data_centre_name the data centre's name.
    daemon_settings_builder& location(std::string region, std::string data_centre_name);

    /// @param entry the listening address for callers.
    /// @param peer the listening address for other daemons.
    /// @param admin the listening address for the instance's backend servers and operators.
    daemon_settings_builder& addresses(std::string entry, std::string peer, std::string admin);

    /// @param range addresses to try when joining.
    daemon_settings_builder& join_range(const address_range& range);

    /// @param table_service address of the table service.
    /// @param object_store address of the object store.
    daemon_settings_builder& platform(std::string table_service, std::string object_store);

    /// @param spans_file the file that spans are appended to.
    /// @param level the minimum severity of log entries that are written.
    daemon_settings_builder& telemetry(std::string spans_file, log_level level);

    /// @param limits the limits of the daemon's threads and connections.
    daemon_settings_builder& workers(const worker_limits& limits);

    /// @param folder the folder of initial declarations.
    daemon_settings_builder& contracts_folder(std::string folder);

    /// @return the settings.
    daemon_settings build() const { return m_settings; }

private:
    daemon_settings m_settings;
};

} // namespace galenaroad
