"""Measurements of the claim table, the order engine and applying a sheet."""

import gc
import time
import tracemalloc

from kumquatproxy.configuration import claimrecords, claims
from kumquatproxy.laboratory import claimschedules, measure, orderschedules
from kumquatproxy.placement import sheetapply

SCHEDULE_COUNT = 40
RETAINED_CLAIMS = 20_000
TIMED_CLAIMS = 10_000
RESULT_BODY = b"x" * 200
SHEET_APPLY_RUNS = 5
# At 600 bytes each, 10 minutes of 60 claims/s take 22 of the 32 MB that a host may use
# for control.
MAX_CLAIM_BYTES = 600
# The peak request rate of the design size, as if every request had a key.
MIN_CLAIMS_PER_S = 1800


@measure.MEASUREMENTS.register("order-schedules")
def measure_order_schedules(seed: int) -> list[measure.Figure]:
    """Count the fault schedules that the order engine passes without a violation."""
    return _count_survived_schedules("order", orderschedules.OrderSimulation, seed)


@measure.MEASUREMENTS.register("claim-schedules")
def measure_claim_schedules(seed: int) -> list[measure.Figure]:
    """Count the fault schedules that the claim table passes without a violation.

    A violation is an idempotency key that was executed twice, or a ``no`` answer (the
    key was not executed) that was wrong.
    """
    return _count_survived_schedules("claim", claimschedules.ClaimSimulation, seed)


def _count_survived_schedules(name, make_simulation, seed):
    survived = 0
    for number in range(SCHEDULE_COUNT):
        survived += not make_simulation(seed * SCHEDULE_COUNT + number).run()
    return [
        measure.Figure(f"{name}_schedules_survived", survived, low=SCHEDULE_COUNT),
        measure.Figure(f"{name}_schedules_run", SCHEDULE_COUNT),
    ]


@measure.MEASUREMENTS.register("claims")
def measure_claims(seed: int) -> list[measure.Figure]:
    """Measure the memory per claim and the claims per second on one core."""
    limits = claims.Limits(total_result_bytes=2**40)
    table = claims.ClaimTable(limits)
    gc.collect()
    tracemalloc.start()
    bytes_before = tracemalloc.get_traced_memory()[0]
    for number in range(RETAINED_CLAIMS):
        table.apply(_begin_command(seed, number))
        table.apply(_finish_command(seed, number))
    claim_bytes = tracemalloc.get_traced_memory()[0] - bytes_before
    tracemalloc.stop()
    snapshot_bytes = len(table.snapshot())
    # The first command replaces the expired claims by fingerprints, the second packs
    # the ended span of fingerprints.
    fingerprinted_at_s = limits.result_retention_s + limits.fingerprint_span_s
    table.apply(claimrecords.AdvanceClaims(at=fingerprinted_at_s))
    table.apply(
        claimrecords.AdvanceClaims(at=fingerprinted_at_s + limits.fingerprint_span_s)
    )
    fingerprint_bytes = len(table.snapshot())
    return [
        measure.Figure(
            "claim_bytes_each", claim_bytes / RETAINED_CLAIMS, high=MAX_CLAIM_BYTES
        ),
        measure.Figure("claim_snapshot_bytes_each", snapshot_bytes / RETAINED_CLAIMS),
        measure.Figure(
            "claim_fingerprint_snapshot_bytes_each", fingerprint_bytes / RETAINED_CLAIMS
        ),
        measure.Figure(
            "claims_per_second_core",
            _measure_claims_per_s(seed),
            low=MIN_CLAIMS_PER_S,
        ),
    ]


def _measure_claims_per_s(seed):
    """Return the claims begun and finished per second of processor time."""
    table = claims.ClaimTable(claims.Limits(total_result_bytes=2**40))
    commands = []
    for number in range(TIMED_CLAIMS):
        commands.append(_begin_command(seed, number))
        commands.append(_finish_command(seed, number))
    start_s = time.process_time()
    for command in commands:
        table.apply(command)
    return TIMED_CLAIMS / (time.process_time() - start_s)


def _begin_command(seed, number):
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


def _finish_command(seed, number):
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
    """Measure applying a sheet at the store's rate limit while a server fails."""
    runs = [
        sheetapply.apply_sheet(seed * SHEET_APPLY_RUNS + number)
        for number in range(SHEET_APPLY_RUNS)
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
