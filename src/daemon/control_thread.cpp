#include "daemon/control_thread.h"

#include <future>
#include <utility>

namespace galenaroad {

control_thread::control_thread(std::chrono::milliseconds interval, task tick)
    : m_interval(interval), m_tick(std::move(tick)), m_thread([this] { run(); })
{
}

control_thread::~control_thread()
{
    stop();
}

void control_thread::post(task work)
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_tasks.push_back(std::move(work));
    }
    m_changed.notify_one();
}

void control_thread::post_observation(task work)
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (m_tasks.size() >= max_waiting) {
            return;
        }
        // Observations wait for the next tick: a wake-up per request would cost control time.
        m_tasks.push_back(std::move(work));
    }
}

void control_thread::run_and_wait(const task& work)
{
    std::promise<void> done;
    post([&] {
        work();
        done.set_value();
    });
    done.get_future().wait();
}

void control_thread::stop()
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_stopping = true;
    }
    m_changed.notify_one();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void control_thread::run()
{
    auto next_tick = std::chrono::steady_clock::now();
    std::unique_lock<std::mutex> lock(m_mutex);
    while (!m_stopping) {
        m_changed.wait_until(lock, next_tick);
        run_tasks(lock);
        if (std::chrono::steady_clock::now() < next_tick) {
            continue;
        }
        lock.unlock();
        m_tick();
        lock.lock();
        next_tick = std::chrono::steady_clock::now() + m_interval;
    }
    run_tasks(lock);
}

void control_thread::run_tasks(std::unique_lock<std::mutex>& lock)
{
    auto tasks = std::exchange(m_tasks, {});
    lock.unlock();
    for (const auto& each : tasks) {
        each();
    }
    lock.lock();
}

} // namespace galenaroad
