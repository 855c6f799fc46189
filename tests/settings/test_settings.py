"""Valid files give typed settings; every error names the file, line, column and key."""

from __future__ import annotations

from pathlib import Path

import pytest

from stairplank import interface as api
from stairplank.settings import Block, Key, SettingsError, load_planner, load_section_text, parsers

GOOD = """\
# A planner of a small site.
planner 1 of 3
listen 127.0.0.1:0
listen unix:/tmp/x.sock       # a second address
directory [::1]:7300
home-zone "b"
seed 7
dial-retry 50ms 2s
send-buffer 64k

class worker
    effect repeatable
    aim 3.5s
    deadline 7s
    spread node 2
end
class ingest
    effect keyed
    group rack
    window 8s
    aim 600ms
    deadline 8s
    kind big
    priority 1
end
kind small cores 16 memory 32
kind big cores 64 memory 128
zone a
zone b
tenant archive share 2
mean-cores 0.5
mean-memory 1.5
price probe 0.003
drain-grace 250ms
"""


def write_file(tmp_path: Path, text: str) -> Path:
    path = tmp_path / "planner.conf"
    path.write_text(text)
    return path


def test_a_valid_file(tmp_path: Path) -> None:
    config = load_planner(write_file(tmp_path, GOOD))
    s = config.settings
    assert (s.position, s.planners, s.zone) == (1, 3, 1)
    assert config.listen == ("127.0.0.1:0", "unix:/tmp/x.sock") and config.directory == "[::1]:7300"
    assert (config.reconnect_delay_us, config.max_reconnect_delay_us, config.send_buffer_bytes) == (
        50_000,
        2_000_000,
        65_536,
    )
    worker, ingest = s.classes
    assert (worker.spread, worker.max_per_place, worker.latency_objective_us) == (
        api.Scope.NODE,
        2,
        3_500_000,
    )
    assert (ingest.effect, ingest.dedup_scope, ingest.dedup_window_us) == (
        api.Effect.IDEMPOTENT_BY_KEY,
        api.Scope.GROUP,
        8_000_000,
    )
    assert ingest.node_type == 1 and s.node_types[1].memory == 128
    assert s.price_health_check == 0.003 and s.drain_grace_us == 250_000 and s.tenant_share == (2.0,)


@pytest.mark.parametrize(
    ("old", "new", "line", "column", "key", "message"),
    [
        ("planner 1 of 3", "planner 3 of 3", 2, 1, "planner", "3 is not below 3"),
        ("planner 1 of 3", "planner 1 3", 2, 11, "planner", "'of' is needed"),
        ("planner 1 of 3", "planner one of 3", 2, 9, "planner", "not a whole number"),
        ("seed 7", "sead 7", 7, 1, "sead", "did you mean seed?"),
        ("seed 7", "seed", 7, 1, "seed", "value 1 of 1 is missing"),
        ("seed 7", "seed 7 8", 7, 8, "seed", "one value too many"),
        ("seed 7", "seed 7\nseed 8", 8, 1, "seed", "given twice; first in line 7"),
        ('home-zone "b"', 'home-zone "c"', 6, 1, "home-zone", "known: a, b"),
        ('home-zone "b"', 'home-zone "b', 6, 11, "", "quote that is not closed"),
        ("listen 127.0.0.1:0", "listen 10.0.0.1:80", 3, 1, "listen", "not loopback"),
        ("listen 127.0.0.1:0", "listen example:80", 3, 8, "listen", "not an IP address"),
        ("directory [::1]:7300", "", 1, 1, "directory", "is required"),
        ("dial-retry 50ms 2s", "dial-retry 3s 2s", 8, 1, "dial-retry", "longer one"),
        ("send-buffer 64k", "send-buffer 64kb", 9, 13, "send-buffer", "not a size"),
        ("aim 3.5s", "aim 3.5", 13, 9, "aim", "not a time"),
        ("aim 3.5s", "aim 9s", 13, 5, "aim", "longer than the deadline"),
        ("effect repeatable", "effect twice", 12, 12, "effect", "none of repeatable"),
        ("effect repeatable", "effects repeatable", 12, 5, "effects", "did you mean effect?"),
        ("spread node 2", "spread node 0", 15, 17, "spread", "not within 1"),
        ("    window 8s\n", "", 17, 1, "window", "needs a window"),
        ("spread node 2", "window 3s", 15, 5, "window", "is repeatable, not keyed"),
        ("kind big\n", "kind huge\n", 23, 5, "kind", "no kind huge; known: small, big"),
        ("zone b\n", "zone a\n", 28, 1, "zone", "a is given twice"),
        ("mean-cores 0.5", "mean-cores 0", 31, 12, "mean-cores", "not above 0"),
        ("mean-cores 0.5", "mean-cores nan", 31, 12, "mean-cores", "nan"),
        ("price probe 0.003", "price lunch 1", 33, 7, "price", "none of fleet"),
        ("    priority 1\nend\n", "    priority 1\n", 17, 1, "class", "not closed by `end`"),
    ],
)
def test_errors_name_their_position(
    tmp_path: Path, old: str, new: str, line: int, column: int, key: str, message: str
) -> None:
    assert old in GOOD
    path = write_file(tmp_path, GOOD.replace(old, new, 1))
    with pytest.raises(SettingsError) as caught:
        load_planner(path)
    matching = [p for p in caught.value.problems if p.key == key and message in p.message]
    assert matching, f"{[str(p) for p in caught.value.problems]}"
    assert (matching[0].position.line, matching[0].position.column) == (line, column)
    assert str(matching[0]).startswith(f"{path}:{line}:{column}: ")


