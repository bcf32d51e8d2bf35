#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace galenaroad {

/// Names an accepted version of a business's contract.
struct contract_head {
    std::string business;
    std::uint64_t version = 0;

    bool operator==(const contract_head& other) const
    {
        return business == other.business && version == other.version;
    }
};

/// An accepted version of a business's contract with its JSON body, as peers exchange it.
struct contract_record {
    contract_head head;
    std::string body; ///< Deflated JSON of the contract, see contract_json.h.
};

/// Exchange of contracts, in the same two steps. Without digest and wanted names it asks for all.
struct contract_request {
    bool everything = false;
    std::vector<std::uint32_t> digest;
    std::vector<contract_head> wanted; ///< Businesses with the least version that helps.
};

/// Answer to a contract_request.
struct contract_response {
    bool everything = false; ///< Answers a request for everything.
    std::vector<contract_record> contracts;
    std::vector<contract_head> differing;
    std::uint32_t bucket_count = 0; ///< Size of the compared digest; zero without one.
    std::vector<std::uint32_t> buckets;
    /// Whether the answering daemon itself is ready. After a restart of the whole fleet, peers that
    /// hold nothing must not make each other ready.
    bool ready = false;
    bool complete = true; ///< False in all pieces of a streamed response but the last.
};

} // namespace galenaroad
