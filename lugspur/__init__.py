"""The request proxy: the decisions of `jaspershelf` on real sockets."""
