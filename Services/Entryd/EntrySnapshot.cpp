#include "EntrySnapshot.h"

namespace Entryd {

std::size_t originOf(const EntrySnapshot &snapshot, const std::string &remoteHost)
{
    const auto *place = snapshot.blocks_ ? snapshot.blocks_->locationOf(remoteHost) : nullptr;
    if (!place)
        return snapshot.localRegion_;
    const auto found = snapshot.regionIndex_.find(place->region_);
    return found == snapshot.regionIndex_.end() ? snapshot.localRegion_ : found->second;
}

} // namespace Entryd
