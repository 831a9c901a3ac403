"""Compares the bytes and processor time of two ways to reconcile two peer tables.

The digest sends one hash per bucket and then the entries of the buckets that differ. The sketch is
an invertible Bloom lookup table as in section 1 of the paper on tox-reconcile, with its tiers of
16, 64, 256 and 1,024 cells; if a tier cannot be decoded, the next larger one is sent. Both give
the receiver the same entries. Prints one JSON object per line; the baseline of bytes is the whole
table without profiles, that of time the digest.
"""

import json
import time
from dataclasses import dataclass, field
from random import Random

from ragwort_policy._digest import (
    TableDigest,
    get_bucket,
    hash_entry,
    list_differences,
    pack_digest,
    toggle_entry,
)
from ragwort_policy._peer import compute_rank
from ragwort_protocol import Digest, PeerState, PeerUpdate, Records, Summary, encode_frame

SEED = 1
SIZES = (24, 720, 7200)
DIFFERENCES = (0, 1, 10, 100)
ROUNDS = 10
INCARNATION = 1_700_000_000_000 << 12
TIERS = (16, 64, 256, 1024)
CELL_BYTES = 2 + 8 + 4
HASHES = 3
MASK = (1 << 64) - 1


@dataclass
class Table:
    """The incarnations of all peers, with their digest and their elements of the sketch."""

    ranks: dict[str, int]
    incarnations: dict[str, int]
    digest: TableDigest = field(default_factory=TableDigest)
    elements: dict[int, str] = field(default_factory=dict)

    def __post_init__(self) -> None:
        for name, incarnation in self.incarnations.items():
            toggle_entry(self.digest, self.ranks[name], incarnation, PeerState.ALIVE)
            self.elements[self.get_element(name)] = name

    def get_element(self, name: str) -> int:
        """Return the 64-bit element that represents a peer's entry in the sketch."""
        rank, incarnation = self.ranks[name], self.incarnations[name]
        high = hash_entry(rank, incarnation, PeerState.ALIVE)
        return high << 32 | hash_entry(rank ^ MASK, incarnation, PeerState.ALIVE)

    def make_update(self, name: str) -> PeerUpdate:
        """Return the entry of a peer without its profile."""
        return PeerUpdate(name, self.incarnations[name], PeerState.ALIVE)


def make_tables(size: int, differences: int, random: Random) -> tuple[Table, Table]:
    """Return two tables, the second of which has newer incarnations of some peers."""
    names = [f"host-{index:04d}" for index in range(size)]
    ranks = {name: compute_rank(name) for name in names}
    older = dict.fromkeys(names, INCARNATION)
    newer = dict(older)
    for name in random.sample(names, differences):
        newer[name] += 1
    return Table(ranks, older), Table(ranks, newer)


def exchange_digests(ours: Table, theirs: Table) -> int:
    """Return the bytes of an exchange of digests by which we learn of their newer entries."""
    digest = Digest(pack_digest(ours.digest))
    buckets = set(list_differences(theirs.digest, digest.hashes))
    entries = [
        theirs.make_update(name)
        for name, rank in theirs.ranks.items()
        if get_bucket(rank) in buckets
    ]
    newer = [update for update in entries if update.incarnation > ours.incarnations[update.node_id]]
    assert {update.node_id for update in newer} == _find_differing(ours, theirs)
    summary = Summary(sorted(buckets), entries, True)
    return len(encode_frame(digest)) + len(encode_frame(summary))


def exchange_sketches(ours: Table, theirs: Table) -> int:
    """Return the bytes of an exchange of sketches by which we learn of their newer entries."""
    size_bytes = 0
    for cells in TIERS:
        size_bytes += len(encode_frame(Digest(bytes(cells * CELL_BYTES))))
        only_theirs = peel(subtract(make_sketch(ours, cells), make_sketch(theirs, cells)))
        if only_theirs is None:
            continue
        names = {theirs.elements[element] for element in only_theirs if element in theirs.elements}
        assert names == _find_differing(ours, theirs)
        records = Records([theirs.make_update(name) for name in names], [])
        return size_bytes + len(encode_frame(records))
    return size_bytes + exchange_digests(ours, theirs)


