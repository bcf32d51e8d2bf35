#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace galenaroad {

/// Threads for calls to the platform's stores that a request must not wait for.
///
/// A slow table service then holds these threads and not those that serve callers.
class store_executor {
public:
    using task = std::function<void()>;

    /// Tasks that may wait; beyond that the store is treated as unavailable.
    static constexpr std::size_t max_waiting = 1024;

    /// @param threads the number of threads.
    explicit store_executor(int threads);
    store_executor(const store_executor&) = delete;
    store_executor& operator=(const store_executor&) = delete;
    store_executor(store_executor&&) = delete;
    store_executor& operator=(store_executor&&) = delete;
    /// Carries out all tasks that wait, then ends the threads.
    ~store_executor();

    /// Queues a task.
    /// @param work the task.
    /// @return false when too many tasks wait; the task is then dropped.
    bool post(task work);

private:
    void run();

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<task> m_tasks;
    bool m_stopping = false;
    std::vector<std::thread> m_threads;
};

} // namespace galenaroad
