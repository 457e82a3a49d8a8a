//===- BundleTest.cpp - Checks of a bundle --------------------------------===//
#include "pepperlug/Bundle.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace pepperlug;

namespace
{

std::string exampleText(const std::string &owner)
{
    return readFile(std::string(PEPPERLUG_SOURCE_DIR) + "/examples/" + owner + "/bundle.json");
}

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    const std::size_t at = text.find(from);
    REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

Findings findingsOf(const std::string &text)
{
    try {
        parseBundle(text, "bundle.json");
    } catch (const InvalidInput &ex) {
        return ex.findings();
    }
    return {};
}

bool hasFinding(const Findings &findings, const std::string &path, const std::string &reason)
{
    return std::any_of(findings.begin(), findings.end(), [&](const Finding &it) {
        return it.file == "bundle.json" && it.path == path && it.reason.find(reason) != std::string::npos;
    });
}

} // namespace

TEST_CASE("the examples hold the sizes of today")
{
    for (const auto &[owner, slots] : {std::pair("liftcoop", 6U), std::pair("kemal", 2U)}) {
        const BundlePtr bundle = parseBundle(exampleText(owner), "bundle.json");
        CHECK(bundle->regions.size() == 3);
        CHECK(bundle->zones.size() == 6);
        CHECK(bundle->hosts.size() == 9);
        REQUIRE(bundle->services.size() == 2);
        CHECK(bundle->services[0].targets.size() == 24);
        CHECK(bundle->services[1].targets.size() == 12);
        CHECK(bundle->targets[0].slots == slots);
        CHECK(bundle->targets[0].connections == 100);
    }
}

TEST_CASE("each fault of a bundle is reported with its path, all at once")
{
    std::string text = exampleText("liftcoop");
    text = replaced(text, "\"lease_ms\": 2000", "\"lease_ms\": \"soon\"");
    text = replaced(text, "\"ceiling\": 1.0", "\"ceiling\": 7, \"colour\": 1");
    text = replaced(text, "\"zone\": \"vlaanderen-a\", \"http\": \"127.20.1.1:7100\"",
                    "\"zone\": \"antwerpen\", \"http\": \"host.example:80\"");
    text = replaced(text, "\"name\": \"dispatch-vlaanderen-a-2\"", "\"name\": \"dispatch-vlaanderen-a-1\"");
    const Findings findings = findingsOf(text);
    CHECK(hasFinding(findings, "/policy/lease_ms", "whole number"));
    CHECK(hasFinding(findings, "/policy/ceiling", "from 0.05 to 1"));
    CHECK(hasFinding(findings, "/policy/colour", "not a known key"));
    CHECK(hasFinding(findings, "/entry_hosts/0/zone", "no availability zone"));
    CHECK(hasFinding(findings, "/entry_hosts/0/http", "not an IP address"));
    CHECK(hasFinding(findings, "/services/0/targets/1/name", "given twice"));
}

TEST_CASE("capacities that cannot hold are findings")
{
    const std::string text = exampleText("liftcoop");
    CHECK(
        hasFinding(findingsOf(replaced(text, "\"slots\": 6, \"connections\": 100", "\"slots\": 6, \"connections\": 5")),
                   "/services/0/targets/0/slots", "more than connections"));
    CHECK(hasFinding(
        findingsOf(replaced(text, "\"to\": \"wallonie\", \"slots\": 24", "\"to\": \"wallonie\", \"slots\": 2400")),
        "/shift_caps/0/slots", "more than all slots"));
    CHECK(hasFinding(findingsOf(replaced(text, "\"signatures_required\": 1", "\"signatures_required\": 3")),
                     "/policy/signatures_required", "only 2 operators"));
    CHECK(hasFinding(findingsOf(replaced(text, "\"ceiling\": 1.0", "\"ceiling\": 0.05")), "/services/1/targets",
                     "fewer usable slots than entry hosts"));
}

