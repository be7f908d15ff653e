// What makes a struct a frame: a message, or a part of one, that is encoded as a CBOR array of its fields.
#pragma once
#include "common.hpp"

namespace calicostall {

// A struct becomes a frame by the alias `IsFrame` and by listing its fields once, in the order of the wire:
//   struct Point {
//       int x = 0, y = 0;
//       using IsFrame = void;
//       template <class Visitor>
//       void describe(Visitor& visit) {
//           visit(x), visit(y);
//       }
//   };
// The encoding is positional: names don't enter it. A field may be added at the end only; readers that don't know it
// skip it.
template <class T>
concept Frame = requires {
    typename T::IsFrame;
};

}  // namespace calicostall
