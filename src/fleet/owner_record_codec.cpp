#include "fleet/owner_record_codec.h"

#include "net/ip_endpoint.h"

#include <array>
#include <nlohmann/json.hpp>

namespace galenaroad {

namespace {

using json = nlohmann::json;

constexpr std::array<const char*, 4> state_names{"none", "ready", "draining", "left"};

json to_json(const owner_record& record)
{
    json value{{"address", record.address},
               {"data_centre", record.data_centre},
               {"region", record.region},
               {"revision", record.revision},
               {"upstream", record.upstream_id},
               {"service", record.service},
               {"state", state_names.at(static_cast<std::size_t>(record.state))},
               {"born_ms", record.start_time_ms},
               {"sequence", record.sequence}};
    if (record.era.is_known()) {
        value["store_era"] = record.era.number();
    }
    return value;
}

// Greater integers are not exact in every JSON parser. Counters since the start of a daemon and
// Unix times in milliseconds stay below this limit.
constexpr std::uint64_t max_exact_integer = (std::uint64_t{1} << 53) - 1;

// Returns nothing for a negative or floating-point number, which get() would convert silently.
std::optional<std::uint64_t> number_at(const json& value, const char* key)
{
    const auto found = value.find(key);
    if (found == value.end() || !found->is_number_unsigned()) {
        return {};
    }
    const auto number = found->get<std::uint64_t>();
    return number <= max_exact_integer ? std::make_optional(number) : std::nullopt;
}

std::optional<announced_state> state_named(const std::string& name)
{
    for (std::size_t index = 0; index < state_names.size(); ++index) {
        if (name == state_names.at(index)) {
            return static_cast<announced_state>(index);
        }
    }
    return {};
}

std::optional<owner_record> from_json(const json& value)
{
    try {
        owner_record record;
        const auto state = state_named(value.at("state").get<std::string>());
        if (!state) {
            return {};
        }
        record.address = value.at("address").get<std::string>();
        if (!ip_endpoint::parse(record.address)) {
            return {};
        }
        record.data_centre = value.at("data_centre").get<std::string>();
        record.region = value.at("region").get<std::string>();
        record.upstream_id = value.at("upstream").get<std::string>();
        record.service = value.at("service").get<std::string>();
        record.state = *state;
        const auto revision = number_at(value, "revision");
        const auto start_time_ms = number_at(value, "born_ms");
        const auto sequence = number_at(value, "sequence");
        if (!revision || !start_time_ms || !sequence) {
            return {};
        }
        record.revision = *revision;
        record.start_time_ms = *start_time_ms;
        record.sequence = *sequence;
        if (const auto era = number_at(value, "store_era")) {
            record.era = store_era(*era);
        }
        return record;
    }
    catch (const json::exception&) {
        return {};
    }
}

} // namespace

std::string owner_record_codec::encode(const owner_record& record)
{
    return to_json(record).dump();
}

std::optional<owner_record> owner_record_codec::decode(std::string_view text)
{
    const auto value = json::parse(text, nullptr, false);
    return value.is_object() ? from_json(value) : std::nullopt;
}

std::string owner_record_codec::encode_all(const std::vector<owner_record>& records)
{
    auto list = json::array();
    for (const auto& record : records) {
        list.push_back(to_json(record));
    }
    return list.dump();
}

std::vector<owner_record> owner_record_codec::decode_all(const nlohmann::json& list)
{
    std::vector<owner_record> records;
    if (!list.is_array()) {
        return records;
    }
    for (const auto& value : list) {
        auto record = value.is_object() ? from_json(value) : std::nullopt;
        if (record) {
            records.push_back(std::move(*record));
        }
    }
    return records;
}

} // namespace galenaroad
