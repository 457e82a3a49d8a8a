//===- EndlessTargetTest.cpp - Targets that send without end --------------===//
//
// Guards against a target that answers without an end, in whatever form, and thereby takes the memory of an entry host,
// keeps its share of the requests, or makes them late. Real daemons over loopback, one for each form at the same time.
//
//===----------------------------------------------------------------------===//
#include "Fleet/StubControl.h"
#include "test/soak/EndlessForm.h"

#include <fstream>

using namespace pepperlug;
using namespace pepperlug::fleet;
using namespace pepperlug::fleet::test;
using soak::EndlessForm;
using soak::endlessForms;

namespace
{

using Tcp = boost::asio::ip::tcp;

constexpr std::size_t Megabyte = 1024 * 1024;
constexpr std::size_t MaxAnswerBytes = 32 * Megabyte;
constexpr int CallsPerSecond = 20;
constexpr std::chrono::seconds Length{10};
/// Of the calls, and to each target that sends without end.
constexpr double MinServed = 0.97;
constexpr int MaxRequests = 20;
constexpr std::size_t MaxBytes = 64 * Megabyte;
/// More memory than before, for each entry host.
constexpr std::size_t MaxMoreMemory = 32 * Megabyte;

/// Sends 4 MB a second over each connection once a request has come, until the connection ends.
class EndlessTarget
{
public:
    explicit EndlessTarget(const EndlessForm &form)
        : m_form(form)
        , m_acceptor(m_context, {boost::asio::ip::make_address("127.0.0.1"), 0})
        , m_thread([this] { accept(); })
    {
    }

    ~EndlessTarget()
    {
        m_isOver = true;
        ::shutdown(m_acceptor.native_handle(), SHUT_RDWR);
        m_thread.join();
        for (std::thread &it : m_connections) {
            it.join();
        }
    }

    EndlessTarget(const EndlessTarget &) = delete;
    EndlessTarget &operator=(const EndlessTarget &) = delete;

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
    }

    int requests() const
    {
        return m_requests;
    }

    std::size_t sentBytes() const
    {
        return m_sentBytes;
    }

private:
    void accept()
    {
        while (!m_isOver) {
            Tcp::socket socket(m_context);
            boost::system::error_code ec;
            m_acceptor.accept(socket, ec);
            if (!ec) {
                m_connections.emplace_back([this, socket = std::move(socket)]() mutable { serve(socket); });
            }
        }
    }

    void serve(Tcp::socket &socket)
    {
        constexpr auto Pause = 16ms;
        constexpr std::size_t BytesAtOnce = 64UL * 1024;
        socket.non_blocking(true);
        const std::string head = readHead(socket);
        if (head.empty()) {
            return;
        }
        ++m_requests;
        const std::string id = soak::valueInHead(head, "X-Request-Id");
        std::string buf = m_form.startWith("X-Request-Id: " + id + "\r\nX-Upstream-Seal: seal\r\n");
        while (!m_isOver) {
            while (buf.size() < BytesAtOnce) {
                buf += m_form.repeated;
            }
            boost::system::error_code ec;
            const std::size_t sent = socket.write_some(boost::asio::buffer(buf), ec);
            if (ec && ec != boost::asio::error::would_block) {
                return;
            }
            m_sentBytes += sent;
            buf.erase(0, sent);
            std::this_thread::sleep_for(Pause);
        }
    }

    std::string readHead(Tcp::socket &socket) const
    {
        std::string head;
        while (!m_isOver && head.find("\r\n\r\n") == std::string::npos) {
            std::array<char, 4096> buf{};
            boost::system::error_code ec;
            head.append(buf.data(), socket.read_some(boost::asio::buffer(buf), ec));
            if (ec == boost::asio::error::would_block) {
                std::this_thread::sleep_for(1ms);
            } else if (ec) {
                return {};
            }
        }
        return m_isOver ? std::string() : head;
    }

    EndlessForm m_form;
    std::atomic<bool> m_isOver{false};
    std::atomic<int> m_requests{0};
    std::atomic<std::size_t> m_sentBytes{0};
    boost::asio::io_context m_context;
    Tcp::acceptor m_acceptor;
    std::vector<std::thread> m_connections;
    std::thread m_thread;
};

