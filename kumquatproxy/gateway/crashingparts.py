"""Prompt parts that crash each server that begins an answer on them."""

import hashlib

from kumquatproxy.gateway import calls, sharedfacts, suspicion

SERVER_CRASH = "server-crash"
SOUND_PART = "sound-part"
CRASHING_PARTS = "crashing-parts"

# An event shows that the parts are sound if the server is up this long afterwards.
SOUND_AFTER_S = 0.3
MAX_PARTS_PER_SUSPECT = 8
MAX_PART_LENGTH = 40


@sharedfacts.FACT_KINDS.register(SERVER_CRASH)
class ServerCrashes(suspicion.CrashFacts):
    """Facts about a crash; the grade of a suspect is whether its response had begun."""


@sharedfacts.FACT_KINDS.register(SOUND_PART)
class SoundParts(suspicion.SoundFacts):
    """Facts about a suspected part that was in an answer."""


@sharedfacts.FACT_KINDS.register(CRASHING_PARTS)
class CrashingParts(suspicion.BlameFacts):
    """Facts about parts that are blamed together."""


class PartJudge(suspicion.Judge):
    """Judge prompt parts by the calls without an event so far."""

    crash_kind = SERVER_CRASH
    sound_kind = SOUND_PART
    blame_kind = CRASHING_PARTS
    # A call whose response has not begun may have been queued.
    weight_by_grade = {False: 2, True: 3}

    def features(self, call):
        """Return the keys of the parts that other calls of the service may have too."""
        return shared_parts(call)

    def suspected_features(self, call, now):
        """Return the keys of some parts that are not known as sound."""
        return super().suspected_features(call, now)[:MAX_PARTS_PER_SUSPECT]

    def description(self, features):
        """Return which parts are blamed."""
        return f"have the prompt parts {', '.join(features)}"


def shared_parts(call: calls.Call) -> list[str]:
    """Return the keys of the parts that other calls of the service may have too.

    The last part belongs to the call or its session.
    """
    if call.need is None:
        return []
    return [_part_key(call.service, part.part_id) for part in call.need.parts[:-1]]


def _part_key(service, part_id):
    # Callers choose the ids.
    if len(part_id) > MAX_PART_LENGTH:
        part_id = hashlib.blake2b(part_id.encode(), digest_size=16).hexdigest()
    return f"{service} {part_id}"
