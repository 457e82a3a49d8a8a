//===- Live.h - Loops against running processes ------------------*- C++ -*-===//
#pragma once

#include "pepperlug/Support.h"

#include <boost/asio.hpp>

namespace pepperlug
{

/// Throws Error if there is nothing to take a quantile of.
Duration quantile(std::vector<Duration> &all, double share);
std::string microseconds(Duration duration);
std::string getRequest(const std::string &resource);
/// Throws Error if the text is no address.
Address addressOf(const std::string &text);

/// A blocking keep-alive connection that sends one request at a time.
class Repeater
{
public:
    Repeater(const Address &to, std::string request);
    void setRequest(std::string request);
    /// Sends the request, waits for the whole answer, returns the time taken. Throws Error on any status but 200.
    Duration once();
    const std::string &lastAnswer() const;

private:
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::socket m_socket;
    std::string m_request;
    std::array<char, 16384> m_buf{};
    std::string m_answer;
};

} // namespace pepperlug
