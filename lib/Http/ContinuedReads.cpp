//===- ContinuedReads.cpp - Answers behind those to other calls -----------===//
#include "ContinuedReads.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace pepperlug
{

namespace
{

constexpr std::size_t ReadBytes = 16UL * 1024;
constexpr int MaxEvents = 64;

TimePoint endOf(const Transfer &transfer)
{
    return transfer.startedAt + transfer.call.timeout;
}

} // namespace

ContinuedReads::ContinuedReads()
    : m_epoll(epoll_create1(EPOLL_CLOEXEC))
{
    if (m_epoll < 0) {
        throw Error("start client", "", std::strerror(errno));
    }
}

ContinuedReads::~ContinuedReads()
{
    ::close(m_epoll);
}

void ContinuedReads::add(std::unique_ptr<Transfer> transfer)
{
    Read &read = m_reads[transfer->id];
    read.transfer = std::move(transfer);
    if (watch(EPOLL_CTL_ADD, read) != 0) {
        read.end = CURLE_RECV_ERROR;
    } else if (!startNextAnswer(*read.transfer)) {
        read.end = CURLE_WRITE_ERROR;
    }
}

int ContinuedReads::watch(int operation, const Read &read) const
{
    epoll_event event{};
    event.events = read.isPaused ? 0U : EPOLLIN;
    event.data.u64 = static_cast<std::uint64_t>(read.transfer->id);
    return epoll_ctl(m_epoll, operation, read.transfer->socket.descriptor(), &event);
}

void ContinuedReads::resumePaused()
{
    for (auto &[id, read] : m_reads) {
        if (read.isPaused && mayRead(*read.transfer)) {
            read.isPaused = false;
            watch(EPOLL_CTL_MOD, read);
        }
    }
}

bool ContinuedReads::hasPaused() const
{
    return std::ranges::any_of(m_reads, [](const auto &it) { return it.second.isPaused; });
}

void ContinuedReads::onReady()
{
    std::array<epoll_event, MaxEvents> events{};
    const int count = epoll_wait(m_epoll, events.data(), MaxEvents, 0);
    for (int n = 0; n < count; ++n) {
        const auto it = m_reads.find(static_cast<HttpCallId>(events[static_cast<std::size_t>(n)].data.u64));
        if (it != m_reads.end() && !it->second.end) {
            readSome(it->second);
        }
    }
}

// Reads once, so that a large answer leaves time to others; what is left is told again.
void ContinuedReads::readSome(Read &read) const
{
    if (!mayRead(*read.transfer)) {
        read.isPaused = true;
        watch(EPOLL_CTL_MOD, read);
        return;
    }
    std::array<char, ReadBytes> buf{};
    const ssize_t size = recv(read.transfer->socket.descriptor(), buf.data(), buf.size(), MSG_DONTWAIT);
    if (size <= 0) {
        finish(read, size == 0 ? 0 : errno);
    } else if (!takeBytes(*read.transfer, {buf.data(), static_cast<std::size_t>(size)})) {
        read.end = CURLE_WRITE_ERROR;
    }
}

void ContinuedReads::finish(Read &read, int error)
{
    if (error == EAGAIN || error == EWOULDBLOCK || error == EINTR) {
        return;
    }
    if (error != 0) {
        read.end = CURLE_RECV_ERROR;
        return;
    }
    const std::unique_ptr<AnswerHead> &head = read.transfer->head;
    const bool mayEnd = head && head->framing().kind == BodyFraming::Kind::ConnectionEnd;
    const CURLcode cut = head ? CURLE_PARTIAL_FILE : CURLE_GOT_NOTHING;
    read.end = mayEnd ? CURLE_OK : cut;
}

std::unique_ptr<Transfer> ContinuedReads::take(HttpCallId id)
{
    auto node = m_reads.extract(id);
    return node.empty() ? nullptr : std::move(node.mapped().transfer);
}

Transfer *ContinuedReads::longestUnsized()
{
    const auto longest =
        std::ranges::max_element(m_reads, {}, [](const auto &it) { return it.second.transfer->heldUnsized; });
    return longest == m_reads.end() ? nullptr : longest->second.transfer.get();
}

std::vector<std::pair<std::unique_ptr<Transfer>, HttpResult>> ContinuedReads::takeEnded(TimePoint now)
{
    std::vector<std::pair<HttpCallId, CURLcode>> ended;
    for (const auto &[id, read] : m_reads) {
        const Transfer &transfer = *read.transfer;
        if (transfer.isWhole) {
            ended.emplace_back(id, CURLE_OK);
        } else if (read.end || transfer.budget.exceeded()) {
            ended.emplace_back(id, read.end.value_or(CURLE_ABORTED_BY_CALLBACK));
        } else if (now >= endOf(transfer)) {
            ended.emplace_back(id, CURLE_OPERATION_TIMEDOUT);
        }
    }
    std::vector<std::pair<std::unique_ptr<Transfer>, HttpResult>> results;
    for (const auto &[id, code] : ended) {
        std::unique_ptr<Transfer> transfer = take(id);
        HttpResult result = resultOf(*transfer, code);
        results.emplace_back(std::move(transfer), std::move(result));
    }
    return results;
}

std::optional<Milliseconds> ContinuedReads::untilNextTimeout(TimePoint now) const
{
    std::optional<Milliseconds> wait;
    for (const auto &[id, read] : m_reads) {
        const auto left = std::chrono::ceil<Milliseconds>(endOf(*read.transfer) - now);
        wait = std::max(Milliseconds(0), std::min(wait.value_or(left), left));
    }
    return wait;
}

} // namespace pepperlug
