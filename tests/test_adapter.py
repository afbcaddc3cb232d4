"""The adapter to the simulator: batches in and out, and the handling of malformed input."""

import io
import json
import struct

import pytest

from seamlb import api
from seamlb.drill import Host, encode
from tests.support import RAW

BEGIN_BODY = json.dumps(RAW | {"UnknownKey": 1}).encode()


def batch(*records: bytes, now: float = 1000.0, number: int = 7) -> bytes:
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


def test_an_empty_batch_is_answered_and_the_end_of_input_is_no_error() -> None:
    code, reply = serve(batch())
    assert code == 0
    assert reply == struct.pack("<III", 0, 12, 7)


def test_the_documented_demand_record_is_decoded() -> None:
    record = bytes.fromhex(
        "03000300c4913a5dcfe401000000000000002840640ad2557c3bf09100000100000080430000000000006e400000964400006442"
    )
    assert len(record) == len(DEMAND)
    host = Host()
    seen: list[api.Event] = []

    class RecordingController:
        def handle(self, now: float, event: api.Event) -> list[api.Action]:
            seen.append(event)
            return []

    host.controllers[3] = RecordingController()  # type: ignore[assignment]
    assert host.serve(io.BytesIO(batch(record)), io.BytesIO()) == 0
    (event,) = seen
    assert isinstance(event, api.CallRequest)
    assert (event.time_left, event.destination, event.slots, event.hint) == (240.0, 57, 1200.0, 12.0)


def test_a_call_is_sent_and_unknown_settings_are_skipped() -> None:
    code, reply = serve(batch(begin(), pool(), LIST, DEMAND))
    assert code == 0
    count, size, number = struct.unpack_from("<III", reply)
    assert (size, number) == (len(reply), 7)
    assert count >= 1
    assert struct.unpack_from("<HHQI", reply, 12 + 20) == (
        65,
        3,
        42,
        500,
    )  # after the SetTimer record of the stall timer


@pytest.mark.parametrize(
    ("data", "message"),
    [
        (batch()[:9], "malformed batch header at byte 0"),
        (batch(DEMAND)[:-4], "malformed batch at byte"),
        (batch(struct.pack("<H", 99)), "malformed code 99 at byte 20: unknown code"),
        (batch(DEMAND[:10]), "malformed DEMAND at byte 20: record is truncated"),
        (batch(DEMAND), "malformed DEMAND at byte 20: unknown instance 3, no BEGIN received"),
        (batch(begin(), LIST), "malformed BACKENDS_CHANGED"),
        (batch(begin(b"{")), "malformed BEGIN at byte 20"),
        (struct.pack("<dIII", 0.0, 20, 1, 1), "malformed record at byte 20: record is truncated"),
    ],
)
def test_malformed_input_names_record_and_position(
    data: bytes, message: str, capsys: pytest.CaptureFixture[str]
) -> None:
    code, _ = serve(data)
    err = capsys.readouterr().err
    assert code != 0
    assert message in err
    assert err.count("\n") == 1


def test_the_error_names_a_missing_setting(capsys: pytest.CaptureFixture[str]) -> None:
    raw = json.loads(BEGIN_BODY)
    del raw["Contract"]["Fall"]
    code, _ = serve(batch(begin(json.dumps(raw).encode())))
    assert code != 0
    assert "Contract.Fall: missing" in capsys.readouterr().err


def test_an_exception_in_the_controller_is_reported(capsys: pytest.CaptureFixture[str]) -> None:
    class FailingController:
        def handle(self, now: float, event: api.Event) -> list[api.Action]:
            raise RuntimeError("it broke")

    host = Host()
    host.controllers[3] = FailingController()  # type: ignore[assignment]
    sink = io.BytesIO()
    assert host.serve(io.BytesIO(batch(DEMAND)), sink) == 0
    assert struct.unpack_from("<HH", sink.getvalue(), 12) == (74, 3)
    assert b"it broke" in sink.getvalue()
    assert "Traceback" in capsys.readouterr().err


def test_every_action_has_a_record_code() -> None:
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
def test_invalid_settings_raise(change: dict[str, object], field: str) -> None:
    with pytest.raises(ValueError, match=field):
        api.Settings.from_mapping(RAW | change)
