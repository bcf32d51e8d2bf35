#include "health/evaluator_selection.h"

#include <cstdint>
#include <xxhash.h>

namespace galenaroad {

std::optional<std::string> evaluator_of(const service_id& service,
                                        const std::vector<std::string>& owners)
{
    const std::string prefix = service.business + '/' + service.service + '/';
    std::optional<std::string> best;
    std::uint64_t best_score = 0;
    for (const std::string& owner : owners) {
        const std::string text = prefix + owner;
        const std::uint64_t score = XXH3_64bits(text.data(), text.size());
        if (!best || score > best_score || (score == best_score && owner < *best)) {
            best = owner;
            best_score = score;
        }
    }
    return best;
}

} // namespace galenaroad
