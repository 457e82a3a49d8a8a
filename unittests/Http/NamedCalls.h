//===- NamedCalls.h - Calls whose answers name them, in tests ---*- C++ -*-===//
#pragma once

#include "ClientCalls.h"

#include <algorithm>

namespace pepperlug::test
{

/// A call that goes on behind answers to others.
inline HttpCall namedCallTo(const Address &to, const std::string &name, const std::string &method = "POST")
{
    HttpCall call = callTo(to, method);
    call.headers.push_back({"X-Request-Id", name});
    call.name = name;
    call.nameIn = [](const std::vector<HeaderField> &headers) {
        const auto it = std::ranges::find_if(headers, [](const auto &field) { return field.name == "X-Request-Id"; });
        return it == headers.end() ? std::string() : it->value;
    };
    call.acceptsHead = [name, nameIn = call.nameIn](const std::vector<HeaderField> &headers) {
        return nameIn(headers) == name;
    };
    return call;
}

} // namespace pepperlug::test
