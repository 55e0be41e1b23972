"""Hot restart of the platform's proxy, as Envoy has it: a new process takes over without a request being lost.

The successor gets the listening socket and the process state of its predecessor over a Unix socket, serves beside it,
and then takes over its callers' connections one by one. Until the predecessor has ended, both processes exchange bans,
drains and the ids of open requests.
"""
