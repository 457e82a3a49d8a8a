//===- Proof.cpp - What operators sign ------------------------------------===//
#include "pepperlug/Bundle.h"

namespace pepperlug
{

namespace
{

constexpr std::size_t NonceBytes = 16;

std::string proofText(const RequestProof &proof, const std::string &method, const std::string &path,
                      const std::string &body)
{
    return "pepperlug-request\n" + proof.operatorName + "\n" + proof.time + "\n" + proof.nonce + "\n" + method + "\n"
        + path + "\n" + digestHex(body);
}

} // namespace

std::string signOffText(std::uint64_t version, const std::string &digest)
{
    return "pepperlug-bundle\n" + std::to_string(version) + "\n" + digest;
}

RequestProof proveRequest(const std::string &operatorName, const std::string &secretKey, Milliseconds wallTime,
                          const std::string &method, const std::string &path, const std::string &body)
{
    RequestProof proof{operatorName, std::to_string(wallTime.count()), randomHex(NonceBytes), {}};
    proof.signature = signText(proofText(proof, method, path, body), secretKey);
    return proof;
}

bool checkProof(const RequestProof &proof, const std::string &publicKey, const std::string &method,
                const std::string &path, const std::string &body)
{
    return verifyText(proofText(proof, method, path, body), proof.signature, publicKey);
}

} // namespace pepperlug
