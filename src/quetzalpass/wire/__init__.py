"""The inner protocol: typed messages as JSON over HTTP between the system's VMs.

A message type derives from ``messages.Request`` and names its reply type. Whoever
answers it registers a handler by that type::

    table = handlers.HandlerTable()
    table.add(MyRequest, answer_my_request)
    server.PeerServer(table, cluster_key).add_routes(application)

A sender calls ``await transport.call(peer, MyRequest(...))``. A call may reach its
handler twice, so that messages must be idempotent.
"""
