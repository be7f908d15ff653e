// The only request that a preview sends: it reads a snapshot from a control daemon.
#pragma once
#include "common.hpp"
#include "shared/diagnostics/finding.hpp"

namespace calicostall {

// Asks one daemon after the other until one returns an encoded snapshot; a daemon that is not the leader redirects to
// it. A daemon that returned one to another reader just before is asked once more after `retry_delay`. `daemons` are
// "HOST:PORT"; `max_bytes` bounds a response; `timeout` (microseconds) bounds each request. Nothing if no daemon
// returned one: then there is a finding for each of them. Example: Findings findings; auto bytes =
// fetch_snapshot({"10.0.0.4:7720"}, findings);
std::optional<std::string> fetch_snapshot(const std::vector<std::string>& daemons, Findings& findings,
                                          size_t max_bytes = 64 << 20, Micros timeout = seconds(10),
                                          Micros retry_delay = milliseconds(1100));

}  // namespace calicostall