/// An entry host with targets of which some send without end.
class Site
{
public:
    Site(unsigned number, const EndlessForm &form, std::size_t soundTargets, std::size_t endlessTargets)
        : name(form.name)
        , m_entry(number, "z1", MaxAnswerBytes)
    {
        for (std::size_t n = 0; n < soundTargets; ++n) {
            m_sound.push_back(std::make_unique<FakeTarget>("i-" + std::to_string(n)));
            m_entry.control.setTarget("i-" + std::to_string(n), m_sound.back()->address());
        }
        for (std::size_t n = 0; n < endlessTargets; ++n) {
            endless.push_back(std::make_unique<EndlessTarget>(form));
        }
        REQUIRE(System::eventually([this] { return m_entry.statusOf("/read/first") == 200; }));
    }

    /// The targets that send without end are known from now on.
    void addEndless()
    {
        for (std::size_t n = 0; n < endless.size(); ++n) {
            m_entry.control.setTarget("e-" + std::to_string(n), endless[n]->address());
        }
    }

    void call()
    {
        ++calls;
        m_entry.start("/read/" + std::to_string(calls), [this](const HttpResult &result) {
            served += result.answer.status == 200 ? 1 : 0;
            ++answered;
        });
    }

    bool isOver() const
    {
        return answered == calls;
    }

    double reportedAnswers()
    {
        double sum = 0;
        for (const char *form : {"head", "body", "framing", "trailers"}) {
            sum += m_entry.metric(std::string("pepperlug_endless_answers{form=\"") + form + "\"}");
        }
        return sum;
    }

    std::string name;
    std::atomic<int> calls{0};
    std::atomic<int> answered{0};
    std::atomic<int> served{0};
    std::vector<std::unique_ptr<EndlessTarget>> endless;

private:
    std::vector<std::unique_ptr<FakeTarget>> m_sound;
    Entry m_entry;
};

std::size_t residentBytes()
{
    std::ifstream statm("/proc/self/statm");
    std::size_t pages = 0;
    statm >> pages >> pages;
    return pages * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

/// Returns the most memory that the process had beyond that at the beginning.
std::size_t play(const std::vector<std::unique_ptr<Site>> &sites)
{
    for (const auto &it : sites) {
        it->addEndless();
    }
    const std::size_t before = residentBytes();
    std::size_t most = before;
    const auto start = std::chrono::steady_clock::now();
    for (int n = 0; n < Length.count() * CallsPerSecond; ++n) {
        std::this_thread::sleep_until(start + n * (1000ms / CallsPerSecond));
        for (const auto &it : sites) {
            it->call();
        }
        most = std::max(most, residentBytes());
    }
    CHECK(System::eventually([&] { return std::ranges::all_of(sites, [](const auto &it) { return it->isOver(); }); }));
    return most - before;
}

void checkSites(std::size_t soundTargets, std::size_t endlessTargets)
{
    std::vector<std::unique_ptr<Site>> sites;
    for (const EndlessForm &form : endlessForms()) {
        const auto number = static_cast<unsigned>(sites.size());
        sites.push_back(std::make_unique<Site>(20 + number, form, soundTargets, endlessTargets));
    }
    const std::size_t moreMemory = play(sites);
    CHECK(moreMemory < sites.size() * MaxMoreMemory);
    for (const auto &site : sites) {
        INFO(site->name << ": " << site->served << " of " << site->calls << " served");
        CHECK(site->served >= MinServed * site->calls);
        for (const auto &it : site->endless) {
            INFO(it->requests() << " requests, " << it->sentBytes() << " bytes sent");
            CHECK(it->requests() > 0);
            CHECK(it->requests() <= MaxRequests);
            CHECK(it->sentBytes() <= MaxBytes);
        }
    }
}

} // namespace

TEST_CASE("one target of three that sends without end is noticed in each form")
{
    checkSites(2, 1);
}

TEST_CASE("three targets of nine that send without end are noticed in each form")
{
    checkSites(6, 3);
}

TEST_CASE("an answer without an end has a metric")
{
    Site site(19, endlessForms()[2], 2, 1);
    site.addEndless();
    CHECK(System::eventually([&] {
        site.call();
        return site.reportedAnswers() >= 1;
    }));
    CHECK(System::eventually([&] { return site.isOver(); }));
}
