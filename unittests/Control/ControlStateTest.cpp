//===- ControlStateTest.cpp - Life cycle of a bundle, races and resends ---===//
#include "pepperlug/Control.h"

#include <catch2/catch.hpp>

using namespace pepperlug;

namespace
{

struct TestOperator {
    std::string name;
    KeyPair keys = makeKeyPair();
};

class OperatorsFixture
{
public:
    OperatorsFixture()
        : author{"an"}
        , signer{"bert"}
        , state({{"an", author.keys.publicKey}, {"bert", signer.keys.publicKey}})
    {
    }

    /// Returns the example bundle with these operators, the version, and a comment that makes its digest differ.
    std::string text(std::uint64_t version, const std::string &comment = "") const
    {
        std::string text = readFile(std::string(PEPPERLUG_SOURCE_DIR) + "/examples/liftcoop/bundle.json");
        replace(text, "\"version\": 1", "\"version\": " + std::to_string(version));
        for (const TestOperator *it : {&author, &signer}) {
            const std::string marker = "\"name\": \"" + it->name + "\", \"public_key\": \"";
            const std::size_t at = text.find(marker) + marker.size();
            text.replace(at, 64, it->keys.publicKey);
        }
        return text + "// " + comment + "\n";
    }

    CommandResult propose(std::uint64_t version, const std::string &bundle, const std::string &who = "an")
    {
        return state.apply({CommandKind::Propose, who, version, digestHex(bundle), bundle, "", ""}, ++index);
    }

    CommandResult sign(std::uint64_t version, const std::string &bundle, const TestOperator &who)
    {
        const std::string digest = digestHex(bundle);
        return state.apply({CommandKind::Sign, who.name, version, digest, "",
                            signText(signOffText(version, digest), who.keys.secretKey), ""},
                           ++index);
    }

    CommandResult rollout(std::uint64_t version, const std::string &bundle)
    {
        return state.apply({CommandKind::Rollout, "an", version, digestHex(bundle), "", "", ""}, ++index);
    }

    void putInForce(std::uint64_t version)
    {
        const std::string bundle = text(version);
        REQUIRE(propose(version, bundle).status == CommandStatus::Done);
        REQUIRE(sign(version, bundle, signer).status == CommandStatus::Done);
        REQUIRE(rollout(version, bundle).status == CommandStatus::Done);
    }

    TestOperator author;
    TestOperator signer;
    ControlState state;
    std::uint64_t index = 0;

private:
    static void replace(std::string &text, const std::string &from, const std::string &to)
    {
        text.replace(text.find(from), from.size(), to);
    }
};

} // namespace

TEST_CASE("a bundle is proposed, signed off and put in force")
{
    OperatorsFixture fixture;
    const std::string bundle = fixture.text(1);
    CHECK(fixture.propose(1, bundle).status == CommandStatus::Done);
    CHECK(fixture.rollout(1, bundle).status == CommandStatus::Refused);
    CHECK(fixture.sign(1, bundle, fixture.signer).status == CommandStatus::Done);
    CHECK(fixture.rollout(1, bundle).status == CommandStatus::Done);
    CHECK(fixture.state.versionInForce() == 1);
    CHECK(fixture.state.config().index == fixture.index);
}

TEST_CASE("a repeated command has no further effect")
{
    OperatorsFixture fixture;
    const std::string bundle = fixture.text(1);
    fixture.propose(1, bundle);
    CHECK(fixture.propose(1, bundle).status == CommandStatus::AlreadyDone);
    fixture.sign(1, bundle, fixture.signer);
    CHECK(fixture.sign(1, bundle, fixture.signer).status == CommandStatus::AlreadyDone);
    fixture.rollout(1, bundle);
    const std::uint64_t index = fixture.state.config().index;
    CHECK(fixture.rollout(1, bundle).status == CommandStatus::AlreadyDone);
    CHECK(fixture.state.config().index == index);
    fixture.putInForce(2);
    CHECK(fixture.propose(1, bundle).status == CommandStatus::AlreadyDone);
    CHECK(fixture.rollout(1, bundle).status == CommandStatus::AlreadyDone);
    CHECK(fixture.state.versionInForce() == 2);
}

