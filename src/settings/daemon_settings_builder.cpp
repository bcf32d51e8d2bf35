#include "settings/daemon_settings_builder.h"

namespace galenaroad {

daemon_settings_builder& daemon_settings_builder::instance(std::string name)
{
    m_settings.instance = std::move(name);
    return *this;
}

daemon_settings_builder& daemon_settings_builder::location(std::string region,
                                                           std::string data_centre_name)
{
    m_settings.location = {std::move(region), std::move(data_centre_name)};
    return *this;
}

daemon_settings_builder& daemon_settings_builder::addresses(std::string entry, std::string peer,
                                                            std::string admin)
{
    m_settings.entry_address = std::move(entry);
    m_settings.peer_address = std::move(peer);
    m_settings.admin_address = std::move(admin);
    return *this;
}

daemon_settings_builder& daemon_settings_builder::join_range(const address_range& range)
{
    m_settings.join_ranges.push_back(range);
    return *this;
}

daemon_settings_builder& daemon_settings_builder::platform(std::string table_service,
                                                           std::string object_store)
{
    m_settings.table_service_address = std::move(table_service);
    m_settings.object_store_address = std::move(object_store);
    return *this;
}

daemon_settings_builder& daemon_settings_builder::telemetry(std::string spans_file, log_level level)
{
    m_settings.spans_file = std::move(spans_file);
    m_settings.level = level;
    return *this;
}

daemon_settings_builder& daemon_settings_builder::workers(const worker_limits& limits)
{
    m_settings.workers = limits;
    return *this;
}

daemon_settings_builder& daemon_settings_builder::contracts_folder(std::string folder)
{
    m_settings.contracts_folder = std::move(folder);
    return *this;
}

} // namespace galenaroad
