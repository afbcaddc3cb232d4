"""All decisions of the call agent, after Andersson, Nyberg and Kihl (2003). No I/O; callers pass the time."""
