//===- EndlessForm.h - Answers of HTTP without an end -----------*- C++ -*-===//
#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace pepperlug::soak
{

/// What a target sends after a start, again and again. "%" stands for the fields that each answer must have.
struct EndlessForm {
    const char *name;
    std::string start;
    std::string repeated;

    /// The start of an answer with these header lines.
    std::string startWith(const std::string &fields) const
    {
        std::string text = start;
        if (const std::size_t mark = text.find('%'); mark != std::string::npos) {
            text.replace(mark, 1, fields);
        }
        return text;
    }
};

inline const std::vector<EndlessForm> &endlessForms()
{
    static const std::string Filler(1000, 'x');
    static const std::string Chunked = "HTTP/1.1 200 OK\r\n%Transfer-Encoding: chunked\r\n\r\n";
    static const std::vector<EndlessForm> Forms{
        {"no status line", "", Filler},
        {"one header line", "HTTP/1.1 200 OK\r\n%X-Filler: ", Filler},
        {"header lines", "HTTP/1.1 200 OK\r\n%", "X-Filler: " + Filler + "\r\n"},
        {"interim heads", "", "HTTP/1.1 103 Early Hints\r\nLink: " + Filler + "\r\n\r\n"},
        {"a body in chunks", Chunked, "3e8\r\n" + Filler + "\r\n"},
        {"a body without a length", "HTTP/1.1 200 OK\r\n%\r\n", Filler},
        {"the extension of one chunk", Chunked + "5;", Filler},
        {"trailers", Chunked + "2\r\nok\r\n0\r\n", "X-Filler: " + Filler + "\r\n"},
    };
    return Forms;
}

/// Value of a field in a head; empty if it has none.
inline std::string valueInHead(const std::string &head, const std::string &name)
{
    const std::size_t found = head.find(name + ": ");
    if (found == std::string::npos) {
        return {};
    }
    const std::size_t start = found + name.size() + 2;
    return head.substr(start, head.find('\r', start) - start);
}

} // namespace pepperlug::soak
