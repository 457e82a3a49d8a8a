//===- PipelineCaller.h - Callers that don't wait for answers ---*- C++ -*-===//
#pragma once

#include "Ledger.h"

#include <boost/asio.hpp>

#include <random>
#include <thread>

namespace pepperlug::soak
{

/// Send pairs and threes of requests before the first answer has come, over connections that they keep.
class PipelineCallers
{
public:
    PipelineCallers(Ledger &ledger, std::vector<Address> entryHosts, unsigned threads, std::uint64_t seed);
    ~PipelineCallers();
    PipelineCallers(const PipelineCallers &) = delete;
    PipelineCallers &operator=(const PipelineCallers &) = delete;

private:
    using Socket = boost::asio::ip::tcp::socket;

    struct Connection {
        Socket socket;
        Address to;
        std::string read{}; ///< and not yet taken as a part of an answer
    };

    struct Request {
        std::string id;
        std::string text;
        bool isLarge = false;
        TimePoint sentAt{};
    };

    enum class ReadEnd : std::uint8_t { Whole, Ended, TimedOut };

    void run(std::uint64_t seed);
    /// Returns whether the connection goes on.
    bool callSome(Connection &connection, std::mt19937_64 &random);
    Request draw(const Address &to, std::mt19937_64 &random);
    static void send(Connection &connection, const std::vector<Request> &requests, std::mt19937_64 &random);
    static ReadEnd readAnswer(Connection &connection, std::string &answer);
    void check(const Request &request, const std::string &answer);
    void noteUnanswered(const Request &request, bool isBehind, ReadEnd how);

    Ledger &m_ledger;
    std::vector<Address> m_entryHosts;
    SteadyClock m_clock;
    std::atomic<bool> m_stop{false};
    std::vector<std::thread> m_threads;
};

} // namespace pepperlug::soak
