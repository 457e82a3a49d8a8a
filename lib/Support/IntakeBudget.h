//===- IntakeBudget.h - Memory for bytes from outside ------------*- C++ -*-===//
//
// Counts what all requests together hold that arrive at a process or are in
// progress there, and decides which are given up when there is no room: those
// that make no progress, the largest first, and then those that come more slowly
// than the one that needs room. Small requests have room of their own. Pure.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "pepperlug/Support.h"

#include <unordered_map>

namespace pepperlug
{

class IntakeBudget
{
public:
    /// Longest request that is small: a usual head and a short body.
    static constexpr std::uint64_t SmallBytes = 32UL * 1024;
    /// A request that holds no more bytes than before for so long makes no progress. A sound caller on a slow link
    /// counts as one, too, which matters only while there is no room.
    static constexpr Duration StallTime = std::chrono::seconds(1);

    /// What came of a request for room.
    struct Verdict {
        bool isAdmitted = true;
        std::vector<IntakeId> givenUp; ///< these don't count any more and have to be released
    };

    explicit IntakeBudget(std::uint64_t bytes);

    /// Adds a request that begins to arrive.
    IntakeId add(TimePoint now);
    /// Returns whether a body of that length has room beside what is held, or could get it. Takes none.
    bool hasRoomFor(IntakeId id, std::uint64_t bytes, TimePoint now) const;
    /// Sets how many bytes a request holds. If it is not admitted, it holds as many as before.
    Verdict hold(IntakeId id, std::uint64_t bytes, TimePoint now);
    /// Records that a request has arrived whole. It may be in progress, so it is not given up from now on.
    void setWhole(IntakeId id);
    void remove(IntakeId id);

    std::uint64_t heldBytes() const
    {
        return m_held;
    }
    std::uint64_t smallBytes() const
    {
        return m_small;
    }
    /// Room that only small requests use.
    std::uint64_t reservedBytes() const
    {
        return m_reserved;
    }

private:
    struct Request {
        std::uint64_t bytes = 0;
        TimePoint since{};
        TimePoint progressAt{};
        bool isWhole = false;
    };
    using Requests = std::unordered_map<std::uint64_t, Request>;

    std::uint64_t missingBytes(const Request &request, std::uint64_t bytes) const;
    std::vector<IntakeId> victims(IntakeId id, std::uint64_t bytes, std::uint64_t missing, TimePoint now) const;
    void set(Request &request, std::uint64_t bytes);

    std::uint64_t m_bytes;
    std::uint64_t m_reserved;
    std::uint64_t m_held = 0;
    std::uint64_t m_small = 0; ///< of these, by small requests
    std::uint64_t m_lastId = 0;
    Requests m_requests;
};

} // namespace pepperlug
