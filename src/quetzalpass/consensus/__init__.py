"""Replicated log of the system's own: several consensus groups in one process.

Wiring of one group on one VM::

    folder = disk.open_folder(pathlib.Path("data")).unwrap()
    table = handlers.HandlerTable()
    server.PeerServer(table, cluster_key).add_routes(application)
    groups = registry.GroupRegistry(table)
    group = groups.add(
        group.Group(
            group_id=ids.GroupId("declared"),
            vm=ids.VmId("vm-1"),
            initial_members=[ids.VmId("vm-1"), ids.VmId("vm-2"), ids.VmId("vm-3")],
            disk=folder,
            transport=transport.HttpTransport(addresses, cluster_key),
            state_machine=DeclaredState(),
            rng=random.Random(seed),
        )
    )
    (await group.start()).unwrap()
    outcome = await group.propose("operator", operation_id, command)

The first start of a new group needs all initial members at once; each later one a
majority. ``NOT_LEADER`` and ``NO_QUORUM`` are answered by sending the same operation id
again to ``group.leader()``; the first outcome is returned however often it is sent.
"""
