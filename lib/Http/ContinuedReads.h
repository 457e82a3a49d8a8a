//===- ContinuedReads.h - Answers behind those to other calls ---*- C++ -*-===//
//
// A surplus answer to an earlier call may arrive on a connection in the place of
// the next one, which follows. The library ends a call with the first answer, so
// the socket is taken from it then, and read on to the call's own answer.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "Transfer.h"

namespace pepperlug
{

class ContinuedReads
{
public:
    ContinuedReads();
    ~ContinuedReads();
    ContinuedReads(const ContinuedReads &) = delete;
    ContinuedReads &operator=(const ContinuedReads &) = delete;

    /// Readable when onReady() has something to do.
    int descriptor() const
    {
        return m_epoll;
    }

    /// Reads on for a call whose socket was taken from the library.
    void add(std::unique_ptr<Transfer> transfer);
    /// Reads what has arrived.
    void onReady();
    /// Goes on with the calls that want more of their answers again.
    void resumePaused();
    /// Whether calls wait until they want more.
    bool hasPaused() const;
    /// Removes a call, whose socket is closed with it. Returns null if there is none of that id.
    std::unique_ptr<Transfer> take(HttpCallId id);
    /// Returns the call that holds most of a body of unknown length; null if there are no calls.
    Transfer *longestUnsized();
    void clear()
    {
        m_reads.clear();
    }
    /// Returns the calls that have ended, or whose time has passed, with their results.
    std::vector<std::pair<std::unique_ptr<Transfer>, HttpResult>> takeEnded(TimePoint now);
    /// Returns how long no call runs out of time; nothing if there are none.
    std::optional<Milliseconds> untilNextTimeout(TimePoint now) const;

private:
    struct Read {
        std::unique_ptr<Transfer> transfer;
        std::optional<CURLcode> end; ///< the result, as a code of libcurl
        bool isPaused = false; ///< until the call wants the next part
    };

    int watch(int operation, const Read &read) const;
    void readSome(Read &read) const;
    static void finish(Read &read, int error);

    int m_epoll;
    std::map<HttpCallId, Read> m_reads;
};

} // namespace pepperlug
