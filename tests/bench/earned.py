#!/usr/bin/env python3
"""What the work of a day earned, and what it could have earned in hindsight, from the logs of control (--run-lines).

Needs the logs of a simulated day, so it is not part of CI. One row a queue and log; times are in seconds.

    tests/bench/earned.py DIR/scale-2-770007919.log ...

Columns: `jobs` occurrences of accepted jobs (a timed job has several), `aim`, `late` and `none` those that ended within
their aim, within three times it, and later or never; `core-s` the core-seconds of runs that ended `done`; `for none`
the share of them that went into occurrences that earned nothing; `thrown` core-seconds of runs that ended otherwise,
against those done; `earned` the worth earned of all; `bound` what the offline schedule earns.

The offline schedule knows all jobs and how long their tasks took. It takes occurrences one after the other, those first
that earn most for the room they fill, and lets the tasks of each flow into what is left of the room: the most room ever
in use at once. An occurrence that can't end in three times its aim, or before the log ends, is left out. It is a loose
bound: tasks flow as if they could be cut, and workers are one room.
"""
import collections
import json
import re
import sys

BIN = 0.05  # the offline schedule's grain
LATE_WORTH = 0.3
RUN = re.compile(r" run (\{.*\})")


class Step:
    def __init__(self, text):
        body, _, depends = text.partition("@")
        count, cpu, memory = re.sub("[gl]", "", body).split("x")
        self.count, self.cores, self.memory = int(count), int(cpu) / 1000, int(memory)
        self.gang, self.lasting = "g" in body, "l" in body
        self.depends = [int(each) for each in depends.split("+") if each]


class Job:
    def __init__(self, line):
        aim, times, steps = line["job"].split(";")
        self.id, self.queue, self.accepted = line["task"], line["queue"], line["wall_us"] / 1e6
        self.aim = int(aim) / 1e6
        first, interval, repeats = (int(each) for each in times.split(","))
        self.first, self.interval, self.repeats = first / 1e6, interval / 1e6, repeats
        self.steps = [Step(each) for each in steps.split(",")]
        self.cancelled = False

    def begun(self, time):
        return self.first + time * self.interval if self.repeats else self.accepted

    def lasting(self):
        return any(step.lasting for step in self.steps)


class Day:
    """The runs of one log, by occurrence of a job: (job, number of the time)."""

    def __init__(self, path):
        self.jobs, starts = {}, {}
        self.done, self.finished = collections.defaultdict(dict), collections.defaultdict(float)
        self.done_work, self.thrown_work = collections.Counter(), collections.Counter()
        self.lengths = collections.defaultdict(list)
        self.changes = []  # (when, cores, memory): what is in use
        self.last = 0
        for line in self.lines(path):
            event, task, wall = line["event"], line.get("task", ""), line["wall_us"] / 1e6
            self.last = max(self.last, wall)
            if event == "accepted" and "job" in line:
                self.jobs[task] = Job(line)
            elif event == "job_ended" and line.get("how") == "cancelled" and task in self.jobs:
                self.jobs[task].cancelled = True
            elif event == "start":
                starts[(task, line["run"])] = wall
            elif event == "end" and (task, line["run"]) in starts:
                self.end(task, starts.pop((task, line["run"])), wall, line.get("how"))

    @staticmethod
    def lines(path):
        with open(path, errors="replace") as text:
            found = (RUN.search(line) for line in text)
            return sorted((json.loads(match.group(1)) for match in found if match), key=lambda line: line["wall_us"])

    def end(self, task, began, ended, how):
        name, time, step, index = task.split(".")
        job = self.jobs.get(name)
        if not job:
            return
        wanted, key = job.steps[int(step)], (name, int(time))
        work = (ended - began) * wanted.cores
        self.changes += [(began, wanted.cores, wanted.memory), (ended, -wanted.cores, -wanted.memory)]
        if how != "done":
            self.thrown_work[key] += work
            return
        self.done_work[key] += work
        self.done[key][(step, index)] = True
        self.finished[key] = max(self.finished[key], ended)
        self.lengths[(name, step)].append(ended - began)

    def room(self):
        cores = memory = most_cores = most_memory = 0
        for _, more_cores, more_memory in sorted(self.changes):
            cores, memory = cores + more_cores, memory + more_memory
            most_cores, most_memory = max(most_cores, cores), max(most_memory, memory)
        return most_cores, most_memory

    def occurrences(self):
        for job in self.jobs.values():
            if job.cancelled or job.lasting():
                continue
            for time in range(max(1, job.repeats)):
                if job.begun(time) < self.last:
                    yield job, time


def length(day, job, place):
    """The mean of what tasks of the step took; of steps that never ran, of the queue's."""
    seen = day.lengths.get((job.id, str(place)))
    if not seen:
        seen = [each for (name, _), took in day.lengths.items()
                if day.jobs[name].queue == job.queue for each in took] or [1.0]
    return sum(seen) / len(seen)


