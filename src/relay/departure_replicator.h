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

/// Keeps the record of a departure at a few peers while the store does not confirm it, and asks
/// them for the record after a restart of this daemon.
///
/// A departure that has been acknowledged must outlive the process. The peers are the first ones of
/// an order that depends only on the addresses, so that a restarted daemon, which remembers
/// nothing, asks those that were told.
class departure_replicator {
public:
    /// Path of the requests between daemons.
    static constexpr const char* path = "/galenaroad/v1/departure";

    /// Callbacks of the user.
    struct hooks {
        /// A peer has stored the record of this revision or a later one.
        std::function<void(std::uint64_t revision)> replicated;
        /// A peer knows this record of this daemon, which may be of an earlier start.
        std::function<void(const owner_record& record)> found;
    };

    /// @param context shared state; must outlive this object.
    /// @param callbacks see hooks.
    departure_replicator(relay_context& context, hooks callbacks);

    departure_replicator(const departure_replicator&) = delete;
    departure_replicator& operator=(const departure_replicator&) = delete;
    departure_replicator(departure_replicator&&) = delete;
    departure_replicator& operator=(departure_replicator&&) = delete;
    ~departure_replicator();

    /// Sends a record to peers if the store does not confirm it soon, until a peer has it.
    /// @param record the record of a departure.
    void replicate(const owner_record& record);

    /// Called when the store has confirmed a record.
    /// @param revision its revision.
    void on_stored(std::uint64_t revision);

    /// Asks peers for the record of this daemon.
    /// @param on_end called once, when all of them have responded or the time is over.
    void query(std::function<void()> on_end);

    /// Handles a request of a peer.
    /// @param context shared state.
    /// @param client the request.
    /// @param on_record called with the record that the peer has sent.
    static void handle(const relay_context& context, const std::shared_ptr<server_exchange>& client,
                       const std::function<void(const owner_record&)>& on_record);

private:
    /// One request to a peer, and what has been received of its response.
    struct call {
        std::shared_ptr<http_exchange> exchange;
        std::string body;
        int status = 0; ///< 0 for a call that has failed.

        void append(std::string_view bytes);
    };

    using response_handler = std::function<void(const call& ended)>;

    std::vector<std::string> holders(std::size_t count) const;
    void send_pending();
    void send(const std::string& peer, client_request request, response_handler on_end);
    void on_replicate_response(std::uint64_t revision, const call& ended);
    void on_query_response(const call& ended);
    bool take_own_record(const call& ended) const;

    relay_context& m_context;
    hooks m_hooks;
    std::optional<owner_record> m_pending; ///< Neither the store nor a peer has confirmed it.
    event_loop::timer_id m_send_timer = event_loop::no_timer;
    std::vector<std::shared_ptr<call>> m_calls;
    std::size_t m_unanswered_queries = 0;
    std::function<void()> m_on_query_end;
};

} // namespace galenaroad
