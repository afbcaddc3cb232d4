"""Plans made ahead: which desks open, which classes each is given, which share of the calls goes where."""
