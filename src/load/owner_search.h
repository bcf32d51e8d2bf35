#pragma once

#include "fleet/owner_directory.h"
#include "fleet/relay_message_codec.h"
#include "load/owner_ranking.h"

#include <set>
#include <string>

namespace galenaroad {

/// Stage of the search for an owner.
enum class search_stage {
    choosing, ///< Looks for a healthy upstream with a free slot.
    waiting,  ///< Accepts an owner at which the request waits for a slot.
};

/// Decides which owners a request is sent to, one after another, and when it is refused.
///
/// Only a few owners are asked before the request waits at one: if several upstreams of a service
/// are busy or suspect, the others most likely are as well, and asking them all would multiply the
/// messages during an overload.
class owner_search {
public:
    /// @param directory the known owners; must outlive the search.
    /// @param ranking ranks the owners; must outlive the search.
    owner_search(const owner_directory& directory, owner_ranking& ranking);

    /// Starts the search.
    /// @param service the service of the request.
    /// @param payload_bytes size of the request body and expected size of the response.
    void begin(const std::string& service, double payload_bytes);

    /// Starts the search again, for another attempt. All owners that have refused may be asked
    /// again.
    void restart();

    /// Skips owners that are known to be stopping from now on.
    void avoid_stopping_owners() { m_avoids_stopping = true; }

    /// @param address an owner.
    /// @param now the current time.
    /// @return true if the request can be sent to another owner that is not known to be stopping.
    bool has_alternative_to(const std::string& address, steady_time now) const;

    /// Chooses the next owner.
    /// @param may_retry whether a failed attempt at that owner can be retried.
    /// @param now the current time.
    /// @return its record, or null if the request has to be refused.
    const owner_record* next(bool may_retry, steady_time now);

    /// Records that an owner has refused the request, which has not run there.
    /// @param address the owner.
    /// @param report the report that it sent.
    /// @param now the current time.
    void record_refusal(const std::string& address, const attempt_report& report, steady_time now);

    /// Excludes an owner from the rest of the search.
    void exclude(const std::string& address) { m_excluded.insert(address); }

    /// @return the current stage of the search.
    search_stage stage() const { return m_stage; }

    /// @return whether the latest choice made a probe.
    probe_decision probe() const { return m_probe; }

    /// @return number of refusals so far.
    int refusals() const { return m_refusals; }

    /// @return the shortest retry-after time that an owner reported; zero without a refusal.
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
    std::set<std::string> m_unable;   ///< Owners that are not asked again before a restart().
    std::set<std::string> m_refused;  ///< Owners that may accept the request in the next stage.
    std::chrono::milliseconds m_retry_after{0};
    bool m_avoids_stopping = false;
    search_stage m_stage = search_stage::choosing;
    probe_decision m_probe = probe_decision::none_due;
    int m_refusals = 0;
    int m_stage_refusals = 0;   ///< Refusals in the current stage.
    int m_busy_refusals = 0;    ///< Refusals in the current stage because no slot was free.
    int m_leaving_refusals = 0; ///< Refusals by owners that refuse all requests.
};

} // namespace galenaroad
