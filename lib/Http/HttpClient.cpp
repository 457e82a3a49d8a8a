//===- HttpClient.cpp - Requests to targets over libcurl ------------------===//
//
// One thread runs a libcurl multi handle, which keeps connections.
//
//===----------------------------------------------------------------------===//
#include "AnsweredCalls.h"
#include "ContinuedReads.h"
#include "RepeatedAnswers.h"
#include "SocketLoop.h"
#include "Transfer.h"

#include <algorithm>
#include <unordered_map>

namespace pepperlug
{

namespace
{

constexpr long MaxKeptConnections = 512;
/// Between two questions whether a paused call wants more of its answer.
constexpr Milliseconds PausedInterval{10};

} // namespace

class HttpClient::Impl
{
public:
    explicit Impl(const HttpClientLimits &limits)
        : m_limits(limits)
    {
        static const CURLcode Started = curl_global_init(CURL_GLOBAL_DEFAULT);
        if (Started != CURLE_OK) {
            throw Error("start libcurl", "", curl_easy_strerror(Started));
        }
        m_multi.reset(curl_multi_init());
        curl_multi_setopt(m_multi.get(), CURLMOPT_MAXCONNECTS, MaxKeptConnections);
        m_loop = std::make_unique<SocketLoop>(m_multi.get());
        m_loop->watchReadable(m_spareConnections.descriptor(),
                              [this] { m_spareConnections.onReady(std::chrono::steady_clock::now()); });
        m_loop->watchReadable(m_continuedReads.descriptor(), [this] { m_continuedReads.onReady(); });
        m_thread = std::thread([this] { run(); });
    }

    ~Impl()
    {
        stop();
    }

    Impl(const Impl &) = delete;
    Impl &operator=(const Impl &) = delete;

    HttpCallId start(HttpCall call, HttpResultHandler handler)
    {
        auto transfer = std::make_unique<Transfer>();
        transfer->call = std::move(call);
        transfer->handler = std::move(handler);
        transfer->maxAnswerBytes = m_limits.answerBytes;
        transfer->bytesPerSecond = m_limits.bytesPerSecond;
        transfer->reader = MessageReader<AnswerHead>(UnboundedAnswer, transfer->call.method == "HEAD");
        transfer->budget = AnswerBudget(std::min(m_limits.answerBytes, m_limits.unsizedBytes));
        transfer->flow = &m_flow;
        HttpCallId id{};
        {
            const std::lock_guard lock(m_mutex);
            id = static_cast<HttpCallId>(++m_lastId);
            transfer->id = id;
            m_orders.push_back({id, std::move(transfer)});
        }
        m_loop->wake();
        return id;
    }

    void cancel(HttpCallId id)
    {
        {
            const std::lock_guard lock(m_mutex);
            m_orders.push_back({id, nullptr});
        }
        m_loop->wake();
    }

    void keepConnected(const std::vector<Address> &addresses)
    {
        {
            const std::lock_guard lock(m_mutex);
            m_wanted = addresses;
        }
        m_loop->wake();
    }

    SpareConnectionCounts spareConnections() const
    {
        return m_spareConnections.counts();
    }

    std::uint64_t silences() const
    {
        return m_silences;
    }

    std::uint64_t separated() const
    {
        return m_separated;
    }

    std::uint64_t unreadAnswers() const
    {
        return m_flow.unreadAnswers;
    }

    std::uint64_t undelivered() const
    {
        return m_flow.undelivered;
    }

    std::uint64_t continued() const
    {
        return m_continued;
    }

    std::size_t repeating() const
    {
        return m_repeatingCount;
    }

    void stop()
    {
        if (!m_thread.joinable()) {
            return;
        }
        {
            const std::lock_guard lock(m_mutex);
            m_stop = true;
        }
        m_loop->wake();
        m_thread.join();
    }

private:
    /// A call to start, or with no transfer, one to cancel.
    struct Order {
        HttpCallId id{};
        std::unique_ptr<Transfer> transfer;
    };

