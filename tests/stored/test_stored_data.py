"""Tests that files stored by an earlier version are read as the same values and written with the same bytes.

The files under ``data/`` were written by that version: the state of a replica of the configuration service, a
planner's copy of the configuration, a rehearsal's captures in both format versions, and results of scale
runs. They are never regenerated: a failure means that a site or a user would lose stored data. Longer lists
of expected values are in a file beside the data whose name ends in ``.expected.json``. ``pytest -vv`` shows
the whole difference.
"""

from __future__ import annotations

import json
from hashlib import sha256
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner
from google.protobuf.json_format import MessageToDict

from stairplank.cli import main
from stairplank.configuration import startup
from stairplank.configuration import state_files as configuration_files
from stairplank.rehearsal import capture, decode
from stairplank.scale import results

DATA = Path(__file__).parent / "data"
COMMITTED_TEXT = "# Site of three.\nzone west\n"
PREPARED_TEXT = 'zone west\nzone "öst"\n'
NO_REVISION = (0, b"", "")
V1, V2 = "capture-1", "capture-2"


def expected(name: str) -> Any:
    """Return the expected values of a data file."""
    return json.loads((DATA / f"{name}.expected.json").read_text(encoding="utf-8"))


def revision_and_text(stored: Any) -> tuple[int, bytes, str]:
    """Return the number, digest and text of a stored revision."""
    return stored.revision.number, stored.revision.digest, stored.text


def expected_revision(number: int, text: str) -> tuple[int, bytes, str]:
    """Return the number, digest and text that a stored revision with this text must have."""
    return number, sha256(text.encode()).digest(), text


# The configuration service


def test_a_replica_s_state_is_read() -> None:
    state = configuration_files.read_state(DATA / "replica-state.json")
    assert revision_and_text(state.committed) == expected_revision(6, COMMITTED_TEXT)
    assert revision_and_text(state.prepared) == expected_revision(7, PREPARED_TEXT)


def test_a_new_replica_s_state_is_read() -> None:
    state = configuration_files.read_state(DATA / "replica-state-new.json")
    assert revision_and_text(state.committed) == NO_REVISION
    assert revision_and_text(state.prepared) == NO_REVISION


@pytest.mark.parametrize("name", ["replica-state.json", "replica-state-new.json"])
def test_a_replica_s_state_is_written_back_with_the_same_bytes(tmp_path: Path, name: str) -> None:
    written = tmp_path / name
    configuration_files.write_state(written, configuration_files.read_state(DATA / name))
    assert written.read_bytes() == (DATA / name).read_bytes()


def test_a_planner_s_copy_is_read_and_is_its_startup_candidate() -> None:
    copy = configuration_files.read_cached_revision(DATA / "planner-copy.json")
    assert copy is not None
    assert revision_and_text(copy) == expected_revision(6, COMMITTED_TEXT)
    (candidate,) = startup.startup_candidates((), DATA / "planner-copy.json")
    assert revision_and_text(candidate) == expected_revision(6, COMMITTED_TEXT)


def test_a_planner_s_copy_is_written_back_with_the_same_bytes(tmp_path: Path) -> None:
    copy = configuration_files.read_cached_revision(DATA / "planner-copy.json")
    assert copy is not None
    configuration_files.write_cached_revision(tmp_path / "copy", copy)
    assert (tmp_path / "copy").read_bytes() == (DATA / "planner-copy.json").read_bytes()


# Captures


def records_of(name: str) -> list[list[Any]]:
    """Return the kind, time, link and bytes (in hexadecimal) of each record of a capture."""
    reader = capture.Reader(DATA / name)
    try:
        return [[record.kind, record.at, record.link, record.data.hex()] for record in reader]
    finally:
        reader.close()


def messages_of(name: str) -> dict[str, Any]:
    """Return the messages, script and problems decoded from a capture, and the number of dropped bytes."""
    reader = capture.Reader(DATA / name)
    try:
        decoder, decoded = decode.messages(reader)
        messages = [message_values(message) for message in decoded]
    finally:
        reader.close()
    script = [list(note) for note in decoder.script]
    return {"messages": messages, "script": script, "problems": decoder.problems, "dropped": decoder.dropped}


def message_values(message: Any) -> dict[str, Any]:
    """Return a decoded message as plain values for the comparison with JSON."""
    body = None
    if message.body is not None:
        body = [message.body.DESCRIPTOR.full_name, MessageToDict(message.body)]
    return {
        "record": message.frame,
        "at": message.at,
        "link": message.link,
        "to": message.to,
        "stream": message.stream,
        "path": message.path,
        "from dialler": message.from_dialler,
        "body": body,
        "end": message.end,
        "heard": message.heard,
        "said at": message.said_at,
    }


@pytest.mark.parametrize(("name", "version"), [(V1, 1), (V2, 2)])
def test_a_capture_s_header_is_read(name: str, version: int) -> None:
    reader = capture.Reader(DATA / name)
    reader.close()
    assert reader.version == version
    assert reader.facts == expected(name)["facts"]


