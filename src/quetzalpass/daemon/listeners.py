"""HTTP listeners with optional TLS, which close without truncating a response."""

import asyncio
import pathlib
import ssl

import logbook
from aiohttp import web

from quetzalpass import background
from quetzalpass.settings import schema
from quetzalpass.wire import server

LOG = logbook.Logger("daemon")

CERTIFICATE_CHECK_S = 5.0


class CertificateReloader:
    """Reloads the certificate of a TLS context when its files change.

    Open connections keep their certificate; only new handshakes use the new one.

    Parameters
    ----------
    tls : schema.Tls
        Paths of the certificate chain and its key.

    Attributes
    ----------
    context : ssl.SSLContext
        Context of the listener, which is never replaced.

    Raises
    ------
    OSError
        If the files can't be read or the key doesn't match the certificate.
    """

    def __init__(self, tls: schema.Tls) -> None:
        self.tls = tls
        self.context = server_context(tls)
        self.loaded_versions = self.file_versions()

    def file_versions(self) -> tuple[tuple[int, int], ...]:
        """Return modification times and inodes, which change with the files."""
        stats = [
            pathlib.Path(path).stat()
            for path in (self.tls.certificate_file, self.tls.key_file)
        ]
        return tuple((each.st_mtime_ns, each.st_ino) for each in stats)

    def reload_if_changed(self) -> bool:
        """Load the files if they have changed; return whether they were loaded.

        Files that don't match, as in the middle of a renewal, are tried again at the
        next check; the old certificate stays in use.
        """
        try:
            file_versions = self.file_versions()
            if file_versions == self.loaded_versions:
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
        self.loaded_versions = file_versions
        LOG.info("daemon: Loaded the certificate {}.", self.tls.certificate_file)
        return True

    async def run(self) -> None:
        """Check the files at a fixed interval."""
        while True:
            await asyncio.sleep(CERTIFICATE_CHECK_S)
            self.reload_if_changed()


def server_context(tls: schema.Tls) -> ssl.SSLContext:
    """Return a new server context with the certificate of the files.

    Raises
    ------
    OSError
        If the files can't be read or the key doesn't match the certificate.
    """
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(tls.certificate_file, tls.key_file)
    return context


def parse_address(address: str) -> schema.Listener:
    """Return the settings of a listener without TLS at ``host:port``."""
    host, _, port = address.rpartition(":")
    return schema.Listener(host, int(port))


class HttpListener:
    """Listens at one address for an application.

    Parameters
    ----------
    runner : web.AppRunner
        Runs the application; not set up yet.
    listener : schema.Listener
        Address and TLS settings.

    Attributes
    ----------
    reloader : CertificateReloader or None
        Reloads the certificate if the listener serves TLS.
    is_ending : bool
        Whether each response is the last of its connection.
    """

    def __init__(self, runner: web.AppRunner, listener: schema.Listener) -> None:
        self.runner = runner
        self.listener = listener
        self.bound_port = listener.port
        self.reloader: CertificateReloader | None = None
        self.reload_task: asyncio.Task[None] | None = None
        self.is_ending = False
        runner.app.on_response_prepare.append(self.announce_end)

    def end_connections(self) -> None:
        """Close each connection after its next response, and say so in it."""
        self.is_ending = True

    async def announce_end(
        self, request: web.Request, response: web.StreamResponse
    ) -> None:
        """Tell the client that its connection closes, if connections are to end."""
        if self.is_ending:
            response.force_close()
            response.headers["Connection"] = "close"

    async def start(self) -> None:
        """Start listening.

        Raises
        ------
        OSError
            If the address stays in use or the certificate can't be loaded.
        """
        await self.runner.setup()
        context = None
        if self.listener.tls is not None:
            self.reloader = CertificateReloader(self.listener.tls)
            context = self.reloader.context
            self.reload_task = background.start("certificates", self.reloader.run)
        await server.open_site(
            lambda: server.make_site(
                self.runner, self.listener.host, self.listener.port, context
            )
        )
        self.bound_port = self.runner.addresses[0][1]

    def port(self) -> int:
        """Return the bound port, which differs from the settings if they have 0."""
        return self.bound_port

    async def stop_accepting(self) -> None:
        """Accept no further connections, and end the open ones.

        A second call has no effect.
        """
        self.end_connections()
        await server.stop_listening(self.runner)
        if self.reload_task is not None:
            self.reload_task.cancel()

    async def close(self, flush_timeout_s: float) -> None:
        """Stop accepting connections, respond to what was read, flush it, and close.

        A second call has no effect.

        Parameters
        ----------
        flush_timeout_s : float
            Maximum wait for responses, and again for callers to read them.
        """
        await self.stop_accepting()
        await server.close(self.runner, flush_timeout_s, flush_timeout_s)
