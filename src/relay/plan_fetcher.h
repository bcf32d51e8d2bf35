#pragma once

#include "base/random_engine.h"
#include "net/http_client.h"
#include "relay/plan_page.h"
#include "relay/relay_context.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <vector>

namespace galenaroad {

/// Fetches newer plans from the peers that have reported them: only what has changed, page by page.
///
/// One page is fetched at a time, from the peer that has sent the page before. A peer that does not
/// respond or sends pages to others already costs a short time only: another peer that has the same
/// version continues with the same page.
class plan_fetcher {
public:
    /// Callbacks of the fetcher.
    struct hooks {
        /// Puts the version that results from a change in force; returns false when the change
        /// does not lead from the plan in force to what the peer has.
        std::function<bool(const staged_plan& staged, const std::string& peer)> change;
        /// Called with the address of a peer that does not respond.
        std::function<void(const std::string& peer)> unreachable;
    };

    /// @param context shared state; must outlive the fetcher.
    /// @param callbacks see hooks.
    /// @param random source of the delays after which refused requests are repeated.
    plan_fetcher(relay_context& context, hooks callbacks, random_engine random);
    plan_fetcher(const plan_fetcher&) = delete;
    plan_fetcher& operator=(const plan_fetcher&) = delete;
    plan_fetcher(plan_fetcher&&) = delete;
    plan_fetcher& operator=(plan_fetcher&&) = delete;
    ~plan_fetcher();

    /// Handles a plan version reported by a peer: fetches the plan unless it is known.
    /// @param version the plan's version.
    /// @param peer the peer's address.
    void on_newer_version(std::uint64_t version, const std::string& peer);

    /// Called when a newer plan from another source is in force.
    void on_plan_changed();

private:
    /// A peer that has reported a newer plan.
    struct holder {
        std::string peer;
        std::uint64_t version = 0;
        int attempts = 0; ///< Requests in turn that did not bring the wanted page.
        steady_time busy_until;
    };

    /// A request for a page that has not been completed.
    struct pending_request {
        std::string peer;
        plan_page_request request;
        steady_time sent_at;
        int status = 0;
        std::string response_body;
        std::shared_ptr<http_exchange> call;
    };

    using request_iterator = std::list<pending_request>::iterator;

    std::uint64_t known_version() const;
    void add_holder(const std::string& peer, std::uint64_t version);
    holder* find_holder(const std::string& peer);
    holder* choose_holder();
    bool has_usable_holder() const;
    void request_page();
    void request_page_later(std::chrono::milliseconds delay);
    bool make_room();
    void send(holder& chosen);
    void on_response(request_iterator pending);
    void on_failed(request_iterator pending);
    void on_refused(const pending_request& finished);
    void on_page(const plan_page& page, const std::string& peer);
    bool continues_change(const plan_page& page) const;
    void add_page(const plan_page& page);
    void finish_change(const std::string& peer);
    void cancel_requests();
    void reset_change();

    relay_context& m_context;
    hooks m_hooks;
    random_engine m_random;
    std::uint64_t m_wanted_version = 0; ///< The newest reported version.
    std::vector<holder> m_holders;      ///< The most recent ones.
    std::string m_latest_sender;        ///< Peer that has sent the page before.
    staged_plan m_change;               ///< The pages received so far; version 0 without one.
    std::string m_position;             ///< Where the wanted page begins.
    steady_time m_began_at;             ///< When the first page was asked for.
    int m_pages = 0;
    bool m_needs_whole = false; ///< Changes did not lead to what the peers have.
    std::list<pending_request> m_requests;
    /// Until the wanted page is asked for at another holder.
    event_loop::timer_id m_timer = event_loop::no_timer;
};

} // namespace galenaroad
