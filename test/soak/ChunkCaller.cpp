//===- ChunkCaller.cpp - A caller whose bodies come in chunks -------------===//
#include "ChunkCaller.h"

#include "RawAnswer.h"

#include <sys/socket.h>

namespace pepperlug::soak
{

using namespace std::chrono_literals;

namespace
{

constexpr auto Pause = 20ms;
constexpr auto Patience = 3s;
constexpr std::uint64_t MaxBody = 12'000; ///< several times what a host reads at once
constexpr std::uint64_t MaxChunk = 1200;

} // namespace

ChunkCaller::ChunkCaller(Ledger &ledger, std::vector<Address> entryHosts, std::uint64_t seed)
    : m_ledger(ledger)
    , m_entryHosts(std::move(entryHosts))
    , m_random(seed)
    , m_thread([this] { run(); })
{
}

ChunkCaller::~ChunkCaller()
{
    m_stop = true;
    m_thread.join();
}

void ChunkCaller::run()
{
    boost::asio::io_context context;
    while (!m_stop) {
        const Address to = m_entryHosts[m_random() % m_entryHosts.size()];
        Socket socket(context);
        boost::system::error_code ec;
        socket.connect({boost::asio::ip::make_address(to.ip), to.port}, ec);
        const timeval timeout{std::chrono::duration_cast<std::chrono::seconds>(Patience).count(), 0};
        ::setsockopt(socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
        while (!ec && !m_stop && call(socket, to)) {
            std::this_thread::sleep_for(Pause);
        }
        std::this_thread::sleep_for(Pause);
    }
}

bool ChunkCaller::call(Socket &socket, const Address &to)
{
    constexpr std::size_t IdBytes = 8;
    constexpr unsigned BadRequest = 400;
    const std::string id = randomHex(IdBytes);
    const std::string body = "body of " + id + std::string(m_random() % MaxBody, 'b');
    m_ledger.sent(id, {false, body, to.text()});
    sendInPieces(socket,
                 "POST /once/" + id + " HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: " + id
                     + "\r\nX-Deadline-Ms: 3000\r\nTransfer-Encoding: chunked\r\n\r\n" + inChunks(body));
    const std::string answer = readAnswer(socket);
    const unsigned status = statusIn(answer);
    if (status == BadRequest) {
        m_ledger.fail("framing", id + " had a sound body in chunks and was told: " + answer);
    }
    const std::size_t end = answer.find(HeadEnd);
    const bool isWhole = end != std::string::npos && answer.substr(end + HeadEnd.size()) == Ledger::bodyOf(id);
    m_ledger.answered(id, status, isWhole);
    return status != 0 && answer.find("Connection: close") == std::string::npos;
}

std::string ChunkCaller::inChunks(const std::string &body)
{
    std::ostringstream bytes;
    bytes << std::hex;
    for (std::size_t at = 0; at < body.size();) {
        const std::size_t size = std::min<std::size_t>(body.size() - at, 1 + m_random() % MaxChunk);
        bytes << size << (m_random() % 4 == 0 ? ";part" : "") << "\r\n" << body.substr(at, size) << "\r\n";
        at += size;
    }
    bytes << (m_random() % 2 == 0 ? "0\r\n\r\n" : "0\r\nX-Trailer: 1\r\n\r\n");
    return bytes.str();
}

// A pause lets the host read what was sent before, so that it reads each piece by itself.
void ChunkCaller::sendInPieces(Socket &socket, std::string_view bytes)
{
    constexpr std::uint64_t Pieces = 4;
    boost::system::error_code ec;
    for (std::uint64_t left = 1 + m_random() % Pieces; left > 0 && !ec; --left) {
        const std::size_t size = left == 1 ? bytes.size() : m_random() % (bytes.size() + 1);
        boost::asio::write(socket, boost::asio::buffer(bytes.data(), size), ec);
        bytes.remove_prefix(size);
        std::this_thread::sleep_for(2ms);
    }
}

std::string ChunkCaller::readAnswer(Socket &socket)
{
    std::string answer;
    for (;;) {
        const std::optional<std::size_t> length = lengthOf(answer);
        if (length && answer.size() >= *length) {
            return answer;
        }
        std::array<char, 4096> buf{};
        // Not over the library, which would wait again after the timeout of the socket.
        const ssize_t size = ::recv(socket.native_handle(), buf.data(), buf.size(), 0);
        if (size <= 0) {
            return {};
        }
        answer.append(buf.data(), static_cast<std::size_t>(size));
    }
}

} // namespace pepperlug::soak
