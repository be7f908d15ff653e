/// The core as one daemon knows it: by its own replica's register, or by a later one that somebody showed it. Pure.
///
/// A later core is always safe to go by, whoever tells of it (see `Owner`), and a daemon that goes by an older one may
/// be needed: say {A, B} became {A, B, C} while B was away, and A's disk is lost. B would wait for A for good, and C
/// for B's vote, which B doesn't give to one that it doesn't know. So a candidate shows its core to everyone it asks.
#pragma once
#include "common.hpp"
#include "control/store/register.hpp"
#include "shared/wire/cbor.hpp"

namespace calicostall {

/// Example: if (known_core.take(ask.core)) follow(known_core.core());
class KnownCore {
public:
    /// Goes by the core in this register from now on, if it is later than the one that is known. Returns whether it is.
    bool take(const Register& value) {
        const bool later = value_.moving.empty() || value.newer_than(value_);
        if (value.moving.empty() || !later) return false;
        std::optional<Core> core = unpack<Core>(value.moving);
        if (!core) return false;
        core_ = std::move(*core);
        value_ = value;
        return true;
    }
    /// Without members as long as nothing is known.
    const Core& core() const { return core_; }
    /// What a candidate shows to those it asks; empty as long as nothing is known.
    const Register& value() const { return value_; }

private:
    Core core_;
    Register value_;
};

}  // namespace calicostall
