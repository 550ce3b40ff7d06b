"""The operator of a soak: changes, races, bad and repeated configurations."""

import asyncio
import copy
import random
from collections.abc import Callable

from bench.platform_system import CONTROLS, PlatformSystem, fetch
from bench.soak.promises import Acknowledged, Reading, Record

_READ_PAUSE_S = 0.7
_RESEND_SHARE = 0.3
# How long some callers go on with a key that was taken away.
_OLD_KEY_S = 8.0
_OLD_KEY_SHARE = 0.25
_OK = 200


class Operator:
    """Changes the configuration and reads it back."""

    def __init__(
        self,
        system: PlatformSystem,
        record: Record,
        rng: random.Random,
        now: Callable[[], float],
    ) -> None:
        """Start from the configuration that the system was started with."""
        self._system = system
        self._record = record
        self._rng = rng
        self._now = now
        self._document = copy.deepcopy(system.document)
        self._version = self._document['version']
        self._turn = asyncio.Lock()
        self._old_keys: list[tuple[str, float]] = []
        self._key = self._keys()[0]
        record.sent[self._version] = [copy.deepcopy(self._document)]
        record.acknowledged.append(Acknowledged(self._version, 0.0))

    def key(self) -> str:
        """Return the key of one request: some callers are behind."""
        now_s = self._now()
        behind = [key for key, until_s in self._old_keys if until_s > now_s]
        if behind and self._rng.random() < _OLD_KEY_SHARE:
            return self._rng.choice(behind)
        return self._key

    async def change(self) -> None:
        """Send the next version; sometimes an older one comes again."""
        async with self._turn:
            older = copy.deepcopy(self._document)
            await self._put_next()
            if self._rng.random() < _RESEND_SHARE:
                await self._put(older)

    async def race(self) -> None:
        """Send two contents under one version, at two hosts at once."""
        async with self._turn:
            first = self._next()
            second = copy.deepcopy(first)
            second['routes'][0]['timeout_ms'] += 100
            hosts = self._rng.sample(CONTROLS, 2)
            await asyncio.gather(
                self._put(first, hosts[0]), self._put(second, hosts[1])
            )

    async def send_bad(self) -> None:
        """Send an invalid configuration; it must be refused."""
        async with self._turn:
            document = self._next()
            document['routes'][0]['service'] = 'nowhere'
            version = document['version']
            self._record.invalid_versions.add(version)
            answer = await self._system.put(document)
            if 'error' not in answer:
                self._record.taken_invalid.append(version)

    async def revoke(self) -> None:
        """Change the callers' key: the new one first, then the old is gone."""
        async with self._turn:
            old, new = self._key, f'key{self._version}'
            self._keys().append(new)
            await self._put_next()
            await asyncio.sleep(self._record.convergence_s)
            self._key = new
            self._keys().remove(old)
            await self._put_next()
            now_s = self._now()
            self._record.revoked_s[old] = now_s
            self._old_keys.append((old, now_s + _OLD_KEY_S))

    async def read_on(self) -> None:
        """Read the configuration back at any host until cancelled."""
        while True:
            await asyncio.sleep(_READ_PAUSE_S)
            await self.read(self._rng.choice(CONTROLS))

    async def read(self, host: str) -> bool:
        """Read at one host; tell whether it answered."""
        asked_s = self._now()
        url = f'http://{host}:{self._system.control}/admin/v1/routing'
        status, body = await fetch(url)
        if status == _OK:
            self._record.readings.append(
                Reading(body['version'], asked_s, body)
            )
        return status == _OK

    def _keys(self) -> list[str]:
        return self._document['accounts'][0]['keys']

    def _next(self) -> dict:
        self._version += self._rng.randint(1, 4)
        document = copy.deepcopy(self._document)
        document['version'] = self._version
        return document

    async def _put_next(self) -> None:
        self._document = self._next()
        await self._put(self._document)

    async def _put(self, document: dict, host: str = '') -> None:
        version = document['version']
        sent = self._record.sent.setdefault(version, [])
        sent.append(copy.deepcopy(document))
        answer = await self._system.put(document, host)
        if 'error' in answer:
            raise ValueError(f'version {version} was refused: {answer}')
        self._record.acknowledged.append(Acknowledged(version, self._now()))
