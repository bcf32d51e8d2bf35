#include "experiment/quota_fleet.h"

#include <algorithm>

namespace galenaroad {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t datagram_head_bytes = 28;
constexpr auto probe_interval = 200ms;
constexpr auto max_start_delay = 300ms;

} // namespace

quota_fleet::quota_fleet(simulated_loop& loop, quota_fleet_settings settings)
    : m_loop(loop), m_settings(settings), m_random(settings.seed)
{
    for (std::size_t each = 0; each < m_settings.daemons; ++each) {
        add();
    }
}

void quota_fleet::lose_path(std::size_t a, std::size_t b)
{
    m_lost_paths.insert({std::min(a, b), std::max(a, b)});
}

std::size_t quota_fleet::add()
{
    const auto index = m_daemons.size();
    m_daemons.push_back(std::make_unique<daemon_state>());
    auto& daemon = *m_daemons.back();
    daemon.address = "daemon-" + std::to_string(index);
    daemon.region = index % m_settings.regions;
    daemon.is_member = true;
    m_indices[daemon.address] = index;
    announce(index, announced_state::ready);
    start(index);
    return index;
}

void quota_fleet::remove(std::size_t daemon)
{
    m_daemons[daemon]->is_member = false;
    announce(daemon, announced_state::left);
}

void quota_fleet::announce(std::size_t daemon, announced_state state)
{
    auto& owner = *m_daemons[daemon];
    owner_record record;
    record.address = owner.address;
    record.revision = ++owner.revision;
    record.state = state;
    m_records[record.address] = record;
    if (m_settings.shares_members) {
        m_shared_directory.merge(record);
        return;
    }
    for (std::size_t each = 0; each < m_daemons.size(); ++each) {
        if (each == daemon) {
            if (owner.is_running) {
                deliver_record(each, record);
            }
            continue;
        }
        send_record(daemon, each, record);
    }
}

// Repeated until the daemons reach each other.
void quota_fleet::send_record(std::size_t from, std::size_t to, const owner_record& record)
{
    at_daemon(to, random_time(m_settings.max_record_delay), [this, from, to, record](auto&) {
        if (is_reachable(from, to)) {
            deliver_record(to, record);
        }
        else {
            send_record(from, to, record);
        }
    });
}

void quota_fleet::deliver_record(std::size_t daemon, const owner_record& record)
{
    auto& state = *m_daemons[daemon];
    state.directory->merge(record);
    state.members->update(*state.directory, true, m_loop.steady_now());
}

void quota_fleet::start(std::size_t daemon)
{
    auto& state = *m_daemons[daemon];
    state.is_running = true;
    ++state.start;
    state.directory = std::make_unique<owner_directory>();
    state.members =
        m_settings.shares_members ? m_shared_members : std::make_shared<holder_members>();
    state.authority = std::make_unique<holder_authority>(*state.members, state.address);
    state.quotas = m_settings.shares_members ? decltype(m_quotas)() : m_quotas;
    quota_holder::hooks holder_hooks;
    const auto& quotas = m_settings.shares_members ? m_quotas : state.quotas;
    holder_hooks.quota = [&quotas](const auto& account) {
        const auto found = quotas.find(account);
        return found == quotas.end() ? std::nullopt : std::optional(found->second);
    };
    holder_hooks.ask.absence = [this, daemon](const auto& address) { probe(daemon, address); };
    holder_hooks.ask.handover = [this, daemon](const auto& address) {
        ask_handover(daemon, address);
    };
    state.holder = std::make_unique<quota_holder>(*state.authority, m_settings.tolerance,
                                                  std::move(holder_hooks));
    quota_client::hooks hooks;
    hooks.send = [this, daemon](const auto& route, const auto& question) {
        send_question(daemon, route, question);
    };
    hooks.schedule = [this, daemon](auto delay) {
        at_daemon(daemon, delay,
                  [this](auto& waking) { waking.client->on_timer(m_loop.steady_now()); });
    };
    state.client = std::make_unique<quota_client>(*state.members, m_settings.tolerance,
                                                  random_engine(m_random()), std::move(hooks));
    if (m_settings.shares_members) {
        state.members->update(m_shared_directory, true, m_loop.steady_now());
        return;
    }
    at_daemon(daemon, random_time(max_start_delay), [this](auto& started) {
        for (const auto& [address, record] : m_records) {
            started.directory->merge(record);
        }
        started.members->update(*started.directory, true, m_loop.steady_now());
    });
}

