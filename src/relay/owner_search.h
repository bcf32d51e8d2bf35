#pragma once

#include "fleet/owner_directory.h"
#include "relay/owner_ranking.h"
#include "relay/relay_message_codec.h"

#include <set>
#include <string>

namespace galenaroad {

/// How far the search for an upstream has come.
enum class search_stage {
    choosing, ///< Asks for a sound upstream with a free slot.
    waiting,  ///< Waits for a slot.
};

/// Decides which owners one request is sent to, one after another, and when it is refused.
///
/// Answers the load where most upstreams of a service are full or in doubt: few owners are asked
/// before the request waits at one, since when some are full the others most likely are as well.
class owner_search {
public:
    /// @param directory the known owners; must outlive the search.
    /// @param ranking orders the owners; must outlive the search.
    owner_search(const owner_directory& directory, owner_ranking& ranking);

    /// Begins the search.
    /// @param service the service of the request.
    /// @param payload_bytes size of the request's body and expected size of the answer.
    void begin(const std::string& service, double payload_bytes);

    /// Chooses the next owner to ask.
    /// @param may_retry another attempt can follow the one at that owner.
    /// @param now the current time.
    /// @return its record, or null when the request has to be refused.
    const owner_record* next(bool may_retry, steady_time now);

    /// Notes that an owner has refused the request, which has not run there.
    /// @param address the owner.
    /// @param report what it told.
    /// @param now the current time.
    void record_refusal(const std::string& address, const attempt_report& report, steady_time now);

    /// Excludes an owner from the rest of the search.
    void exclude(const std::string& address) { m_excluded.insert(address); }

    /// @return how far the search has come.
    search_stage stage() const { return m_stage; }

    /// @return what the latest choice did about owners that were due for a trial.
    probe_decision probe() const { return m_probe; }

    /// @return refusals so far.
    int refusals() const { return m_refusals; }

    /// @return the shortest time after which an owner said to come back; zero without a refusal.
    std::chrono::milliseconds retry_after() const { return m_retry_after; }

private:
    const owner_record* choose(bool may_retry, steady_time now);
    bool has_asked_enough() const;
    void enter_waiting_stage();

    const owner_directory& m_directory;
    owner_ranking& m_ranking;
    std::string m_service;
    double m_payload_bytes = 0;
    std::set<std::string> m_excluded; ///< Owners that are not asked again.
    std::set<std::string> m_refused;  ///< Owners that may accept the request in a later stage.
    std::chrono::milliseconds m_retry_after{0};
    search_stage m_stage = search_stage::choosing;
    probe_decision m_probe = probe_decision::none_due;
    int m_refusals = 0;
    int m_stage_refusals = 0; ///< Refusals in the current stage.
    int m_busy_refusals = 0;  ///< Those of them for want of a slot.
};

} // namespace galenaroad
