#include "soak/soak_link.h"

#include <Poco/Exception.h>
#include <algorithm>

namespace galenaroad {

namespace {

constexpr std::size_t max_held_bytes = std::size_t{256} * 1024;
// A limited rate passes small pieces, so that the receiver sees no long pauses.
constexpr std::size_t pieces_per_second = 10;

} // namespace

struct soak_link::pair {
    std::shared_ptr<byte_channel> near;
    std::shared_ptr<byte_channel> far;
    bool is_silent = false;
    bool has_lost = false;
    int delayed_forward = 0; ///< Pieces that have arrived and are not passed on yet.
    int delayed_backward = 0;

    byte_channel& source(direction way) const { return way == direction::forward ? *near : *far; }
    byte_channel& target(direction way) const { return way == direction::forward ? *far : *near; }
    int& delayed(direction way)
    {
        return way == direction::forward ? delayed_forward : delayed_backward;
    }
};

soak_link::soak_link(event_loop& loop, const std::string& address, std::string target)
    : m_loop(loop), m_target(std::move(target))
{
    m_socket.bind(Poco::Net::SocketAddress(address), true, false);
    m_socket.listen();
    m_socket.setBlocking(false);
    m_loop.watch(m_socket, socket_interest::read, [this](socket_readiness) { accept(); });
}

soak_link::~soak_link()
{
    m_loop.unwatch(m_socket);
    reset_all();
}

void soak_link::accept()
{
    try {
        auto made = std::make_shared<pair>();
        made->near = byte_channel::accept(m_loop, m_socket.acceptConnection());
        m_pairs.insert(made);
        connect(made);
    }
    catch (const Poco::Exception&) {
        // The other end has left already.
        return;
    }
}

void soak_link::connect(const std::shared_ptr<pair>& made)
{
    constexpr auto timeout = std::chrono::milliseconds(2000);
    made->far = byte_channel::connect(m_loop, m_target, timeout);
    const std::weak_ptr<pair> weak = made;
    const auto hooks_for = [this, weak](direction way) {
        byte_channel::hooks hooks;
        hooks.received = [this, weak, way](std::string_view bytes) {
            if (const auto through = weak.lock()) {
                pass(through, way, std::string(bytes));
            }
        };
        hooks.drained = [weak, way] {
            // The bytes sent by this end came from the other one.
            const auto other_way =
                way == direction::forward ? direction::backward : direction::forward;
            const auto through = weak.lock();
            if (through && through->delayed(other_way) == 0) {
                through->source(other_way).pause(false);
            }
        };
        hooks.ended = [this, weak](channel_end) {
            if (const auto through = weak.lock()) {
                close(through);
            }
        };
        return hooks;
    };
    made->near->set_hooks(hooks_for(direction::forward));
    made->far->set_hooks(hooks_for(direction::backward));
}

void soak_link::pass(const std::shared_ptr<pair>& through, direction way, std::string bytes)
{
    lane_of(way).passed += bytes.size();
    if (lane_of(way).is_cut || through->is_silent) {
        through->has_lost = true;
        return;
    }
    const auto piece_size =
        m_rate == 0 ? bytes.size() : std::max<std::size_t>(m_rate / pieces_per_second, 1);
    for (std::size_t begin = 0; begin < bytes.size(); begin += piece_size) {
        pass_piece(through, way, bytes.substr(begin, piece_size));
    }
}

void soak_link::pass_piece(const std::shared_ptr<pair>& through, direction way, std::string bytes)
{
    const auto delay = delay_for(way, bytes.size());
    const auto send = [through, way, bytes = std::move(bytes)] {
        auto& target = through->target(way);
        target.send(bytes);
        // A link holds little, so that a reader which is slow slows its writer down.
        const bool is_full = target.unsent() > max_held_bytes || through->delayed(way) > 0;
        through->source(way).pause(is_full);
    };
    if (delay.count() == 0) {
        send();
        return;
    }
    if (m_rate == 0) {
        m_loop.after(delay, send);
        return;
    }
    ++through->delayed(way);
    through->source(way).pause(true);
    m_loop.after(delay, [through, way, send] {
        --through->delayed(way);
        send();
    });
}

// Returns the time until bytes that have arrived now are passed on.
std::chrono::nanoseconds soak_link::delay_for(direction way, std::size_t bytes)
{
    if (m_rate == 0) {
        return m_delay;
    }
    const auto now = m_loop.time().steady_now();
    auto& free_at = lane_of(way).free_at;
    const std::chrono::duration<double> time(static_cast<double>(bytes) /
                                             static_cast<double>(m_rate));
    free_at = std::max(free_at, now) + std::chrono::duration_cast<std::chrono::nanoseconds>(time);
    return m_delay + (free_at - now);
}

void soak_link::close(const std::shared_ptr<pair>& through)
{
    if (through->is_silent) {
        return;
    }
    through->near->close();
    through->far->close();
    m_pairs.erase(through);
}

void soak_link::reset_all()
{
    for (const auto& each : m_pairs) {
        each->near->reset();
        each->far->reset();
    }
    m_pairs.clear();
}

void soak_link::silence_open()
{
    for (const auto& each : m_pairs) {
        each->is_silent = true;
    }
}

void soak_link::heal()
{
    m_delay = {};
    m_rate = 0;
    m_forward.is_cut = false;
    m_backward.is_cut = false;
    const auto pairs = m_pairs;
    for (const auto& each : pairs) {
        if (each->has_lost && !each->is_silent) {
            each->near->reset();
            each->far->reset();
            m_pairs.erase(each);
        }
    }
}

} // namespace galenaroad
