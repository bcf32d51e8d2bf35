#include "membership/member_exchange.h"

#include <array>
#include <unordered_map>
#include <unordered_set>
#include <xxhash.h>

namespace galenaroad {

namespace {

// Keeps the request below gRPC's message limit of 4 MB; later exchanges push the remaining members.
constexpr std::size_t max_pushed_members = 1000;

std::uint64_t content_hash(const member& known)
{
    const std::array<std::uint64_t, 3> versions{known.record->incarnation, known.version,
                                                known.record->content_version};
    return XXH3_64bits(versions.data(), sizeof(versions));
}

member_version version_of(const member& known)
{
    return {known.record->name, known.record->incarnation, known.version,
            known.record->content_version};
}

bool newer(const member_version& a, const member_version& b)
{
    if (a.incarnation != b.incarnation) {
        return a.incarnation > b.incarnation;
    }
    return a.version > b.version || a.content_version > b.content_version;
}

/// Returns a member in the state that it announced itself: exchanges do not disseminate suspicion.
member as_announced(const member_entry& entry)
{
    const auto state = entry.leaving ? instance_state::leaving : instance_state::alive;
    return {entry.record, entry.version, state};
}

} // namespace

member_exchange::member_exchange(const member_table& members, const own_record& own,
                                 const ejection_table& ejections)
    : m_members(members), m_own(own), m_ejections(ejections)
{
}

template <typename Visitor>
void member_exchange::for_each_live(Visitor visit) const
{
    visit(m_own.published());
    m_members.for_each([&](member_table::slot, const member_entry& entry) {
        if (entry.observed_state != instance_state::dead) {
            visit(as_announced(entry));
        }
    });
}

bucket_digest member_exchange::digest(std::size_t buckets) const
{
    bucket_digest sums(buckets);
    for_each_live([&](const member& known) { sums.add(known.record->name, content_hash(known)); });
    return sums;
}

member_request member_exchange::join_request() const
{
    member_request request;
    request.sender = m_own.published();
    request.everything = true;
    return request;
}

member_request member_exchange::digest_request() const
{
    member_request request;
    request.sender = m_own.published();
    request.digest = digest(bucket_digest::buckets_for(m_members.live() + 1)).sums();
    return request;
}

void member_exchange::answer_digest(const member_request& request, member_response& response) const
{
    const bucket_digest theirs(request.digest);
    const auto flags = digest(request.digest.size()).differing(theirs);
    response.bucket_count = static_cast<std::uint32_t>(flags.size());
    for (std::size_t i = 0; i < flags.size(); ++i) {
        if (flags[i]) {
            response.buckets.push_back(static_cast<std::uint32_t>(i));
        }
    }
    if (response.buckets.empty()) {
        return;
    }
    for_each_live([&](const member& known) {
        if (flags[bucket_digest::bucket_of(known.record->name, flags.size())]) {
            response.differing.push_back(version_of(known));
        }
    });
}

void member_exchange::answer_pushed(const member& pushed, member_response& response) const
{
    const auto at = m_members.find(pushed.record->name);
    if (at == member_table::no_slot) {
        return;
    }
    const auto& entry = m_members[at];
    if (entry.observed_state == instance_state::dead) {
        response.changes.push_back({entry.record->name, entry.record->incarnation, entry.version,
                                    entry.record->content_version, instance_state::dead});
    }
}

member_response member_exchange::answer(const member_request& request, steady_time now) const
{
    member_response response;
    if (request.everything) {
        for_each_live([&](const member& known) { response.members.push_back(known); });
        response.ejections = m_ejections.rows(now);
        return response;
    }
    if (!request.digest.empty()) {
        answer_digest(request, response);
    }
    for (const auto& name : request.wanted) {
        const auto at = m_members.find(name);
        if (at != member_table::no_slot) {
            response.members.push_back(as_announced(m_members[at]));
        }
        else if (name == m_own.published().record->name) {
            response.members.push_back(m_own.published());
        }
    }
    for (const auto& service : request.wanted_rows) {
        if (auto row = m_ejections.find(service, now)) {
            response.ejections.push_back(std::move(*row));
        }
    }
    for (const auto& pushed : request.pushed) {
        answer_pushed(pushed, response);
    }
    return response;
}

member_exchange::next_step member_exchange::follow_up(const member_response& response) const
{
    next_step step;
    if (response.buckets.empty() || response.bucket_count == 0) {
        return step;
    }
    std::unordered_map<std::string, member_version> theirs;
    for (const auto& each : response.differing) {
        theirs.emplace(each.name, each);
    }
    const std::unordered_set<std::size_t> buckets(response.buckets.begin(), response.buckets.end());
    for_each_live([&](const member& known) {
        if (buckets.count(bucket_digest::bucket_of(known.record->name, response.bucket_count)) ==
            0) {
            return;
        }
        const auto found = theirs.find(known.record->name);
        const bool unknown = found == theirs.end();
        if ((unknown || newer(version_of(known), found->second)) &&
            step.request.pushed.size() < max_pushed_members) {
            step.request.pushed.push_back(known);
        }
    });
    for (const auto& each : response.differing) {
        const auto at = m_members.find(each.name);
        if (at == member_table::no_slot) {
            if (each.name != m_own.published().record->name) {
                step.request.wanted.push_back(each.name);
            }
            continue;
        }
        const auto& entry = m_members[at];
        if (newer(each, version_of(as_announced(entry)))) {
            step.request.wanted.push_back(each.name);
        }
        else if (entry.observed_state == instance_state::dead && !entry.leaving) {
            step.disputed.push_back(at);
        }
    }
    step.request.sender = m_own.published();
    step.needed = !step.request.wanted.empty() || !step.request.pushed.empty();
    return step;
}

} // namespace galenaroad
