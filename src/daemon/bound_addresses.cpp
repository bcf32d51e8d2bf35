#include "daemon/bound_addresses.h"

#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>

namespace galenaroad {

bool bound_addresses::write_to(const std::string& path) const
{
    const auto part = path + ".part";
    {
        std::ofstream file(part);
        file << nlohmann::json{{"entry", entry}, {"peer", peer}, {"admin", admin}} << '\n';
        if (!file.flush()) {
            return false;
        }
    }
    return std::rename(part.c_str(), path.c_str()) == 0;
}

} // namespace galenaroad
