// Fetching a configuration's text that the cluster-state watch announced, POST /inner/config.
#pragma once
#include "common.hpp"
#include "shared/wire/codec.hpp"

namespace calicostall {

// Asks for the text of a configuration that is at least so new.
struct ConfigTextRequest {
    std::uint64_t min_revision = 0;
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) {
        visit(min_revision);
    }
};

// The newest text that the daemon has; revision 0 and no text when that is older than what was asked for.
struct ConfigTextResponse {
    std::uint64_t revision = 0;
    std::string text;
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) {
        visit(revision), visit(text);
    }
};

}  // namespace calicostall