    void run()
    {
        for (;;) {
            std::vector<Order> orders;
            std::optional<std::vector<Address>> wanted;
            {
                const std::lock_guard lock(m_mutex);
                if (m_stop) {
                    break;
                }
                orders.swap(m_orders);
                wanted.swap(m_wanted);
            }
            if (wanted) {
                m_usesSpares = true;
                m_spareConnections.setWanted(*wanted, std::chrono::steady_clock::now());
            }
            // A call that is cancelled may show a silence, which those that start with it have to heed.
            for (const Order &order : orders) {
                if (!order.transfer) {
                    take(order.id);
                }
            }
            for (Order &order : orders) {
                carryOut(order);
            }
            m_loop->runOnce(longestWait());
            resumePaused();
            collect();
            collectContinued();
            endEndless();
            shareRate();
            sweepSpares();
            m_trust.expire(std::chrono::steady_clock::now());
            m_answered.expire(std::chrono::steady_clock::now());
            m_repeating.expire(std::chrono::steady_clock::now());
            m_repeatingCount = m_repeating.size();
        }
        for (auto &[id, transfer] : m_transfers) {
            curl_multi_remove_handle(m_multi.get(), transfer->easy.get());
        }
        m_transfers.clear();
        m_continuedReads.clear();
    }

    void carryOut(Order &order)
    {
        if (!order.transfer) {
            take(order.id);
            return;
        }
        Transfer &transfer = *order.transfer;
        if (m_spare.empty()) {
            transfer.easy.reset(curl_easy_init());
        } else {
            transfer.easy = std::move(m_spare.back());
            m_spare.pop_back();
        }
        // A call over a connection of its own asks whether the target can be reached now.
        const bool asksNow = transfer.call.connectsOnly || transfer.call.usesNewConnection;
        if (m_usesSpares && !asksNow && transfer.call.fromIp.empty()) {
            transfer.spares = &m_spareConnections;
            m_spareConnections.addUse(transfer.call.to, std::chrono::steady_clock::now());
        }
        transfer.trust = &m_trust;
        transfer.answered = &m_answered;
        setUp(transfer);
        if (m_answered.contains(transfer.call.to, transfer.call.name, std::chrono::steady_clock::now())) {
            ++m_separated;
            curl_easy_setopt(transfer.easy.get(), CURLOPT_FRESH_CONNECT, 1L);
        }
        if (m_repeating.contains(transfer.call.to, std::chrono::steady_clock::now())) {
            curl_easy_setopt(transfer.easy.get(), CURLOPT_FRESH_CONNECT, 1L);
            curl_easy_setopt(transfer.easy.get(), CURLOPT_FORBID_REUSE, 1L);
        }
        curl_easy_setopt(transfer.easy.get(), CURLOPT_PRIVATE, &transfer);
        curl_multi_add_handle(m_multi.get(), transfer.easy.get());
        m_transfers.emplace(order.id, std::move(order.transfer));
    }

    /// Removes a call and, unless its answer is whole, its connection. Null if there is none.
    std::unique_ptr<Transfer> take(HttpCallId id)
    {
        auto node = m_transfers.extract(id);
        if (node.empty()) {
            std::unique_ptr<Transfer> continued = m_continuedReads.take(id);
            if (continued) {
                releaseHeld(*continued);
            }
            return continued;
        }
        std::unique_ptr<Transfer> transfer = std::move(node.mapped());
        curl_multi_remove_handle(m_multi.get(), transfer->easy.get());
        takeKeptSocket(*transfer);
        releaseHeld(*transfer);
        noteEnd(*transfer, std::chrono::steady_clock::now());
        return transfer;
    }

    void releaseHeld(Transfer &transfer)
    {
        const std::uint64_t held = std::exchange(transfer.heldUnsized, 0);
        m_flow.unsizedBytes -= std::min(m_flow.unsizedBytes, held);
    }

    /// The call that holds most of a body of unknown length; null if there are no calls.
    Transfer *longestUnsized()
    {
        Transfer *longest = m_continuedReads.longestUnsized();
        for (const auto &[id, transfer] : m_transfers) {
            if (longest == nullptr || transfer->heldUnsized > longest->heldUnsized) {
                longest = transfer.get();
            }
        }
        return longest;
    }

