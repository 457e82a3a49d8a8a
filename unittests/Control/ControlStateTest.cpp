//===- ControlStateTest.cpp - Life of a bundle, races and resends ---------===//
#include "pepperlug/Control.h"

#include <catch2/catch.hpp>

using namespace pepperlug;

namespace
{

struct Actor {
    std::string name;
    KeyPair keys = makeKeyPair();
};

class Office
{
public:
    Office()
        : author{"an"}
        , signer{"bert"}
        , state({{"an", author.keys.publicKey}, {"bert", signer.keys.publicKey}})
    {
    }

    /// The example with these operators, a version and a comment that makes its digest differ.
    std::string text(std::uint64_t version, const std::string &comment = "") const
    {
        std::string text = readFile(std::string(PEPPERLUG_SOURCE_DIR) + "/examples/liftcoop/bundle.json");
        replace(text, "\"version\": 1", "\"version\": " + std::to_string(version));
        for (const Actor *actor : {&author, &signer}) {
            const std::string marker = "\"name\": \"" + actor->name + "\", \"public_key\": \"";
            const std::size_t at = text.find(marker) + marker.size();
            text.replace(at, 64, actor->keys.publicKey);
        }
        return text + "// " + comment + "\n";
    }

    CommandResult propose(std::uint64_t version, const std::string &bundle, const std::string &who = "an")
    {
        return state.apply({CommandKind::Propose, who, version, digestHex(bundle), bundle, "", ""}, ++index);
    }

    CommandResult sign(std::uint64_t version, const std::string &bundle, const Actor &who)
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

    Actor author;
    Actor signer;
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
    Office office;
    const std::string bundle = office.text(1);
    CHECK(office.propose(1, bundle).status == CommandStatus::Done);
    CHECK(office.rollout(1, bundle).status == CommandStatus::Refused);
    CHECK(office.sign(1, bundle, office.signer).status == CommandStatus::Done);
    CHECK(office.rollout(1, bundle).status == CommandStatus::Done);
    CHECK(office.state.versionInForce() == 1);
    CHECK(office.state.config().index == office.index);
}

TEST_CASE("the same command again gets the first answer")
{
    Office office;
    const std::string bundle = office.text(1);
    office.propose(1, bundle);
    CHECK(office.propose(1, bundle).status == CommandStatus::AlreadyDone);
    office.sign(1, bundle, office.signer);
    CHECK(office.sign(1, bundle, office.signer).status == CommandStatus::AlreadyDone);
    office.rollout(1, bundle);
    const std::uint64_t index = office.state.config().index;
    CHECK(office.rollout(1, bundle).status == CommandStatus::AlreadyDone);
    CHECK(office.state.config().index == index);
    office.putInForce(2);
    CHECK(office.propose(1, bundle).status == CommandStatus::AlreadyDone);
    CHECK(office.rollout(1, bundle).status == CommandStatus::AlreadyDone);
    CHECK(office.state.versionInForce() == 2);
}

TEST_CASE("two operators race with one version: the loser is told who won")
{
    Office office;
    const std::string first = office.text(1, "first");
    const std::string second = office.text(1, "second");
    CHECK(office.propose(1, first).status == CommandStatus::Done);
    for (int n = 0; n < 2; ++n) { // the loser resends, too
        const CommandResult lost = office.propose(1, second, "bert");
        CHECK(lost.status == CommandStatus::Conflict);
        CHECK(lost.winnerDigest == digestHex(first));
        CHECK(lost.winnerAuthor == "an");
    }
    CHECK(office.propose(1, first).status == CommandStatus::AlreadyDone);
    CHECK(office.sign(1, second, office.signer).status == CommandStatus::Conflict);
    CHECK(office.rollout(1, second).status == CommandStatus::Conflict);
}

TEST_CASE("a signature counts only from a signer other than the author, and for that bundle")
{
    Office office;
    const std::string bundle = office.text(1);
    office.propose(1, bundle);
    CHECK(office.sign(1, bundle, office.author).status == CommandStatus::Refused);
    Actor stranger{"cleo"};
    CHECK(office.sign(1, bundle, stranger).status == CommandStatus::Refused);
    Actor forger{"bert"};
    CHECK(office.sign(1, bundle, forger).status == CommandStatus::Refused);
    CHECK(office.rollout(1, bundle).status == CommandStatus::Refused);
}

TEST_CASE("what is in force never reverts")
{
    Office office;
    office.putInForce(1);
    const std::string second = office.text(2);
    office.propose(2, second);
    office.sign(2, second, office.signer);
    office.putInForce(3);
    CHECK(office.rollout(2, second).status == CommandStatus::Refused);
    CHECK(office.propose(2, office.text(2, "other")).status == CommandStatus::Conflict);
    CHECK(office.state.versionInForce() == 3);
}

TEST_CASE("drains and void hosts move the configuration forward, and only for names of the bundle")
{
    Office office;
    CHECK(office.state.apply({CommandKind::DrainTarget, "an", 0, "", "", "", "dispatch-brussel-a-1"}, 1).status
          == CommandStatus::Refused);
    office.putInForce(1);
    CHECK(office.state.apply({CommandKind::DrainTarget, "an", 0, "", "", "", "nobody"}, 10).status
          == CommandStatus::Refused);
    CHECK(office.state.apply({CommandKind::DrainTarget, "an", 0, "", "", "", "dispatch-brussel-a-1"}, 11).status
          == CommandStatus::Done);
    CHECK(office.state.apply({CommandKind::DrainTarget, "an", 0, "", "", "", "dispatch-brussel-a-1"}, 12).status
          == CommandStatus::AlreadyDone);
    CHECK(office.state.config().index == 11);
    CHECK(office.state.apply({CommandKind::VoidHost, "c1", 0, "", "", "", "brussel-a-1"}, 13).status
          == CommandStatus::Done);
    CHECK(office.state.config().voidHosts == std::vector<std::string>{"brussel-a-1"});
    CHECK(office.state.apply({CommandKind::UndrainTarget, "an", 0, "", "", "", "dispatch-brussel-a-1"}, 14).status
          == CommandStatus::Done);
    CHECK(office.state.config().drainedTargets.empty());
}

TEST_CASE("a snapshot holds all")
{
    Office office;
    office.putInForce(1);
    office.propose(2, office.text(2));
    office.state.apply({CommandKind::DrainHost, "an", 0, "", "", "", "brussel-a-1"}, 20);
    ControlState restored({});
    restored.restore(office.state.snapshot());
    CHECK(restored.config() == office.state.config());
    CHECK(restored.versionInForce() == 1);
    CHECK(restored.bundles().size() == 2);
    CHECK(restored.keyFor("bert", CommandKind::Sign) == office.signer.keys.publicKey);
    CHECK_THROWS_AS(restored.restore("not a snapshot"), Error);
}

TEST_CASE("roles of the bundle in force decide who may do what")
{
    Office office;
    office.putInForce(1);
    CHECK(office.state.keyFor("an", CommandKind::Propose));
    CHECK_FALSE(office.state.keyFor("an", CommandKind::Sign));
    CHECK(office.state.keyFor("bert", CommandKind::DrainTarget));
    CHECK_FALSE(office.state.keyFor("bert", CommandKind::Propose));
    CHECK_FALSE(office.state.keyFor("nobody", CommandKind::Propose));
}
