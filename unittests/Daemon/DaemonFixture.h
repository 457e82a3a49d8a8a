//===- DaemonFixture.h - Hosts under a bundle over loopback -----*- C++ -*-===//
#pragma once

#include "pepperlug/Daemon.h"

#include <catch2/catch.hpp>

#include <filesystem>
#include <future>
#include <unistd.h>

namespace pepperlug::test
{

using namespace std::chrono_literals;

/// Upper bound of the wait for an event.
constexpr auto EventTimeout = 30s;
constexpr auto RetryInterval = 10ms;

/// Returns an address on a loopback network that no other test process uses, so that no port is taken.
inline Address addressOn(unsigned host, std::uint16_t port)
{
    constexpr unsigned Octet = 250;
    const auto pid = static_cast<unsigned>(getpid());
    return {"127." + std::to_string(1 + pid % Octet) + "." + std::to_string(1 + pid / Octet % Octet) + "."
                + std::to_string(host),
            port};
}

/// A folder for the data of a test, removed at its end.
class TemporaryFolder
{
public:
    TemporaryFolder()
        : m_path(std::filesystem::temp_directory_path() / ("pepperlug-" + randomHex(8)))
    {
        std::filesystem::create_directories(m_path);
    }

    ~TemporaryFolder()
    {
        std::filesystem::remove_all(m_path);
    }

    TemporaryFolder(const TemporaryFolder &) = delete;
    TemporaryFolder &operator=(const TemporaryFolder &) = delete;

    std::string at(const std::string &name) const
    {
        return (m_path / name).string();
    }

private:
    std::filesystem::path m_path;
};

template <typename Condition>
bool eventually(const Condition &condition)
{
    const auto end = std::chrono::steady_clock::now() + EventTimeout;
    while (std::chrono::steady_clock::now() < end) {
        if (condition()) {
            return true;
        }
        std::this_thread::sleep_for(RetryInterval);
    }
    return false;
}

/// Starts a call and does not wait for its end.
inline std::future<HttpResult> startCall(HttpClient &client, HttpCall call)
{
    auto promise = std::make_shared<std::promise<HttpResult>>();
    std::future<HttpResult> result = promise->get_future();
    client.start(std::move(call), [promise](HttpResult it) { promise->set_value(std::move(it)); });
    return result;
}

} // namespace pepperlug::test
