//===- HeldPolls.h - Polls that a stub control host holds -------*- C++ -*-===//
#pragma once

#include "Fleet/FleetMessages.h"
#include "Fleet/System.h"
#include "pepperlug/Wire.h"

namespace pepperlug::fleet::test
{

/// Holds polls as a control host does: replies at once if there are updates, otherwise after the maximum wait.
class HeldPolls
{
public:
    using HasUpdates = std::function<bool(const FleetWatchCall &request)>;
    using MakeReply = std::function<FleetWatchReply(const FleetWatchCall &request)>;

    HeldPolls(HasUpdates hasUpdates, MakeReply makeReply)
        : m_hasUpdates(std::move(hasUpdates))
        , m_makeReply(std::move(makeReply))
    {
        m_thread = std::thread([this] { run(); });
    }

    ~HeldPolls()
    {
        m_stop = true;
        m_thread.join();
    }

    HeldPolls(const HeldPolls &) = delete;
    HeldPolls &operator=(const HeldPolls &) = delete;

    void add(const IncomingCallPtr &call)
    {
        const auto request = decode<FleetWatchCall>(call->body(), call->peer());
        const std::lock_guard lock(m_mutex);
        m_held.push_back({call, request, std::chrono::steady_clock::now() + request.maxWait});
    }

    std::atomic<bool> isPaused{false}; ///< replies to no poll

private:
    struct Held {
        IncomingCallPtr call;
        FleetWatchCall request;
        std::chrono::steady_clock::time_point until;
    };

    bool isDue(const Held &held) const
    {
        return !isPaused && (m_hasUpdates(held.request) || std::chrono::steady_clock::now() >= held.until);
    }

    void run()
    {
        while (!m_stop) {
            {
                const std::lock_guard lock(m_mutex);
                std::erase_if(m_held, [this](const Held &held) {
                    const bool isReplied = isDue(held);
                    if (isReplied) {
                        held.call->reply(200, encode(m_makeReply(held.request)));
                    }
                    return isReplied;
                });
            }
            std::this_thread::sleep_for(RetryInterval);
        }
    }

    HasUpdates m_hasUpdates;
    MakeReply m_makeReply;
    std::mutex m_mutex;
    std::vector<Held> m_held;
    std::atomic<bool> m_stop{false};
    std::thread m_thread;
};

} // namespace pepperlug::fleet::test
