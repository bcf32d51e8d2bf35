#pragma once

#include "fleet/plan_replica.h"
#include "net/shared_body.h"
#include "relay/plan_page.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <vector>

namespace galenaroad {

/// The change from one version of a plan to another, in pages. It stays the same while newer plans
/// come into force, so that a peer that has begun to get it can finish.
class plan_change_source {
public:
    /// @param plans the plan in force and its log; there is a plan.
    /// @param base_version version at the peer. The change holds the whole plan when the log does
    /// not reach back to it.
    plan_change_source(const plan_replica& plans, std::uint64_t base_version);

    /// @return version that the change starts from; 0 when it holds the whole plan.
    std::uint64_t base_version() const { return m_base_version; }

    /// @return version that the change leads to.
    std::uint64_t version() const { return m_plan->version(); }

    /// @return checksum of the contents that the change leads to.
    std::uint64_t digest() const { return m_plan->digest(); }

    /// @return true when one page holds the change.
    bool is_single_page() const { return m_parts.size() <= parts_per_page; }

    /// @param position where the page begins; see plan_page.
    /// @return the encoded page.
    shared_body page(const std::string& position);

    /// @return true when the page that begins at a position is the last one.
    bool is_last(const std::string& position) const;

private:
    // About 20 KB when encoded: 16 ms of a link of 10 Mbit/s, and a few milliseconds of processor
    // time.
    static constexpr std::size_t parts_per_page = 512;

    // Peers that get a change at the same time are some pages apart. All pages of a plan with
    // 200,000 accounts would take 9 MB.
    static constexpr std::size_t max_kept_pages = 32;

    struct encoded_page {
        std::string position;
        shared_body body;
    };

    static std::string position_of(const plan_part& part);
    std::size_t index_of(const std::string& position) const;
    plan_page make_page(const std::string& position) const;
    void add(const plan_part& part, plan_change& change) const;

    std::uint64_t m_base_version;
    std::shared_ptr<const plan_index> m_plan;
    std::vector<plan_part> m_parts;   ///< In order.
    std::deque<encoded_page> m_pages; ///< The latest ones.
};

} // namespace galenaroad
