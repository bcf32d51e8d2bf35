#include "experiment/replay_floor.h"

namespace galenaroad {

namespace {

using namespace std::chrono_literals;

constexpr std::chrono::nanoseconds slice = 500ms;
constexpr long slices_of_span = 4;
constexpr std::chrono::nanoseconds span = slice * slices_of_span;
// An upstream is sound again this long after a fault, or after it has failed by itself.
constexpr auto recovery_after_fault = 8s;
constexpr auto recovery_after_failing = 2s;
constexpr double floor_share = 0.7;
constexpr double least_unserved = 0.1;
constexpr double most_unserved = 0.5;

long slice_at(std::chrono::nanoseconds at)
{
    return static_cast<long>(at / slice);
}

} // namespace

void replay_floor::note_arrival(std::size_t server, std::chrono::nanoseconds at)
{
    ++m_arrivals[{server, slice_at(at)}];
}

void replay_floor::note_end(std::size_t service, bool is_served, std::chrono::nanoseconds at)
{
    auto& ended = m_ends[{service, slice_at(at)}];
    ++ended.all;
    ended.served += is_served ? 1 : 0;
}

long replay_floor::breaches(const std::vector<std::unique_ptr<replay_server>>& servers,
                            std::chrono::nanoseconds length) const
{
    long count = 0;
    for (long last = slices_of_span - 1; last < slice_at(length); ++last) {
        const auto end = slice * (last + 1);
        std::map<std::size_t, use> services;
        for (const auto& each : servers) {
            if (!each->is_sound(end - span, end, recovery_after_fault, recovery_after_failing)) {
                continue;
            }
            auto& of = services[each->place().service];
            ++of.sound;
            of.used += was_used(each->place().index, last) ? 1 : 0;
        }
        for (const auto& [service, of] : services) {
            const bool is_below = of.used > 0 && of.used < floor_share * of.sound;
            count += is_below && is_part_unserved(service, last) ? 1 : 0;
        }
    }
    return count;
}

bool replay_floor::was_used(std::size_t server, long last_slice) const
{
    const auto from = m_arrivals.lower_bound({server, last_slice + 1 - slices_of_span});
    return from != m_arrivals.end() && from->first.first == server &&
           from->first.second <= last_slice;
}

bool replay_floor::is_part_unserved(std::size_t service, long last_slice) const
{
    ends sum;
    for (long each = last_slice + 1 - slices_of_span; each <= last_slice; ++each) {
        const auto found = m_ends.find({service, each});
        if (found != m_ends.end()) {
            sum.all += found->second.all;
            sum.served += found->second.served;
        }
    }
    const double unserved = sum.all > 0 ? 1 - static_cast<double>(sum.served) / sum.all : 0;
    return unserved > least_unserved && unserved < most_unserved;
}

} // namespace galenaroad
