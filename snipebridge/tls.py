"""TLS of the HTTP listeners, with files that are read again on change."""

import asyncio
import ssl
from pathlib import Path

from snipebridge.logs import log_event
from snipebridge.settings.errors import SettingsError
from snipebridge.settings.models import ListenerSettings

_CHECK_INTERVAL_S = 1.0


class TlsFiles:
    """An SSL context that follows its certificate and key files.

    New connections use the new certificate; open ones keep theirs. A pair
    that can't be loaded, such as one half written, leaves the old in use.
    """

    __slots__ = ('_certificate', '_key', '_seen', 'context')

    def __init__(self, certificate: str, key: str, client_ca: str) -> None:
        """Load the files; raises `SettingsError` when they are unusable."""
        self._certificate = certificate
        self._key = key
        self._seen = self._stamps()
        self.context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
        try:
            self.context.load_cert_chain(certificate, key)
            if client_ca:
                self.context.load_verify_locations(client_ca)
                self.context.verify_mode = ssl.CERT_REQUIRED
        except (OSError, ssl.SSLError) as error:
            raise SettingsError(
                f'listener.tls_certificate_file: {certificate}: {error}'
            ) from error

    def reload_if_changed(self) -> bool:
        """Read the files again if they changed; tell whether they were."""
        stamps = self._stamps()
        if stamps == self._seen:
            return False
        try:
            self.context.load_cert_chain(self._certificate, self._key)
        except (OSError, ssl.SSLError) as error:
            log_event('tls_reload_failed', error=str(error))
            return False
        self._seen = stamps
        log_event('tls_reloaded', certificate=self._certificate)
        return True

    async def run(self) -> None:
        """Follow the files until cancelled."""
        while True:
            await asyncio.sleep(_CHECK_INTERVAL_S)
            self.reload_if_changed()

    def _stamps(self) -> tuple[int, ...]:
        return tuple(
            _modified_ns(path) for path in (self._certificate, self._key)
        )


def make_tls_files(listener: ListenerSettings) -> TlsFiles | None:
    """Return the TLS files of a listener, None where it has none."""
    if not listener.tls_certificate_file:
        return None
    return TlsFiles(
        listener.tls_certificate_file,
        listener.tls_key_file,
        listener.tls_client_ca_file,
    )


def _modified_ns(path: str) -> int:
    try:
        return Path(path).stat().st_mtime_ns
    except OSError:
        return 0
