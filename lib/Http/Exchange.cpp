//===- Exchange.cpp - What a handler gets of a request --------------------===//
#include "Exchange.h"

#include "AnswerEncoder.h"

namespace pepperlug
{

namespace
{

class Exchange final : public HttpExchange
{
public:
    Exchange(std::shared_ptr<Connection> connection, SlotPtr slot)
        : m_request(std::move(slot->request))
        , m_share(std::move(slot->share))
        , m_connection(std::move(connection))
        , m_slot(std::move(slot))
        , m_keepAlive(m_slot->keepsAlive)
    {
    }

    const HttpRequest &request() const override
    {
        return m_request;
    }

    void respond(const Answer &answer) override
    {
        const bool keepAlive = m_connection->keepsAlive(m_slot, m_keepAlive);
        m_connection->complete(m_slot, encodeAnswer(answer, m_request.method == "HEAD", keepAlive), !keepAlive);
    }

    void begin(const Answer &head, std::uint64_t length) override
    {
        const bool keepAlive = m_connection->keepsAlive(m_slot, m_keepAlive);
        m_connection->begin(m_slot, encodeHead(head, length, keepAlive), length, !keepAlive);
    }

    void more(std::string_view part) override
    {
        m_connection->add(m_slot, part);
    }

    bool hasRoomForMore() override
    {
        return m_connection->hasRoomForMore(m_slot);
    }

    void abort(const Answer &inPlace) override
    {
        const bool keepAlive = m_connection->keepsAlive(m_slot, m_keepAlive);
        m_connection->abort(m_slot, encodeAnswer(inPlace, m_request.method == "HEAD", keepAlive), !keepAlive);
    }

    bool takeBack() override
    {
        return m_connection->takeBack(m_slot);
    }

    void onDeparture(std::function<void()> handler) override
    {
        if (!m_connection->setDeparture(m_slot, handler)) {
            handler();
        }
    }

    void onEnd(std::function<void(const AnswerEnd &)> handler) override
    {
        if (!m_connection->setEnd(m_slot, handler)) {
            handler({AnswerCut::CallerLeft, 0});
        }
    }

private:
    HttpRequest m_request;
    IntakeShare m_share; ///< of what the request holds
    std::shared_ptr<Connection> m_connection;
    SlotPtr m_slot;
    bool m_keepAlive;
};

} // namespace

HttpExchangePtr makeExchange(std::shared_ptr<Connection> connection, const SlotPtr &slot)
{
    return std::make_shared<Exchange>(std::move(connection), slot);
}

const char *nameOf(AnswerCut cause)
{
    switch (cause) {
    case AnswerCut::CallerLeft:
        return "caller-left";
    case AnswerCut::NotRead:
        return "not-read";
    case AnswerCut::BrokeOff:
        return "broke-off";
    case AnswerCut::Behind:
        return "behind-a-broken-answer";
    case AnswerCut::HostStopped:
        return "host-stopped";
    }
    return "caller-left";
}

} // namespace pepperlug
