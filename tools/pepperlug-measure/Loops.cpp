//===- Loops.cpp - Loops against running processes ------------------------===//
#include "Live.h"
#include "Measures.h"

#include <algorithm>

namespace pepperlug
{

Duration quantile(std::vector<Duration> &all, double share)
{
    if (all.empty()) {
        throw Error("measure", "", "nothing was answered");
    }
    const auto position = static_cast<std::ptrdiff_t>(share * static_cast<double>(all.size() - 1));
    std::nth_element(all.begin(), all.begin() + position, all.end());
    return all[static_cast<std::size_t>(position)];
}

std::string microseconds(Duration duration)
{
    return fixed(std::chrono::duration<double, std::micro>(duration).count(), 0);
}

std::string getRequest(const std::string &resource)
{
    return "GET " + resource + " HTTP/1.1\r\nHost: measure\r\nConnection: keep-alive\r\n\r\n";
}

Address addressOf(const std::string &text)
{
    const std::optional<Address> address = Address::parse(text);
    if (!address) {
        throw Error("start", "", "\"" + text + "\" is not an IP address and port");
    }
    return *address;
}

Repeater::Repeater(const Address &to, std::string request)
    : m_socket(m_context)
    , m_request(std::move(request))
{
    m_socket.connect({boost::asio::ip::make_address(to.ip), to.port});
    m_socket.set_option(boost::asio::ip::tcp::no_delay(true));
}

void Repeater::setRequest(std::string request)
{
    m_request = std::move(request);
}

const std::string &Repeater::lastAnswer() const
{
    return m_answer;
}

Duration Repeater::once()
{
    const auto start = std::chrono::steady_clock::now();
    boost::asio::write(m_socket, boost::asio::buffer(m_request));
    std::size_t got = 0;
    std::size_t wanted = 0;
    while (wanted == 0 || got < wanted) {
        got += m_socket.read_some(boost::asio::buffer(m_buf.data() + got, m_buf.size() - got));
        const std::string_view text(m_buf.data(), got);
        const std::size_t head = text.find("\r\n\r\n");
        if (wanted == 0 && head != std::string_view::npos) {
            const std::size_t at = text.find("Content-Length: ");
            wanted = head + 4 + std::strtoul(text.data() + at + 16, nullptr, 10);
            if (!text.starts_with("HTTP/1.1 200")) {
                throw Error("measure", "", std::string(text));
            }
        }
    }
    const Duration took = std::chrono::steady_clock::now() - start;
    m_answer.assign(m_buf.data(), got);
    return took;
}

} // namespace pepperlug