void quota_fleet::kill(std::size_t daemon)
{
    m_daemons[daemon]->is_running = false;
    ++m_daemons[daemon]->start;
}

void quota_fleet::suspend(std::size_t daemon, std::chrono::milliseconds length)
{
    m_daemons[daemon]->suspended_until = m_loop.steady_now() + length;
}

void quota_fleet::set_side(std::size_t daemon, int side)
{
    m_daemons[daemon]->side = side;
}

void quota_fleet::set_quota(const std::string& account, const account_quota& quota)
{
    m_quotas[account] = quota;
    if (m_settings.shares_members) {
        return;
    }
    for (std::size_t each = 0; each < m_daemons.size(); ++each) {
        at_daemon(each, random_time(m_settings.max_record_delay),
                  [account, quota](auto& daemon) { daemon.quotas[account] = quota; });
    }
}

// What a suspended daemon receives waits until it goes on.
void quota_fleet::at_daemon(std::size_t daemon, std::chrono::nanoseconds delay, action next)
{
    const auto start = m_daemons[daemon]->start;
    m_loop.after(delay, [this, daemon, start, next = std::move(next)] {
        auto& state = *m_daemons[daemon];
        if (!state.is_running || state.start != start) {
            return;
        }
        if (m_loop.steady_now() < state.suspended_until) {
            at_daemon(daemon, state.suspended_until - m_loop.steady_now(), next);
            return;
        }
        next(state);
    });
}

void quota_fleet::transfer(std::size_t from, std::size_t to, std::size_t bytes, action next)
{
    if (from == to) {
        at_daemon(to, 0ns, std::move(next));
        return;
    }
    const bool is_far = m_daemons[from]->region != m_daemons[to]->region;
    ++m_traffic.messages;
    m_traffic.bytes += bytes + datagram_head_bytes;
    m_traffic.region_messages += is_far ? 1 : 0;
    m_traffic.region_bytes += is_far ? bytes + datagram_head_bytes : 0;
    const bool is_lost = std::uniform_real_distribution<>(0, 1)(m_random) < m_settings.loss;
    if (!is_lost && is_reachable(from, to)) {
        at_daemon(to, delay_between(from, to), std::move(next));
    }
}

void quota_fleet::send_question(std::size_t from, const quota_route& route,
                                const quota_question& question)
{
    const auto to = index_of(route.address);
    const auto text = quota_message_codec::encode(question);
    if (route.via.empty()) {
        deliver_question(from, from, to, text);
        return;
    }
    const auto via = index_of(route.via);
    const auto forward = quota_message_codec::encode_forward(route.address, question);
    transfer(from, via, forward.size(),
             [this, from, via, to, text](auto&) { deliver_question(from, via, to, text); });
}

// The answer takes the same way back.
void quota_fleet::deliver_question(std::size_t from, std::size_t via, std::size_t to,
                                   const std::string& text)
{
    transfer(via, to, text.size(), [this, from, via, to, text](auto& asked) {
        record_contact(asked, via);
        const auto received = quota_message_codec::decode_question(text);
        const auto answer = asked.holder->answer(*received, m_loop.steady_now());
        if (!answer) {
            return;
        }
        const auto answer_text = quota_message_codec::encode(*answer);
        const auto accept = [this, to, answer_text](auto& asking) {
            record_contact(asking, to);
            asking.client->on_answer(*quota_message_codec::decode_answer(answer_text),
                                     m_loop.steady_now());
        };
        if (via == from) {
            transfer(to, from, answer_text.size(), accept);
            return;
        }
        transfer(to, via, answer_text.size(), [this, from, via, accept, answer_text](auto&) {
            transfer(via, from, answer_text.size(), accept);
        });
    });
}

void quota_fleet::record_contact(daemon_state& receiver, std::size_t sender) const
{
    if (receiver.address != m_daemons[sender]->address) {
        receiver.authority->record_contact(m_loop.steady_now());
    }
}

void quota_fleet::probe(std::size_t from, const std::string& address)
{
    const auto now = m_loop.steady_now();
    auto& last = m_daemons[from]->probed_at[address];
    if (now - last < probe_interval) {
        return;
    }
    last = now;
    const auto to = index_of(address);
    m_loop.after(delay_between(from, to), [this, from, to, address, now] {
        const bool is_cut_off = !is_reachable(from, to);
        if (is_cut_off ? !m_settings.cuts_refuse : m_daemons[to]->is_running) {
            return;
        }
        at_daemon(from, delay_between(from, to),
                  [address, now](auto& state) { state.authority->record_absence(address, now); });
    });
}

