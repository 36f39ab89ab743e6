"""Holds the revision in force on this VM, with look-up tables for its values."""

import asyncio
import hashlib
import zlib
from collections.abc import Callable, Sequence

import logbook
import msgspec

from quetzalpass import background, ids
from quetzalpass.declarations import delta, relays, schema

LOG = logbook.Logger("membership")

EARLIER_REVISIONS = 4
OBSERVER_RETRY_S = 0.1


class Configuration:
    """One revision of the declaration, immutable, with look-up tables.

    Each request keeps the configuration that it was admitted under, so that it is
    handled under exactly one revision.

    Attributes
    ----------
    revision : Revision
        Number of the revision.
    digest : str
        Digest of its canonical form.
    data : bytes
        Canonical form, which is also sent to peers.
    declaration : schema.Declaration
        The declared values.
    models, classes, services, servers, vms, organisations : dict
        Declared values by name or id.
    routes_by_host : dict of str to dict of str to HostRoute
        Routes by host in lower case, then by path prefix.
    highest_priority : int
        Priority of the most urgent class; 0 if none is declared.
    organisations_by_key : dict of str to Organisation
        Organisation by the SHA-256 of its key, in hexadecimal.
    """

    def __init__(
        self,
        revision: ids.Revision,
        digest: str,
        data: bytes,
        declaration: schema.Declaration | None = None,
    ) -> None:
        if declaration is None:
            declaration = schema.decode(data)
        self.revision = revision
        self.digest = digest
        self.data = data
        self.declaration = declaration
        self.models = {each.name: each for each in declaration.models}
        self.classes = {each.name: each for each in declaration.classes}
        self.highest_priority = max(
            (each.priority for each in declaration.classes), default=0
        )
        self.services = {each.name: each for each in declaration.services}
        self.servers = {each.id: each for each in declaration.servers}
        self.vms = {each.id: each for each in declaration.vms}
        self.organisations = {each.id: each for each in declaration.organisations}
        self.organisations_by_key = {
            digest: each
            for each in declaration.organisations
            for digest in each.key_sha256
        }

        self.routes_by_host: dict[str, dict[str, relays.HostRoute]] = {}
        for route in declaration.routes:
            by_prefix = self.routes_by_host.setdefault(route.host.lower(), {})
            by_prefix[route.path_prefix] = route

    def find_route(self, host: str, path: str) -> relays.HostRoute | None:
        """Return the host's route with the longest matching path prefix.

        Parameters
        ----------
        host : str
            Host without a port, in any case.
        path : str
            Path of the request without its query.
        """
        by_prefix = self.routes_by_host.get(host.lower(), {})
        end = path.rfind("/")
        while end >= 0:
            route = by_prefix.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None

    def find_organisation(self, key: str) -> schema.Organisation | None:
        """Return the organisation that a caller's key belongs to.

        Only the key's hash is looked up. The time of the look-up may reveal something
        about a hash, but that doesn't help to find a key.
        """
        digest = hashlib.sha256(key.encode("utf-8", "surrogateescape")).hexdigest()
        return self.organisations_by_key.get(digest)

    def servers_beside(self, server_id: ids.ServerId) -> list[ids.ServerId]:
        """Return the other servers in a server's data centre, other services first."""
        server = self.servers[server_id]
        vm = self.vms.get(server.vm)
        if vm is None:
            return []
        beside = [
            each
            for each in self.servers.values()
            if each.id != server_id
            and each.vm in self.vms
            and self.vms[each.vm].data_centre == vm.data_centre
        ]
        beside.sort(key=lambda each: each.kind is server.kind)
        return [each.id for each in beside]

    def state_of_server(self, server_id: ids.ServerId) -> schema.ServiceState:
        """Return the declared state of the VM that a backend server runs on."""
        vm = self.vms.get(self.servers[server_id].vm)
        if vm is None:
            return schema.ServiceState.OUT_OF_SERVICE
        return vm.state


