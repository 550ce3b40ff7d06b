"""Recent runs of an entry, to tell which requests were at a replica's crash.

Answers requests that crash each replica which begins to answer them, since they
are what they are or for one part in their prompts. Such a crash comes soon
after the first token, also where the entry dropped the answer meanwhile, and
ends every other run there. So a run that began shortly before a crash is a
suspect, one that broke off before it began is a weak one, and a run that has
outlived that time was sound: it speaks for all that it has in common with
others.

>>> runs = PromptRuns()
>>> runs.record_began('r1', PromptRun('a1', 's', ('p',), 'd'), now_s=5.0)
>>> runs.record_lost('r1', lost_s=5.1, now_s=5.2)
True
>>> [(one.replica, one.run.request, one.has_begun) for one in runs.suspects(6)]
[('r1', 'a1', True)]
"""

from bisect import bisect_left
from collections import deque
from dataclasses import dataclass, field

# How long after its first token a request may crash a replica.
SUSPECT_S = 1.0
# A run that lasted this long was sound. An entry that dropped the answer may
# learn of the loss later, so such runs never count as sound.
SURVIVAL_S = 1.2
# How long before the first crash a sound run still counts.
SOUND_BEFORE_S = 60.0
# Suspects are reported for this long, so that a new leader gets them too.
REPORT_S = 10.0
# Two losses of one replica closer together are the same.
SAME_LOSS_S = 1.5
# A run that broke off this close to a loss was ended by it.
_BREAK_S = 0.5
_MAX_RUNS = 4096
_MAX_DOWN = 1024
_MAX_SOUND = 4096
_MAX_SOUND_TIMES = 16
_MAX_SUSPECTS = 64
# No part of a prompt has a colon.
_REQUEST_PREFIX = 'request:'


@dataclass(slots=True, frozen=True)
class SharedPart:
    """What several requests to a service have in common.

    Either a part of their prompts, or all of path, caller and body.
    """

    service: str
    identity: str

    @property
    def is_request(self) -> bool:
        """Whether it is a request as a whole, by its digest."""
        return self.identity.startswith(_REQUEST_PREFIX)

    @property
    def description(self) -> str:
        """What a refused caller is told."""
        if self.is_request:
            return 'this request'
        return f'the prompt part {self.identity}'


@dataclass(slots=True, frozen=True)
class PromptRun:
    """One request at a replica, with what others may share with it."""

    # The caller's id of the attempt.
    request: str
    service: str
    # The shared parts of its prompt in order, none for a plain request.
    identities: tuple[str, ...]
    # The same for all requests with the same path, caller and body.
    digest: str
    # Whether the head of its answer tells that the run has begun.
    is_stream: bool = True

    @property
    def parts(self) -> tuple[SharedPart, ...]:
        """What it shares with others, the narrowest last."""
        identities = (*self.identities, f'{_REQUEST_PREFIX}{self.digest}')
        return tuple(SharedPart(self.service, one) for one in identities)


@dataclass(slots=True, frozen=True)
class CrashSuspect:
    """A run that a replica may have crashed under."""

    run: PromptRun
    replica: str
    lost_s: float
    # Whether the replica had begun to run it.
    has_begun: bool
    # How long it had run, 0 where that is not known.
    ran_s: float = 0.0


@dataclass(slots=True, frozen=True)
class SoundRuns:
    """How many runs with a part were sound, before and after its first crash."""

    before: int = 0
    after: int = 0


@dataclass(slots=True)
class _RecentRun:
    run: PromptRun
    replica: str
    began_s: float
    cut_s: float = float('inf')
    is_whole: bool = False

    @property
    def was_cut_in_danger(self) -> bool:
        """Whether its caller left before it could have crashed a replica."""
        return self.cut_s - self.began_s < SUSPECT_S


@dataclass(slots=True, frozen=True)
class _Unanswered:
    run: PromptRun
    replica: str
    broke_s: float


