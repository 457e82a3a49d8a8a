//===- StrictReader.h - Messages by the letter of RFC 9112 -------*- C++ -*-===//
//
// Reads whole bytes by the grammar alone and stops at the first deviation. Slow,
// and independent of what the product reads with.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "pepperlug/Http.h"

namespace pepperlug::test
{

struct ReadMessage {
    std::string start; ///< method and target, or status
    std::vector<HeaderField> headers;
    std::string body;

    bool operator==(const ReadMessage &rhs) const
    {
        const auto isSame = [](const HeaderField &lhs, const HeaderField &it) {
            return lhs.name == it.name && lhs.value == it.value;
        };
        return start == rhs.start && body == rhs.body
            && std::equal(headers.begin(), headers.end(), rhs.headers.begin(), rhs.headers.end(), isSame);
    }
};

/// Returns the requests up to the first that deviates or is not whole.
std::vector<ReadMessage> readRequestsStrictly(const std::string &bytes);
/// Returns the final answer if it is whole and does not deviate. The connection ends behind the bytes.
std::vector<ReadMessage> readAnswerStrictly(const std::string &bytes);

} // namespace pepperlug::test
