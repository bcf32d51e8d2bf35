#include "configuration/configuration_reader.h"

#include "configuration/contract_row.h"
#include "platform/object_store.h"
#include "platform/table_service.h"

#include <algorithm>
#include <map>
#include <utility>
#include <xxhash.h>

namespace galenaroad {

namespace {

constexpr auto read_interval = std::chrono::seconds(1);
constexpr std::size_t readers_per_region = 2;
// Far above the number of businesses expected in two years (3,200 services).
constexpr int max_rows = 10000;

std::uint64_t rendezvous_hash(std::string_view daemon)
{
    return XXH3_64bits_withSeed(daemon.data(), daemon.size(),
                                XXH3_64bits(contracts_table, sizeof("contracts") - 1));
}

} // namespace

configuration_reader::configuration_reader(table_service& table, object_store& objects,
                                           const clock& time)
    : m_table(table), m_objects(objects), m_clock(time)
{
}

std::vector<std::string> configuration_reader::readers(const std::vector<reader_candidate>& live,
                                                       std::string_view region)
{
    std::vector<std::pair<std::uint64_t, std::string_view>> ranked;
    for (const auto& each : live) {
        if (each.region == region) {
            ranked.emplace_back(rendezvous_hash(each.name), each.name);
        }
    }
    const auto count = std::min(readers_per_region, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count),
                      ranked.end(), std::greater<>());
    std::vector<std::string> names;
    for (std::size_t i = 0; i < count; ++i) {
        names.emplace_back(ranked[i].second);
    }
    return names;
}

bool configuration_reader::interval_passed() const
{
    return m_clock.steady_now() - m_last_read >= read_interval;
}

bool configuration_reader::due(const std::vector<reader_candidate>& live,
                               const reader_candidate& self, bool ready) const
{
    if (!interval_passed()) {
        return false;
    }
    if (!ready) {
        return true;
    }
    const auto chosen = readers(live, self.region);
    return std::find(chosen.begin(), chosen.end(), self.name) != chosen.end();
}

result<std::vector<contract>> configuration_reader::read(const std::vector<contract_head>& known)
{
    m_last_read = m_clock.steady_now();
    const auto rows = m_table.list(contracts_table, "", max_rows);
    if (!rows) {
        return tl::unexpected(rows.error());
    }
    std::map<std::string, std::uint64_t> held;
    for (const auto& each : known) {
        held[each.business] = each.version;
    }
    std::vector<contract> newer;
    for (const auto& each : *rows) {
        const auto version = row_version(each.value);
        if (version && *version <= held[each.key]) {
            continue;
        }
        auto row = load_row(each.value, m_objects);
        if (!row) {
            return tl::unexpected(row.error());
        }
        newer.push_back(std::move(row->value));
    }
    return newer;
}

} // namespace galenaroad
