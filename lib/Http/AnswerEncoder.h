//===- AnswerEncoder.h - Answers as bytes ------------------------*- C++ -*-===//
//
// Writes what callers get. Fields that frame the message are written anew.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "pepperlug/Http.h"

namespace pepperlug
{

/// Bytes of an answer. `isHead`: the answer to HEAD, whose length is told and whose body is not sent.
std::string encodeAnswer(const Answer &answer, bool isHead, bool keepAlive);
/// The head of an answer whose body of `length` bytes is sent after it.
std::string encodeHead(const Answer &answer, std::uint64_t length, bool keepAlive);

} // namespace pepperlug
