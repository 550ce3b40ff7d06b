"""The leader's side of the search for prompt parts that crash replicas."""

from dataclasses import asdict

from snipebridge.control.leader import Leadership
from snipebridge.controllers.prompt_quarantines import PromptQuarantine
from snipebridge.logs import log_decision
from snipebridge.policy.prompt_crashes import PromptCrashes
from snipebridge.policy.prompt_runs import (
    CrashSuspect,
    PromptRun,
    SharedPart,
    SoundRuns,
)
from snipebridge.rpc.commands_pb2 import Command, PromptQuarantineCommand
from snipebridge.rpc.control_pb2 import (
    HeartbeatReply,
    HeartbeatRequest,
    LostReplica,
    PromptPartName,
    QuarantinedPart,
)

_MS_PER_S = 1000


def take_prompt_report(
    crashes: PromptCrashes, request: HeartbeatRequest, now_s: float
) -> None:
    """Take what an entry reports of lost replicas and of its runs there."""
    for lost in request.lost_replicas:
        crashes.take_loss(lost.replica, now_s - lost.age_s)
    for one in request.suspected_runs:
        # An older build reports no digest; then each attempt is a request.
        digest = one.digest or one.request
        run = PromptRun(one.request, one.service, tuple(one.parts), digest)
        suspect = CrashSuspect(
            run, one.replica, now_s - one.age_s, one.has_begun, one.ran_s
        )
        crashes.take(suspect)
    for one in request.sound_parts:
        runs = SoundRuns(before=one.sound_before, after=one.sound_after)
        crashes.take_sound(
            request.entry, SharedPart(one.service, one.part), runs
        )


def add_prompt_state(
    leadership: Leadership, reply: HeartbeatReply, now_s: float
) -> None:
    """Add what the entries must know: losses, questions and quarantines."""
    crashes = leadership.routed.crashes
    reply.lost_replicas.extend(
        LostReplica(replica=replica, age_s=now_s - lost_s)
        for replica, lost_s in crashes.recent_losses(now_s)
    )
    reply.suspected_parts.extend(
        PromptPartName(
            service=one.part.service,
            part=one.part.identity,
            first_lost_age_s=now_s - one.first_lost_s,
        )
        for one in crashes.questions()
    )
    now_ms = _now_ms(leadership)
    reply.quarantined_parts.extend(
        QuarantinedPart(
            service=one.service,
            part=one.part,
            valid_s=one.remaining_ms(now_ms) / _MS_PER_S,
        )
        for one in leadership.machine.prompt_quarantines.in_force(now_ms)
    )


class PromptDuty:
    """Decides which parts are kept from replicas, and which no longer."""

    __slots__ = ()

    def commands(self, leadership: Leadership) -> list[Command]:
        """Return the quarantines that are due, and those to be lifted."""
        now_s = leadership.clock.monotonic_s()
        now_ms = _now_ms(leadership)
        quarantines = leadership.machine.prompt_quarantines
        held = [_part(one) for one in quarantines.in_force(now_ms)]
        known = [_part(one) for one in quarantines.expired(now_ms)]
        crashes = leadership.routed.crashes
        found = crashes.find(held, known, now_s)
        due = [
            _command(
                one.part,
                f'{one.crashes} replicas were lost'
                f' under {one.witnesses} {_witness_name(one.part)}',
            )
            for one in found
        ]
        lifted = [
            _command(part, 'many runs with it were sound', lifted=True)
            for part in held
            if crashes.is_sound(part)
        ]
        lifted += [
            _command(part, 'another explains its crashes', lifted=True)
            for part in crashes.explained_otherwise(held)
        ]
        if due or lifted:
            log_decision(
                'prompt_causes',
                crashes=crashes.crash_count,
                causes=[asdict(one) for one in crashes.causes()],
            )
        return due + lifted


def _part(quarantine: PromptQuarantine) -> SharedPart:
    return SharedPart(quarantine.service, quarantine.part)


def _command(part: SharedPart, reason: str, *, lifted: bool = False) -> Command:
    log_decision(
        'prompt_quarantine',
        service=part.service,
        part=part.identity,
        lifted=lifted,
        reason=reason,
    )
    return Command(
        prompt_quarantine=PromptQuarantineCommand(
            service=part.service,
            part=part.identity,
            lifted=lifted,
            reason=reason,
        )
    )


def _witness_name(part: SharedPart) -> str:
    return 'attempts' if part.is_request else 'requests'


def _now_ms(leadership: Leadership) -> int:
    """Return the time of the log, which never runs backwards."""
    return max(leadership.machine.now_ms, leadership.clock.wall_ms())
