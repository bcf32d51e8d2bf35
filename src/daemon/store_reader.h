#pragma once

#include "configuration/configuration_reader.h"
#include "membership/membership_view.h"
#include "model/instance.h"

#include <memory>
#include <string>
#include <vector>

namespace galenaroad {

/// Reads accepted contracts from the table when this daemon is a reader. Used by the store thread.
class store_reader {
public:
    /// @param reader reads the table.
    /// @param own_name the name of this instance.
    /// @param location where it stands.
    store_reader(configuration_reader& reader, std::string own_name, data_centre location);

    /// Reads the table if it is due.
    /// @param view the members.
    /// @param held the versions that the daemon holds.
    /// @param ready whether the daemon holds a configuration.
    /// @param read receives the newer contracts.
    /// @return true when the table was read.
    bool read_if_due(const membership_view& view, const std::vector<contract_head>& held,
                     bool ready, std::vector<contract>& read);

private:
    configuration_reader& m_reader;
    std::string m_own_name;
    data_centre m_location;
};

} // namespace galenaroad
