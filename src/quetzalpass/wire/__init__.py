"""The peer protocol: typed messages as JSON over HTTP between the system's VMs.

A request type derives from ``messages.Request`` and sets its reply type. The receiver
registers a handler for the request type::

    table = handlers.HandlerTable()
    table.add(MyRequest, handle_my_request)
    server.PeerServer(table, cluster_key).add_routes(application)

A sender calls ``await transport.call(peer, MyRequest(...))``. As a request may be
delivered twice, it must be idempotent.
"""
