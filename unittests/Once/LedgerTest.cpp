//===- LedgerTest.cpp - At most once, whatever comes ----------------------===//
#include "pepperlug/Once.h"

#include <catch2/catch.hpp>

using namespace pepperlug;

namespace
{

constexpr std::chrono::seconds Ttl{600};

OperationKey keyOf(const Ledger &ledger, const std::string &unique, TimePoint now)
{
    return {ledger.token(now), unique};
}

AnswerPtr answerWith(const std::string &body)
{
    return std::make_shared<Answer>(Answer{200, {}, body});
}

} // namespace

TEST_CASE("keys are read back as written, and nothing else is a key")
{
    const OperationKey key{{"host-1", "ab12", std::chrono::seconds(7)}, "x.y"};
    const std::optional<OperationKey> read = OperationKey::parse(key.text());
    REQUIRE(read);
    CHECK(read->home.host == "host-1");
    CHECK(read->home.ledgerId == "ab12");
    CHECK(read->home.issued == std::chrono::seconds(7));
    CHECK(read->unique == "x.y");
    for (const char *text : {"", "x", "a~b~1", "a~b~x.y", "a~b~-1.y", "~b~1.y", "a~b~1.", "a.b~c~1"}) {
        CHECK_FALSE(OperationKey::parse(text));
    }
    CHECK_FALSE(OperationKey::parse("a~b~1." + std::string(MaxOperationKeyBytes, 'x')));
}

TEST_CASE("a claim is granted once, and a resend gets its answer")
{
    const TimePoint now{};
    Ledger ledger("h", "id", Ttl, now);
    const OperationKey key = keyOf(ledger, "1", now);
    CHECK(ledger.claim(key, "d", now).verdict == ClaimVerdict::Granted);
    CHECK(ledger.claim(key, "d", now).verdict == ClaimVerdict::InProgress);
    CHECK(ledger.claim(key, "other", now).verdict == ClaimVerdict::Mismatch);
    REQUIRE(ledger.answered(key.text(), answerWith("done"), now));
    const ClaimResult resend = ledger.claim(key, "d", now);
    CHECK(resend.verdict == ClaimVerdict::Answered);
    REQUIRE(resend.answer);
    CHECK(resend.answer->body == "done");
    CHECK_FALSE(ledger.closeNotRun(key.text(), now));
}

TEST_CASE("a claim closed as not run never runs, and an unknown one is never dispatched again")
{
    const TimePoint now{};
    Ledger ledger("h", "id", Ttl, now);
    const OperationKey closed = keyOf(ledger, "1", now);
    ledger.claim(closed, "d", now);
    REQUIRE(ledger.closeNotRun(closed.text(), now));
    CHECK(ledger.claim(closed, "d", now).verdict == ClaimVerdict::NotRun);
    CHECK_FALSE(ledger.answered(closed.text(), answerWith("late"), now));

    const OperationKey lost = keyOf(ledger, "2", now);
    ledger.claim(lost, "d", now);
    REQUIRE(ledger.markUnknown(lost.text(), now));
    CHECK(ledger.claim(lost, "d", now).verdict == ClaimVerdict::Unknown);
    CHECK_FALSE(ledger.closeNotRun(lost.text(), now));
    REQUIRE(ledger.answered(lost.text(), answerWith("late"), now));
    CHECK(ledger.claim(lost, "d", now).verdict == ClaimVerdict::Answered);
}

TEST_CASE("keys of another ledger, and keys from the future, are never granted")
{
    const TimePoint now{};
    Ledger ledger("h", "new", Ttl, now);
    CHECK(ledger.claim({{"h", "old", {}}, "1"}, "d", now).verdict == ClaimVerdict::ForeignLedger);
    CHECK(ledger.claim({{"other", "new", {}}, "1"}, "d", now).verdict == ClaimVerdict::ForeignLedger);
    CHECK(ledger.claim({{"h", "new", std::chrono::seconds(1)}, "1"}, "d", now).verdict == ClaimVerdict::Expired);
}

TEST_CASE("a forgotten claim is refused by its age, also after the time to keep claims grew")
{
    TimePoint now{};
    Ledger ledger("h", "id", std::chrono::seconds(10), now);
    const OperationKey key = keyOf(ledger, "1", now);
    REQUIRE(ledger.claim(key, "d", now).verdict == ClaimVerdict::Granted);
    ledger.answered(key.text(), answerWith("done"), now);
    now += std::chrono::seconds(11);
    ledger.forgetExpired(now);
    CHECK(ledger.size() == 0);
    CHECK(ledger.claim(key, "d", now).verdict == ClaimVerdict::Expired);
    ledger.setClaimTtl(std::chrono::seconds(1000));
    CHECK(ledger.claim(key, "d", now).verdict == ClaimVerdict::Expired);
}

TEST_CASE("restored claims keep their ends, and one without an end is unknown")
{
    const TimePoint now{};
    Ledger before("h", "id", Ttl, now);
    const OperationKey done = keyOf(before, "1", now);
    const OperationKey open = keyOf(before, "2", now);
    std::vector<LedgerRecord> records;
    before.claim(done, "d", now);
    records.push_back(before.recordOf(done.text(), now));
    before.claim(open, "d", now);
    records.push_back(before.recordOf(open.text(), now));
    records.push_back(*before.answered(done.text(), answerWith("done"), now));

    Ledger after("h", "id", Ttl, now);
    after.restore(records);
    CHECK(after.claim(done, "d", now).answer->body == "done");
    CHECK(after.claim(open, "d", now).verdict == ClaimVerdict::Unknown);
}

TEST_CASE("an answer that is too long is not kept, and a resend is told that nothing is known")
{
    const TimePoint now{};
    Ledger ledger("h", "id", Ttl, now);
    const OperationKey key = keyOf(ledger, "1", now);
    ledger.claim(key, "d", now);
    ledger.answered(key.text(), answerWith(std::string(MaxStoredAnswerBytes + 1, 'x')), now);
    const ClaimResult resend = ledger.claim(key, "d", now);
    CHECK(resend.verdict == ClaimVerdict::Answered);
    CHECK(resend.answer == nullptr);
}
