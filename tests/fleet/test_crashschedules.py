"""Random schedules of requests that crash servers, with restarts, cuts and freezes.

Guards against hosts that send such requests to one server after the other, and against
sound requests that are rejected beside them. The requests have a prompt part in common,
or are one request that its caller repeats. Hosts use the trackers and the exchange of
facts of the product; the network, the servers and the callers are simulated.
"""

import pytest
import simulatedhosts

from kumquatproxy.fleet import factexchange
from kumquatproxy.gateway import calls, crashes, crashingcalls, repetitions

SEEDS = 200
DEADLY_FROM_S = 6.0
PART_CRASHES, REQUEST_CRASHES = 5, 3  # after which few requests are sent
ALLOWED_LATER = 3
COUNTED_REQUESTS = 20
DEADLY_PART = "dead"
LINK_TIMEOUT_S = 1.5  # until a link that was cut is replaced


class Host(simulatedhosts.Host):
    """A host that tracks crashes."""

    def forget(self):
        super().forget()
        self.tracker = crashes.CrashTracker(
            self.name, self.facts.table, self.facts.publish
        )

    def receive_facts(self, sender, message, now):
        facts = super().receive_facts(sender, message, now)
        self.tracker.handle_facts(facts, now)


class Server:
    """A server of the simulation; a crash ends its lifetime."""

    def __init__(self, number):
        self.number = number
        self.born_ms = 1
        self.up_from = 0.0
        self.running = []  # (entry, its lifetime, call, whether it was answered)

    def announcement(self):
        return simulatedhosts.make_server(self.number, self.born_ms)


class World(simulatedhosts.World):
    """Run one schedule. The rules are those that the users state for their bench."""

    host_class = Host
    faults_from_s = DEADLY_FROM_S
    max_delay_s = 0.06

    def __init__(self, seed, repeats_request=False):
        super().__init__(seed, entry_counts=(5,))
        self.repeats_request = repeats_request
        self.has_prompts = not repeats_request or self.rng.random() < 0.5
        self.counted_crashes = REQUEST_CRASHES if repeats_request else PART_CRASHES
        self.share = self.rng.choice((0.02, 0.05, 0.2, 0.5))
        self.announces_head = self.rng.random() < 0.6
        self.servers = [Server(number) for number in range(self.rng.choice((5, 20)))]
        self.crashed_at = []
        self.deadly_sent = []  # (time, entry was in touch)
        self.sound = []  # (time, whether it was answered)

    def tick(self):
        super().tick()
        for _ in range(2):
            self.request()

    def inject_fault(self):
        kind = self.rng.choice(("restart", "cut", "freeze", "all controls"))
        seconds = self.rng.uniform(0.5, 4.0)
        seconds += LINK_TIMEOUT_S if kind == "cut" else 0.0
        host = self.rng.choice([*self.controls, *self.entries])
        for victim in self.controls if kind == "all controls" else [host]:
            ends_at = self.disturb(victim, kind, seconds)
            # A faulty control host disturbs all entry hosts.
            for entry in self.entries if victim in self.controls else []:
                entry.disturbed_until = max(
                    entry.disturbed_until, ends_at + simulatedhosts.WINDOW_S
                )
        self.at(self.rng.uniform(1.0, 6.0), self.inject_fault)

    # Requests

    def request(self):
        entry = self.rng.choice(self.entries)
        if not entry.is_awake:
            return
        is_deadly = self.now > DEADLY_FROM_S and self.rng.random() < self.share
        target, caller = b"/%d" % next(self.numbers), f"c-{self.rng.randrange(5)}"
        if is_deadly and self.repeats_request:
            target, caller = b"/deadly", "c-0"
        elif self.rng.random() < 0.2:
            target = b"/polled"
        call = calls.Call(b"POST", target, "a", [], b"", self.now, caller)
        call.service = "s"
        if self.has_prompts:
            parts = ["shared", f"subject-{self.rng.randrange(20)}"]
            parts += [DEADLY_PART] if is_deadly and not self.repeats_request else []
            call.need = calls.ModelNeed(
                "m", parts=[calls.PromptPart(part, 10) for part in (*parts, "own")]
            )
        self.try_server(entry, call, is_deadly, attempts=2)

    def try_server(self, entry, call, is_deadly, attempts):
        up = [server for server in self.servers if self.now >= server.up_from]
        is_rejected = entry.tracker.find_blame(call, self.now) is not None
        if is_rejected or not up or not attempts:
            if not is_deadly and (up or is_rejected):
                self.sound.append((call.arrived_at, False))
            return
        server = self.rng.choice(up)
        if is_deadly:
            self.deadly_sent.append((self.now, not entry.is_disturbed))
        run = [entry, entry.lifetime, call, is_deadly, attempts, False]
        server.running.append(run)
        self.at(self.rng.uniform(0.05, 0.8), self.answer, server, server.born_ms, run)

    def answer(self, server, born_ms, run):
        if server.born_ms != born_ms:
            return
        entry, lifetime, call, is_deadly, _, _ = run
        if is_deadly:
            self.crash(server, run)
            return
        server.running.remove(run)
        self.sound.append((call.arrived_at, True))
        if entry.lifetime == lifetime and entry.is_up:
            entry.tracker.record_answer(call, max(self.now, entry.frozen_until))

    def crash(self, server, deadly_run):
        self.crashed_at.append(self.now)
        announcement = server.announcement()
        runs, server.running = server.running, []
        server.born_ms += 1
        server.up_from = self.now + self.rng.uniform(2.0, 4.0)
        for run in runs:
            has_begun = run is deadly_run and self.announces_head
            entry = run[0]
            delay_s = max(0.005, entry.frozen_until - self.now)
            self.at(delay_s, self.record_break, announcement, run, has_begun)

    def record_break(self, announcement, run, has_begun):
        entry, lifetime, call, is_deadly, attempts, _ = run
        if entry.lifetime != lifetime:
            if not is_deadly:
                self.sound.append((call.arrived_at, False))
            return
        tracker = entry.tracker
        is_suspect = tracker.record_break(call, announcement, has_begun, self.now)
        tracker.confirm_crash(announcement.lifetime, self.now)
        if not (is_suspect and has_begun):
            self.try_server(entry, call, is_deadly, attempts - 1)

    # Both rules

    @property
    def later(self):
        """Return the deadly requests that hosts in touch sent after the window."""
        if len(self.crashed_at) < self.counted_crashes:
            return 0
        settled_at = self.crashed_at[self.counted_crashes - 1] + simulatedhosts.WINDOW_S
        return sum(at > settled_at and in_touch for at, in_touch in self.deadly_sent)

    @property
    def served_share(self):
        """Return the share of sound requests served after the crashes."""
        counted = self.crashed_at[: self.counted_crashes]
        settled_at = counted[-1] + 2 * simulatedhosts.WINDOW_S
        ends = [is_served for at, is_served in self.sound if at > settled_at]
        return sum(ends) / len(ends) if len(ends) >= COUNTED_REQUESTS else 1.0


