"""Tests of the simulator's wire codec on example bytes from its document, and on malformed input."""

import io
import subprocess
import sys

import pytest

from stairplank import interface as api
from stairplank import wire
from stairplank.settings_text import settings_from
from stairplank.simhost import Host

BATCH = bytes.fromhex(
    "56000000 5a5c800000000000 03000000"
    "03 0300 c4913a5d20880e00 0000 0000 640ad2557c3bf091 da05840000000000 e02e0000 107cf3d901648e2b 00000040"
    " 0000c03f 01"
    "07 0300 4d000000"
    "06 0500 192b6f0eb1870000"
)
NODE_LIST_RECORDS = bytes.fromhex(
    "0d 00 02000000"
    "074a1203 00006040 00 00 0000 02 0000803f 00004041 0000000000000000"
    "f211902c 00009040 00 00 0000 02 0000c03f 00004041 20145d0000000000"
    "02 0300 02 29000000 00"
)
TASK = int.from_bytes(bytes.fromhex("c4913a5d20880e00"), "little")
OTHER = int.from_bytes(bytes.fromhex("192b6f0eb1870000"), "little")
NODE = int.from_bytes(bytes.fromhex("074a1203"), "little")
NODE2 = int.from_bytes(bytes.fromhex("f211902c"), "little")


def frame(*records: bytes, count: int | None = None) -> bytes:
    body = b"".join(records)
    return wire.EVENT_HEADER.pack(16 + len(body), 8_412_250, len(records) if count is None else count) + body


def decode_last(*records: bytes, count: int | None = None) -> tuple[int, object]:
    _, events = wire.Decoder().records(frame(*records, count=count))
    return list(events)[-1]


def test_printed_batch() -> None:
    now, events = wire.Decoder().records(BATCH)
    task_requested, timer_fired, task_cancelled = events
    assert now == 0x805C5A
    assert task_requested == (
        3,
        api.TaskRequested(
            api.Task(
                TASK,
                0,
                0,
                0x91F03B7C55D20A64,
                0x8405DA,
                0x2B8E6401D9F37C10,
                2.0,
                1.5,
                expected_duration_us=12_000,
            )
        ),
    )
    assert timer_fired == (3, api.TimerFired(77))
    assert task_cancelled == (5, api.TaskCancelled(OTHER))


def test_printed_list() -> None:
    instance, event = decode_last(NODE_LIST_RECORDS, count=2)
    ready = api.NodeStatus.READY
    assert instance == 3 and event == api.NodeList(
        api.ListKind.CACHED,
        (
            api.NodeEntry(NODE, 0, 0, 0, ready, 3.5, 12.0, 0),
            api.NodeEntry(NODE2, 0, 0, 0, ready, 4.5, 12.0, 6_100_000),
        ),
        41,
    )


@pytest.mark.parametrize(
    ("text", "event"),
    [
        ("04 0300 c4913a5d20880e00 00 074a1203 22240000", api.Placed(TASK, 0, NODE, 9250)),
        (
            "05 0300 c4913a5d20880e00 c800 01 00000000 44480000 00 074a1203 00",
            api.Outcome(TASK, 0, NODE, api.Result.FINISHED, True, api.Reason.UNTOLD, 18500),
        ),
        (
            "0c 0300 c4913a5d20880e00 01 00 0000003f 074a1203",
            api.StatusUpdate(TASK, 0, NODE, api.StatusKind.RUNNING, 0.5),
        ),
    ],
)
def test_printed_events(text: str, event: api.Event) -> None:
    assert decode_last(bytes.fromhex(text)) == (3, event)


def test_printed_health_check_result_and_kill() -> None:
    _, result = decode_last(bytes.fromhex("08 0300 f211902c c800 78050000 03 cdcccc3e0000a03f52b81e3f"))
    assert isinstance(result, api.HealthChecked) and result.ok and result.latency_us == 1400
    assert result.report == pytest.approx((0.4, 1.25, 0.62))
    assert decode_last(bytes.fromhex("0a 0300")) == (3, None)


def test_printed_adoption() -> None:
    text = (
        "0b 0300 192b6f0eb1870000 0000 0000 640ad2557c3bf091 da05840000000000 e02e0000 107cf3d901648e2b"
        " 00000040 0000c03f 01 f211902c"
    )
    _, event = decode_last(bytes.fromhex(text))
    assert isinstance(event, api.TaskAdopted) and event.node == NODE2 and event.task.id == OTHER


@pytest.mark.parametrize(
    ("action", "text"),
    [
        (api.Bind(TASK, NODE, 80_000), "41 0300 c4913a5d20880e00 074a1203 80380100"),
        (api.Shed(OTHER, 250_000), "42 0300 192b6f0eb1870000 90d00300"),
        (api.Fail(OTHER), "43 0300 192b6f0eb1870000"),
        (api.StopAttempt(TASK, 0), "44 0300 c4913a5d20880e00 00"),
        (api.SetTimer(0x87FD7A, 77), "45 0300 7afd870000000000 4d000000"),
        (api.HealthCheck(NODE2), "46 0300 f211902c"),
        (api.Log("two servers unknown"), "49 0300 1300 74776f207365727665727320756e6b6e6f776e"),
        (api.WatchNodeList(), "4b 0300 01"),
        (api.FetchNodeList(), "4c 0300"),
        (api.Evict(OTHER), "4d 0300 192b6f0eb1870000"),
    ],
)
def test_printed_actions(action: api.Action, text: str) -> None:
    if isinstance(action, api.Bind):
        text = text.replace("80380100", (80_000).to_bytes(4, "little").hex())
    assert wire.encode(3, action) == bytes.fromhex(text)


