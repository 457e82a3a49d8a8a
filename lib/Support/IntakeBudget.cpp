//===- IntakeBudget.cpp - Memory for bytes from outside -------------------===//
#include "IntakeBudget.h"

#include <algorithm>

namespace pepperlug
{

namespace
{

constexpr std::uint64_t ReservedPart = 8; ///< of which one is for small requests

bool isSmall(std::uint64_t bytes)
{
    return bytes <= IntakeBudget::SmallBytes;
}

std::uint64_t lessBy(std::uint64_t bytes, std::uint64_t by)
{
    return bytes - std::min(bytes, by);
}

} // namespace

IntakeBudget::IntakeBudget(std::uint64_t bytes)
    : m_bytes(bytes)
    , m_reserved(bytes / ReservedPart)
{
}

IntakeId IntakeBudget::add(TimePoint now)
{
    const std::uint64_t id = ++m_lastId;
    m_requests[id] = {.since = now, .progressAt = now};
    return static_cast<IntakeId>(id);
}

// A large request is always admitted while others hold no more than the room of small ones, so that what is within the
// limits of one request is served when nothing else goes on.
std::uint64_t IntakeBudget::missingBytes(const Request &request, std::uint64_t bytes) const
{
    const std::uint64_t others = m_held - request.bytes;
    if (isSmall(bytes)) {
        const std::uint64_t otherSmall = m_small - (isSmall(request.bytes) ? request.bytes : 0);
        return otherSmall + bytes <= m_reserved ? 0 : lessBy(others + bytes, m_bytes);
    }
    const std::uint64_t overAll = lessBy(others + bytes, m_bytes - m_reserved);
    return std::min(overAll, lessBy(others, m_reserved));
}

std::vector<IntakeId> IntakeBudget::victims(IntakeId id, std::uint64_t bytes, std::uint64_t missing,
                                            TimePoint now) const
{
    const auto paceOf = [&](const Request &it, std::uint64_t held) {
        return static_cast<double>(held) / std::max(secondsOf(now - it.since), secondsOf(StallTime));
    };
    const double ownPace = paceOf(m_requests.at(static_cast<std::uint64_t>(id)), bytes);
    struct Candidate {
        std::uint64_t id;
        std::uint64_t bytes;
        bool isStalled;
        double pace;
    };
    std::vector<Candidate> candidates;
    for (const auto &[other, it] : m_requests) {
        const bool isStalled = now - it.progressAt >= StallTime;
        const bool isSlower = now - it.since >= StallTime && paceOf(it, it.bytes) < ownPace;
        if (other != static_cast<std::uint64_t>(id) && !it.isWhole && it.bytes > 0 && (isStalled || isSlower)) {
            candidates.push_back({other, it.bytes, isStalled, paceOf(it, it.bytes)});
        }
    }
    std::ranges::sort(candidates, [](const Candidate &lhs, const Candidate &rhs) {
        if (lhs.isStalled != rhs.isStalled) {
            return lhs.isStalled;
        }
        return lhs.isStalled ? lhs.bytes > rhs.bytes : lhs.pace < rhs.pace;
    });
    std::vector<IntakeId> chosen;
    std::uint64_t freed = 0;
    for (const Candidate &it : candidates) {
        if (freed >= missing) {
            break;
        }
        freed += it.bytes;
        chosen.push_back(static_cast<IntakeId>(it.id));
    }
    // Nothing is given up in vain.
    return freed >= missing ? chosen : std::vector<IntakeId>();
}

bool IntakeBudget::hasRoomFor(IntakeId id, std::uint64_t bytes, TimePoint now) const
{
    const auto it = m_requests.find(static_cast<std::uint64_t>(id));
    if (it == m_requests.end()) {
        return false;
    }
    const std::uint64_t missing = missingBytes(it->second, bytes);
    return missing == 0 || !victims(id, bytes, missing, now).empty();
}

IntakeBudget::Verdict IntakeBudget::hold(IntakeId id, std::uint64_t bytes, TimePoint now)
{
    const auto it = m_requests.find(static_cast<std::uint64_t>(id));
    if (it == m_requests.end()) {
        return {false, {}};
    }
    Verdict verdict;
    const bool isMore = bytes > it->second.bytes;
    if (const std::uint64_t missing = isMore ? missingBytes(it->second, bytes) : 0; missing > 0) {
        verdict.givenUp = victims(id, bytes, missing, now);
        verdict.isAdmitted = !verdict.givenUp.empty();
        std::ranges::for_each(verdict.givenUp, [this](IntakeId other) { remove(other); });
    }
    if (verdict.isAdmitted) {
        Request &request = m_requests.at(static_cast<std::uint64_t>(id));
        set(request, bytes);
        request.progressAt = isMore ? now : request.progressAt;
    }
    return verdict;
}

void IntakeBudget::set(Request &request, std::uint64_t bytes)
{
    m_held += bytes - request.bytes; // unsigned: wraps where less is held than before
    m_small += (isSmall(bytes) ? bytes : 0) - (isSmall(request.bytes) ? request.bytes : 0);
    request.bytes = bytes;
}

void IntakeBudget::setWhole(IntakeId id)
{
    if (const auto it = m_requests.find(static_cast<std::uint64_t>(id)); it != m_requests.end()) {
        it->second.isWhole = true;
    }
}

void IntakeBudget::remove(IntakeId id)
{
    if (const auto it = m_requests.find(static_cast<std::uint64_t>(id)); it != m_requests.end()) {
        set(it->second, 0);
        m_requests.erase(it);
    }
}

} // namespace pepperlug