def broken_rules(world):
    """Return which rules a schedule breaks."""
    rules = ["BUDGET"] if world.later > ALLOWED_LATER else []
    return rules + (["LOST"] if world.served_share < 0.5 else [])


def broken_rules_by_seed(repeats_request):
    broken = {
        seed: broken_rules(World(seed, repeats_request).run()) for seed in range(SEEDS)
    }
    return {seed: rules for seed, rules in broken.items() if rules}


def test_deadly_requests_stop_and_sound_ones_are_served_in_random_schedules():
    assert broken_rules_by_seed(repeats_request=False) == {}


def test_repeated_request_stops_crashing_servers_in_random_schedules():
    """Guards against one request that crashes the servers it is sent to for ever."""
    assert broken_rules_by_seed(repeats_request=True) == {}


def share_nothing(self, fact, now):
    self.table.merge(fact, now)


def reject_all_after_a_crash(self, call, now):
    return self.parts._watched_features or self.calls._watched_features or None


@pytest.mark.parametrize(
    ("owner", "name", "replacement", "rule", "repeats_request"),
    [
        (crashes.CrashTracker, "find_blame", lambda *_: None, "BUDGET", False),
        (factexchange.EntryFacts, "publish", share_nothing, "BUDGET", False),
        (crashes.CrashTracker, "find_blame", reject_all_after_a_crash, "LOST", False),
        (crashingcalls.CallJudge, "find_blame", lambda *_: None, "BUDGET", True),
        (factexchange.EntryFacts, "publish", share_nothing, "BUDGET", True),
        (repetitions, "keys", lambda _: ["all"], "BUDGET", True),
        (crashes.CrashTracker, "find_blame", reject_all_after_a_crash, "LOST", True),
    ],
)
def test_schedules_break_without_a_part_of_the_check(
    owner, name, replacement, rule, repeats_request, monkeypatch
):
    """Guards against schedules that would pass without any check."""
    monkeypatch.setattr(owner, name, replacement)
    worlds = (World(seed, repeats_request).run() for seed in range(SEEDS))
    assert any(rule in broken_rules(world) for world in worlds)
