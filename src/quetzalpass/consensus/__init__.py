"""Raft consensus: any number of replicated groups in one process.

How one replica of a group is set up on a VM::

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

The first start of a new group needs all initial members, later starts only a
majority. After ``NOT_LEADER`` or ``NO_QUORUM``, clients resend the command with the
same operation id to ``group.leader()``. It is applied once, and each resend returns
the first outcome.
"""
