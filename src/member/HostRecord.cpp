#include "member/HostRecord.h"

namespace Auburnpost::Member {

std::string_view toString(HostState state)
{
    switch (state) {
    case HostState::Alive:
        return "alive";
    case HostState::Leaving:
        return "leaving";
    case HostState::Suspect:
        return "suspect";
    case HostState::Dead:
        return "dead";
    }
    return "dead";
}

HostState HostRecord::state() const
{
    switch (health) {
    case HostHealth::Alive:
        return leaving ? HostState::Leaving : HostState::Alive;
    case HostHealth::Suspect:
        return HostState::Suspect;
    case HostHealth::Dead:
        return HostState::Dead;
    }
    return HostState::Dead;
}

} // namespace Auburnpost::Member