TEST_CASE("a zone with targets needs an entry host")
{
    const std::string host = R"({"name": "vlaanderen-b-1", "zone": "vlaanderen-b")";
    const Findings findings =
        findingsOf(replaced(exampleText("liftcoop"), host, R"({"name": "vlaanderen-b-1", "zone": "vlaanderen-a")"));
    CHECK(hasFinding(findings, "/services/0/targets", "no entry host that may reach them"));
}

TEST_CASE("a key that is given twice and broken syntax are findings")
{
    CHECK(hasFinding(findingsOf(replaced(exampleText("kemal"), "\"version\": 1", "\"version\": 1, \"version\": 2")),
                     "version", "twice"));
    const Findings findings = findingsOf("{\"owner\": ");
    REQUIRE(findings.size() == 1);
    CHECK(findings[0].reason.find("parse error") != std::string::npos);
}

TEST_CASE("the longest client block decides, for both address families")
{
    ClientMap map;
    CHECK_FALSE(map.add("10.0.0.0/8", makeId<ZoneId>(1)));
    CHECK_FALSE(map.add("10.1.0.0/16", makeId<ZoneId>(2)));
    CHECK_FALSE(map.add("10.1.2.0/24", makeId<ZoneId>(3)));
    CHECK_FALSE(map.add("2001:db8::/32", makeId<ZoneId>(4)));
    CHECK_FALSE(map.add("2001:db8:1::/48", makeId<ZoneId>(5)));
    CHECK_FALSE(map.add("255.255.255.255/32", makeId<ZoneId>(6)));
    CHECK(map.build().empty());
    CHECK(map.find("10.9.9.9") == makeId<ZoneId>(1));
    CHECK(map.find("10.1.9.9") == makeId<ZoneId>(2));
    CHECK(map.find("10.1.2.9") == makeId<ZoneId>(3));
    CHECK(map.find("10.1.3.0") == makeId<ZoneId>(2));
    CHECK(map.find("10.2.0.0") == makeId<ZoneId>(1));
    CHECK(map.find("11.0.0.0") == std::nullopt);
    CHECK(map.find("9.255.255.255") == std::nullopt);
    CHECK(map.find("255.255.255.255") == makeId<ZoneId>(6));
    CHECK(map.find("2001:db8::1") == makeId<ZoneId>(4));
    CHECK(map.find("2001:db8:1::1") == makeId<ZoneId>(5));
    CHECK(map.find("2001:db9::1") == std::nullopt);
    CHECK(map.find("not an address") == std::nullopt);
}

TEST_CASE("client blocks that are no prefixes are refused")
{
    ClientMap map;
    for (const char *block : {"10.0.0.0", "10.0.0.1/8", "10.0.0.0/33", "2001:db8::/65", "x/8", "10.0.0.0/8x"}) {
        CHECK(map.add(block, makeId<ZoneId>(0)).has_value());
    }
    CHECK_FALSE(map.add("10.0.0.0/8", makeId<ZoneId>(0)));
    CHECK_FALSE(map.add("10.0.0.0/8", makeId<ZoneId>(1)));
    CHECK(map.build().size() == 1);
}

TEST_CASE("a request's proof holds for that request only")
{
    const KeyPair keys = makeKeyPair();
    const RequestProof proof = proveRequest("an", keys.secretKey, Milliseconds(5), "POST", "/v1/x", "body");
    CHECK(checkProof(proof, keys.publicKey, "POST", "/v1/x", "body"));
    CHECK_FALSE(checkProof(proof, keys.publicKey, "POST", "/v1/x", "other"));
    CHECK_FALSE(checkProof(proof, keys.publicKey, "POST", "/v1/y", "body"));
    CHECK_FALSE(checkProof(proof, makeKeyPair().publicKey, "POST", "/v1/x", "body"));
    RequestProof later = proof;
    later.time = "6";
    CHECK_FALSE(checkProof(later, keys.publicKey, "POST", "/v1/x", "body"));
}
