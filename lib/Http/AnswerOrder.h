//===- AnswerOrder.h - Requests and answers of a connection -----*- C++ -*-===//
//
// The answers to pipelined requests leave in the order of the requests. One that
// breaks off after some of it has left can only be told by the end of the
// connection, which takes along all that is owed behind it. So while an answer
// leaves in parts, no request behind it is passed on, and while requests behind it
// are in progress, an answer is held until it is whole. Decides without sockets.
//
//===----------------------------------------------------------------------===//
#pragma once

#include <concepts>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace pepperlug
{

/// A request that has arrived whole, and its answer.
struct OwedAnswer {
    bool isPassedOn = false;
    bool hasBegun = false;
    bool hasLeft = false; ///< in part at least
    bool isBrokenOff = false; ///< after some of it had left
    bool closesAfter = false;
    std::uint64_t bytes = 0; ///< of the whole answer, once it has begun
    std::uint64_t bytesToCome = 0; ///< of the body, not given yet
    std::string unsent; ///< what was given and has not left

    bool isWhole() const
    {
        return hasBegun && bytesToCome == 0;
    }
};

template <std::derived_from<OwedAnswer> T>
class AnswerOrder
{
public:
    using AnswerPtr = std::shared_ptr<T>;

    struct Bounds {
        /// Longest answer that is held for requests behind it. Behind a longer one they may be lost, once: from then on
        /// requests of the connection are passed on one at a time.
        std::uint64_t heldBytes = 0;
        std::size_t inProgress = 0; ///< requests that are passed on and have no whole answer
    };

    explicit AnswerOrder(const Bounds &bounds)
        : m_bounds(bounds)
    {
    }

    /// Adds a request behind all others.
    void add(AnswerPtr answer)
    {
        m_owed.push_back(std::move(answer));
    }

    /// Returns the first request that is not passed on yet and may be now; null if there is none.
    AnswerPtr nextToPassOn() const
    {
        const std::size_t atMost = m_isOneAtATime ? 1 : m_bounds.inProgress;
        std::size_t inProgress = 0;
        for (const AnswerPtr &it : m_owed) {
            if (!it->isPassedOn && !it->hasBegun) {
                return inProgress < atMost ? it : nullptr;
            }
            if (it->closesAfter || leavesInParts(*it)) {
                return nullptr;
            }
            inProgress += it->isWhole() ? 0 : 1;
        }
        return nullptr;
    }

    /// Begins an answer with its head, behind which `bytesToCome` bytes follow through give().
    static void begin(T &answer, std::string &&head, std::uint64_t bytesToCome, bool closesAfter)
    {
        answer.hasBegun = true;
        answer.closesAfter = closesAfter;
        answer.bytes = head.size() + bytesToCome;
        answer.bytesToCome = bytesToCome;
        answer.unsent = std::move(head);
    }

    static void give(T &answer, std::string_view part)
    {
        part = part.substr(0, answer.bytesToCome);
        answer.unsent.append(part);
        answer.bytesToCome -= part.size();
    }

    /// Breaks an answer off that is not whole. If nothing of it has left, the other one is sent in its place; otherwise
    /// the connection ends behind it. Returns whether it was replaced.
    static bool breakOff(T &answer, std::string inPlace, bool closesAfter)
    {
        if (!answer.hasLeft) {
            begin(answer, std::move(inPlace), 0, closesAfter);
            return true;
        }
        answer.bytesToCome = 0;
        answer.closesAfter = answer.isBrokenOff = true;
        return false;
    }

    /// Takes back what was begun. Returns whether it was: nothing of it may have left.
    static bool takeBack(T &answer)
    {
        const bool mayTakeBack = answer.hasBegun && !answer.hasLeft && !answer.isWhole();
        if (mayTakeBack) {
            answer.hasBegun = answer.closesAfter = false;
            answer.bytes = answer.bytesToCome = 0;
            answer.unsent.clear();
        }
        return mayTakeBack;
    }

    /// Returns the first answer if bytes of it have to leave now; null otherwise. The caller sends what is unsent. An
    /// answer that is whole is not owed any more. `mayHold`: there is memory to hold answers.
    AnswerPtr sendNext(bool mayHold)
    {
        if (m_owed.empty() || !m_owed.front()->hasBegun) {
            return nullptr;
        }
        AnswerPtr first = m_owed.front();
        if (first->isWhole()) {
            m_owed.pop_front();
        } else if (!first->hasLeft && hasPassedOnBehind(first.get())) {
            if (mayHold && first->bytes <= m_bounds.heldBytes) {
                return nullptr;
            }
            m_isOneAtATime = true;
        } else if (first->unsent.empty()) {
            return nullptr;
        }
        first->hasLeft = true;
        return first;
    }

    /// Returns whether a request behind this one has been passed on.
    bool hasPassedOnBehind(const T *answer) const
    {
        bool isBehind = false;
        for (const AnswerPtr &it : m_owed) {
            if (isBehind && it->isPassedOn) {
                return true;
            }
            isBehind |= it.get() == answer;
        }
        return false;
    }

    /// Returns what is owed, the first one in front.
    const std::deque<AnswerPtr> &owed() const
    {
        return m_owed;
    }

    std::deque<AnswerPtr> takeOwed()
    {
        return std::exchange(m_owed, {});
    }

private:
    bool leavesInParts(const T &answer) const
    {
        return answer.hasBegun && !answer.isWhole() && (answer.hasLeft || answer.bytes > m_bounds.heldBytes);
    }

    Bounds m_bounds;
    std::deque<AnswerPtr> m_owed;
    bool m_isOneAtATime = false;
};

} // namespace pepperlug
