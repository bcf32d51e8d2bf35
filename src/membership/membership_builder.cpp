#include "membership/membership_builder.h"

#include <stdexcept>
#include <utility>

namespace galenaroad {

namespace {

constexpr unsigned random_bits = 20;

// The start time is in the high bits, so that a restarted daemon has a higher incarnation. The
// random low bits distinguish two daemons that start in the same millisecond.
std::uint64_t new_incarnation(const clock& source, random_engine& engine)
{
    const auto since_epoch = source.system_now().time_since_epoch();
    const auto started = std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count();
    const auto low = engine() & ((1U << random_bits) - 1U);
    return (static_cast<std::uint64_t>(started) << random_bits) | low;
}

} // namespace

membership_builder& membership_builder::name(std::string name)
{
    m_identity.name = std::move(name);
    return *this;
}

membership_builder& membership_builder::peer_address(std::string address)
{
    m_identity.peer_address = std::move(address);
    return *this;
}

membership_builder& membership_builder::location(data_centre location)
{
    m_location = std::move(location);
    return *this;
}

membership_builder& membership_builder::settings(membership_settings values)
{
    m_settings = std::move(values);
    return *this;
}

membership_builder& membership_builder::hooks(membership_hooks values)
{
    m_hooks = std::move(values);
    return *this;
}

membership_builder& membership_builder::time(const clock& source)
{
    m_clock = &source;
    return *this;
}

membership_builder& membership_builder::random(random_engine& engine)
{
    m_random = &engine;
    return *this;
}

std::unique_ptr<membership> membership_builder::build()
{
    if (m_clock == nullptr || m_random == nullptr || m_identity.name.empty()) {
        throw std::logic_error("membership needs a name, a clock and a random engine");
    }
    m_identity.location = std::make_shared<const data_centre>(m_location);
    m_identity.incarnation = new_incarnation(*m_clock, *m_random);
    return std::unique_ptr<membership>(
        new membership(m_identity, m_settings, m_hooks, *m_clock, *m_random));
}

} // namespace galenaroad
