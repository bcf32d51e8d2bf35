#include "health/ejection_command.h"

namespace galenaroad {

result<aged_row> execute(const ejection_command& command, ejection_ledger& ledger)
{
    switch (command.kind) {
    case ejection_command_kind::propose:
        return ledger.propose(command.capacity, command.upstream, command.reason);
    case ejection_command_kind::renew:
        return ledger.renew(command.capacity, command.upstreams);
    case ejection_command_kind::drain:
        return ledger.drain(command.capacity, command.upstream, command.reason);
    case ejection_command_kind::release:
        break;
    }
    return ledger.release(command.capacity.service, command.upstream);
}

} // namespace galenaroad