def test_all_errors_of_a_file_are_reported_at_once(tmp_path: Path) -> None:
    text = GOOD.replace("seed 7", "sead 7").replace("aim 3.5s", "aim x").replace("zone a", "zone ?")
    with pytest.raises(SettingsError) as caught:
        load_planner(write_file(tmp_path, text))
    assert [p.position.line for p in caught.value.problems] == [7, 13, 28]


@pytest.mark.parametrize("content", [b"\xff\xfe", b"a\0b", b""])
def test_files_that_are_not_settings(tmp_path: Path, content: bytes) -> None:
    path = tmp_path / "planner.conf"
    path.write_bytes(content)
    with pytest.raises(SettingsError):
        load_planner(path)
    with pytest.raises(SettingsError):
        load_planner(tmp_path / "missing")


def test_other_addresses_than_loopback_need_a_keyword(tmp_path: Path) -> None:
    text = GOOD.replace("listen 127.0.0.1:0", "listen 10.0.0.1:80\nbeyond-loopback yes")
    assert load_planner(write_file(tmp_path, text)).listen[0] == "10.0.0.1:80"


def test_blocks_and_further_values() -> None:
    schema = (
        Block("b", (parsers.name,), (Key("k", (parsers.integer(),), rest_parser=parsers.duration),)),
        Key("flag", (parsers.boolean,)),
    )
    section = load_section_text('b one # x\n k 5 1s 2ms\nend\nb "two"\nend\nflag yes', schema)
    assert [b.values for b in section.blocks["b"]] == [("one",), ("two",)]
    assert section.blocks["b"][0].value("k") == (5, 1_000_000, 2_000) and section.value("flag") is True
    with pytest.raises(SettingsError, match="<text>:1:5: b: nothing|unknown|end"):
        load_section_text("end", schema)


@pytest.mark.parametrize("us", [0, 1, 250_000, 3_500_000, 60_000_000, 7_200_000_000, 1234567])
def test_formatted_durations_are_read_back(us: int) -> None:
    assert parsers.duration(parsers.format_duration(us)) == us


def test_ranges_and_fractions() -> None:
    assert parsers.value_range(parsers.duration)("1s..2s") == (1_000_000, 2_000_000)
    assert parsers.value_range(parsers.integer())("4") == (4, 4)
    assert parsers.fraction("25%") == 0.25 and parsers.fraction("0.5") == 0.5
    for bad in ("2s..1s", "x"):
        with pytest.raises(ValueError):
            parsers.value_range(parsers.duration)(bad)
