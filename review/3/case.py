"""One timed job whose times have come: every daemon that leads stops answering."""
import os
import sys
import time

FOLDER = os.path.dirname(os.path.realpath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins"))
import rig as r  # noqa: E402

ORDINARY, TIMED = "00000000000000a1", "00000000000000b2"
REPEATS, INTERVAL_MS = 1000000, 1000  # a time each second
FINISH_S = r.BOUNDS["finish_s"]
ASKED_FOR_S = 20  # and so long after finish_s


def case(rig, trouble):
    rig.begin([r.Rig.route("/match/"), r.Rig.route("/settle/", priority=1)])
    for number in (1, 2, 3):
        rig.add_worker(f"side-{number}", f"i-{number}")
    time.sleep(2.5)  # all have registered
    if not rig.hand_in(ORDINARY, r.job(1000)):
        raise r.CannotRun("the ordinary job was not taken")
    # Without the trouble the same timed job has its first times still before it.
    now = int(time.time() * 1000)
    first = now - REPEATS * INTERVAL_MS if trouble else now + 3600 * 1000
    timed = r.job(500, repeats=REPEATS, first_at_ms=first, interval_ms=INTERVAL_MS)
    if not rig.hand_in(TIMED, timed, prefix="/settle/"):
        raise r.CannotRun("the timed job was not taken")
    rig.record("the traffic has ended")
    time.sleep(FINISH_S)
    answers, end = [], time.monotonic() + ASKED_FOR_S
    while time.monotonic() < end:
        answers.append(rig.client("GET", ORDINARY))
        time.sleep(0.3)
    answered = [status for status, _ in answers if status == 200]
    if answered:
        return []
    return [f"LOST: from {FINISH_S} s after the traffic on, the accepted job {ORDINARY} was asked for {len(answers)} times "
            f"in {ASKED_FOR_S} s and never shown; the answers: {sorted({status for status, _ in answers})}"]


sys.exit(r.play(FOLDER, case))
