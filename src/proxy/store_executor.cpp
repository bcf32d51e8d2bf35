#include "proxy/store_executor.h"

#include <utility>

namespace galenaroad {

store_executor::store_executor(int threads)
{
    for (int index = 0; index < threads; ++index) {
        m_threads.emplace_back([this] { run(); });
    }
}

store_executor::~store_executor()
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_stopping = true;
    }
    m_changed.notify_all();
    for (auto& thread : m_threads) {
        thread.join();
    }
}

bool store_executor::post(task work)
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (m_tasks.size() >= max_waiting) {
            return false;
        }
        m_tasks.push_back(std::move(work));
    }
    m_changed.notify_one();
    return true;
}

void store_executor::run()
{
    std::unique_lock<std::mutex> lock(m_mutex);
    while (true) {
        m_changed.wait(lock, [this] { return m_stopping || !m_tasks.empty(); });
        if (m_tasks.empty()) {
            return;
        }
        const auto next = std::move(m_tasks.front());
        m_tasks.pop_front();
        lock.unlock();
        next();
        lock.lock();
    }
}

} // namespace galenaroad