@pytest.mark.parametrize("name", [V1, V2])
def test_a_capture_s_records_are_read(name: str) -> None:
    assert records_of(name) == expected(name)["records"]


@pytest.mark.parametrize("name", [V1, V2])
def test_a_capture_s_messages_are_decoded(name: str) -> None:
    expected_values = expected(name)
    actual = messages_of(name)
    assert actual["messages"] == expected_values["messages"]
    assert actual == {key: expected_values[key] for key in ("messages", "script", "problems", "dropped")}


def test_the_captures_contain_every_kind_of_record() -> None:
    # Version 1 stores no records of kinds 7 and 8: the reader generates them.
    assert {record[0] for record in records_of(V1)} == set(range(1, 9))
    assert {record[0] for record in records_of(V2)} == set(range(1, 11))


@pytest.mark.parametrize("name", [V1, V2])
def test_a_capture_gets_the_same_verdict(name: str) -> None:
    result = CliRunner().invoke(main, ["judge", str(DATA / name)])
    assert result.output == (DATA / f"{name}.judged.txt").read_text(encoding="utf-8")
    assert result.exit_code == 1


def test_a_capture_is_written_back_with_the_same_bytes(tmp_path: Path) -> None:
    """Only format version 2 is written, so version 1 is not tested here."""
    reader = capture.Reader(DATA / V2)
    with (tmp_path / "capture").open("wb") as file:
        writer = capture.Writer(file, reader.facts)
        for record in reader:
            writer.write(record.kind, record.at, record.link, record.data)
    reader.close()
    assert (tmp_path / "capture").read_bytes() == (DATA / V2).read_bytes()


# Results of scale runs


def test_results_are_read() -> None:
    run = results.read(DATA / "results.json")
    assert (run.label, run.machine) == ("a cut-down run", "8 cores, 16 GB")
    assert (run.partial, run.seconds, run.version) == (True, 749.8, 1)
    assert [(sample.form, sample.load, sample.span_s) for sample in run.samples] == [
        ("platform", "idle", 9.002),
        ("platform", "steady", 9.009),
        ("platform", "planner-restarts", 1.428),
        ("grpc", "settings-restart", 4.643),
    ]
    assert [(sample.repeat, sample.changes) for sample in run.samples] == [(0, 0), (0, 0), (0, 0), (0, 1)]


def test_the_figures_of_results_are_read() -> None:
    _, steady, restart, change = results.read(DATA / "results.json").samples
    size = steady.size
    assert (size.workers, size.planners, size.starts_per_s, size.running) == (820, 7, 13.0, 6200)
    assert_steady_planner(steady.planner)
    assert_steady_peers(steady.peers)
    assert (restart.event.ready_s, restart.event.caught_up_s) == (0.37054503499985003, 0.40900182799987306)
    assert (restart.event.known_s, restart.event.in_force_s) == (None, None)
    assert restart.planner.cpu_share is None
    assert change.event.in_force_s == 4.64283751199946
    assert steady.note == "1 of 7 planners real, the others hollow"


def assert_steady_planner(planner: Any) -> None:
    """Check each figure of the cost of one planner."""
    assert planner.cpu_share == 0.04493851398687224
    assert planner.memory_mb == 33.57421875
    assert planner.connections == 207.4491666217702
    assert planner.dials_per_s == 49.61447024836361
    assert planner.bytes_per_s == 1504.8612698597624
    assert planner.control_bytes_per_s == 384.7063845208686
    assert planner.messages_per_s == 25.750687019284914
    assert planner.control_messages_per_s == 6.215683073620497
    assert planner.control_bytes_with_headers_per_s == 20095.525365696267
    assert planner.task_machines == 177.0


def assert_steady_peers(peers: Any) -> None:
    """Check each figure of the cost of the workers and of the node list."""
    assert peers.worker_connections == 1.8436861721902118
    assert peers.worker_dials_per_s == 0.3890216279090877
    assert peers.worker_bytes_per_s == 7.908076049872176
    assert peers.worker_messages_per_s == 0.09935347073252275
    assert peers.list_cpu_share == 0.001971004757050824
    assert peers.list_bytes_per_s == 117.87598971758871
    assert peers.list_connections == 7.002881121611298


def test_results_are_written_back_with_the_same_bytes(tmp_path: Path) -> None:
    results.write(results.read(DATA / "results.json"), tmp_path / "results.json")
    assert (tmp_path / "results.json").read_bytes() == (DATA / "results.json").read_bytes()


def test_results_without_the_number_of_changes_are_read() -> None:
    """The first form of the format had no number of configuration changes."""
    steady, restart = results.read(DATA / "results-first-form.json").samples
    assert (steady.changes, restart.changes) == (0, 0)
    assert_steady_planner(steady.planner)
    assert restart.event.ready_s == 0.37054503499985003


def test_the_comparison_of_results_prints_the_same() -> None:
    first, second = DATA / "results-first-form.json", DATA / "results.json"
    result = CliRunner().invoke(main, ["scale-compare", str(first), str(second)])
    assert result.output == (DATA / "results.compared.txt").read_text(encoding="utf-8")
    assert result.exit_code == 0
