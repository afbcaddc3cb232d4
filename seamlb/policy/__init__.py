"""All decisions of the call agent, after Andersson, Nyberg and Kihl (2003); no I/O, the caller's clock."""
