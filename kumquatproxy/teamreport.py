"""Text of what hosts of a fleet tell operators about teams and refused requests."""

MAX_INPUTS_PER_LINE = 4


def team_lines(answer: dict) -> list[str]:
    """Return the lines for a team at one host."""
    lines = [
        f"team {answer['team']} at {answer['role']} host {answer['host']}, "
        f"{_version_text(answer)}",
        f"  {team_line(answer)}",
        *_usage_lines(answer),
        *_refusal_lines(answer.get("refused", {})),
    ]
    if answer.get("held"):
        lines.extend(_held_lines(answer["held"], answer["cap"]["unit"]))
    if answer.get("book"):
        lines.extend(_book_lines(answer["book"], answer["cap"]["unit"]))
    elif answer["role"] == "control" and answer["cap"]:
        leader = answer["configuration_leader"] or "none"
        lines.append(f"  this host does not give; leader: {leader}")
    return lines


def _version_text(answer):
    if answer["version"] is None:
        return "no configuration"
    return f"version {answer['version']} in force for {answer['version_age_s']:.1f} s"


def team_line(row: dict) -> str:
    """Return the rank, the keys and the cap of a team in one line."""
    rank = "of the route" if row["rank"] is None else row["rank"]
    text = f"rank {rank}, {row['keys']} keys, "
    cap = row["cap"]
    if cap is None:
        return text + "no cap"
    text += f"cap {cap['rate_per_s']:g} {cap['unit']}/s, burst {cap['burst']:g}"
    if cap["plain_tokens"] is not None:
        text += f", {cap['plain_tokens']} for a call that states none"
    return text


def _usage_lines(row):
    return [
        f"  used {usage['amount']:g} by {usage['calls']} calls in the last "
        f"{usage['window_s']:g} s"
        for usage in row.get("usage", ())
    ]


def _refusal_lines(counts):
    return [
        f"  refused: {reason} {counted['count']}, the newest "
        f"{counted['newest_age_s']:.1f} s ago"
        for reason, counted in counts.items()
    ]


def _held_lines(held, unit):
    age_s = held["answer_age_s"]
    answered = "never" if age_s is None else f"{age_s:.1f} s ago"
    lines = [
        f"  holds {held['held']:g} {unit}, {held['granted']:g} of it granted",
        f"  giver {held['giver'] or 'unknown'} answered {answered}",
    ]
    if held["lease_rate"]:
        lines.append(
            f"  lease of term {held['term']}: {held['lease_rate']:g} {unit}/s, holds "
            f"up to {held['lease_capacity']:g}, {held['lease_age_s']:.1f} s old, "
            f"{held['lease_left_s']:.1f} s left"
        )
    return lines


def _book_lines(book, unit):
    leases = ", ".join(
        f"{lease['host']} {lease['rate']:g}/s" for lease in book["largest_leases"]
    )
    return [
        f"  gives in term {book['term']}, for {book['term_age_s']:.1f} s",
        f"  bucket {book['level']:g} of {book['size']:g} {unit}, refilled at "
        f"{book['refill_rate']:g}/s",
        f"  grants {book['grants']:g} outstanding, {book['given']:g} in this term, "
        f"{book['refused']} calls refused",
        f"  leases {book['leases']} of {book['leased_rate']:g}/s in all"
        + (f", the largest: {leases}" if leases else ""),
        f"  kept for leases of an earlier giver: {book['reserved_rate']:g}/s",
    ]


def refusal_lines(answer: dict) -> list[str]:
    """Return the lines for a refused request at one host."""
    inputs = [f"{name} {value}" for name, value in sorted(answer["inputs"].items())]
    lines = [
        f"request {answer['request_id']} at host {answer['host']}, "
        f"{answer['age_s']:.1f} s ago: {answer['status']} {answer['code']}",
        f"  reason {answer['reason']}: {answer['detail']}",
        f"  team {answer['team'] or 'none'}, route {answer['route'] or 'none'}",
    ]
    if answer["retry_after_s"] is not None:
        lines.append(f"  told to come back after {answer['retry_after_s']:.2f} s")
    for start in range(0, len(inputs), MAX_INPUTS_PER_LINE):
        lines.append(f"  {', '.join(inputs[start : start + MAX_INPUTS_PER_LINE])}")
    return lines


def status_lines(answer: dict) -> list[str]:
    """Return the lines for the state of one host of a fleet."""
    lines = [
        f"{answer['role']} host {answer['host']} in {answer['data_centre']}, "
        f"{_version_text(answer)}",
        f"configuration leader: {answer['configuration_leader'] or 'none'}",
    ]
    lines.extend(f"host {row['host']}  {row['state']}" for row in answer["hosts"])
    lines.extend(
        f"no team:{line[1:]}" for line in _refusal_lines(answer["keys_refused"])
    )
    for row in answer["teams"]:
        lines.append(f"team {row['team']}: {team_line(row)}")
        lines.extend(_usage_lines(row))
        lines.extend(_refusal_lines(row.get("refused", {})))
    return lines
