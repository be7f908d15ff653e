"""The settings name other seeds, machines without a disk; then every process is killed, and all come back."""
import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.realpath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins"))
import rig as r  # noqa: E402

JOB = "00000000000000a1"
DOWN_S = 0.6
RECOVERY_S, FINISH_S = r.BOUNDS["recovery_s"], r.BOUNDS["finish_s"]
ASKED_FOR_S = 25


def case(rig, trouble):
    rig.begin()
    for number in (1, 2, 3):
        rig.add_worker(f"side-{number}", f"i-{number}")
    time.sleep(2.5)  # all have registered
    if not rig.hand_in(JOB, r.job(2000)):
        raise r.CannotRun("the job was not taken")
    if trouble:  # the seeds are exchanged for other machines that serve control
        rig.seeds = list(rig.diskless.values())
    for name in rig.names():
        rig.write_settings(name)
        rig.signal(name, signal.SIGHUP)
    time.sleep(6)
    if rig.client("GET", JOB)[0] != 200:
        raise r.CannotRun("the job is not shown before the closing fault")
    for name in rig.names():
        rig.signal(name, signal.SIGKILL)
    time.sleep(DOWN_S)
    for name in rig.names():
        rig.start_process(name)
    rig.record("all machines are back")
    time.sleep(max(RECOVERY_S, FINISH_S))
    looks, requests, number, end = [], [], 1, time.monotonic() + ASKED_FOR_S
    while time.monotonic() < end:
        looks.append(rig.client("GET", JOB)[0])
        number += 1
        requests.append(rig.client("POST", f"{number:016x}", r.job(100))[0])
        time.sleep(0.5)
    if any(process.poll() is not None for process in rig.processes.values()):
        raise r.CannotRun("a process has ended")
    broken = []
    if 200 not in looks:
        broken.append(f"LOST: the accepted job {JOB} was asked for {len(looks)} times, from {FINISH_S} s after all "
                      f"machines were back on, and never shown; the answers: {sorted(set(looks))}")
    if 4 * requests.count(200) < len(requests):
        broken.append(f"RECOVER: {requests.count(200)} of {len(requests)} requests were served, sent more than "
                      f"{RECOVERY_S} s after all machines were back")
    return broken


sys.exit(r.play(FOLDER, case, diskless=3))
