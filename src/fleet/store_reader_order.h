#pragma once

#include "fleet/owner_directory.h"

#include <string>
#include <vector>

namespace galenaroad {

/// The order in which the daemons of a data centre take the role of a store reader. All daemons
/// with the same records compute the same order, without exchanging messages.
class store_reader_order {
public:
    /// Lists the daemons of a data centre whose upstreams accept requests.
    /// @param directory the known owners.
    /// @param data_centre the data centre.
    /// @return their addresses, first reader first.
    static std::vector<std::string> daemons(const owner_directory& directory,
                                            const std::string& data_centre);

    /// @return true when the first address comes before the second one.
    static bool is_before(const std::string& first, const std::string& second);
};

} // namespace galenaroad
