#include "fleet/departure_record.h"

namespace galenaroad {

bool departure_record::is_known(const owner_record& known, const owner_record& departure)
{
    return known.address == departure.address && known.revision >= departure.revision &&
           known.upstream_id == departure.upstream_id &&
           known.start_time_ms >= departure.start_time_ms && known.state >= departure.state;
}

bool departure_record::may_replace(const owner_record& known, const owner_record& departure)
{
    return known.address == departure.address && known.revision < departure.revision &&
           known.start_time_ms <= departure.start_time_ms;
}

} // namespace galenaroad
