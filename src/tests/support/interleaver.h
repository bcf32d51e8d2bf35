#pragma once

#include "base/random_engine.h"

#include <condition_variable>
#include <cstddef>
#include <functional>
#include <memory>
#include <mutex>
#include <vector>

namespace galenaroad {

/// Runs tasks on threads of their own, one at a time, and switches between them where they yield.
/// The order follows from the random engine alone, so that a seed repeats a run.
class interleaver {
public:
    /// @param random the engine; used by the running task only.
    explicit interleaver(random_engine& random);

    /// Adds a task before run().
    /// @param task the task.
    void add(std::function<void()> task);

    /// Runs all tasks to their ends.
    void run();

    /// Lets another task, or the same one, run next. Called by the running task.
    void yield();

    /// Lets the running task stand still while other tasks take a number of turns.
    /// @param turns the number of turns.
    void pause(std::size_t turns);

private:
    struct task_state {
        std::function<void()> work;
        std::condition_variable turn;
        std::size_t paused_turns = 0;
        bool finished = false;
    };

    void run_task(std::size_t index);
    std::size_t choose_next();

    random_engine& m_random;
    std::mutex m_mutex;
    std::vector<std::unique_ptr<task_state>> m_tasks;
    std::size_t m_current = 0;
};

} // namespace galenaroad
