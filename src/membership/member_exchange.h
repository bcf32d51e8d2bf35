#pragma once

#include "membership/ejection_table.h"
#include "membership/gossip_message.h"
#include "membership/member_table.h"
#include "membership/own_record.h"
#include "model/bucket_digest.h"

#include <vector>

namespace galenaroad {

/// Anti-entropy of members between two daemons in at most two request/response pairs: the first
/// compares digests, the second fetches and pushes the members that differ. Stateless.
class member_exchange {
public:
    /// The second request, derived from the response to a digest.
    struct next_step {
        bool needed = false;
        member_request request;
        /// Members that are dead here and alive at the peer in the same version.
        std::vector<member_table::slot> disputed;
    };

    /// @param members the members known; must outlive the exchange.
    /// @param own the record of this daemon; must outlive the exchange.
    /// @param ejections the ejection rows; must outlive the exchange.
    member_exchange(const member_table& members, const own_record& own,
                    const ejection_table& ejections);

    /// @return the request of a joining daemon, for all members.
    member_request join_request() const;

    /// @return a request that compares digests.
    member_request digest_request() const;

    /// Answers a request.
    /// @param request the peer's request, already merged.
    /// @param now the time.
    /// @return the response.
    member_response answer(const member_request& request, steady_time now) const;

    /// Finds the members to fetch and push after a response to a digest.
    /// @param response the response.
    /// @return the next request, if one is needed, and the disputed members.
    next_step follow_up(const member_response& response) const;

private:
    bucket_digest digest(std::size_t buckets) const;
    template <typename Visitor>
    void for_each_live(Visitor visit) const;
    void answer_digest(const member_request& request, member_response& response) const;
    void answer_pushed(const member& pushed, member_response& response) const;

    const member_table& m_members;
    const own_record& m_own;
    const ejection_table& m_ejections;
};

} // namespace galenaroad
