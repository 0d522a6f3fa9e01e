"""Calls that crash each server that runs them, and that callers repeat.

A repetition has another request id and may come at any host. It is recognised by what
it asks for, and by its caller. Only a complete answer shows that a call is sound.
"""

from kumquatproxy.gateway import repetitions, sharedfacts, suspicion

CALL_CRASH = "call-crash"
SOUND_CALL = "sound-call"
CRASHING_CALLS = "crashing-calls"

# Grades of suspects. A call that ran for longer before the crash is less suspect.
LONG_RUNNING = 0
RUNNING = 1
# Added if the call was a suspect at an earlier crash.
REPEATED = 2


@sharedfacts.FACT_KINDS.register(CALL_CRASH)
class CallCrashes(suspicion.CrashFacts):
    """Facts about a crash; a server may have dozens of calls in flight."""

    max_count = 24
    max_suspects = 40


@sharedfacts.FACT_KINDS.register(SOUND_CALL)
class SoundCalls(suspicion.SoundFacts):
    """Facts about a suspected call that was answered when it was repeated."""


@sharedfacts.FACT_KINDS.register(CRASHING_CALLS)
class CrashingCalls(suspicion.BlameFacts):
    """Facts about the keys of a call that is blamed."""


class CallJudge(suspicion.Judge):
    """Judge calls by those that were in flight at crashed servers."""

    crash_kind = CALL_CRASH
    sound_kind = SOUND_CALL
    blame_kind = CRASHING_CALLS
    weight_by_grade = {
        LONG_RUNNING: 1,
        RUNNING: 2,
        LONG_RUNNING + REPEATED: 1,
        RUNNING + REPEATED: 2,
    }
    # Each one is a single call, so few are rejected by mistake.
    blames_ties = True

    def features(self, call):
        """Return the keys of the call for any caller and for its own."""
        return repetitions.keys(call)

    def add_suspect(self, suspects, grade, features):
        """Return the suspects with one more; repeated ones take precedence."""
        if self._is_repeated(features):
            grade += REPEATED
        return super().add_suspect(suspects, grade, features)

    def departed_grade(self, features: list[str]) -> int:
        """Return the grade of a call that was left before the crash of its server."""
        return RUNNING if self._is_repeated(features) else LONG_RUNNING

    def _is_repeated(self, features):
        """Return whether a call was a suspect at an earlier crash."""
        return not self._watched_features.isdisjoint(features)

    def description(self, features):
        """Return which call is blamed, as in the log lines of its attempts."""
        return f"are repetitions of {' '.join(features)}"