TEST_CASE("two operators race for one version: the loser is answered with the winner")
{
    OperatorsFixture fixture;
    const std::string first = fixture.text(1, "first");
    const std::string second = fixture.text(1, "second");
    CHECK(fixture.propose(1, first).status == CommandStatus::Done);
    for (int n = 0; n < 2; ++n) { // the loser resends as well
        const CommandResult lost = fixture.propose(1, second, "bert");
        CHECK(lost.status == CommandStatus::Conflict);
        CHECK(lost.winnerDigest == digestHex(first));
        CHECK(lost.winnerAuthor == "an");
    }
    CHECK(fixture.propose(1, first).status == CommandStatus::AlreadyDone);
    CHECK(fixture.sign(1, second, fixture.signer).status == CommandStatus::Conflict);
    CHECK(fixture.rollout(1, second).status == CommandStatus::Conflict);
}

TEST_CASE("a signature counts only from a signer other than the author, and for that bundle")
{
    OperatorsFixture fixture;
    const std::string bundle = fixture.text(1);
    fixture.propose(1, bundle);
    CHECK(fixture.sign(1, bundle, fixture.author).status == CommandStatus::Refused);
    TestOperator outsider{"cleo"};
    CHECK(fixture.sign(1, bundle, outsider).status == CommandStatus::Refused);
    TestOperator forger{"bert"};
    CHECK(fixture.sign(1, bundle, forger).status == CommandStatus::Refused);
    CHECK(fixture.rollout(1, bundle).status == CommandStatus::Refused);
}

TEST_CASE("the version in force never decreases")
{
    OperatorsFixture fixture;
    fixture.putInForce(1);
    const std::string second = fixture.text(2);
    fixture.propose(2, second);
    fixture.sign(2, second, fixture.signer);
    fixture.putInForce(3);
    CHECK(fixture.rollout(2, second).status == CommandStatus::Refused);
    CHECK(fixture.propose(2, fixture.text(2, "other")).status == CommandStatus::Conflict);
    CHECK(fixture.state.versionInForce() == 3);
}

TEST_CASE("drains and void hosts advance the configuration index; unknown names are refused")
{
    OperatorsFixture fixture;
    CHECK(fixture.state.apply({CommandKind::DrainTarget, "an", 0, "", "", "", "dispatch-brussel-a-1"}, 1).status
          == CommandStatus::Refused);
    fixture.putInForce(1);
    CHECK(fixture.state.apply({CommandKind::DrainTarget, "an", 0, "", "", "", "nobody"}, 10).status
          == CommandStatus::Refused);
    CHECK(fixture.state.apply({CommandKind::DrainTarget, "an", 0, "", "", "", "dispatch-brussel-a-1"}, 11).status
          == CommandStatus::Done);
    CHECK(fixture.state.apply({CommandKind::DrainTarget, "an", 0, "", "", "", "dispatch-brussel-a-1"}, 12).status
          == CommandStatus::AlreadyDone);
    CHECK(fixture.state.config().index == 11);
    CHECK(fixture.state.apply({CommandKind::VoidHost, "c1", 0, "", "", "", "brussel-a-1"}, 13).status
          == CommandStatus::Done);
    CHECK(fixture.state.config().voidHosts == std::vector<std::string>{"brussel-a-1"});
    CHECK(fixture.state.apply({CommandKind::UndrainTarget, "an", 0, "", "", "", "dispatch-brussel-a-1"}, 14).status
          == CommandStatus::Done);
    CHECK(fixture.state.config().drainedTargets.empty());
}

TEST_CASE("a snapshot contains the whole state")
{
    OperatorsFixture fixture;
    fixture.putInForce(1);
    fixture.propose(2, fixture.text(2));
    fixture.state.apply({CommandKind::DrainHost, "an", 0, "", "", "", "brussel-a-1"}, 20);
    ControlState restored({});
    restored.restore(fixture.state.snapshot());
    CHECK(restored.config() == fixture.state.config());
    CHECK(restored.versionInForce() == 1);
    CHECK(restored.bundles().size() == 2);
    CHECK(restored.keyFor("bert", CommandKind::Sign) == fixture.signer.keys.publicKey);
    CHECK_THROWS_AS(restored.restore("not a snapshot"), Error);
}

TEST_CASE("the roles in the bundle in force determine who may issue which commands")
{
    OperatorsFixture fixture;
    fixture.putInForce(1);
    CHECK(fixture.state.keyFor("an", CommandKind::Propose));
    CHECK_FALSE(fixture.state.keyFor("an", CommandKind::Sign));
    CHECK(fixture.state.keyFor("bert", CommandKind::DrainTarget));
    CHECK_FALSE(fixture.state.keyFor("bert", CommandKind::Propose));
    CHECK_FALSE(fixture.state.keyFor("nobody", CommandKind::Propose));
}