void quota_fleet::ask_handover(std::size_t from, const std::string& address)
{
    const auto to = index_of(address);
    const auto& record = m_records[m_daemons[from]->address];
    const auto question = quota_message_codec::encode_handover_question(record);
    transfer(from, to, question.size(), [this, from, to, record](auto& asked) {
        record_contact(asked, from);
        if (!m_settings.shares_members) {
            deliver_record(to, record);
        }
        const auto state = asked.authority->hand_over_to(record.address, m_loop.steady_now());
        const auto size = quota_message_codec::encode(handover_answer{state, asked.address}).size();
        transfer(to, from, size, [this, to, state](auto& asking) {
            record_contact(asking, to);
            asking.authority->record_handover(m_daemons[to]->address, state, m_loop.steady_now());
        });
    });
}

void quota_fleet::request(std::size_t daemon, const std::string& account, bool does_run,
                          const verdict_handler& on_verdict)
{
    const auto sent = m_loop.steady_now();
    at_daemon(daemon, 0ns, [=](auto& entry) {
        const auto handle = [=](const quota_verdict& verdict) {
            if (verdict.value == quota_verdict::decision::granted && does_run) {
                m_runs[account].push_back({sent, m_loop.steady_now()});
            }
            if (verdict.value == quota_verdict::decision::granted && !does_run) {
                const auto holder = verdict.holder;
                at_daemon(daemon, random_time(2s), [=](auto& returning) {
                    returning.client->give_back(account, holder, m_loop.steady_now());
                });
            }
            on_verdict(verdict);
            return true;
        };
        entry.client->request(account, handle, m_loop.steady_now());
    });
}

std::vector<std::size_t> quota_fleet::ranked(const std::string& account)
{
    owner_directory directory;
    for (const auto& [address, record] : m_records) {
        directory.merge(record);
    }
    holder_members members;
    members.update(directory, true, m_loop.steady_now());
    std::vector<std::size_t> result;
    for (const auto& address : members.ranked(account)) {
        result.push_back(index_of(address));
    }
    return result;
}

// A request counts in a window in which it was sent as well as started.
double quota_fleet::worst_excess(const std::string& account, const account_quota& quota) const
{
    const auto found = m_runs.find(account);
    const auto& tolerance = m_settings.tolerance;
    const std::chrono::duration<double> window = tolerance.window;
    const double limit =
        (quota.rate * window.count() + quota.burst) * (1 + tolerance.over) + tolerance.slack;
    double worst = -limit;
    if (found == m_runs.end()) {
        return worst;
    }
    auto runs = found->second;
    std::sort(runs.begin(), runs.end(), [](const run& a, const run& b) { return a.sent < b.sent; });
    for (auto first = runs.begin(); first != runs.end(); ++first) {
        const auto end = first->sent + tolerance.window;
        const auto last =
            std::find_if(first, runs.end(), [end](const run& each) { return each.sent > end; });
        const auto count =
            std::count_if(first, last, [end](const run& each) { return each.started <= end; });
        worst = std::max(worst, static_cast<double>(count) - limit);
    }
    return worst;
}

std::chrono::nanoseconds quota_fleet::random_time(std::chrono::nanoseconds max)
{
    std::uniform_int_distribution<std::int64_t> any(0, max.count());
    return std::chrono::nanoseconds(any(m_random));
}

std::chrono::nanoseconds quota_fleet::delay_between(std::size_t a, std::size_t b) const
{
    const bool is_far = m_daemons[a]->region != m_daemons[b]->region;
    return is_far ? std::chrono::nanoseconds(m_settings.region_delay)
                  : std::chrono::nanoseconds(m_settings.local_delay);
}

bool quota_fleet::is_reachable(std::size_t a, std::size_t b) const
{
    const bool is_lost_path = m_lost_paths.count({std::min(a, b), std::max(a, b)}) > 0;
    return m_daemons[a]->side == m_daemons[b]->side && !is_lost_path;
}

std::size_t quota_fleet::index_of(const std::string& address) const
{
    return m_indices.at(address);
}

} // namespace galenaroad
