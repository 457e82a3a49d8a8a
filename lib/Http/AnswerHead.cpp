//===- AnswerHead.cpp - The check of an answer's head ---------------------===//
#include "AnswerHead.h"

#include "FieldSyntax.h"

namespace pepperlug
{

namespace
{

constexpr std::string_view VersionPrefix = "HTTP/1.";
constexpr unsigned SwitchingProtocols = 101;
constexpr unsigned FirstInterim = 100;
constexpr unsigned FirstFinal = 200;
constexpr unsigned LastStatus = 599;
constexpr unsigned NoContent = 204;
constexpr unsigned NotModified = 304;
constexpr unsigned BadGateway = 502;

std::string_view withoutLineEnd(std::string_view line)
{
    for (const char end : {'\n', '\r'}) {
        if (line.ends_with(end)) {
            line.remove_suffix(1);
        }
    }
    return line;
}

} // namespace

const char *nameOf(AnswerDefect defect)
{
    switch (defect) {
    case AnswerDefect::StatusLine:
        return "status-line";
    case AnswerDefect::FieldName:
        return "field-name";
    case AnswerDefect::FieldValue:
        return "field-value";
    case AnswerDefect::Length:
        return "length";
    case AnswerDefect::TransferCoding:
        return "transfer-coding";
    case AnswerDefect::Framing:
        return "framing";
    case AnswerDefect::Other:
        return "other";
    }
    return "other";
}

void AnswerHead::addLine(std::string_view line)
{
    line = withoutLineEnd(line);
    m_hasBegun = true;
    if (m_isFirstLine) {
        m_isFirstLine = false;
        addStatusLine(line);
    } else if (line.empty()) {
        endHead();
    } else {
        addField(line);
    }
}

// A reason phrase is not passed on, and may be left out with its blank.
void AnswerHead::addStatusLine(std::string_view line)
{
    constexpr std::size_t StatusAt = VersionPrefix.size() + 2;
    constexpr std::size_t StatusEnd = StatusAt + 3;
    m_answer = {};
    m_length.reset();
    m_isChunked = false;
    const bool hasVersion = line.starts_with(VersionPrefix) && line.size() >= StatusEnd && line[StatusAt - 1] == ' ';
    const char minor = hasVersion ? line[VersionPrefix.size()] : '\0';
    const bool endsThere = line.size() == StatusEnd || (line.size() > StatusEnd && line[StatusEnd] == ' ');
    if ((minor != '0' && minor != '1') || !endsThere || !isFieldValue(line)
        || holdsStatusLine(line.substr(StatusEnd))) {
        setDefect(AnswerDefect::StatusLine);
        return;
    }
    m_isOldVersion = minor == '0';
    const std::optional<std::uint64_t> status = readLength(line.substr(StatusAt, StatusEnd - StatusAt));
    // No request asks for another protocol.
    if (!status || *status < FirstInterim || *status > LastStatus || *status == SwitchingProtocols) {
        setDefect(AnswerDefect::StatusLine);
        return;
    }
    m_answer.status = static_cast<unsigned>(*status);
}

// Blanks before the colon are to be removed (RFC 9112, 5.1), but libcurl does not know a field by such a name, and
// would end the body elsewhere.
void AnswerHead::addField(std::string_view line)
{
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos || !isToken(line.substr(0, colon))) {
        setDefect(AnswerDefect::FieldName);
        return;
    }
    const std::string_view name = line.substr(0, colon);
    const std::string_view value = trimmed(line.substr(colon + 1));
    if (!isFieldValue(value)) {
        setDefect(AnswerDefect::FieldValue);
        return;
    }
    if (holdsStatusLine(value)) {
        setDefect(AnswerDefect::StatusLine);
        return;
    }
    m_answer.headers.push_back({std::string(name), std::string(value)});
    if (sameName(name, "content-length")) {
        addLengths(value);
    } else if (sameName(name, "transfer-encoding")) {
        const bool isUnderstood = !m_isOldVersion && !m_isChunked && sameName(value, "chunked");
        m_isChunked = true;
        if (!isUnderstood) {
            setDefect(AnswerDefect::TransferCoding);
        }
    }
}

// A list of equal lengths stands for one of them (RFC 9112, 6.3).
void AnswerHead::addLengths(std::string_view list)
{
    for (bool hasMore = true; hasMore;) {
        const std::size_t comma = list.find(',');
        const std::optional<std::uint64_t> length = readLength(trimmed(list.substr(0, comma)));
        if (!length || m_length.value_or(*length) != *length) {
            setDefect(AnswerDefect::Length);
            return;
        }
        m_length = length;
        hasMore = comma != std::string_view::npos;
        list.remove_prefix(hasMore ? comma + 1 : list.size());
    }
}

std::optional<MessageFault> AnswerHead::fault() const
{
    if (!m_defect) {
        return std::nullopt;
    }
    return MessageFault{BadGateway, std::string("the head of the answer is malformed: ") + nameOf(*m_defect), m_defect};
}

BodyFraming AnswerHead::framing() const
{
    if (m_answer.status == NoContent || m_answer.status == NotModified) {
        return {};
    }
    if (m_isChunked) {
        return {BodyFraming::Kind::Chunks, 0};
    }
    return m_length ? BodyFraming{BodyFraming::Kind::Length, *m_length}
                    : BodyFraming{BodyFraming::Kind::ConnectionEnd, 0};
}

void AnswerHead::endHead()
{
    m_isWhole = m_answer.status >= FirstFinal;
    m_isFirstLine = !m_isWhole;
}

void AnswerHead::setDefect(AnswerDefect defect)
{
    m_defect = m_defect.value_or(defect);
}

} // namespace pepperlug
