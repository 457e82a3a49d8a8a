//===- PipelineCaller.cpp - Callers that don't wait for answers -----------===//
#include "PipelineCaller.h"

#include "Actors.h"
#include "RawAnswer.h"

#include <sys/socket.h>

namespace pepperlug::soak
{

using namespace std::chrono_literals;

namespace
{

constexpr auto Pause = 10ms;
constexpr auto Patience = 3s;
/// Time of the routes; a host may end what takes longer.
constexpr auto RouteTime = 2s;

} // namespace

PipelineCallers::PipelineCallers(Ledger &ledger, std::vector<Address> entryHosts, unsigned threads, std::uint64_t seed)
    : m_ledger(ledger)
    , m_entryHosts(std::move(entryHosts))
{
    for (unsigned n = 0; n < threads; ++n) {
        m_threads.emplace_back([this, seed, n] { run(seed + n); });
    }
}

PipelineCallers::~PipelineCallers()
{
    m_stop = true;
    for (std::thread &it : m_threads) {
        it.join();
    }
}

void PipelineCallers::run(std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    boost::asio::io_context context;
    while (!m_stop) {
        Connection connection{Socket(context), m_entryHosts[random() % m_entryHosts.size()]};
        boost::system::error_code ec;
        connection.socket.connect({boost::asio::ip::make_address(connection.to.ip), connection.to.port}, ec);
        const timeval timeout{std::chrono::duration_cast<std::chrono::seconds>(Patience).count(), 0};
        ::setsockopt(connection.socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
        while (!ec && !m_stop && callSome(connection, random)) {
            std::this_thread::sleep_for(Pause);
        }
        std::this_thread::sleep_for(Pause);
    }
}

bool PipelineCallers::callSome(Connection &connection, std::mt19937_64 &random)
{
    std::vector<Request> requests;
    for (std::uint64_t left = 2 + random() % 2; left > 0; --left) {
        requests.push_back(draw(connection.to, random));
    }
    send(connection, requests, random);
    ReadEnd how = ReadEnd::Whole;
    for (std::size_t n = 0; n < requests.size(); ++n) {
        std::string answer;
        if (how == ReadEnd::Whole) {
            how = readAnswer(connection, answer);
        }
        if (how == ReadEnd::Whole) {
            check(requests[n], answer);
        } else {
            noteUnanswered(requests[n], n > 0, how);
        }
    }
    if (how == ReadEnd::Whole && !connection.read.empty()) {
        m_ledger.fail("mixed", "bytes behind the answer to " + requests.back().id + ", where no request waits");
        return false;
    }
    return how == ReadEnd::Whole;
}

PipelineCallers::Request PipelineCallers::draw(const Address &to, std::mt19937_64 &random)
{
    constexpr std::size_t IdBytes = 8;
    constexpr unsigned Kinds = 4;
    const std::string id = randomHex(IdBytes);
    const std::uint64_t kind = random() % Kinds;
    const bool isLarge = kind == 0;
    const bool isWrite = kind == 1;
    const std::string body = isWrite ? "body of " + id : std::string();
    const std::string path = isWrite ? "POST /once/" : std::string("GET ") + (isLarge ? LargePrefix : "/read/");
    m_ledger.sent(id, {!isWrite, body, to.text()});
    return {id,
            path + id + " HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: " + id
                + "\r\nX-Deadline-Ms: 3000\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body,
            isLarge, m_clock.now()};
}

// All at once, or the first ahead of the others.
void PipelineCallers::send(Connection &connection, const std::vector<Request> &requests, std::mt19937_64 &random)
{
    constexpr unsigned MostMilliseconds = 10;
    std::string rest;
    for (std::size_t n = 1; n < requests.size(); ++n) {
        rest += requests[n].text;
    }
    boost::system::error_code ec; // reading tells that the connection has ended
    if (random() % 2 == 0) {
        boost::asio::write(connection.socket, boost::asio::buffer(requests.front().text + rest), ec);
        return;
    }
    boost::asio::write(connection.socket, boost::asio::buffer(requests.front().text), ec);
    std::this_thread::sleep_for(Milliseconds(random() % MostMilliseconds));
    boost::asio::write(connection.socket, boost::asio::buffer(rest), ec);
}

PipelineCallers::ReadEnd PipelineCallers::readAnswer(Connection &connection, std::string &answer)
{
    for (;;) {
        const std::optional<std::size_t> length = lengthOf(connection.read);
        if (length && connection.read.size() >= *length) {
            answer = connection.read.substr(0, *length);
            connection.read.erase(0, *length);
            return ReadEnd::Whole;
        }
        std::array<char, 65536> buf{};
        // Not over the library, which would wait again after the timeout of the socket.
        const ssize_t size = ::recv(connection.socket.native_handle(), buf.data(), buf.size(), 0);
        if (size <= 0) {
            const bool isTimeout = size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
            return isTimeout ? ReadEnd::TimedOut : ReadEnd::Ended;
        }
        connection.read.append(buf.data(), static_cast<std::size_t>(size));
    }
}

void PipelineCallers::check(const Request &request, const std::string &answer)
{
    constexpr unsigned Ok = 200;
    const std::size_t end = answer.find(HeadEnd);
    const std::string head = answer.substr(0, end + 2);
    const unsigned status = statusIn(answer);
    if (status == 0) {
        m_ledger.fail("mixed", request.id + " got bytes that are no answer: " + head);
    }
    if (const std::string id = valueInHead(head, "X-Request-Id"); !id.empty() && id != request.id) {
        m_ledger.fail("mixed", request.id + " got the answer to " + id);
    }
    const std::string seal = valueInHead(head, "X-Upstream-Seal");
    const bool isSealed = seal.ends_with("." + request.id);
    if (status == Ok ? !isSealed : !seal.empty()) {
        m_ledger.fail("mixed", request.id + " got " + std::to_string(status) + " with the seal '" + seal + "'");
    }
    const std::string expected = request.isLarge ? std::string(LargeAnswer, 'x') : Ledger::bodyOf(request.id);
    m_ledger.answered(request.id, status, answer.substr(end + HeadEnd.size()) == expected);
}

void PipelineCallers::noteUnanswered(const Request &request, bool isBehind, ReadEnd how)
{
    const TimePoint now = m_clock.now();
    m_ledger.answered(request.id, 0, false);
    if (isBehind && how == ReadEnd::Ended && now - request.sentAt < RouteTime) {
        m_ledger.cutOffBehind(request.id, now);
    }
}

} // namespace pepperlug::soak
