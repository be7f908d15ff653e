// What a proposed change moves, queue by queue.
#pragma once
#include "preview/outlook.hpp"
#include "preview/snapshot.hpp"
#include "shared/settings/config.hpp"

namespace calicostall {

// Tasks of one queue that fare otherwise with the change.
struct Moved {
    std::string name;
    std::int64_t priority = 0;
    size_t sooner = 0;
    size_t later = 0;
    size_t elsewhere = 0;  // on another worker
    size_t lands_now = 0;  // with the change, and not without
    size_t lands_no_more = 0;
    size_t pushed_more = 0;
    size_t pushed_less = 0;
};

// One for each queue of the configuration with the change, the most urgent first.
// Example: for (const Moved& moved : moved_between(snapshot, changed_config, stands, changed)) ...
std::vector<Moved> moved_between(const Snapshot& snapshot, const Config& changed_config, const Outlook& stands,
                                 const Outlook& changed);

}  // namespace calicostall
