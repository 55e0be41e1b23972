"""Hot restart of the platform's proxy, as in Envoy: a new process takes over without losing a request.

The successor gets the listening socket and the process state of its predecessor over a Unix socket, serves beside it,
and then takes over its callers' connections one by one. Until the predecessor ends, both processes exchange bans,
drains and the ids of open requests.
"""
