"""An example hook: classifies calls to the flood line as alerts, and prints every lost alert."""

import sys


def classify(call):
    """Called before the decision module sees a sip call; None leaves the call unchanged."""
    if call["number"].startswith("flood-line"):
        return {"class": "alert-confirm"}
    return None


def observe(result):
    """Called after each call."""
    if result["class"] == "alert-confirm" and result["result"] not in ("stood", "released"):
        print(f"alert {result['call']} {result['result']}", file=sys.stderr)
