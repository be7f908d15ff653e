// The configuration that this daemon passes on: the own replica's, or outside the membership the one that was located
// when that is newer. Owns what is remembered of both so that no text is read twice.
#pragma once
#include "common.hpp"
#include "control/store/replica.hpp"
#include "shared/discovery/leader_locator.hpp"

namespace calicostall {

// `text` is null when there is no configuration; it is valid until the register or the reader changes.
struct PublishedConfig {
    std::uint64_t revision = 0;
    const std::string* text = nullptr;
};

// Example: PublishedConfig config = reader.read(replica, nullptr); if (config.text) send(*config.text);
class PublishedConfigReader {
public:
    // `locator`: null for a member, which goes by its own replica alone.
    PublishedConfig read(const Replica& replica, const LeaderLocator* locator);

private:
    PublishedConfig read_register(const Replica& replica);

    // Of the register whose revision was read last.
    Version version_;
    Term term_;
    std::uint64_t revision_ = 0;
    std::string located_text_;
};

}  // namespace calicostall
