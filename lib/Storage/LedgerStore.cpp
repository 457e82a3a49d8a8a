//===- LedgerStore.cpp - Claims of once-only operations on a disk ---------===//
//
// The ledger's id is the first record of its file: where the file is lost, so is the id, and keys of the lost ledger
// are never run again.
//
//===----------------------------------------------------------------------===//
#include "pepperlug/Storage.h"

namespace pepperlug
{

namespace
{

enum class RecordKind : std::uint8_t {
    LedgerId = 1,
    Claim = 2,
};

constexpr std::size_t LedgerIdBytes = 8;

/// LedgerRecord as it is stored.
struct StoredClaim {
    std::string key;
    std::string requestDigest;
    std::uint8_t state = 0;
    bool hasAnswer = false;
    std::uint32_t status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    std::chrono::seconds at{};
    MSGPACK_DEFINE(key, requestDigest, state, hasAnswer, status, headers, body, at);
};

StoredClaim toStored(const LedgerRecord &record)
{
    StoredClaim stored{record.key, record.requestDigest, static_cast<std::uint8_t>(record.state), false, 0, {}, {},
                       record.at};
    if (record.answer) {
        stored.hasAnswer = true;
        stored.status = record.answer->status;
        stored.body = record.answer->body;
        for (const HeaderField &field : record.answer->headers) {
            stored.headers.emplace_back(field.name, field.value);
        }
    }
    return stored;
}

LedgerRecord fromStored(StoredClaim stored)
{
    LedgerRecord record{stored.key, stored.requestDigest, static_cast<ClaimState>(stored.state), nullptr, stored.at};
    if (stored.hasAnswer) {
        auto answer = std::make_shared<Answer>();
        answer->status = stored.status;
        answer->body = std::move(stored.body);
        for (auto &[name, value] : stored.headers) {
            answer->headers.push_back({name, value});
        }
        record.answer = std::move(answer);
    }
    return record;
}

} // namespace

LedgerStore::LedgerStore(const DataFolder &folder)
{
    const std::string path = folder.file("ledger");
    m_log.emplace(PosixFile(path));
    for (const StoredRecord &record : m_log->takeRecords()) {
        if (static_cast<RecordKind>(record.kind) == RecordKind::LedgerId) {
            m_ledgerId = record.data;
        } else {
            m_records.push_back(fromStored(decode<StoredClaim>(record.data, path)));
        }
    }
    if (m_ledgerId.empty()) {
        m_ledgerId = randomHex(LedgerIdBytes);
        m_log->add(static_cast<std::uint8_t>(RecordKind::LedgerId), m_ledgerId);
        m_log->sync();
    }
}

const std::string &LedgerStore::ledgerId() const
{
    return m_ledgerId;
}

std::vector<LedgerRecord> LedgerStore::takeRecords()
{
    return std::move(m_records);
}

void LedgerStore::add(const LedgerRecord &record)
{
    m_log->add(static_cast<std::uint8_t>(RecordKind::Claim), encode(toStored(record)));
}

void LedgerStore::sync()
{
    m_log->sync();
}

} // namespace pepperlug
