"""The leader's soft state for entries that route to services.

A new leader starts empty. The list is read at once, and each entry's next
heartbeat brings back what it reported.
"""

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field

from snipebridge.fleet.electorate import Candidate, VoterCount
from snipebridge.fleet.evidence import SoftwareEvidence
from snipebridge.fleet.loads import (
    FleetLoads,
    LoadOrder,
    make_load_order,
)
from snipebridge.fleet.packing import PackedDocument
from snipebridge.fleet.paces import FleetPaces
from snipebridge.fleet.rate_limits import FleetRateLimits
from snipebridge.policy.prompt_crashes import PromptCrashes
from snipebridge.policy.prefill_speed import ModelPrefillSpeed
from snipebridge.rpc.control_pb2 import (
    HeartbeatReply,
    HeartbeatRequest,
    ListedReplica,
)

# A draw is passed on for this long, so that it reaches entries whose last
# heartbeat came just before; they keep it for the rest of the session.
DRAW_VALID_S = 1.2
# A control process asks to join several times a second while it is up, and
# tells as often that it is about to stop.
CANDIDATE_VALID_S = 1.0
# By then a new leader was asked by each process that waits to vote.
CANDIDATES_KNOWN_AFTER_S = 0.6
_TERM_BITS = 32


@dataclass(slots=True)
class HeldList:
    """The list of replicas that the leader passes on."""

    edition: int = 0
    asked_at_s: float = 0.0
    replicas: Sequence[ListedReplica] = ()
    order: LoadOrder = field(default_factory=LoadOrder)


@dataclass(slots=True)
class _Draws:
    heard_s: float
    entry: str
    pinned: Sequence[int]
    on_target: Sequence[int]


@dataclass(slots=True)
class _Asked:
    candidate: Candidate
    heard_s: float


@dataclass(slots=True)
class RoutedState:
    """Lists, reports and candidates, as this leadership learned them."""

    evidence: SoftwareEvidence = field(default_factory=SoftwareEvidence)
    held: HeldList = field(default_factory=HeldList)
    loads: FleetLoads = field(default_factory=FleetLoads)
    paces: FleetPaces = field(default_factory=FleetPaces)
    rate_limits: FleetRateLimits = field(default_factory=FleetRateLimits)
    crashes: PromptCrashes = field(default_factory=PromptCrashes)
    packed: PackedDocument = field(default_factory=PackedDocument)
    # When this leadership took office.
    since_s: float = 0.0
    voters: VoterCount = VoterCount(0, 0, 0)
    _leaving_s: dict[str, float] = field(default_factory=dict)
    _asked: dict[str, _Asked] = field(default_factory=dict)
    _draws: deque[_Draws] = field(default_factory=deque)

    def take_list(
        self, replicas: Sequence[ListedReplica], asked_at_s: float, term: int
    ) -> bool:
        """Hold a list that was read; tell whether it differs."""
        if self.held.edition and list(self.held.replicas) == list(replicas):
            self.held.asked_at_s = asked_at_s
            return False
        first = term << _TERM_BITS
        edition = max(self.held.edition, first) + 1
        order = make_load_order(edition, (one.id for one in replicas))
        self.held = HeldList(edition, asked_at_s, replicas, order)
        return True

    def take_report(
        self, request: HeartbeatRequest, process: str, now_s: float
    ) -> None:
        """Take what an entry says of versions and replicas."""
        self.evidence.take(process, request.software_outcomes)
        self.rate_limits.take(request, now_s)
        self.loads.take(request.entry, request.replica_uses, now_s)
        self.loads.take_paces(request.replica_paces, now_s)
        paces = [
            ModelPrefillSpeed(one.model, one.ms_per_token)
            for one in request.model_paces
        ]
        self.paces.take(request.entry, paces, now_s)
        if request.pinned_draws or request.target_draws:
            draws = _Draws(
                now_s,
                request.entry,
                tuple(request.pinned_draws),
                tuple(request.target_draws),
            )
            self._draws.append(draws)
        while self._draws and now_s - self._draws[0].heard_s > DRAW_VALID_S:
            self._draws.popleft()

    def add_draws(self, entry: str, reply: HeartbeatReply) -> None:
        """Add the draws that other entries reported lately."""
        for reported in self._draws:
            if reported.entry != entry:
                reply.pinned_draws.extend(reported.pinned)
                reply.target_draws.extend(reported.on_target)

    def ask(self, candidate: Candidate, now_s: float) -> None:
        """Note a control process that asks to vote."""
        self._asked[candidate.name] = _Asked(candidate, now_s)

    def leave(self, name: str, now_s: float) -> None:
        """Note a control process that is about to stop."""
        self._asked.pop(name, None)
        self._leaving_s[name] = now_s

    def leaving(self, now_s: float) -> set[str]:
        """Return the processes that are about to stop, by name."""
        return {
            name
            for name, told_s in self._leaving_s.items()
            if now_s - told_s <= CANDIDATE_VALID_S
        }

    def knows_candidates(self, now_s: float) -> bool:
        """Tell whether each process that waits has had time to ask."""
        return now_s - self.since_s >= CANDIDATES_KNOWN_AFTER_S

    def candidates(self, now_s: float) -> list[Candidate]:
        """Return the processes that asked lately, by name."""
        return [
            asked.candidate
            for _, asked in sorted(self._asked.items())
            if now_s - asked.heard_s <= CANDIDATE_VALID_S
        ]
