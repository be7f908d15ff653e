// The signals of a process. A role is asked to stop by SIGTERM or SIGINT and to read its settings file again by SIGHUP;
// it looks at what was asked when it can. The default action of all three ends the process, so the handlers are
// installed before anything else.
#pragma once

namespace calicostall {

// Notes SIGTERM, SIGINT and SIGHUP from now on instead of being ended by them, and ignores SIGPIPE. To be called first
// of all in `main`: a platform may signal a process that has only just been started.
void install_signal_handlers();
// For a command that is no role: the three signals end it, also if one has come already.
void restore_default_signals();

// Whether the process was asked to stop.
bool is_stop_requested();
// Whether it was asked to read its settings again since the last call.
bool take_reload_request();

}  // namespace calicostall
