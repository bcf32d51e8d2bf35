#include "daemon/store_reader.h"

namespace galenaroad {

store_reader::store_reader(configuration_reader& reader, std::string own_name, data_centre location)
    : m_reader(reader), m_own_name(std::move(own_name)), m_location(std::move(location))
{
}

bool store_reader::read_if_due(const membership_view& view, const std::vector<contract_head>& held,
                               bool ready, std::vector<contract>& read)
{
    if (!m_reader.interval_passed()) {
        return false;
    }
    std::vector<reader_candidate> live;
    for (const auto& known : view.members()) {
        if (membership_view::accepts_requests(known)) {
            live.push_back({known.record->name, known.record->location->region});
        }
    }
    if (!m_reader.due(live, {m_own_name, m_location.region}, ready)) {
        return false;
    }
    auto found = m_reader.read(held);
    if (!found) {
        return false;
    }
    read = std::move(*found);
    return true;
}

} // namespace galenaroad
