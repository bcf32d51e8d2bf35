#pragma once

#include "relay/plan_change_source.h"

#include <cstdint>
#include <string>

namespace galenaroad {

/// @param from the plan of the daemon that sends.
/// @param version version at the peer.
/// @return the change that the daemon sends to the peer, put together from all pages; without a
/// version when a page cannot be decoded.
inline plan_change change_since(const plan_replica& from, std::uint64_t version)
{
    plan_change_source source(from, version);
    plan_change change;
    std::string position;
    do {
        const auto page = plan_page_codec::decode_page(source.page(position).text());
        if (!page || source.is_last(position) != page->next_position.empty()) {
            return {};
        }
        if (position.empty()) {
            change = page->part;
        }
        else {
            change.append(page->part);
        }
        position = page->next_position;
    } while (!position.empty());
    return change;
}

} // namespace galenaroad
