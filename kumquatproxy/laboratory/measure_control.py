"""Measurements of the claims, the order life cycle and the application of a sheet."""

import gc
import time
import tracemalloc

from kumquatproxy.configuration import claimrecords, claims
from kumquatproxy.laboratory import claimschedules, measure, orderschedules
from kumquatproxy.placement import sheetapply

SCHEDULES = 40
MEMORY_CLAIMS = 20_000
RATE_CLAIMS = 10_000
RESULT_BODY = b"x" * 200
SHEET_RUNS = 5
# At 600 bytes, 10 minutes of 60 claims/s take 22 of the 32 MB of a host.
MOST_CLAIM_BYTES = 600
# Even if every request at the peak of the design size had a key.
LEAST_CLAIMS_PER_SECOND = 1800


@measure.MEASUREMENTS.register("order-schedules")
def measure_order_schedules(seed: int) -> list[measure.Figure]:
    """Count schedules of faults that the order engine survives without a violation."""
    return _schedules("order", orderschedules.World, seed)


@measure.MEASUREMENTS.register("claim-schedules")
def measure_claim_schedules(seed: int) -> list[measure.Figure]:
    """Count schedules in which no key ran twice and no ``no`` was wrong."""
    return _schedules("claim", claimschedules.ClaimSimulation, seed)


def _schedules(name, make_world, seed):
    survived = 0
    for number in range(SCHEDULES):
        survived += not make_world(seed * SCHEDULES + number).run()
    return [
        measure.Figure(f"{name}_schedules_survived", survived, low=SCHEDULES),
        measure.Figure(f"{name}_schedules_run", SCHEDULES),
    ]


@measure.MEASUREMENTS.register("claims")
def measure_claims(seed: int) -> list[measure.Figure]:
    """Measure the memory of a claim and the claims that one core applies."""
    limits = claims.Limits(total_result_bytes=2**40)
    table = claims.ClaimTable(limits)
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    for number in range(MEMORY_CLAIMS):
        table.apply(_begin(seed, number))
        table.apply(_finish(seed, number))
    live = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    snapshot = len(table.snapshot())
    # Two steps: the first makes fingerprints of the claims, the second seals them.
    late = limits.result_retention_s + limits.fingerprint_span_s
    table.apply(claimrecords.AdvanceClaims(at=late))
    table.apply(claimrecords.AdvanceClaims(at=late + limits.fingerprint_span_s))
    fingerprints = len(table.snapshot())
    return [
        measure.Figure("claim_bytes_each", live / MEMORY_CLAIMS, high=MOST_CLAIM_BYTES),
        measure.Figure("claim_snapshot_bytes_each", snapshot / MEMORY_CLAIMS),
        measure.Figure(
            "claim_fingerprint_snapshot_bytes_each", fingerprints / MEMORY_CLAIMS
        ),
        measure.Figure(
            "claims_per_second_core",
            _claims_per_second(seed),
            low=LEAST_CLAIMS_PER_SECOND,
        ),
    ]


def _claims_per_second(seed):
    """Return begun and finished claims per second of processor time."""
    table = claims.ClaimTable(claims.Limits(total_result_bytes=2**40))
    commands = []
    for number in range(RATE_CLAIMS):
        commands.append(_begin(seed, number))
        commands.append(_finish(seed, number))
    started = time.process_time()
    for command in commands:
        table.apply(command)
    return RATE_CLAIMS / (time.process_time() - started)


def _begin(seed, number):
    return claimrecords.BeginClaim(
        at=number / 1000,
        attempt=number,
        host="entry-07",
        incarnation=3,
        key=f"{seed}-{number:012d}",
        organisation="port-louis",
        request_digest=number.to_bytes(claimrecords.DIGEST_BYTES, "big"),
        service="clinic-desk",
    )


def _finish(seed, number):
    return claimrecords.FinishClaim(
        at=number / 1000,
        attempt=number,
        body=RESULT_BODY,
        headers=[["content-type", "application/json"]],
        host="entry-07",
        incarnation=3,
        key=f"{seed}-{number:012d}",
        organisation="port-louis",
        outcome=int(claimrecords.Outcome.DONE),
        service="clinic-desk",
        status=200,
    )


@measure.MEASUREMENTS.register("sheet-apply")
def measure_sheet_apply(seed: int) -> list[measure.Figure]:
    """Apply a sheet while a backend server fails and the store is at its limit."""
    runs = [
        sheetapply.apply_sheet(seed * SHEET_RUNS + number)
        for number in range(SHEET_RUNS)
    ]
    return [
        measure.Figure(
            "sheet_apply_lost_models", sum(run.missing_models for run in runs), high=0
        ),
        measure.Figure(
            "sheet_apply_lost_adapters",
            sum(run.missing_adapters for run in runs),
            high=0,
        ),
        measure.Figure(
            "sheet_apply_memory_violations",
            sum(run.overcommits for run in runs),
            high=0,
        ),
        measure.Figure("sheet_apply_seconds", max(run.seconds for run in runs)),
        measure.Figure("sheet_apply_store_rate_use", min(run.rate_use for run in runs)),
    ]
