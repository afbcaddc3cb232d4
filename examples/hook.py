"""An example hook: calls to the flood line count as alerts, and every lost alert is printed."""

import sys


def classify(call):
    """Before the module sees a sip call; None leaves it as it is."""
    if call["number"].startswith("flood-line"):
        return {"class": "alert-confirm"}
    return None


def observe(result):
    """After each call."""
    if result["class"] == "alert-confirm" and result["result"] not in ("stood", "released"):
        print(f"alert {result['call']} {result['result']}", file=sys.stderr)
