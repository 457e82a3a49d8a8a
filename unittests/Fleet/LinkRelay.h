//===- LinkRelay.h - A bad link between an entry and its control host -*- C++ -*-===//
#pragma once

#include "Fleet/FleetMessages.h"
#include "pepperlug/Wire.h"

namespace pepperlug::fleet::test
{

/// Passes an entry host's calls on to a control host; the replies queue on a link that is slow, long or cut as told.
class LinkRelay
{
public:
    LinkRelay(const Address &listen, Address control);
    ~LinkRelay();
    LinkRelay(const LinkRelay &) = delete;
    LinkRelay &operator=(const LinkRelay &) = delete;

    /// Bytes that the link carries in a second; 0 for any number.
    void setRate(std::uint64_t bytesPerSecond);
    /// Time that each reply needs besides.
    void setDelay(Milliseconds delay);
    /// Nothing passes any more.
    void cut();
    /// Bytes of all replies so far.
    std::uint64_t bytes() const;

private:
    struct Waiting {
        IncomingCallPtr call;
        unsigned status = 0;
        std::string body;
    };

    void pass(const IncomingCallPtr &call);
    void queue(const IncomingCallPtr &call, const PeerReply &reply);
    std::string throughThisLink(const std::string &path, const std::string &body) const;
    void run();

    Address m_listen;
    Address m_control;
    mutable std::mutex m_mutex;
    std::condition_variable m_wake;
    std::uint64_t m_bytesPerSecond = 0;
    Milliseconds m_delay{};
    bool m_isCut = false;
    bool m_stop = false;
    std::uint64_t m_bytes = 0;
    std::chrono::steady_clock::time_point m_freeAt{}; ///< when the link has carried all that was queued
    std::multimap<std::chrono::steady_clock::time_point, Waiting> m_waiting; ///< by the time of arrival
    PeerNet m_net;
    std::thread m_thread;
};

} // namespace pepperlug::fleet::test
