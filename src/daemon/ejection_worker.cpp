#include "daemon/ejection_worker.h"

#include "base/error_kind.h"
#include "telemetry/structured_log.h"

namespace galenaroad {

namespace {

std::string name_of(const upstream_id& id)
{
    return id.instance + '/' + id.name;
}

} // namespace

ejection_worker::ejection_worker(table_service& tables, const clock& time,
                                 const std::string& writer, row_hook written)
    : m_ledger(tables, time, writer), m_written(std::move(written))
{
}

std::error_code ejection_worker::carry_out(const ejection_order& order)
{
    const auto row = apply(order);
    if (row) {
        if (order.kind == ejection_order_kind::propose) {
            structured_log::warning("Upstream is ejected",
                                    {{"upstream", name_of(order.upstream)},
                                     {"service", order.capacity.service.service},
                                     {"reason", order.reason}});
        }
        m_written(order, *row);
        return {};
    }
    structured_log::info("Ejection row is not changed",
                         {{"upstream", name_of(order.upstream)},
                          {"error", std::string(answer_for(kind_of(row.error())).name)}});
    return row.error();
}

result<aged_row> ejection_worker::apply(const ejection_order& order)
{
    switch (order.kind) {
    case ejection_order_kind::propose:
        return m_ledger.propose(order.capacity, order.upstream, order.reason);
    case ejection_order_kind::renew:
        return m_ledger.renew(order.capacity, order.upstreams);
    case ejection_order_kind::drain:
        return m_ledger.drain(order.capacity, order.upstream, order.reason);
    case ejection_order_kind::release:
        break;
    }
    return m_ledger.release(order.capacity.service, order.upstream);
}

} // namespace galenaroad
