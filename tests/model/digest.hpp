// Hashing of explicit states: every field that later behaviour depends on is appended, the bytes are hashed by xxHash.
#pragma once
#include <xxhash.h>

#include "common.hpp"

namespace calicostall::model {

// 128 bits, so that two different states in a run of millions share a digest with a chance far below 1e-20.
struct Digest {
    std::uint64_t low = 0, high = 0;
    auto operator<=>(const Digest&) const = default;
};

struct DigestHash {
    size_t operator()(const Digest& digest) const { return digest.low; }
};

// Collects the fields of a state. Lengths go before contents, so that no two lists of fields have the same bytes.
// Example: Digester digester; digester.add(term).add(key); Digest digest = digester.finish();
class Digester {
public:
    Digester() { bytes_.reserve(1024); }
    Digester& add(std::uint64_t number) {
        bytes_.append(reinterpret_cast<const char*>(&number), sizeof number);
        return *this;
    }
    Digester& add(std::string_view text) {
        add(std::uint64_t(text.size()));
        bytes_.append(text);
        return *this;
    }
    Digester& add(const Digest& digest) { return add(digest.low).add(digest.high); }
    template <class Tag, class Number>
    Digester& add(const Strong<Tag, Number>& number) {
        return add(std::uint64_t(number.value));
    }

    Digest finish() const {
        XXH128_hash_t hash = XXH3_128bits(bytes_.data(), bytes_.size());
        return {hash.low64, hash.high64};
    }

private:
    std::string bytes_;
};

}  // namespace calicostall::model
