//===- RecordLog.cpp - Frames, check sums and damage ----------------------===//
//
// A frame is 4 bytes of length, 1 of kind, 8 of check sum over these, 8 over the data, then the data. The length has a
// check sum of its own: without it one flipped bit in a length would look like a torn tail, and all that follows would
// be dropped in silence.
//
//===----------------------------------------------------------------------===//
#include "pepperlug/Storage.h"

#include <algorithm>

namespace pepperlug
{

namespace
{

constexpr std::size_t LengthBytes = 4;
constexpr std::size_t SumBytes = 8;
constexpr std::size_t FrameBytes = LengthBytes + 1 + SumBytes + SumBytes;

void putNumber(std::string &to, std::uint64_t value, std::size_t bytes)
{
    for (std::size_t n = 0; n < bytes; ++n) {
        to.push_back(static_cast<char>(value >> (8 * n) & 0xff));
    }
}

std::uint64_t getNumber(std::string_view from, std::size_t bytes)
{
    std::uint64_t value = 0;
    for (std::size_t n = bytes; n-- > 0;) {
        value = value << 8 | static_cast<unsigned char>(from[n]);
    }
    return value;
}

bool isZeros(std::string_view bytes)
{
    return bytes.find_first_not_of('\0') == std::string_view::npos;
}

[[noreturn]] void damaged(const std::string &file, std::size_t offset, const std::string &reason)
{
    throw Error("recover", file, reason + " at offset " + std::to_string(offset));
}

} // namespace

std::string frameRecord(std::uint8_t kind, const std::string &data)
{
    std::string frame;
    frame.reserve(FrameBytes + data.size());
    putNumber(frame, data.size(), LengthBytes);
    frame.push_back(static_cast<char>(kind));
    putNumber(frame, hash64(frame), SumBytes);
    putNumber(frame, hash64(data), SumBytes);
    frame += data;
    return frame;
}

// A crash in the middle of a write leaves a prefix of what was written, or zeros where the file grew before its data
// came. Anything else was whole once and has been damaged since.
ScannedRecords scanRecords(const std::string &bytes, const std::string &file)
{
    ScannedRecords result;
    const std::string_view all = bytes;
    std::size_t offset = 0;
    const auto torn = [&] {
        result.goodBytes = offset;
        result.hasTornTail = true;
        return result;
    };
    while (offset < all.size()) {
        const std::string_view rest = all.substr(offset);
        if (rest.size() < FrameBytes || isZeros(rest)) {
            return torn();
        }
        const std::string_view head = rest.substr(0, LengthBytes + 1);
        if (getNumber(rest.substr(LengthBytes + 1), SumBytes) != hash64(head)) {
            damaged(file, offset, "the frame of a record is damaged");
        }
        const std::size_t length = getNumber(rest, LengthBytes);
        const std::string_view sums = rest.substr(LengthBytes + 1 + SumBytes);
        if (rest.size() < FrameBytes + length) {
            return torn();
        }
        const std::string_view data = rest.substr(FrameBytes, length);
        if (getNumber(sums, SumBytes) != hash64(data)) {
            if (length > 0 && isZeros(rest.substr(FrameBytes))) {
                return torn();
            }
            damaged(file, offset, "the data of a record is damaged");
        }
        result.records.push_back({static_cast<std::uint8_t>(rest[LengthBytes]), std::string(data)});
        offset += FrameBytes + length;
    }
    result.goodBytes = offset;
    return result;
}

} // namespace pepperlug
