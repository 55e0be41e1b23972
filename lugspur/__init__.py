"""The request proxy: the decisions of `lugspur/load_balancing` on real sockets."""
