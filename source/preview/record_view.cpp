#include "preview/record_view.hpp"

namespace calicostall {

bool SnapshotPause::grant(Micros now) {
    if (last_ && now - *last_ < apart_) return false;
    last_ = now;
    return true;
}

}  // namespace calicostall
