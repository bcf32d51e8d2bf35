#include "configuration/configuration_store.h"

#include "configuration/contract_json.h"
#include "model/bucket_digest.h"

#include <utility>
#include <xxhash.h>

namespace galenaroad {

namespace {

std::uint64_t head_hash(const std::string& business, std::uint64_t version)
{
    return version == 0 ? 0 : XXH3_64bits_withSeed(business.data(), business.size(), version);
}

} // namespace

configuration_store::configuration_store(change_hook changed)
    : m_changed(std::move(changed)), m_snapshot(std::make_shared<const configuration_snapshot>())
{
}

std::uint64_t configuration_store::version_of(const std::string& business) const
{
    const auto found = m_bodies.find(business);
    return found == m_bodies.end() ? 0 : found->second.version;
}

bool configuration_store::apply(contract value)
{
    if (value.version <= version_of(value.business)) {
        return false;
    }
    auto body = deflate_body(to_json(value));
    return put(std::move(value), std::move(body));
}

bool configuration_store::adopt(const contract_record& record)
{
    if (record.head.version <= version_of(record.head.business)) {
        return false;
    }
    const auto text = inflate_body(record.body);
    if (!text) {
        return false;
    }
    auto value = contract_from_json(*text);
    if (!value || value->business != record.head.business ||
        value->version != record.head.version) {
        return false;
    }
    return put(std::move(*value), record.body);
}

bool configuration_store::put(contract value, std::string body)
{
    auto& held = m_bodies[value.business];
    m_fingerprint -= head_hash(value.business, held.version);
    m_fingerprint += head_hash(value.business, value.version);
    held = {value.version, std::move(body)};
    const auto shared = std::make_shared<const contract>(std::move(value));
    auto next = std::make_shared<configuration_snapshot>(*m_snapshot);
    next->contracts[shared->business] = shared;
    ++next->number;
    m_snapshot = std::move(next);
    if (m_changed) {
        m_changed(*shared);
    }
    return true;
}

std::vector<contract_head> configuration_store::heads() const
{
    std::vector<contract_head> all;
    all.reserve(m_bodies.size());
    for (const auto& each : m_bodies) {
        all.push_back({each.first, each.second.version});
    }
    return all;
}

std::vector<contract_record>
configuration_store::missing_from(const std::vector<contract_head>& heads) const
{
    std::map<std::string, std::uint64_t> theirs;
    for (const auto& each : heads) {
        theirs[each.business] = each.version;
    }
    std::vector<contract_record> missing;
    for (const auto& each : m_bodies) {
        if (each.second.version > theirs[each.first]) {
            missing.push_back({{each.first, each.second.version}, each.second.body});
        }
    }
    return missing;
}

contract_request configuration_store::digest_request() const
{
    bucket_digest sums(bucket_digest::buckets_for(m_bodies.size()));
    for (const auto& each : m_bodies) {
        sums.add(each.first, each.second.version);
    }
    contract_request request;
    request.digest = sums.sums();
    return request;
}

contract_response configuration_store::answer(const contract_request& request) const
{
    contract_response response;
    if (request.everything) {
        response.everything = true;
        response.contracts = missing_from({});
        return response;
    }
    for (const auto& each : request.wanted) {
        const auto found = m_bodies.find(each.business);
        if (found != m_bodies.end() && found->second.version >= each.version) {
            response.contracts.push_back(
                {{found->first, found->second.version}, found->second.body});
        }
    }
    if (request.digest.empty()) {
        return response;
    }
    bucket_digest own(request.digest.size());
    for (const auto& each : m_bodies) {
        own.add(each.first, each.second.version);
    }
    const auto flags = own.differing(bucket_digest(request.digest));
    response.bucket_count = static_cast<std::uint32_t>(flags.size());
    for (std::size_t i = 0; i < flags.size(); ++i) {
        if (flags[i]) {
            response.buckets.push_back(static_cast<std::uint32_t>(i));
        }
    }
    for (const auto& each : m_bodies) {
        if (flags[bucket_digest::bucket_of(each.first, flags.size())]) {
            response.differing.push_back({each.first, each.second.version});
        }
    }
    return response;
}

} // namespace galenaroad
