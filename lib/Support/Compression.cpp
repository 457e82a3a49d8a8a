//===- Compression.cpp - Compression of long messages by zlib -------------===//
#include "pepperlug/Support.h"

#include <zlib.h>

namespace pepperlug
{

namespace
{

/// Bytes by which the output buffer grows: a short message fits into one step, and MaxExpandedBytes is a multiple of
/// it.
constexpr std::size_t ExpandStepBytes = 64 * 1024;

Bytef *bytesOf(std::string &text)
{
    return reinterpret_cast<Bytef *>(text.data());
}

// zlib does not write to its input, but its interface takes a pointer to mutable bytes.
Bytef *bytesOf(const std::string &text)
{
    return const_cast<Bytef *>(reinterpret_cast<const Bytef *>(text.data()));
}

/// A zlib stream to expand data from; ended by the destructor.
class ExpandStream
{
public:
    ExpandStream(const std::string &data, const char *step, const std::string &peer)
    {
        m_stream.next_in = bytesOf(data);
        m_stream.avail_in = static_cast<uInt>(data.size());
        const int ec = inflateInit(&m_stream);
        if (ec != Z_OK) {
            throw Error(step, peer, zError(ec));
        }
    }

    ~ExpandStream()
    {
        inflateEnd(&m_stream);
    }

    ExpandStream(const ExpandStream &) = delete;
    ExpandStream &operator=(const ExpandStream &) = delete;

    /// Appends up to ExpandStepBytes to the text. Returns zlib's code.
    int readStep(std::string &text)
    {
        const std::size_t size = text.size();
        text.resize(size + ExpandStepBytes);
        m_stream.next_out = bytesOf(text) + size;
        m_stream.avail_out = ExpandStepBytes;
        const int ec = inflate(&m_stream, Z_NO_FLUSH);
        text.resize(text.size() - m_stream.avail_out);
        return ec;
    }

    bool isAtEnd() const
    {
        return m_stream.avail_in == 0;
    }

private:
    z_stream m_stream{};
};

} // namespace

std::string compressed(const std::string &text, Compression compression, const char *step)
{
    uLongf size = compressBound(text.size());
    std::string data(size, '\0');
    const int level = compression == Compression::Fast ? Z_BEST_SPEED : Z_DEFAULT_COMPRESSION;
    const int ec = compress2(bytesOf(data), &size, bytesOf(text), text.size(), level);
    if (ec != Z_OK) {
        throw Error(step, "", zError(ec));
    }
    data.resize(size);
    return data;
}

std::string expanded(const std::string &data, const char *step, const std::string &peer)
{
    if (data.size() > MaxExpandedBytes) {
        throw Error(step, peer, "the compressed data is longer than a message may be");
    }
    ExpandStream stream(data, step, peer);
    std::string text;
    int ec = Z_OK;
    while (ec == Z_OK) {
        if (text.size() > MaxExpandedBytes - ExpandStepBytes) {
            throw Error(step, peer, "the data expands to more than a message may hold");
        }
        ec = stream.readStep(text);
    }
    if (ec != Z_STREAM_END) {
        throw Error(step, peer, std::string("the data can't be expanded: ") + zError(ec));
    }
    if (!stream.isAtEnd()) {
        throw Error(step, peer, "bytes are left after the end of the data");
    }
    return text;
}

} // namespace pepperlug
