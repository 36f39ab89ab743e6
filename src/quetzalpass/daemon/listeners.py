"""Listeners: one address with optional TLS that closes without cutting a stream."""

import asyncio
import pathlib
import ssl

import logbook
from aiohttp import web

from quetzalpass.settings import schema

LOG = logbook.Logger("daemon")

BACKLOG = 1024
CERTIFICATE_CHECK_S = 5.0
FLUSH_POLL_S = 0.02


class CertificateReloader:
    """Keeps a TLS context on the newest certificate of its files.

    Connections that are open keep the certificate they began with; only new handshakes
    get the new one.

    Parameters
    ----------
    tls : schema.Tls
        Paths of the certificate chain and its key.

    Attributes
    ----------
    context : ssl.SSLContext
        Context of the listener; the same object for its whole life.

    Raises
    ------
    OSError
        If the files can't be read or don't belong together.
    """

    def __init__(self, tls: schema.Tls) -> None:
        self.tls = tls
        self.context = server_context(tls)
        self.loaded = self.versions()

    def versions(self) -> tuple[tuple[int, int], ...]:
        """Return what tells one version of the files from another."""
        stats = [
            pathlib.Path(path).stat()
            for path in (self.tls.certificate_file, self.tls.key_file)
        ]
        return tuple((each.st_mtime_ns, each.st_ino) for each in stats)

    def reload_if_changed(self) -> bool:
        """Load the files if they have changed; return whether they were loaded.

        Files that don't belong together, as halfway through a renewal, are left for
        the next check; the old certificate stays in use.
        """
        try:
            versions = self.versions()
            if versions == self.loaded:
                return False
            server_context(self.tls)
            self.context.load_cert_chain(self.tls.certificate_file, self.tls.key_file)
        except OSError as error:
            LOG.error(
                "daemon: Kept the old certificate, {} can't be loaded: {}.",
                self.tls.certificate_file,
                error,
            )
            return False
        self.loaded = versions
        LOG.info("daemon: Loaded the certificate {}.", self.tls.certificate_file)
        return True

    async def run(self) -> None:
        """Look at the files again and again."""
        while True:
            await asyncio.sleep(CERTIFICATE_CHECK_S)
            self.reload_if_changed()


def server_context(tls: schema.Tls) -> ssl.SSLContext:
    """Return a new server context with the certificate of the files.

    Raises
    ------
    OSError
        If the files can't be read or don't belong together.
    """
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(tls.certificate_file, tls.key_file)
    return context


class HttpListener:
    """One open listener.

    Parameters
    ----------
    runner : web.AppRunner
        Runs the application behind the listener; not set up yet.
    listener : schema.Listener
        Address and TLS.

    Attributes
    ----------
    reloader : CertificateReloader or None
        Present where TLS is served.
    """

    def __init__(self, runner: web.AppRunner, listener: schema.Listener) -> None:
        self.runner = runner
        self.listener = listener
        self.site: web.TCPSite | None = None
        self.opened_port = listener.port
        self.reloader: CertificateReloader | None = None
        self.reloading: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Open the address.

        Raises
        ------
        OSError
            If it is in use or the certificate can't be loaded.
        """
        await self.runner.setup()
        context = None
        if self.listener.tls is not None:
            self.reloader = CertificateReloader(self.listener.tls)
            context = self.reloader.context
            self.reloading = asyncio.create_task(self.reloader.run())
        self.site = web.TCPSite(
            self.runner,
            self.listener.host,
            self.listener.port,
            ssl_context=context,
            backlog=BACKLOG,
        )
        await self.site.start()
        self.opened_port = self.runner.addresses[0][1]

    def port(self) -> int:
        """Return the port that is open; of use where the settings say 0."""
        return self.opened_port

    async def close(self, flush_timeout_s: float) -> None:
        """Accept nothing more, let sent answers reach their readers, and close.

        A second call has no effect.

        Parameters
        ----------
        flush_timeout_s : float
            Longest wait for readers of answers that are complete.
        """
        if self.site is not None:
            await self.site.stop()
            self.site = None
        if self.reloading is not None:
            self.reloading.cancel()
        await self.flush(flush_timeout_s)
        await self.runner.cleanup()

    async def flush(self, timeout_s: float) -> None:
        """Wait until nothing that was written is left in this process."""
        loop = asyncio.get_running_loop()
        until_s = loop.time() + timeout_s
        while self.unsent_bytes() and loop.time() < until_s:
            await asyncio.sleep(FLUSH_POLL_S)

    def unsent_bytes(self) -> int:
        """Return the bytes that wait in the buffers of all connections."""
        if self.runner.server is None:
            return 0
        return sum(
            each.transport.get_write_buffer_size()
            for each in self.runner.server.connections
            if each.transport is not None
        )
