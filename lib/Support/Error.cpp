//===- Error.cpp - Errors with step and peer, and findings ----------------===//
#include "pepperlug/Support.h"

#include <numeric>

namespace pepperlug
{

namespace
{

std::string describe(const std::string &step, const std::string &peer, const std::string &reason)
{
    if (peer.empty()) {
        return step + ": " + reason;
    }
    return step + " (" + peer + "): " + reason;
}

std::string joinFindings(const Findings &findings)
{
    return std::accumulate(findings.begin(), findings.end(), std::string(), [](std::string all, const Finding &it) {
        return all.empty() ? it.text() : std::move(all) + "\n" + it.text();
    });
}

} // namespace

Error::Error(std::string step, std::string peer, const std::string &reason)
    : std::runtime_error(describe(step, peer, reason))
    , m_step(std::move(step))
    , m_peer(std::move(peer))
    , m_reason(reason)
{
}

const std::string &Error::step() const
{
    return m_step;
}

const std::string &Error::peer() const
{
    return m_peer;
}

const std::string &Error::reason() const
{
    return m_reason;
}

std::string Finding::text() const
{
    return file + ": " + (path.empty() ? "/" : path) + ": " + reason;
}

InvalidInput::InvalidInput(Findings findings)
    : Error("check", findings.empty() ? std::string() : findings.front().file, joinFindings(findings))
    , m_findings(std::move(findings))
{
}

const Findings &InvalidInput::findings() const
{
    return m_findings;
}

} // namespace pepperlug