def make_sketch(table: Table, cells: int) -> list[list[int]]:
    """Return a table's sketch as cells of count, XOR of the elements and XOR of their checksums."""
    sketch = [[0, 0, 0] for _ in range(cells)]
    for element in table.elements:
        _toggle(sketch, element, 1)
    return sketch


def subtract(one: list[list[int]], two: list[list[int]]) -> list[list[int]]:
    """Return the sketch of the difference between two tables."""
    return [[a[0] - b[0], a[1] ^ b[1], a[2] ^ b[2]] for a, b in zip(one, two, strict=True)]


def peel(sketch: list[list[int]]) -> list[int] | None:
    """Decode a difference into its elements; return None if the sketch is too small for it."""
    found = []
    pure = [index for index, cell in enumerate(sketch) if _is_pure(cell)]
    while pure:
        cell = sketch[pure.pop()]
        if not _is_pure(cell):
            continue
        element, sign = cell[1], cell[0]
        found.append(element)
        _toggle(sketch, element, -sign)
        pure += [index for index in _list_cells(element, len(sketch)) if _is_pure(sketch[index])]
    return None if any(cell != [0, 0, 0] for cell in sketch) else found


def _toggle(sketch: list[list[int]], element: int, sign: int) -> None:
    checksum = _compute_checksum(element)
    for index in _list_cells(element, len(sketch)):
        cell = sketch[index]
        cell[0] += sign
        cell[1] ^= element
        cell[2] ^= checksum


def _list_cells(element: int, cells: int) -> list[int]:
    # Each hash function has its own range of cells, so that an element has distinct cells.
    part = cells // HASHES
    mixed = (element * 0x9E3779B97F4A7C15) & MASK
    return [number * part + (mixed >> 16 * number) % part for number in range(HASHES)]


def _compute_checksum(element: int) -> int:
    return ((element ^ 0x5851F42D4C957F2D) * 0xD1342543DE82EF95 & MASK) >> 32


def _is_pure(cell: list[int]) -> bool:
    return cell[0] in (1, -1) and cell[2] == _compute_checksum(cell[1])


def _find_differing(ours: Table, theirs: Table) -> set[str]:
    return {name for name, held in theirs.incarnations.items() if held != ours.incarnations[name]}


def report(name: str, value: float, unit: str, baseline: float, ratio: float) -> None:
    """Print one result as a line of JSON."""
    line = {
        "name": f"reconcile {name}",
        "value": round(value, 2),
        "unit": unit,
        "baseline": round(baseline, 2),
        "ratio": round(ratio, 4),
        "seed": SEED,
    }
    print(json.dumps(line), flush=True)


def main() -> None:
    """Compare the two at three table sizes and four numbers of differences."""
    random = Random(SEED)
    for size in SIZES:
        for differences in DIFFERENCES:
            if differences > size:
                continue
            pairs = [make_tables(size, differences, random) for _ in range(ROUNDS)]
            table = pairs[0][1]
            whole = [table.make_update(name) for name in table.ranks]
            baseline = len(encode_frame(Records(whole, [])))
            digest_ms = 0.0
            for name, exchange in (("digest", exchange_digests), ("sketch", exchange_sketches)):
                began = time.process_time()
                sizes = [exchange(ours, theirs) for ours, theirs in pairs]
                spent_ms = 1000 * (time.process_time() - began) / ROUNDS
                mean = sum(sizes) / ROUNDS
                label = f"{size} peers, {differences} differences, {name}"
                report(label, mean, "B", baseline, mean / baseline)
                digest_ms = digest_ms or spent_ms
                report(f"{label}, time", spent_ms, "ms", digest_ms, spent_ms / digest_ms)


if __name__ == "__main__":
    main()
