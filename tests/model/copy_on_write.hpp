// A part of a state that branches share until one of them changes it.
#pragma once
#include "model/digest.hpp"

namespace calicostall::model {

// Copies are cheap and share the value; `change` gives the holder its own. The digest is kept with the value.
// Example: CopyOnWrite<Replica> replica{Replica{}}; replica.change().promised = term;
template <class T>
class CopyOnWrite {
public:
    CopyOnWrite() = default;
    explicit CopyOnWrite(T value) : value_(std::make_shared<T>(std::move(value))) {}

    explicit operator bool() const { return value_ != nullptr; }
    const T& operator*() const { return *value_; }
    const T* operator->() const { return value_.get(); }
    T& change() {
        digest_.reset();
        if (value_.use_count() != 1) value_ = std::make_shared<T>(*value_);
        return *value_;
    }
    void reset() {
        value_.reset();
        digest_.reset();
    }

    // `compute(value, digester)` appends the fields; it is called once after each change.
    template <class Compute>
    Digest digest(Compute compute) const {
        if (!digest_) {
            Digester digester;
            if (value_) compute(*value_, digester);
            digest_ = digester.finish();
        }
        return *digest_;
    }

private:
    std::shared_ptr<T> value_;
    mutable std::optional<Digest> digest_;
};

}  // namespace calicostall::model
