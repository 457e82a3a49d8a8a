//===- WithoutMajorityTest.cpp - A control host without a majority ------------===//
//
// Guards against changes that wait for a control host without a majority. It can't receive what the others commit, so
// it could never confirm a change. Entry hosts that poll it are redirected to others, and a lease later it reports that
// no host uses its state any more.
//
//===----------------------------------------------------------------------===//
#include "Fleet/FleetMessages.h"
#include "Fleet/System.h"
#include "pepperlug/Wire.h"

using namespace pepperlug;
using namespace pepperlug::fleet;
using namespace pepperlug::fleet::test;

namespace
{

constexpr std::uint16_t PeerPort = 17110;
constexpr std::uint16_t OperatorsPort = 17111;

/// Stands in for another control host: records the polls that it receives and never answers, so that there is no
/// majority.
class SilentPeer
{
public:
    explicit SilentPeer(const Address &at)
    {
        m_net.listen(at, [this](const IncomingCallPtr &call) {
            if (call->path() == fleet::path::FleetWatch) {
                const std::lock_guard lock(m_mutex);
                m_confirmed.push_back(decode<FleetWatchCall>(call->body(), call->peer()).confirmed);
            }
        });
    }

    ~SilentPeer()
    {
        m_net.stop();
    }

    SilentPeer(const SilentPeer &) = delete;
    SilentPeer &operator=(const SilentPeer &) = delete;

    /// Returns what each received poll reported as confirmed.
    std::vector<UpdateVersions> confirmed() const
    {
        const std::lock_guard lock(m_mutex);
        return m_confirmed;
    }

private:
    mutable std::mutex m_mutex;
    std::vector<UpdateVersions> m_confirmed;
    PeerNet m_net;
};

} // namespace

TEST_CASE("changes don't wait for a control host without a majority once its lease is over")
{
    const std::filesystem::path folder =
        std::filesystem::temp_directory_path() / ("pepperlug-majority-" + randomHex(8));
    std::filesystem::create_directories(folder);
    FleetSettings settings;
    settings.name = "control";
    settings.zone = "z1";
    settings.regionOfZone = {{"z1", "r1"}};
    settings.maxBodyBytes = settings.maxAnswerBytes = 1 << 20;
    settings.peer = addressOn(11, PeerPort);
    settings.operators = addressOn(11, OperatorsPort);
    settings.directory = addressOn(11, 17112);
    settings.metrics = addressOn(11, 17113);
    settings.seeds = {settings.operators, addressOn(12, OperatorsPort), addressOn(13, OperatorsPort)};
    settings.dataFolder = folder;
    settings.isFirstStart = true;
    const SilentPeer peer(addressOn(12, PeerPort));
    const SteadyClock clock;
    {
        const RegistryDaemon registry(settings, clock, controlDialect<platform::Control>());
        REQUIRE(System::eventually([&] { return !peer.confirmed().empty(); }));
        CHECK(peer.confirmed().front() == UpdateVersions{}); // some hosts may use its earlier state
        CHECK(System::eventually([&] { return peer.confirmed().back() == UpdateVersions::max(); }));
    }
    std::filesystem::remove_all(folder);
}
