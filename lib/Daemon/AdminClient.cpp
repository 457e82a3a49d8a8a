//===- AdminClient.cpp - Commands to the control hosts --------------------===//
//
// A command is sent to one control host after the other until one that leads takes it. Sending it twice is safe: the
// same command gets the first answer again.
//
//===----------------------------------------------------------------------===//
#include "HttpStatus.h"
#include "pepperlug/Daemon.h"

#include <algorithm>

namespace pepperlug
{

namespace
{

constexpr auto AskTimeout = std::chrono::seconds(10);
constexpr std::size_t MaxReplyBytes = 64 << 20;

} // namespace

AdminClient::AdminClient(std::vector<Address> control, const Clock &clock)
    : m_control(std::move(control))
    , m_clock(clock)
    , m_client(std::make_unique<HttpClient>(MaxReplyBytes))
{
}

AdminClient::~AdminClient() = default;

void AdminClient::setOperator(std::string name, std::string secretKey)
{
    m_operator = std::move(name);
    m_secretKey = std::move(secretKey);
}

AdminReply AdminClient::get(const std::string &path)
{
    return ask("GET", path, {});
}

AdminReply AdminClient::post(const std::string &path, const nlohmann::json &body)
{
    return ask("POST", path, jsonText(body));
}

AdminReply AdminClient::ask(const std::string &method, const std::string &path, const std::string &body)
{
    std::string reasons;
    std::vector<Address> queue = m_control;
    std::vector<Address> asked;
    while (!queue.empty()) {
        const Address address = queue.front();
        queue.erase(queue.begin());
        if (std::find(asked.begin(), asked.end(), address) != asked.end()) {
            continue;
        }
        asked.push_back(address);
        HttpCall call;
        call.to = address;
        call.method = method;
        call.resource = path;
        call.timeout = AskTimeout;
        call.mayRepeat = true;
        call.headers = {{"Host", address.text()}, {"Connection", "keep-alive"}};
        if (!body.empty()) {
            call.headers.push_back({"Content-Type", "application/json"});
            call.body = std::make_shared<const std::string>(body);
        }
        if (!m_operator.empty()) {
            const RequestProof proof = proveRequest(m_operator, m_secretKey, m_clock.wallTime(), method, path, body);
            call.headers.push_back({"Pepperlug-Operator", proof.operatorName});
            call.headers.push_back({"Pepperlug-Time", proof.time});
            call.headers.push_back({"Pepperlug-Nonce", proof.nonce});
            call.headers.push_back({"Pepperlug-Signature", proof.signature});
        }
        const HttpResult result = fetch(*m_client, std::move(call));
        if (result.kind != HttpResult::Kind::Answered) {
            reasons += (reasons.empty() ? "" : "; ") + address.text() + ": " + result.reason;
            continue;
        }
        const nlohmann::json reply = nlohmann::json::parse(result.answer.body, nullptr, false);
        if (reply.is_discarded()) {
            reasons += (reasons.empty() ? "" : "; ") + address.text() + ": the reply is not JSON";
            continue;
        }
        if (result.answer.status == MisdirectedRequest) {
            reasons += (reasons.empty() ? "" : "; ") + address.text() + ": does not lead";
            if (const auto leader = Address::parse(reply.value("leader", std::string()))) {
                queue.insert(queue.begin(), *leader);
            }
            continue;
        }
        return {result.answer.status, reply};
    }
    throw Error("ask control", "", reasons);
}

} // namespace pepperlug
