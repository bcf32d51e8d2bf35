#pragma once

#include "net/http_server.h"
#include "relay/relay_context.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace galenaroad {

/// Sends the record of a departure to peers while the store does not confirm it to this daemon, and
/// asks them for the record after a restart of this daemon.
///
/// Peers do two things with it. One of them after the other tries to write it to the store, which
/// may turn away only this daemon. A few keep it in memory, so that the departure mostly outlives
/// this process also while nobody reaches the store; that is no promise, as all daemons may end at
/// the same moment. These are the first ones of an order that depends only on the addresses, so
/// that a restarted daemon, which remembers nothing, asks those that were told.
class departure_replicator {
public:
    /// Path of the requests between daemons.
    static constexpr const char* path = "/galenaroad/v1/departure";
    /// Target of a request that also asks the peer to write the record to the store.
    static constexpr const char* store_target = "/galenaroad/v1/departure?store";

    /// Callbacks of the user.
    struct hooks {
        /// A peer has made sure that the store has the record of this revision.
        std::function<void(std::uint64_t revision)> stored;
        /// A peer knows this record of this daemon, which may be of an earlier start.
        std::function<void(const owner_record& record)> found;
    };

    /// Callbacks for requests of peers.
    struct peer_hooks {
        std::function<void(const owner_record&)> record; ///< A peer has sent its record.
        /// Tries to write the record of a peer to the store, see fleet_store::store_departure().
        std::function<void(const owner_record&, std::function<void(bool is_stored)>)> store;
    };

    /// @param context shared state; must outlive this object.
    /// @param callbacks see hooks.
    departure_replicator(relay_context& context, hooks callbacks);

    departure_replicator(const departure_replicator&) = delete;
    departure_replicator& operator=(const departure_replicator&) = delete;
    departure_replicator(departure_replicator&&) = delete;
    departure_replicator& operator=(departure_replicator&&) = delete;
    ~departure_replicator();

    /// Sends a record to peers if the store does not confirm it soon, until it is known to be
    /// stored.
    /// @param record the record of a departure.
    void replicate(const owner_record& record);

    /// Ends the sending of a record that another one of this daemon has replaced.
    void withdraw() { m_pending.reset(); }

    /// Called when the store is known to have a record.
    /// @param revision its revision.
    void on_stored(std::uint64_t revision);

    /// Asks peers for the record of this daemon.
    /// @param on_end called once, when all of them have responded or the time is over.
    void query(std::function<void()> on_end);

    /// Handles a request of a peer.
    /// @param context shared state.
    /// @param client the request.
    /// @param callbacks see peer_hooks.
    static void handle(const relay_context& context, const std::shared_ptr<server_exchange>& client,
                       const peer_hooks& callbacks);

private:
    /// One request to a peer, and what has been received of its response.
    struct call {
        std::shared_ptr<http_exchange> exchange;
        std::string body;
        int status = 0; ///< 0 for a call that has failed.

        void append(std::string_view bytes);
    };

    using response_handler = std::function<void(const call& ended)>;

    /// Other daemons, in the order in which they are asked.
    struct ranked_peers {
        std::vector<std::string> local; ///< Of the own data centre.
        std::vector<std::string> remote;
    };

    ranked_peers rank_peers() const;
    std::vector<std::string> holders(std::size_t count) const;
    std::string next_writer();
    void send_pending();
    void send_record(const std::string& peer, const char* target);
    void send(const std::string& peer, client_request request, response_handler on_end);
    void on_record_response(std::uint64_t revision, const char* purpose, const call& ended);
    void on_query_response(const call& ended);
    bool take_own_record(const call& ended) const;

    relay_context& m_context;
    hooks m_hooks;
    std::optional<owner_record> m_pending; ///< It is not known to be stored.
    bool m_is_held = false;                ///< A peer has the pending record in memory.
    std::size_t m_store_requests = 0;      ///< Requests to write it, since the start.
    event_loop::timer_id m_send_timer = event_loop::no_timer;
    std::vector<std::shared_ptr<call>> m_calls;
    std::size_t m_unanswered_queries = 0;
    std::function<void()> m_on_query_end;
};

} // namespace galenaroad
