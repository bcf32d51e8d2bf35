#include "settings/daemon_settings_loader.h"

#include "settings/yaml_section.h"

namespace galenaroad {

namespace {

constexpr number_range thread_range{1, 1024};
constexpr number_range queue_range{0, 65536};

} // namespace

load_result<daemon_settings> daemon_settings_loader::load_file(const std::string& path)
{
    const auto text = read_file(path);
    if (!text) {
        return tl::make_unexpected(text.error());
    }
    return load_text(path, *text);
}

load_result<daemon_settings> daemon_settings_loader::load_text(const std::string& file,
                                                               const std::string& text)
{
    daemon_settings settings;
    auto errors = read_yaml(file, text, [&](yaml_section& root) { read_root(root, settings); });
    if (!errors.empty()) {
        return tl::make_unexpected(std::move(errors));
    }
    return settings;
}

void daemon_settings_loader::read_root(yaml_section& root, daemon_settings& settings)
{
    root.require({"instance", "region", "data_centre", "addresses", "platform"});
    root.text("instance", settings.instance);
    root.text("region", settings.location.region);
    root.text("data_centre", settings.location.name);
    root.section("addresses", [&](yaml_section& section) {
        section.require({"entry", "peer", "admin"});
        section.checked_text("entry", settings.entry_address, address_error);
        section.checked_text("peer", settings.peer_address, address_error);
        section.checked_text("admin", settings.admin_address, address_error);
    });
    read_join_ranges(root, settings);
    root.section("platform", [&](yaml_section& section) {
        section.require({"table_service", "object_store"});
        section.checked_text("table_service", settings.table_service_address, address_error);
        section.checked_text("object_store", settings.object_store_address, address_error);
    });
    root.section("telemetry", [&](yaml_section& section) {
        section.text("spans_file", settings.spans_file);
        int level = static_cast<int>(settings.level);
        section.choice("log_level", level, {"debug", "info", "warning", "error"});
        settings.level = static_cast<log_level>(level);
    });
    root.section("workers",
                 [&](yaml_section& section) { read_workers(section, settings.workers); });
    root.text("contracts_folder", settings.contracts_folder);
}

void daemon_settings_loader::read_join_ranges(yaml_section& root, daemon_settings& settings)
{
    std::vector<std::string> texts;
    root.texts("join_ranges", texts);
    for (const auto& text : texts) {
        const auto range = address_range::parse(text);
        if (!range) {
            root.add_error("join_ranges", "\"" + text +
                                              "\" is not a range of addresses, as in "
                                              "127.0.0.1:7101-7112 or 10.1.0.1-10.1.0.40:7101");
            continue;
        }
        settings.join_ranges.push_back(*range);
    }
}

void daemon_settings_loader::read_workers(yaml_section& section, worker_limits& limits)
{
    section.number("entry_threads", limits.entry_threads, thread_range);
    section.number("peer_threads", limits.peer_threads, thread_range);
    section.number("admin_threads", limits.admin_threads, thread_range);
    section.number("max_queued_connections", limits.max_queued_connections, queue_range);
}

} // namespace galenaroad
