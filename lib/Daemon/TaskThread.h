//===- TaskThread.h - Work that must not hold up a network thread -*- C++ -*-===//
#pragma once

#include "pepperlug/Support.h"

namespace pepperlug
{

/// Runs tasks one after the other on a thread of its own.
class TaskThread
{
public:
    TaskThread()
        : m_thread([this] { run(); })
    {
    }

    ~TaskThread()
    {
        stop();
    }

    TaskThread(const TaskThread &) = delete;
    TaskThread &operator=(const TaskThread &) = delete;

    void post(std::function<void()> task)
    {
        {
            const std::lock_guard lock(m_mutex);
            m_tasks.push_back(std::move(task));
        }
        m_wake.notify_one();
    }

    /// Drops tasks that have not begun.
    void stop()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_stop = true;
        }
        m_wake.notify_one();
        if (m_thread.joinable()) {
            m_thread.join();
        }
    }

private:
    void run()
    {
        std::unique_lock lock(m_mutex);
        for (;;) {
            m_wake.wait(lock, [this] { return m_stop || !m_tasks.empty(); });
            if (m_stop) {
                return;
            }
            const std::function<void()> task = std::move(m_tasks.front());
            m_tasks.pop_front();
            lock.unlock();
            task();
            lock.lock();
        }
    }

    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::deque<std::function<void()>> m_tasks;
    bool m_stop = false;
    std::thread m_thread;
};

/// Calls a function at a steady interval until it is stopped.
class Ticker
{
public:
    Ticker(Duration interval, std::function<void()> tick)
        : m_thread([this, interval, tick = std::move(tick)] { run(interval, tick); })
    {
    }

    ~Ticker()
    {
        stop();
    }

    Ticker(const Ticker &) = delete;
    Ticker &operator=(const Ticker &) = delete;

    void stop()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_stop = true;
        }
        m_wake.notify_one();
        if (m_thread.joinable()) {
            m_thread.join();
        }
    }

private:
    void run(Duration interval, const std::function<void()> &tick)
    {
        std::unique_lock lock(m_mutex);
        while (!m_wake.wait_for(lock, interval, [this] { return m_stop; })) {
            lock.unlock();
            tick();
            lock.lock();
        }
    }

    std::mutex m_mutex;
    std::condition_variable m_wake;
    bool m_stop = false;
    std::thread m_thread;
};

} // namespace pepperlug