class ConfigurationHolder:
    """Holds the newest revision that this VM has; it never returns to an older one.

    Attributes
    ----------
    current : Configuration or None
        The revision in force; ``None`` until the first arrives.
    in_force_since_s : float
        Loop time at which it came into force.
    observers : list of callable
        Called with each revision that comes into force, again after a failure.
    changed : asyncio.Event
        Set when the next revision comes into force, and then replaced.
    is_waiting_over : bool
        Whether nobody waits for a newer revision any more, as this VM stops.
    earlier : list of Configuration
        The last revisions before it, as bases for deltas.
    deltas : dict of Revision to bytes
        Cached deltas to the current revision, by base.
    compressed : dict of Revision to bytes
        Compressed forms of these deltas, and of the whole revision under its number.
    """

    def __init__(self) -> None:
        self.current: Configuration | None = None
        self.in_force_since_s = 0.0
        self.observers: list[Callable[[Configuration], None]] = []
        self.failure_log = background.FailureLog()
        self.changed = asyncio.Event()
        self.is_waiting_over = False
        self.earlier: list[Configuration] = []
        self.deltas: dict[ids.Revision, bytes] = {}
        self.compressed: dict[ids.Revision, bytes] = {}

    def revision(self) -> ids.Revision:
        """Return the revision in force; 0 if there is none."""
        return self.current.revision if self.current else ids.Revision(0)

    def activate(self, revision: ids.Revision, digest: str, data: bytes) -> bool:
        """Put a revision in force if it is valid and newer.

        Returns
        -------
        bool
            Whether it is in force now. A damaged revision is rejected and logged.
        """
        if revision <= self.revision():
            return False
        if schema.digest_of(data) != digest:
            LOG.error("membership: Rejected revision {}: wrong digest.", revision)
            return False
        try:
            configuration = Configuration(revision, digest, data)
        except msgspec.MsgspecError as error:
            LOG.error("membership: Rejected revision {}: {}.", revision, error)
            return False
        self.put_in_force(configuration)
        return True

    def activate_delta(
        self, base: ids.Revision, revision: ids.Revision, digest: str, data: bytes
    ) -> bool:
        """Put a revision in force that is given as a delta from another.

        Returns
        -------
        bool
            Whether it is in force now. If not, the whole revision is needed.
        """
        if self.current is None or self.current.revision != base:
            return False
        try:
            change = delta.decode(data)
        except msgspec.MsgspecError as error:
            LOG.error("membership: Rejected a delta: {}.", error)
            return False
        declaration = delta.apply_delta(self.current.declaration, change)
        whole = schema.encode(declaration)
        if revision <= base or schema.digest_of(whole) != digest:
            LOG.error("membership: Rejected the delta to revision {}.", revision)
            return False
        self.put_in_force(Configuration(revision, digest, whole, declaration))
        return True

    def find_declaration(self, revision: ids.Revision) -> schema.Declaration | None:
        """Return the declaration of a revision, if it is still kept here."""
        known = [*self.earlier, self.current]
        for each in known:
            if each is not None and each.revision == revision:
                return each.declaration
        return None

    def delta_from(self, base: ids.Revision) -> bytes | None:
        """Return the delta from an earlier revision, if one can be made."""
        if base in self.deltas:
            return self.deltas[base]
        assert self.current is not None
        earlier = self.find_declaration(base)
        change = None
        if earlier is not None:
            change = delta.delta_between(earlier, self.current.declaration)
        if change is None:
            return None
        self.deltas[base] = delta.encode(change)
        return self.deltas[base]

    def compress(self, revision: ids.Revision, plain: bytes) -> bytes:
        """Return bytes in compressed form, which is kept for the next peers.

        Parameters
        ----------
        revision : Revision
            Base of a delta to the current revision, or the current one itself.
        plain : bytes
            The delta, or the whole current revision.
        """
        if revision not in self.compressed:
            self.compressed[revision] = zlib.compress(plain)
        return self.compressed[revision]

    def put_in_force(self, configuration: Configuration) -> None:
        """Put a validated revision in force and notify observers and waiters."""
        revision = configuration.revision
        if self.current is not None:
            self.earlier.append(self.current)
            del self.earlier[:-EARLIER_REVISIONS]
        self.deltas.clear()
        self.compressed.clear()
        self.current = configuration
        self.in_force_since_s = asyncio.get_running_loop().time()
        LOG.info("membership: Revision {} is in force.", revision)
        self.notify(configuration, self.observers)
        self.wake_waiters()

    def notify(
        self,
        configuration: Configuration,
        observers: Sequence[Callable[[Configuration], None]],
    ) -> None:
        """Notify observers, again and again those that fail, of the newest revision."""
        if self.current is not configuration:
            return
        failed = []
        for observer in observers:
            try:
                observer(configuration)
            except Exception as error:
                message = f"An observer of revision {configuration.revision} failed"
                self.failure_log.record(message, error)
                failed.append(observer)
        if failed:
            loop = asyncio.get_running_loop()
            loop.call_later(OBSERVER_RETRY_S, self.notify, configuration, failed)

    def wake_waiters(self) -> None:
        """Wake all tasks that wait for a newer revision."""
        changed = self.changed
        self.changed = asyncio.Event()
        changed.set()

    def end_waits(self) -> None:
        """Let all tasks go on that wait for a newer revision, now and from now on."""
        self.is_waiting_over = True
        self.wake_waiters()

    async def wait_newer(self, revision: ids.Revision, timeout_s: float) -> bool:
        """Wait until a newer revision is in force; return whether one is."""
        try:
            async with asyncio.timeout(timeout_s):
                while self.revision() <= revision and not self.is_waiting_over:
                    await self.changed.wait()
        except TimeoutError:
            return False
        return self.revision() > revision