def test_printed_broken_and_empty_reply() -> None:
    assert wire.encode_broken(3, "index out of range") == bytes.fromhex(
        "4a 0300 1200 696e646578206f7574206f662072616e6765"
    )
    assert wire.reply([]) == bytes.fromhex("04000000")


@pytest.mark.parametrize(
    ("data", "message"),
    [
        (BATCH[:2], "cut off after 2 bytes"),
        (BATCH[:40], "cut off after 40 of 86 bytes"),
        (bytes.fromhex("05000000 00"), "impossible frame length 5"),
        (frame(bytes.fromhex("63 0300")), "unknown event code 99 in record 0 at byte 16"),
        (frame(bytes.fromhex("02 0300 01 29000000 04")), "list 4 was never set"),
        (frame(bytes.fromhex("07 0300")), "runs past the end of the frame"),
        (frame(bytes.fromhex("07 0300 4d000000"), b"xx", count=1), "2 bytes left over"),
    ],
)
def test_malformed_input_gives_one_error_line_and_ends_the_adapter(data: bytes, message: str) -> None:
    valid_frame = bytes.fromhex("10000000 5a5c800000000000 00000000")
    run = subprocess.run(
        [sys.executable, "-m", "stairplank.simhost"],
        input=valid_frame + data,
        capture_output=True,
        timeout=30,
    )
    assert run.returncode != 0
    assert run.stdout == bytes.fromhex("04000000")
    (line,) = run.stderr.decode().splitlines()
    assert message in line


def test_end_of_input_between_frames_exits_without_error() -> None:
    run = subprocess.run(
        [sys.executable, "-m", "stairplank.simhost"], input=b"", capture_output=True, timeout=30
    )
    assert (run.returncode, run.stdout, run.stderr) == (0, b"", b"")


def test_reads_one_frame_from_a_stream() -> None:
    assert wire.read_frame(io.BytesIO(BATCH)) == BATCH


OPTIONS = {
    "classes.count": "1",
    "classes.0.effect": "by_key",
    "classes.0.dedup_scope": "cell",
    "classes.0.window_us": "8000000",
    "classes.0.promise_us": "600000",
    "classes.0.deadline_us": "8000000",
    "contract.answer_slack_us": "8000",
    "contract.cold_from": "0.16",
    "contract.drain_grace_us": "250000",
    "contract.fall_multiple": "2.0",
    "contract.fall_us": "1500000",
    "contract.ramp_time_us": "17000000",
    "family_info.accepts_cores": "4.0",
    "family_info.mem_booking": "2.0",
    "family_info.mem_of_kind": "140.0,179.0",
    "family_info.size_cores": "39,61",
    "family_info.spread_by": "cell",
    "family_info.class_most": "3",
    "family_info.unit_cores": "0.58",
    "family_info.unit_memory": "1.67",
    "group_size": "2",
    "kinds": "node-32,node-64",
    "limits.max_attempts": "3",
    "position": "1",
    "quantum_us": "2000",
    "registry_mode": "ask",
    "something.new": "is passed over",
}


def settings_text(**changes: str | None) -> str:
    values = OPTIONS | {k.replace("__", "."): v for k, v in changes.items()}
    return "\n".join(f"{k}={v}" for k, v in values.items() if v is not None)


def test_settings() -> None:
    settings = settings_from(settings_text())
    assert (settings.planners, settings.position, settings.polls_node_list) == (2, 1, True)
    assert settings.node_types[1] == api.NodeType("node-64", 61.0, 179.0)
    assert (settings.classes[0].spread, settings.classes[0].max_per_place) == (api.Scope.GROUP, 3)


@pytest.mark.parametrize(
    ("key", "value", "message"),
    [
        ("group_size", None, "group_size is missing"),
        ("group_size", "many", "group_size has an unreadable value 'many'"),
        ("classes__0__effect", "odd", "classes.0.effect has an unreadable value 'odd'"),
        ("family_info__size_cores", "39", "family_info.size_cores has 1 values, not 2"),
        ("position", "2", "bad position: 2"),
        ("group_size", "0", "bad planners: 0"),
    ],
)
def test_error_for_invalid_settings_names_the_key(key: str, value: str | None, message: str) -> None:
    with pytest.raises(ValueError, match=message.replace("(", r"\(")):
        settings_from(settings_text(**{key: value}))


def test_an_exception_in_one_planner_is_reported_in_one_line_and_does_not_stop_others() -> None:
    def new_instance(instance: int, options: str) -> bytes:
        raw = options.encode()
        return b"\x01" + instance.to_bytes(2, "little") + bytes(8) + len(raw).to_bytes(4, "little") + raw

    reply = Host().answer(
        frame(new_instance(1, settings_text(group_size="0")), new_instance(2, settings_text()))
    )
    assert reply[4:7] == bytes.fromhex("4a 0100")
    assert b"ValueError: settings: bad planners: 0" in reply and b"\n" not in reply
    assert reply.endswith(bytes.fromhex("4b 0200 01"))
