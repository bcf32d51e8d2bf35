#include "soak/soak_link.h"

#include <Poco/Exception.h>

namespace galenaroad {

namespace {

constexpr std::size_t max_held_bytes = std::size_t{256} * 1024;

} // namespace

struct soak_link::pair {
    std::shared_ptr<byte_channel> near;
    std::shared_ptr<byte_channel> far;
    bool is_silent = false;
    bool has_lost = false;
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
            if (const auto through = weak.lock()) {
                (way == direction::forward ? through->far : through->near)->pause(false);
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
    (way == direction::forward ? m_passed_forward : m_passed_backward) += bytes.size();
    const bool is_cut = way == direction::forward ? m_cut_forward : m_cut_backward;
    if (is_cut || through->is_silent) {
        through->has_lost = true;
        return;
    }
    const auto send = [through, way, bytes = std::move(bytes)] {
        const bool is_forward = way == direction::forward;
        auto& target = *(is_forward ? through->far : through->near);
        target.send(bytes);
        // A link holds little, so that a reader which is slow slows its writer down.
        (is_forward ? through->near : through->far)->pause(target.unsent() > max_held_bytes);
    };
    if (m_delay.count() == 0) {
        send();
        return;
    }
    m_loop.after(m_delay, send);
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
    m_cut_forward = false;
    m_cut_backward = false;
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
