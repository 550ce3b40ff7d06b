"""What an entry knows of requests and prompt parts that crash replicas.

The leader finds them from what all entries report; the entry keeps them from
replicas, also while it is cut off from control.
"""

from dataclasses import dataclass, field

from snipebridge.logs import log_decision
from snipebridge.policy.prompt_crashes import PromptCrashes
from snipebridge.policy.prompt_runs import PromptRun, PromptRuns, SharedPart
from snipebridge.relay.exchange import RelayExchange
from snipebridge.routing.tables import RouteKind
from snipebridge.rpc.control_pb2 import (
    HeartbeatReply,
    HeartbeatRequest,
    LostReplica,
    PromptPartName,
    SuspectedRun,
)


# Without news from the leader for this long an entry decides by itself, and
# what it holds is held for so long.
_ALONE_AFTER_S = 1.0
_ALONE_HOLD_S = 30.0


@dataclass(slots=True)
class HeldQuarantine:
    """A part that no replica may get."""

    part: SharedPart
    since_s: float
    until_s: float


@dataclass(slots=True)
class PromptGuard:
    """Runs and losses seen here, and the quarantines of the leader."""

    runs: PromptRuns = field(default_factory=PromptRuns)
    _replied_s: float = float('-inf')
    # Finds by the same rule, in what this entry has seen itself.
    _own_crashes: PromptCrashes = field(default_factory=PromptCrashes)
    _held_alone: dict[SharedPart, HeldQuarantine] = field(default_factory=dict)
    _quarantines: dict[SharedPart, HeldQuarantine] = field(default_factory=dict)
    # When the first replica was lost under the parts that the leader asks of.
    _first_lost_s: dict[SharedPart, float] = field(default_factory=dict)

    def find_quarantine(
        self, exchange: RelayExchange, now_s: float
    ) -> HeldQuarantine | None:
        """Return the quarantine that a request falls under."""
        if not (self._quarantines or self._held_alone):
            return None
        for part in prompt_run(exchange).parts:
            held = self._quarantines.get(part) or self._held_alone.get(part)
            if held is not None and held.until_s > now_s:
                return held
        return None

    def fill_request(self, request: HeartbeatRequest, now_s: float) -> None:
        """Add lost replicas, the runs they may have crashed under, and news."""
        if now_s - self._replied_s > _ALONE_AFTER_S:
            self._search_alone(now_s)
        request.lost_replicas.extend(
            LostReplica(replica=replica, age_s=now_s - lost_s)
            for replica, lost_s in self.runs.losses(now_s).items()
        )
        request.suspected_runs.extend(
            SuspectedRun(
                replica=one.replica,
                age_s=now_s - one.lost_s,
                request=one.run.request,
                service=one.run.service,
                parts=one.run.identities,
                digest=one.run.digest,
                has_begun=one.has_begun,
                ran_s=one.ran_s,
            )
            for one in self.runs.suspects(now_s)
        )
        request.sound_parts.extend(self._answers(now_s))

    def apply_reply(self, reply: HeartbeatReply, now_s: float) -> bool:
        """Apply the leader's news; tell whether it waits for an answer."""
        self._replied_s = now_s
        has_news = False
        for lost in reply.lost_replicas:
            is_new = self.runs.record_lost(
                lost.replica, now_s - lost.age_s, now_s
            )
            has_news = has_news or is_new
        first_lost_s = {
            SharedPart(one.service, one.part): now_s - one.first_lost_age_s
            for one in reply.suspected_parts
        }
        has_news = has_news or first_lost_s.keys() != self._first_lost_s.keys()
        self._first_lost_s = first_lost_s
        self._apply_quarantines(reply, now_s)
        return has_news

    def _apply_quarantines(self, reply: HeartbeatReply, now_s: float) -> None:
        held = {}
        for one in reply.quarantined_parts:
            part = SharedPart(one.service, one.part)
            known = self._quarantines.get(part)
            since_s = known.since_s if known else now_s
            held[part] = HeldQuarantine(part, since_s, now_s + one.valid_s)
        if held.keys() != self._quarantines.keys():
            log_decision(
                'quarantines_in_force',
                parts=[f'{one.service}/{one.identity}' for one in held],
            )
        self._quarantines = held

    def _search_alone(self, now_s: float) -> None:
        crashes = self._own_crashes
        for suspect in self.runs.suspects(now_s):
            crashes.take(suspect)
        for asked in crashes.questions():
            sound = self.runs.sound_runs(asked.part, asked.first_lost_s, now_s)
            crashes.take_sound('', asked.part, sound)
        for found in crashes.find(self._held_alone, (), now_s):
            self._held_alone[found.part] = HeldQuarantine(
                found.part, now_s, now_s + _ALONE_HOLD_S
            )
            log_decision(
                'quarantine_without_leader',
                service=found.part.service,
                part=found.part.identity,
                crashes=found.crashes,
                witnesses=found.witnesses,
                held_s=_ALONE_HOLD_S,
            )
        self._held_alone = {
            part: held
            for part, held in self._held_alone.items()
            if held.until_s > now_s
        }

    def _answers(self, now_s: float) -> list[PromptPartName]:
        """Return the sound runs with the parts that the leader asks of."""
        answers = []
        for part, first_lost_s in self._first_lost_s.items():
            sound = self.runs.sound_runs(part, first_lost_s, now_s)
            if sound.before or sound.after:
                answer = PromptPartName(
                    service=part.service,
                    part=part.identity,
                    sound_before=sound.before,
                    sound_after=sound.after,
                )
                answers.append(answer)
        return answers


def prompt_run(exchange: RelayExchange) -> PromptRun:
    """Return a request as a run of what it shares with others."""
    request = exchange.request
    return PromptRun(
        request.attempt_id,
        exchange.progress.service,
        tuple(part.identity for part in request.shared_parts),
        exchange.digest,
        is_stream=exchange.route.kind is RouteKind.STREAMING,
    )
