//===- ClientCalls.h - Calls of the HTTP client in tests --------*- C++ -*-===//
#pragma once

#include "pepperlug/Http.h"

#include <future>

namespace pepperlug::test
{

constexpr std::size_t MaxAnswerBytes = 1 << 20;
inline const std::string Answer200 = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: keep-alive\r\n\r\nok";

inline HttpCall callTo(const Address &to, const std::string &method = "GET")
{
    HttpCall call;
    call.to = to;
    call.method = method;
    call.resource = "/x";
    call.headers = {{"Host", "h"}};
    call.timeout = std::chrono::seconds(5);
    return call;
}

inline HttpResult callAndWait(HttpClient &client, HttpCall call)
{
    std::promise<HttpResult> promise;
    client.start(std::move(call), [&promise](HttpResult it) { promise.set_value(std::move(it)); });
    return promise.get_future().get();
}

} // namespace pepperlug::test
