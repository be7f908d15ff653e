// A client's or an operator's HTTP call on its way to the leader, and the leader's response: POST /inner/call.
#pragma once
#include "common.hpp"
#include "shared/wire/codec.hpp"

namespace calicostall {

struct CallRequest {
    std::string method, host, path, body, if_match;
    bool is_relayed = false;  // by a daemon that isn't the leader; such a call is not relayed again
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) {
        visit(method), visit(host), visit(path), visit(body), visit(if_match), visit(is_relayed);
    }
};

// The numbers are those of the wire.
enum class CallOutcome {
    completed,     // the response is the leader's
    not_executed,  // surely nothing was done
    unknown,       // it may have been done
};

struct CallResponse {
    CallOutcome outcome = CallOutcome::not_executed;
    std::int64_t code = 0;  // HTTP status, of a completed call
    std::string body;
    std::int64_t retry_after_s = 0;
    std::string location;  // where the caller is to go, with code 307
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) {
        visit(outcome), visit(code), visit(body), visit(retry_after_s), visit(location);
    }
};

}  // namespace calicostall
