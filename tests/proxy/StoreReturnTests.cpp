#include "proxy/HostDirectory.h"
#include "proxy/RecordedProxy.h"

#include <catch2/catch.hpp>

using namespace Auburnpost;
using namespace Auburnpost::Proxy;
using namespace std::chrono_literals;

namespace {

const StoreEra firstEra(1);
const StoreEra secondEra(2);

ProxySettings settings()
{
    ProxySettings made;
    made.host = HostName("self");
    made.dataCentre = DataCentreName("east");
    return made;
}

/// @return the record of another host.
RecordedProxy::Rows otherHost()
{
    const HostEntry other { HostName("other"), DataCentreName("west"), { "10.2.0.2", 7440 }, { "10.2.0.2", 7455 } };
    return { { "other", HostDirectory::encode(other) } };
}

} // namespace

// Guards against a host that is no home, feeder or relay of others any more, and does not know it.
TEST_CASE("A host writes its record again when it is missing after the store came back from an older copy",
    "[proxy][return]")
{
    RecordedProxy host(settings());
    host.proxy.hostWritten(true);
    REQUIRE(host.delegate.hostWrites == 1);
    host.run(HostDirectory::readInterval);
    CHECK(host.delegate.hostWrites == 1);
    host.returnStore({ 105, secondEra }, { { "config", "10 orders group" } }, RecordedProxy::members());
    host.read(StoreTable::Hosts, { 105, secondEra }, otherHost());
    host.run(HostDirectory::writeRetryInterval);
    CHECK(host.delegate.hostWrites == 2);
}