def works(day):
    """(core-seconds, worth) of each occurrence: 0.3 and 0.7 times its work against the queue's mean, at most 4."""
    work, sums = {}, collections.defaultdict(list)
    for job, time in day.occurrences():
        work[job.id, time] = sum(step.count * step.cores * length(day, job, place)
                                 for place, step in enumerate(job.steps))
        sums[job.queue].append(work[job.id, time])
    means = {queue: sum(each) / len(each) for queue, each in sums.items()}
    return {key: (each, min(4, 0.3 + 0.7 * each / means[day.jobs[key[0]].queue])) for key, each in work.items()}


def factor(job, time, ended):
    took = ended - job.begun(time)
    return 1 if took <= job.aim else LATE_WORTH if took <= 3 * job.aim else 0


class Offline:
    """The room that is left, in bins of time."""

    def __init__(self, begin, end, room):
        self.begin, count = begin, int((end - begin) / BIN) + 1
        self.cores, self.memory = [room[0]] * count, [room[1]] * count

    def place(self, day, job, time, until):
        """Lets the occurrence flow in; answers its end, or None with nothing taken."""
        ends, taken = [], []
        for place, step in enumerate(job.steps):
            each = length(day, job, place)
            at = max([job.begun(time)] + [ends[earlier] for earlier in step.depends])
            left, index = step.count * each, max(0, int((at - self.begin) / BIN))
            while left > 1e-9:
                if index >= len(self.cores) or self.begin + index * BIN > until:
                    return self.give_back(taken)
                wide = min(step.count, left / BIN, self.cores[index] / step.cores if step.cores else 1e9,
                           self.memory[index] / step.memory if step.memory else 1e9)
                if wide > 0:
                    self.cores[index] -= wide * step.cores
                    self.memory[index] -= wide * step.memory
                    taken.append((index, wide * step.cores, wide * step.memory))
                    left -= wide * BIN
                index += 1
            ends.append(max(at + each, self.begin + index * BIN - BIN))
        return max(ends) if max(ends) <= until else self.give_back(taken)

    def give_back(self, taken):
        for index, cores, memory in taken:
            self.cores[index] += cores
            self.memory[index] += memory
        return None


def bound(day, worths):
    """What the offline schedule earns, by queue."""
    room = day.room()
    earned = collections.Counter()
    occurrences = list(day.occurrences())
    if not occurrences or not room[0] or not room[1]:
        return earned

    def room_seconds(job):
        return sum(step.count * length(day, job, place) * max(step.cores / room[0], step.memory / room[1])
                   for place, step in enumerate(job.steps))

    occurrences.sort(key=lambda each: -worths[each[0].id, each[1]][1] / max(1e-9, room_seconds(each[0])))
    begin = min(job.begun(time) for job, time in occurrences)
    end = min(day.last, max(job.begun(time) + 3 * job.aim for job, time in occurrences))
    offline = Offline(begin, end, room)
    missed = []
    for job, time in occurrences:
        if offline.place(day, job, time, min(end, job.begun(time) + job.aim)) is None:
            missed.append((job, time))
        else:
            earned[job.queue] += worths[job.id, time][1]
    for job, time in missed:
        if offline.place(day, job, time, min(end, job.begun(time) + 3 * job.aim)) is not None:
            earned[job.queue] += LATE_WORTH * worths[job.id, time][1]
    return earned


def report(path):
    day = Day(path)
    worths = works(day)
    best = bound(day, worths)
    rows = collections.defaultdict(lambda: collections.Counter())
    for job, time in day.occurrences():
        key = (job.id, time)
        whole = len(day.done[key]) >= sum(step.count for step in job.steps)
        share = factor(job, time, day.finished[key]) if whole else 0
        for name in (job.queue, "all"):
            row = rows[name]
            row["jobs"] += 1
            row["aim" if share == 1 else "late" if share else "none"] += 1
            row["done"] += day.done_work[key]
            row["for none"] += day.done_work[key] if share == 0 else 0
            row["thrown"] += day.thrown_work[key]
            row["owed"] += worths[key][1]
            row["earned"] += share * worths[key][1]
    for queue, earned in best.items():
        rows[queue]["bound"], rows["all"]["bound"] = earned, rows["all"]["bound"] + earned
    for name, row in sorted(rows.items(), key=lambda each: each[0] == "all"):
        share = lambda part, whole: row[part] / row[whole] if row[whole] else 0
        print(f"{path.rsplit('/', 1)[-1][:26]:26} {name[:24]:24} {row['jobs']:5} {row['aim']:4} {row['late']:4} "
              f"{row['none']:4} {row['done']:8.0f} {share('for none', 'done'):8.3f} {share('thrown', 'done'):6.3f} "
              f"{share('earned', 'owed'):6.3f} {share('bound', 'owed'):6.3f} {share('earned', 'bound'):7.3f}")


def main():
    print(f"{'log':26} {'queue':24} {'jobs':>5} {'aim':>4} {'late':>4} {'none':>4} {'core-s':>8} {'for none':>8} "
          f"{'thrown':>6} {'earned':>6} {'bound':>6} {'of it':>7}")
    for path in sys.argv[1:]:
        report(path)


if __name__ == "__main__":
    main()
