#include "model/bucket_digest.h"

#include <utility>
#include <xxhash.h>

namespace galenaroad {

namespace {

constexpr std::size_t entries_per_bucket = 8;
constexpr std::size_t max_buckets = 1U << 14U;

} // namespace

bucket_digest::bucket_digest(std::size_t buckets) : m_sums(buckets, 0) {}

bucket_digest::bucket_digest(std::vector<std::uint32_t> sums) : m_sums(std::move(sums)) {}

std::size_t bucket_digest::buckets_for(std::size_t entries)
{
    std::size_t buckets = 1;
    while (buckets * entries_per_bucket < entries && buckets < max_buckets) {
        buckets *= 2;
    }
    return buckets;
}

void bucket_digest::add(std::string_view key, std::uint64_t content)
{
    const auto hash = XXH3_64bits_withSeed(key.data(), key.size(), content);
    // A sum does not depend on the order in which entries are added.
    m_sums[bucket_of(key, m_sums.size())] += static_cast<std::uint32_t>(hash >> 32U);
}

std::size_t bucket_digest::bucket_of(std::string_view key, std::size_t buckets)
{
    // The modulus keeps a received digest with a damaged size within its bounds.
    return XXH3_64bits(key.data(), key.size()) % buckets;
}

std::vector<bool> bucket_digest::differing(const bucket_digest& other) const
{
    std::vector<bool> flags(m_sums.size(), true);
    for (std::size_t i = 0; i < m_sums.size() && i < other.m_sums.size(); ++i) {
        flags[i] = m_sums[i] != other.m_sums[i];
    }
    return flags;
}

} // namespace galenaroad
