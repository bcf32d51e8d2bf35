#include "health/ejection_order.h"

namespace galenaroad {

result<aged_row> carry_out(const ejection_order& order, ejection_ledger& ledger)
{
    switch (order.kind) {
    case ejection_order_kind::propose:
        return ledger.propose(order.capacity, order.upstream, order.reason);
    case ejection_order_kind::renew:
        return ledger.renew(order.capacity, order.upstreams);
    case ejection_order_kind::drain:
        return ledger.drain(order.capacity, order.upstream, order.reason);
    case ejection_order_kind::release:
        break;
    }
    return ledger.release(order.capacity.service, order.upstream);
}

} // namespace galenaroad
