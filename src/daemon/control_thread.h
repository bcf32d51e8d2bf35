#pragma once

#include <chrono>
#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>

namespace galenaroad {

/// The thread that owns all control state. Other threads post tasks to its queue.
class control_thread {
public:
    using task = std::function<void()>;

    /// Tasks that may wait; observations beyond that are dropped.
    static constexpr std::size_t max_waiting = 16'384;

    /// @param interval time between two ticks.
    /// @param tick runs on the thread at each interval.
    control_thread(std::chrono::milliseconds interval, task tick);
    control_thread(const control_thread&) = delete;
    control_thread& operator=(const control_thread&) = delete;
    control_thread(control_thread&&) = delete;
    control_thread& operator=(control_thread&&) = delete;
    ~control_thread();

    /// Queues a task; always accepted.
    /// @param work the task.
    void post(task work);

    /// Queues a task that may be dropped when the thread is behind.
    /// @param work the task.
    void post_observation(task work);

    /// Runs a task on the thread and waits for its end.
    /// @param work the task.
    void run_and_wait(const task& work);

    /// Ends the thread after the tasks that are queued.
    void stop();

private:
    void run();
    void run_tasks(std::unique_lock<std::mutex>& lock);

    std::chrono::milliseconds m_interval;
    task m_tick;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<task> m_tasks;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace galenaroad
