"""The running program: the decision module between callers, backends and lists."""
