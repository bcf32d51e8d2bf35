#pragma once

#include "net/http_client.h"
#include "net/http_server.h"
#include "soak/soak_history.h"

#include <memory>
#include <random>
#include <string>

namespace galenaroad {

/// Stand-in for a platform's upstream: announces itself, runs requests and fails on demand.
class soak_upstream {
public:
    enum class fault { none, errors, hangs, resets, slow };

    /// Where the upstream is and how it announces itself.
    struct place {
        std::string owner;     ///< Name of the daemon beside it.
        std::string listen;    ///< Where it really listens.
        std::string announced; ///< As the daemon reaches it.
        std::string control;   ///< The daemon's address for heartbeats.
        std::string service;
        std::string data_centre;
    };

    soak_upstream(event_loop& loop, soak_history& history, place where, std::mt19937_64 random);
    soak_upstream(const soak_upstream&) = delete;
    soak_upstream& operator=(const soak_upstream&) = delete;
    soak_upstream(soak_upstream&&) = delete;
    soak_upstream& operator=(soak_upstream&&) = delete;
    ~soak_upstream();

    /// Changes how it fails.
    void set_fault(fault how) { m_fault = how; }

    /// Ends without notice and starts again with another id.
    void crash();

    /// Announces that it leaves, serves on for a while and starts again with another id.
    /// @param drains false to leave at once without having drained.
    void leave(bool drains);

    /// @param id the request's id.
    /// @return the body that belongs to the request.
    static std::string body_for(const std::string& id);

private:
    void beat();
    void send_beat(const std::string& method);
    void begin();
    void handle(const std::shared_ptr<server_exchange>& client);
    void answer(const std::shared_ptr<server_exchange>& client, const std::string& id,
                std::size_t run);
    std::chrono::milliseconds work_time();

    event_loop& m_loop;
    soak_history& m_history;
    place m_place;
    std::mt19937_64 m_random;
    http_client m_client;
    std::unique_ptr<http_server> m_server;
    std::shared_ptr<http_exchange> m_beat;
    event_loop::timer_id m_beat_timer = event_loop::no_timer;
    std::string m_id;
    fault m_fault = fault::none;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_born_ms = 0;
    int m_starts = 0;
    int m_running = 0;
    bool m_is_leaving = false;
    bool m_has_left = false;
};

} // namespace galenaroad
