"""The adapter: frames in and out, and what bad input gets."""

import io
import json
import struct

import pytest

from seamlb import api
from seamlb.drill import Host, encode
from tests.support import RAW

BEGIN_BODY = json.dumps(RAW | {"Unheard": 1}).encode()


def frame(*records: bytes, now: float = 1000.0, number: int = 7) -> bytes:
    body = b"".join(records)
    return struct.pack("<dIII", now, 20 + len(body), len(records), number) + body


def begin(raw: bytes = BEGIN_BODY) -> bytes:
    return struct.pack("<HHQI", 1, 3, 99, len(raw)) + raw


def pool() -> bytes:
    return struct.pack("<HBI", 11, 0, 1) + struct.pack("<IBHHBfd", 500, 0, 0, 1, 1, 1.0, 0.0)


LIST = struct.pack("<HHQBB", 2, 3, 1, 0, 3)
DEMAND = struct.pack("<HHQdQHBBfdff", 3, 3, 42, 0.0, 0, 0, 0, 0, -1.0, 3000.0, 1.0, 1.0)


def serve(data: bytes) -> tuple[int, bytes]:
    sink = io.BytesIO()
    return Host().serve(io.BytesIO(data), sink), sink.getvalue()


def test_empty_batch_and_clean_end() -> None:
    code, reply = serve(frame())
    assert code == 0
    assert reply == struct.pack("<III", 0, 12, 7)


def test_the_documented_demand_record_decodes() -> None:
    record = bytes.fromhex(
        "03000300c4913a5dcfe401000000000000002840640ad2557c3bf09100000100000080430000000000006e400000964400006442"
    )
    assert len(record) == len(DEMAND)
    host = Host()
    seen: list[api.Event] = []

    class Spy:
        def handle(self, now: float, event: api.Event) -> list[api.Action]:
            seen.append(event)
            return []

    host.controllers[3] = Spy()  # type: ignore[assignment]
    assert host.serve(io.BytesIO(frame(record)), io.BytesIO()) == 0
    (event,) = seen
    assert isinstance(event, api.CallRequest)
    assert (event.time_left, event.destination, event.slots, event.hint) == (240.0, 57, 1200.0, 12.0)


def test_a_call_is_sent_and_unknown_settings_are_skipped() -> None:
    code, reply = serve(frame(begin(), pool(), LIST, DEMAND))
    assert code == 0
    count, size, number = struct.unpack_from("<III", reply)
    assert (size, number) == (len(reply), 7)
    assert count >= 1
    assert struct.unpack_from("<HHQI", reply, 12 + 20) == (65, 3, 42, 500)  # after the beat's WAKE_AT


@pytest.mark.parametrize(
    ("data", "says"),
    [
        (frame()[:9], "malformed batch header at byte 0"),
        (frame(DEMAND)[:-4], "malformed batch at byte"),
        (frame(struct.pack("<H", 99)), "malformed code 99 at byte 20: unknown code"),
        (frame(DEMAND[:10]), "malformed DEMAND at byte 20: record is cut short"),
        (frame(DEMAND), "malformed DEMAND at byte 20: instance 3 has not begun"),
        (frame(begin(), LIST), "malformed BACKENDS_CHANGED"),
        (frame(begin(b"{")), "malformed BEGIN at byte 20"),
        (struct.pack("<dIII", 0.0, 20, 1, 1), "malformed record at byte 20: record is cut short"),
    ],
)
def test_malformed_input_names_record_and_position(
    data: bytes, says: str, capsys: pytest.CaptureFixture[str]
) -> None:
    code, _ = serve(data)
    err = capsys.readouterr().err
    assert code != 0
    assert says in err
    assert err.count("\n") == 1


def test_a_missing_rule_setting_is_named(capsys: pytest.CaptureFixture[str]) -> None:
    raw = json.loads(BEGIN_BODY)
    del raw["Contract"]["Fall"]
    code, _ = serve(frame(begin(json.dumps(raw).encode())))
    assert code != 0
    assert "Contract.Fall: missing" in capsys.readouterr().err


def test_an_exception_in_the_module_is_declared(capsys: pytest.CaptureFixture[str]) -> None:
    class FrameError:
        def handle(self, now: float, event: api.Event) -> list[api.Action]:
            raise RuntimeError("it broke")

    host = Host()
    host.controllers[3] = FrameError()  # type: ignore[assignment]
    sink = io.BytesIO()
    assert host.serve(io.BytesIO(frame(DEMAND)), sink) == 0
    assert struct.unpack_from("<HH", sink.getvalue(), 12) == (74, 3)
    assert b"it broke" in sink.getvalue()
    assert "Traceback" in capsys.readouterr().err


def test_every_action_has_its_record() -> None:
    expected = {
        api.SendSetUp(1, 2, 3.0): 65,
        api.Refuse(1, 2.0): 66,
        api.Fail(1): 67,
        api.Cancel(1, 0): 68,
        api.SetTimer(1, 2.0): 69,
        api.Probe(2): 70,
        api.CloseIdle(2): 71,
        api.SendMessage(None, b"hi"): 72,
        api.Log("x"): 73,
        api.Subscribe(True): 75,
        api.FetchList(): 76,
    }
    for action, code in expected.items():
        assert struct.unpack_from("<HH", encode(5, action)) == (code, 5)


@pytest.mark.parametrize(
    ("change", "field"),
    [
        ({"Classes": []}, "Classes"),
        ({"Instances": 0}, "Instances"),
        ({"Limits": {"AttemptsCap": -1}}, "Limits.AttemptsCap"),
        ({"Classes": [{"OnTime": -5.0, "Deadline": 9.0}]}, r"Classes\[0\].OnTime"),
    ],
)
def test_impossible_settings_raise(change: dict[str, object], field: str) -> None:
    with pytest.raises(ValueError, match=field):
        api.Settings.from_mapping(RAW | change)
