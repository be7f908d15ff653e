#include "preview/serve.hpp"

namespace calicostall {

PreviewReads::PreviewReads(bool on, const SnapshotLimits& limits) : on_(on), limits_(limits), pause_(limits.apart) {}

Response PreviewReads::answer(Taken taken) const {
    if (!taken.snapshot) return std::move(taken.refusal);
    std::string bytes = pack_snapshot(*taken.snapshot);
    return bytes.size() > limits_.bytes ? too_large() : Response::cbor(std::move(bytes));
}

Response PreviewReads::refused(int code, std::string text) {
    Response response = Response::text(code, std::move(text));
    response.retry_after_s = 1;
    return response;
}

Response PreviewReads::too_large() const {
    return Response::text(413, fmt::format("the snapshot would be larger than {} bytes\n", limits_.bytes));
}

}  // namespace calicostall
