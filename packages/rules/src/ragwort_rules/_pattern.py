"""Path patterns of rules, and a prefix tree that finds the patterns matching a path.

Patterns are matched segment by segment. ``*`` matches one segment that is not empty; ``**``, which
is only allowed at the end, matches one or more segments, empty ones included.
"""

import re
from dataclasses import dataclass, field

WILDCARD = "*"
TAIL_WILDCARD = "**"
MAX_SEGMENTS = 32

_LITERAL = re.compile(r"[A-Za-z0-9._~!$&'()+,;=:@%-]+")
_NO_MATCH = 1 << 62


def split_path(path: str) -> list[str]:
    """Return the segments of a path, which must start with a slash."""
    return path.split("/")[1:]


def find_pattern_problem(pattern: str) -> str:
    """Return why a text is not a valid pattern and what was expected; empty if it is valid."""
    if not pattern.startswith("/"):
        return f"path '{pattern}' has no leading slash, expected a path such as /drums/*"
    segments = split_path(pattern)
    if len(segments) > MAX_SEGMENTS:
        return f"path has {len(segments)} segments, expected {MAX_SEGMENTS} at most"
    if TAIL_WILDCARD in segments[:-1]:
        return f"path '{pattern}' continues after **, expected ** only as the last segment"
    if "" in segments[:-1]:
        return f"path '{pattern}' has an empty segment, expected single slashes"
    return _find_segment_problem(segments)


def _find_segment_problem(segments: list[str]) -> str:
    for segment in segments:
        if segment not in ("", WILDCARD, TAIL_WILDCARD) and not _LITERAL.fullmatch(segment):
            expected = "expected plain text, * for a whole segment, or ** at the end"
            return f"path segment '{segment}' is invalid, {expected}"
    return ""


@dataclass(slots=True)
class PatternTree:
    """Prefix tree of patterns by segment, with the lowest number each pattern was added under."""

    literals: dict[str, "PatternTree"] = field(default_factory=dict)
    wildcard: "PatternTree | None" = None
    tail: int = _NO_MATCH
    end: int = _NO_MATCH


def add_pattern(tree: PatternTree, pattern: str, number: int) -> None:
    """Add a pattern to the tree under a number."""
    segments = split_path(pattern)
    if segments[-1] == TAIL_WILDCARD:
        node = _get_or_add_node(tree, segments[:-1])
        node.tail = min(node.tail, number)
    else:
        node = _get_or_add_node(tree, segments)
        node.end = min(node.end, number)


def _get_or_add_node(tree: PatternTree, segments: list[str]) -> PatternTree:
    for segment in segments:
        if segment == WILDCARD:
            tree.wildcard = tree.wildcard or PatternTree()
            tree = tree.wildcard
        else:
            tree = tree.literals.setdefault(segment, PatternTree())
    return tree


def find_first_match(tree: PatternTree, segments: list[str]) -> int | None:
    """Return the lowest number of a pattern that matches a path's segments, or None."""
    number = _find_match(tree, segments, 0, _NO_MATCH)
    return None if number == _NO_MATCH else number


def _find_match(node: PatternTree, segments: list[str], depth: int, best: int) -> int:
    if depth == len(segments):
        return min(best, node.end)
    if node.tail < best:
        best = node.tail
    segment = segments[depth]
    child = node.literals.get(segment)
    if child is not None:
        best = _find_match(child, segments, depth + 1, best)
    if node.wildcard is not None and segment:
        best = _find_match(node.wildcard, segments, depth + 1, best)
    return best


def find_first_covering(tree: PatternTree, pattern: str) -> int | None:
    """Return the lowest number of a pattern that matches all paths of the given one, or None."""
    segments = split_path(pattern)
    number = _find_covering(tree, segments, 0, _NO_MATCH)
    return None if number == _NO_MATCH else number


def _find_covering(node: PatternTree, segments: list[str], depth: int, best: int) -> int:
    if depth == len(segments):
        return min(best, node.end)
    best = min(best, node.tail)
    segment = segments[depth]
    if segment == TAIL_WILDCARD:
        return best
    if segment != WILDCARD and segment in node.literals:
        best = _find_covering(node.literals[segment], segments, depth + 1, best)
    if node.wildcard is not None and segment:
        best = _find_covering(node.wildcard, segments, depth + 1, best)
    return best