    void noteEnd(const Transfer &transfer, TimePoint now)
    {
        if (transfer.sendings == 0) {
            return;
        }
        const Address &to = transfer.call.to;
        m_trust.addUse(to, transfer.port, transfer.madeAt, now);
        const bool isUnanswered = transfer.isOnOldConnection && transfer.budget.received() == 0;
        if (isUnanswered && m_trust.addUnanswered(to, transfer.madeAt, now - transfer.sentAt, now)) {
            ++m_silences;
            m_spareConnections.drop(to, now);
        }
    }

    std::optional<Milliseconds> longestWait() const
    {
        const TimePoint now = std::chrono::steady_clock::now();
        std::optional<Milliseconds> wait = m_continuedReads.untilNextTimeout(now);
        if (m_usesSpares) {
            wait = std::min(SpareConnections::SweepInterval, wait.value_or(SpareConnections::SweepInterval));
        }
        if (!m_flow.paused.empty() || m_continuedReads.hasPaused()) {
            wait = std::min(PausedInterval, wait.value_or(PausedInterval));
        }
        return wait;
    }

    void resumePaused()
    {
        m_continuedReads.resumePaused();
        for (const HttpCallId id : std::exchange(m_flow.paused, {})) {
            const auto it = m_transfers.find(id);
            if (it == m_transfers.end()) {
                continue;
            }
            if (mayRead(*it->second)) {
                curl_easy_pause(it->second->easy.get(), CURLPAUSE_CONT); // may pause it again
            } else {
                m_flow.paused.push_back(id);
            }
        }
    }

    void endEndless()
    {
        Transfer *const longest = m_flow.unsizedBytes > m_limits.unsizedBytesInAll ? longestUnsized() : nullptr;
        if (longest != nullptr) {
            longest->budget.setUnaffordable();
            m_flow.endless.push_back(longest->id);
        }
        for (const HttpCallId id : std::exchange(m_flow.endless, {})) {
            const std::unique_ptr<Transfer> transfer = take(id);
            if (transfer) { // it may have ended for another reason
                noteUse(*transfer);
                transfer->handler(resultOf(*transfer, CURLE_ABORTED_BY_CALLBACK));
            }
        }
    }

    /// Any other end of a call ends its connection as well.
    void noteAnswered(const HttpCall &call)
    {
        if (!call.name.empty()) {
            const Duration within = std::max<Duration>(call.timeout, ConnectionTrust::DoubtTime);
            m_answered.add(call.to, call.name, within, std::chrono::steady_clock::now());
        }
    }

    void noteUse(const Transfer &transfer)
    {
        if (transfer.spares != nullptr) {
            m_spareConnections.addUse(transfer.call.to, std::chrono::steady_clock::now());
        }
    }

    void sweepSpares()
    {
        const TimePoint now = std::chrono::steady_clock::now();
        if (m_usesSpares && now >= m_nextSweep) {
            m_nextSweep = now + SpareConnections::SweepInterval;
            m_spareConnections.sweep(now);
        }
    }

    // Large answers on their way share the bound alike.
    void shareRate()
    {
        if (m_limits.bytesPerSecond == 0) {
            return;
        }
        const auto isLarge = [](const auto &it) {
            return it.second->isLarge;
        };
        const auto count = std::count_if(m_transfers.begin(), m_transfers.end(), isLarge);
        const std::uint64_t share =
            m_limits.bytesPerSecond / static_cast<std::uint64_t>(std::max<std::ptrdiff_t>(1, count));
        for (auto &[id, transfer] : m_transfers) {
            if (transfer->isLarge && transfer->bytesPerSecond != share) {
                transfer->bytesPerSecond = share;
                curl_easy_setopt(transfer->easy.get(), CURLOPT_MAX_RECV_SPEED_LARGE, static_cast<curl_off_t>(share));
            }
        }
    }

