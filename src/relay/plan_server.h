#pragma once

#include "net/http_server.h"
#include "relay/plan_change_source.h"
#include "relay/relay_context.h"

#include <cstddef>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <string>

namespace galenaroad {

/// Sends changes of the plan to peers, page by page.
///
/// A change of several pages goes to a few peers at a time; the others are told who has it already.
/// So the number of daemons that have it multiplies in the time of one transfer. All pages together
/// use a part of the instance's link only, since requests need it too.
class plan_server {
public:
    /// @param context shared state; must outlive the server.
    /// @param link_rate bytes a second of the instance's link; 0 when it is not known.
    plan_server(relay_context& context, std::size_t link_rate);
    plan_server(const plan_server&) = delete;
    plan_server& operator=(const plan_server&) = delete;
    plan_server(plan_server&&) = delete;
    plan_server& operator=(plan_server&&) = delete;
    ~plan_server();

    /// Responds to a request for a page.
    /// @param client the HTTP exchange.
    void handle_request(const std::shared_ptr<server_exchange>& client);

private:
    struct delayed_page {
        std::shared_ptr<server_exchange> client;
        shared_body body;
        steady_time send_at;
    };

    plan_change_source& find_source(const plan_page_request& request);
    bool admit(const std::string& peer);
    bool is_behind() const;
    void end_transfer(const std::string& peer, std::uint64_t version);
    void send_page(const std::shared_ptr<server_exchange>& client, const shared_body& body);
    void send_delayed();
    void refuse(server_exchange& client) const;

    relay_context& m_context;
    std::size_t m_rate;                      ///< Bytes a second for pages; 0 for no limit.
    std::list<plan_change_source> m_sources; ///< Most recently used first.
    /// Latest requests of the peers that get a change of several pages, by their address.
    std::map<std::string, steady_time> m_transfers;
    /// Peers that have got m_holders_version completely, the latest ones.
    std::deque<std::string> m_holders;
    std::uint64_t m_holders_version = 0;
    std::deque<delayed_page> m_delayed;
    steady_time m_free_at; ///< When the next page may be sent.
    event_loop::timer_id m_timer = event_loop::no_timer;
};

} // namespace galenaroad
