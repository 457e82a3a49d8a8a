//===- ChunkCaller.h - A caller whose bodies come in chunks ------*- C++ -*-===//
#pragma once

#include "Ledger.h"

#include <boost/asio.hpp>

#include <random>
#include <thread>

namespace pepperlug::soak
{

/// Sends bodies in chunks that are split anywhere, over connections that it keeps while they are answered.
class ChunkCaller
{
public:
    ChunkCaller(Ledger &ledger, std::vector<Address> entryHosts, std::uint64_t seed);
    ~ChunkCaller();
    ChunkCaller(const ChunkCaller &) = delete;
    ChunkCaller &operator=(const ChunkCaller &) = delete;

private:
    using Socket = boost::asio::ip::tcp::socket;

    void run();
    /// Returns whether the connection goes on.
    bool call(Socket &socket, const Address &to);
    std::string inChunks(const std::string &body);
    void sendInPieces(Socket &socket, std::string_view bytes);
    static std::string readAnswer(Socket &socket);

    Ledger &m_ledger;
    std::vector<Address> m_entryHosts;
    std::mt19937_64 m_random;
    std::atomic<bool> m_stop{false};
    std::thread m_thread;
};

} // namespace pepperlug::soak