    void collect()
    {
        constexpr std::size_t MaxSpare = 256;
        int left = 0;
        while (const CURLMsg *message = curl_multi_info_read(m_multi.get(), &left)) {
            if (message->msg != CURLMSG_DONE) {
                continue;
            }
            const CURLcode code = message->data.result;
            Transfer *done = nullptr;
            curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &done);
            std::unique_ptr<Transfer> transfer = take(done->id);
            if (code == CURLE_OK && canContinue(*transfer)) {
                noteRepeated(transfer->call.to);
                ++m_continued;
                m_continuedReads.add(std::move(transfer));
                continue;
            }
            if (transfer->hasUnreadBytes) {
                noteRepeated(transfer->call.to);
                startAgain(std::move(transfer));
                continue;
            }
            HttpResult result = resultOf(*transfer, code);
            noteUse(*transfer);
            if (code == CURLE_OK) {
                noteAnswered(transfer->call);
            }
            if (result.isForeign || transfer->hasSurplus || transfer->hasExcess) {
                noteRepeated(transfer->call.to);
            }
            // A handle whose transfer ended before it had a connection keeps a read buffer of the former length, and
            // refuses another: the next answer would be read past its end.
            if (code == CURLE_OK && m_spare.size() < MaxSpare) {
                curl_easy_reset(transfer->easy.get());
                m_spare.push_back(std::move(transfer->easy));
            }
            transfer->handler(std::move(result));
        }
    }

    // Nothing of the call has left, and connections to the address carry one call each by now.
    void startAgain(std::unique_ptr<Transfer> transfer)
    {
        transfer->hasUnreadBytes = false;
        transfer->headers.reset();
        transfer->easy.reset();
        Order order{transfer->id, std::move(transfer)};
        carryOut(order);
    }

    void collectContinued()
    {
        for (auto &[transfer, result] : m_continuedReads.takeEnded(std::chrono::steady_clock::now())) {
            releaseHeld(*transfer);
            noteUse(*transfer);
            transfer->handler(std::move(result));
        }
    }

    void noteRepeated(const Address &from)
    {
        m_repeating.add(from, std::chrono::steady_clock::now());
        m_repeatingCount = m_repeating.size();
    }

    HttpClientLimits m_limits;
    AnswerFlow m_flow;
    MultiHandle m_multi;
    std::unique_ptr<SocketLoop> m_loop;
    std::unordered_map<HttpCallId, std::unique_ptr<Transfer>> m_transfers;
    ContinuedReads m_continuedReads;
    std::vector<EasyHandle> m_spare;
    ConnectionTrust m_trust;
    AnsweredCalls m_answered;
    RepeatedAnswers m_repeating;
    std::atomic<std::size_t> m_repeatingCount = 0;
    std::atomic<std::uint64_t> m_silences = 0;
    std::atomic<std::uint64_t> m_separated = 0;
    std::atomic<std::uint64_t> m_continued = 0;
    SpareConnections m_spareConnections;
    bool m_usesSpares = false; ///< from the first keepConnected()
    TimePoint m_nextSweep{}; ///< of m_spareConnections
    std::mutex m_mutex;
    std::vector<Order> m_orders;
    std::optional<std::vector<Address>> m_wanted; ///< not yet passed to m_spareConnections
    std::uint64_t m_lastId = 0;
    bool m_stop = false;
    std::thread m_thread;
};

HttpClient::HttpClient(const HttpClientLimits &limits)
    : m_impl(std::make_unique<Impl>(limits))
{
}

HttpClient::HttpClient(std::size_t maxAnswerBytes, std::uint64_t bytesPerSecond)
    : HttpClient(HttpClientLimits{.answerBytes = maxAnswerBytes, .bytesPerSecond = bytesPerSecond})
{
}

HttpClient::~HttpClient() = default;

HttpCallId HttpClient::start(HttpCall call, HttpResultHandler handler)
{
    return m_impl->start(std::move(call), std::move(handler));
}

void HttpClient::cancel(HttpCallId id)
{
    m_impl->cancel(id);
}

void HttpClient::keepConnected(const std::vector<Address> &addresses)
{
    m_impl->keepConnected(addresses);
}

SpareConnectionCounts HttpClient::spareConnections() const
{
    return m_impl->spareConnections();
}

std::uint64_t HttpClient::silences() const
{
    return m_impl->silences();
}

std::uint64_t HttpClient::separated() const
{
    return m_impl->separated();
}

std::uint64_t HttpClient::unreadAnswers() const
{
    return m_impl->unreadAnswers();
}

std::uint64_t HttpClient::undelivered() const
{
    return m_impl->undelivered();
}

std::uint64_t HttpClient::continued() const
{
    return m_impl->continued();
}

std::size_t HttpClient::repeating() const
{
    return m_impl->repeating();
}

void HttpClient::stop()
{
    m_impl->stop();
}

} // namespace pepperlug
