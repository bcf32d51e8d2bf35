#pragma once

#include "fleet/plan_change.h"
#include "fleet/plan_index.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace galenaroad {

/// The next plan of a daemon, made from the pages of a change while they arrive, so that no part is
/// held twice and no turn of the event loop is longer than a page takes.
class staged_plan {
public:
    /// Creates one without pages; its version is 0.
    staged_plan() = default;

    /// @param base the plan in force, or null.
    /// @param first first page of a change of that plan or of a whole plan.
    staged_plan(const plan_index* base, const plan_change& first);

    /// @param page a further page of the same change.
    void add(const plan_change& page);

    /// @return version that the change starts from; 0 when it holds the whole plan.
    std::uint64_t base_version() const { return m_base_version; }

    /// @return version that results; 0 without pages.
    std::uint64_t version() const { return m_plan.version(); }

    /// @return true when the contents are those of the sender. Only after the last page.
    bool is_complete() const { return m_plan.digest() == m_digest; }

    const plan_index& plan() const { return m_plan; }

    /// @return names of the parts that may have changed; none for a whole plan.
    const std::vector<plan_part>& changed_parts() const { return m_parts; }

    /// @return number of routes in the pages.
    std::size_t route_count() const { return m_route_count; }

    /// @return number of client accounts in the pages.
    std::size_t account_count() const { return m_account_count; }

private:
    std::uint64_t m_base_version = 0;
    std::uint64_t m_digest = 0; ///< At the sender.
    plan_index m_plan;
    std::vector<plan_part> m_parts;
    std::size_t m_route_count = 0;
    std::size_t m_account_count = 0;
};

} // namespace galenaroad
