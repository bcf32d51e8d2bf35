#pragma once

#include "net/byte_channel.h"

#include <Poco/Net/ServerSocket.h>
#include <functional>
#include <memory>
#include <set>
#include <string>

namespace galenaroad {

/// Loopback proxy that disturbs the connections through it.
class soak_link {
public:
    enum class direction { forward, backward };

    /// @param loop the loop; must outlive the link.
    /// @param address where it listens.
    /// @param target where it connects to.
    soak_link(event_loop& loop, const std::string& address, std::string target);
    soak_link(const soak_link&) = delete;
    soak_link& operator=(const soak_link&) = delete;
    soak_link(soak_link&&) = delete;
    soak_link& operator=(soak_link&&) = delete;
    ~soak_link();

    /// Delays all bytes.
    void delay(std::chrono::milliseconds time) { m_delay = time; }

    /// Limits how many bytes pass in each direction and second, over all connections.
    /// @param bytes_per_second the limit; 0 for none.
    void limit_rate(std::size_t bytes_per_second) { m_rate = bytes_per_second; }

    /// Resets all open connections.
    void reset_all();

    /// Loses all bytes of one direction, of new connections too.
    void cut(direction way) { lane_of(way).is_cut = true; }

    /// Makes the open connections silent for good, while new ones work.
    void silence_open();

    /// @return bytes of one direction that have arrived at the link so far.
    std::size_t passed(direction way) const
    {
        return way == direction::forward ? m_forward.passed : m_backward.passed;
    }

    /// Ends delays and cuts; connections that lost bytes are reset.
    void heal();

private:
    struct pair;

    /// What has passed in one direction, and when the limited rate admits more.
    struct lane {
        std::size_t passed = 0;
        steady_time free_at;
        bool is_cut = false;
    };

    lane& lane_of(direction way) { return way == direction::forward ? m_forward : m_backward; }
    std::chrono::nanoseconds delay_for(direction way, std::size_t bytes);
    void accept();
    void connect(const std::shared_ptr<pair>& made);
    void pass(const std::shared_ptr<pair>& through, direction way, std::string bytes);
    void pass_piece(const std::shared_ptr<pair>& through, direction way, std::string bytes);
    void close(const std::shared_ptr<pair>& through);

    event_loop& m_loop;
    std::string m_target;
    Poco::Net::ServerSocket m_socket;
    std::set<std::shared_ptr<pair>> m_pairs;
    std::chrono::milliseconds m_delay{0};
    std::size_t m_rate = 0; ///< Bytes a second in each direction; 0 for no limit.
    lane m_forward;
    lane m_backward;
};

} // namespace galenaroad
