#include "tests/support/interleaver.h"

#include <thread>
#include <utility>

namespace galenaroad {

interleaver::interleaver(random_engine& random) : m_random(random) {}

void interleaver::add(std::function<void()> task)
{
    m_tasks.push_back(std::make_unique<task_state>());
    m_tasks.back()->work = std::move(task);
}

void interleaver::run()
{
    m_current = choose_next();
    std::vector<std::thread> threads;
    threads.reserve(m_tasks.size());
    for (std::size_t i = 0; i < m_tasks.size(); ++i) {
        threads.emplace_back([this, i] { run_task(i); });
    }
    for (auto& thread : threads) {
        thread.join();
    }
}

void interleaver::yield()
{
    std::unique_lock lock(m_mutex);
    const auto self = m_current;
    m_current = choose_next();
    if (m_current != self) {
        m_tasks[m_current]->turn.notify_one();
        m_tasks[self]->turn.wait(lock, [&] { return m_current == self; });
    }
}

void interleaver::pause(std::size_t turns)
{
    {
        const std::lock_guard lock(m_mutex);
        m_tasks[m_current]->paused_turns = turns;
    }
    yield();
}

void interleaver::run_task(std::size_t index)
{
    auto& task = *m_tasks[index];
    {
        std::unique_lock lock(m_mutex);
        task.turn.wait(lock, [&] { return m_current == index; });
    }
    task.work();
    const std::lock_guard lock(m_mutex);
    task.finished = true;
    m_current = choose_next();
    if (m_current < m_tasks.size()) {
        m_tasks[m_current]->turn.notify_one();
    }
}

std::size_t interleaver::choose_next()
{
    std::vector<std::size_t> ready;
    std::size_t unfinished = m_tasks.size();
    for (std::size_t i = 0; i < m_tasks.size(); ++i) {
        if (m_tasks[i]->finished) {
            continue;
        }
        unfinished = i;
        if (m_tasks[i]->paused_turns > 0) {
            --m_tasks[i]->paused_turns;
            continue;
        }
        ready.push_back(i);
    }
    return ready.empty() ? unfinished : ready[m_random() % ready.size()];
}

} // namespace galenaroad