@dataclass(slots=True)
class PromptRuns:
    """The runs of the last seconds, lost replicas, and sound runs."""

    _runs: deque[_RecentRun] = field(
        default_factory=lambda: deque(maxlen=_MAX_RUNS)
    )
    _unanswered: deque[_Unanswered] = field(
        default_factory=lambda: deque(maxlen=_MAX_RUNS)
    )
    _lost_s: dict[str, float] = field(default_factory=dict)
    # Replicas that have begun no run here since they were lost, oldest first.
    _down: dict[str, float] = field(default_factory=dict)
    _suspects: deque[CrashSuspect] = field(
        default_factory=lambda: deque(maxlen=_MAX_SUSPECTS)
    )
    # When the last sound runs with a part began.
    _sound_s: dict[SharedPart, list[float]] = field(default_factory=dict)

    def record_began(self, replica: str, run: PromptRun, now_s: float) -> None:
        """Add a run whose first token has come."""
        self._settle(now_s)
        if now_s > self._down.get(replica, now_s):
            self._down.pop(replica)
        self._runs.append(_RecentRun(run, replica, now_s))

    def record_cut(self, replica: str, request: str, now_s: float) -> None:
        """Note that a run ended before its answer was complete."""
        recent = self._find(replica, request)
        if recent is not None:
            recent.cut_s = min(recent.cut_s, now_s)

    def record_whole(self, replica: str, request: str) -> None:
        """Note that a plain request was answered as a whole.

        A replica that crashes under a plain request does not answer it.
        """
        recent = self._find(replica, request)
        if recent is not None:
            recent.is_whole = True

    def record_unanswered(
        self, replica: str, run: PromptRun, now_s: float
    ) -> None:
        """Add a run whose connection broke off before the first token."""
        self._unanswered.append(_Unanswered(run, replica, now_s))

    def record_lost(self, replica: str, lost_s: float, now_s: float) -> bool:
        """Note that a replica crashed; tell whether that is new here."""
        self._settle(now_s)
        if self.was_lost_near(replica, lost_s):
            return False
        self._lost_s[replica] = lost_s
        self._down.pop(replica, None)
        self._down[replica] = lost_s
        while len(self._down) > _MAX_DOWN:
            self._down.pop(next(iter(self._down)))
        self._suspects.extend(self._suspects_of(replica, lost_s))
        return True

    def record_refused(self, replica: str, now_s: float) -> bool:
        """Note a refused connection; tell whether it shows a new crash.

        A replica that is still down since its last crash refuses them too.
        """
        return replica not in self._down and self.record_lost(
            replica, now_s, now_s
        )

    def was_lost_near(self, replica: str, moment_s: float) -> bool:
        """Tell whether a replica is known to have crashed about then."""
        known_s = self._lost_s.get(replica)
        return known_s is not None and abs(moment_s - known_s) < SAME_LOSS_S

    def suspects(self, now_s: float) -> list[CrashSuspect]:
        """Return the suspects of the last seconds."""
        while self._suspects and now_s - self._suspects[0].lost_s > REPORT_S:
            self._suspects.popleft()
        return list(self._suspects)

    def losses(self, now_s: float) -> dict[str, float]:
        """Return when each replica crashed that was lost lately."""
        self._lost_s = {
            replica: lost_s
            for replica, lost_s in self._lost_s.items()
            if now_s - lost_s <= REPORT_S
        }
        return self._lost_s

    def sound_runs(
        self, part: SharedPart, since_s: float, now_s: float
    ) -> SoundRuns:
        """Count the sound runs with a part that began around a moment."""
        self._settle(now_s)
        times_s = self._sound_s.get(part, [])
        first_after = bisect_left(times_s, since_s)
        first_before = bisect_left(times_s, since_s - SOUND_BEFORE_S)
        return SoundRuns(
            after=len(times_s) - first_after,
            before=first_after - first_before,
        )

    def _find(self, replica: str, request: str) -> _RecentRun | None:
        for recent in reversed(self._runs):
            if (recent.replica, recent.run.request) == (replica, request):
                return recent
        return None

    def _suspects_of(self, replica: str, lost_s: float) -> list[CrashSuspect]:
        begun = [
            CrashSuspect(
                one.run,
                replica,
                lost_s,
                has_begun=True,
                ran_s=max(0, min(one.cut_s, lost_s) - one.began_s),
            )
            for one in self._runs
            if one.replica == replica
            and not one.is_whole
            and abs(lost_s - one.began_s) <= SUSPECT_S
        ]
        waiting = [
            CrashSuspect(
                one.run, replica, lost_s, has_begun=not one.run.is_stream
            )
            for one in self._unanswered
            if one.replica == replica and abs(lost_s - one.broke_s) <= _BREAK_S
        ]
        return begun + waiting

    def _settle(self, now_s: float) -> None:
        """Count the runs that have outlived the danger as sound."""
        while self._runs and now_s - self._runs[0].began_s >= SURVIVAL_S:
            recent = self._runs.popleft()
            if recent.is_whole or not (
                recent.was_cut_in_danger or self._was_lost_after(recent)
            ):
                for part in recent.run.parts:
                    times_s = self._sound_s.pop(part, [])
                    times_s.append(recent.began_s)
                    self._sound_s[part] = times_s[-_MAX_SOUND_TIMES:]
        while len(self._sound_s) > _MAX_SOUND:
            self._sound_s.pop(next(iter(self._sound_s)))
        while (
            self._unanswered
            and now_s - self._unanswered[0].broke_s >= SURVIVAL_S
        ):
            self._unanswered.popleft()

    def _was_lost_after(self, recent: _RecentRun) -> bool:
        lost_s = self._lost_s.get(recent.replica, float('-inf'))
        return recent.began_s <= lost_s <= recent.began_s + SUSPECT_S
