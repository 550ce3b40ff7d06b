"""Replicas that crash, by themselves or under one part of a prompt."""

import pytest

from snipebridge.policy import prompt_crashes
from snipebridge.policy.prompt_crashes import (
    ANSWER_S,
    PromptCrashes,
)
from snipebridge.policy.prompt_runs import (
    SURVIVAL_S,
    CrashSuspect,
    PromptRun,
    PromptRuns,
    SharedPart,
    SoundRuns,
)
from tests.policy.prompt_fleet import BAD, CONNECTIVITY_S, SAME, Fleet


@pytest.mark.parametrize(
    ('entries', 'replicas'), [(9, 5), (191, 39), (340, 90)]
)
@pytest.mark.parametrize('seed', range(3))
def test_only_the_part_that_crashes_replicas_is_found(entries, replicas, seed):
    """Each entry sees few of its requests, and drops half of the answers."""
    fleet = Fleet(entries, replicas, seed, requests_per_s=replicas * 4.0)
    fleet.play(6.0)
    fleet.play(12.0, bad_per_s=4.0)
    assert [one.part for one in fleet.found] == [BAD]
    assert fleet.found_s <= fleet.crashes_s[:5][-1] + CONNECTIVITY_S


@pytest.mark.parametrize(('entries', 'replicas'), [(9, 5), (191, 39)])
@pytest.mark.parametrize('seed', range(5))
def test_replicas_that_crash_by_themselves_accuse_no_part(
    entries, replicas, seed
):
    """Parts that are asked for rarely are among the bystanders."""
    fleet = Fleet(entries, replicas, seed, requests_per_s=replicas * 4.0)
    fleet.play(5.0)
    fleet.play(35.0, crashes_per_s=replicas / 15)
    assert len(fleet.crashes_s) > replicas
    assert not fleet.found


def suspect(number, *identities, begun=True):
    """Return a run that a replica of its own was lost under."""
    run = PromptRun(f'a{number}', 's', identities, f'd{number}')
    return CrashSuspect(run, f'r{number}', number * 0.1, begun)


def found_after_answers(crashes, known=()):
    """Return the parts that are found once the entries have answered."""
    crashes.find((), known, 0.0)
    return [one.part for one in crashes.find((), known, ANSWER_S)]


def test_one_request_alone_accuses_no_part():
    """It may be its own part, which no other request has."""
    crashes = PromptCrashes()
    for number in range(4):
        run = PromptRun('a1', 's', ('bad',), 'd1')
        crashes.take(CrashSuspect(run, f'r{number}', number * 0.1, True))
    assert not found_after_answers(crashes)


def test_entries_are_asked_before_a_part_is_found():
    """One of them may know a sound run with it."""
    crashes = PromptCrashes()
    for number in range(3):
        crashes.take(suspect(number, 'bad'))
    assert not crashes.find((), (), 0.1)
    assert [one.part for one in crashes.questions()] == [BAD]
    crashes.take_sound('e1', BAD, SoundRuns(before=2, after=3))
    assert not crashes.find((), (), 0.1 + ANSWER_S)


def test_part_found_before_is_found_at_its_first_crash():
    """Its quarantine ended by time."""
    crashes = PromptCrashes()
    crashes.take(suspect(1, 'bad'))
    assert not found_after_answers(crashes)
    assert found_after_answers(crashes, [BAD]) == [BAD]


def test_run_that_was_cut_or_lost_its_replica_is_not_sound():
    """A crash may follow an answer that was dropped or complete."""
    runs = PromptRuns()
    for number, identity in enumerate(('cut', 'lost', 'sound')):
        run = PromptRun(f'a{number}', 's', (identity,), f'd{number}')
        runs.record_began(f'r{number}', run, 0.0)
    runs.record_cut('r0', 'a0', 0.1)
    runs.record_lost('r1', 0.5, 0.6)
    parts = [SharedPart('s', one) for one in ('cut', 'lost', 'sound')]
    assert not any(runs.sound_runs(one, 0.0, 1.0).after for one in parts)
    counts = [runs.sound_runs(one, 0.0, SURVIVAL_S).after for one in parts]
    assert counts == [0, 0, 1]


def test_sound_runs_are_told_apart_by_the_first_crash():
    """A part may turn deadly while it is in use."""
    runs = PromptRuns()
    for number in range(5):
        runs.record_began('r1', run_of('same'), float(number))
    sound = runs.sound_runs(SAME, 2.0, 4.0 + SURVIVAL_S)
    assert sound == SoundRuns(before=2, after=3)


def run_of(digest, *identities, attempt='a1', is_stream=True):
    """Return a run of a request."""
    return PromptRun(attempt, 's', identities, digest, is_stream=is_stream)


def lose(crashes, number, *runs, begun=True):
    """Report that a replica was lost under some runs."""
    for run in runs:
        crashes.take(CrashSuspect(run, f'r{number}', number * 0.2, begun))


def test_request_without_prompt_parts_is_found():
    """It comes again with the same content in several attempts."""
    crashes = PromptCrashes()
    for number in range(3):
        lose(crashes, number, run_of('same', attempt=f'a{number}'))
    assert found_after_answers(crashes) == [SAME]


def test_part_that_a_deadly_request_shares_with_sound_ones_is_not_found():
    """Sound ones with the part were at the same replicas."""
    crashes = PromptCrashes()
    for number in range(4):
        deadly = run_of('same', 'common', attempt=f'a{number}')
        bystander = run_of(f'b{number}', 'common', attempt=f'b{number}')
        lose(crashes, number, deadly, bystander)
    assert found_after_answers(crashes) == [SAME]


def test_part_is_found_though_each_request_with_it_comes_once_more():
    """A caller repeats its request, so each has two attempts."""
    crashes = PromptCrashes()
    for number in range(8):
        deadly = run_of(f'd{number // 2}', 'bad', attempt=f'a{number}')
        lose(crashes, number, deadly)
    assert found_after_answers(crashes) == [BAD]


def test_plain_request_that_was_not_answered_counts_as_begun():
    """Its replica sends nothing before the answer."""
    runs = PromptRuns()
    for number, is_stream in enumerate((True, False)):
        run = run_of(f'd{number}', is_stream=is_stream)
        runs.record_unanswered('r1', run, 1.0)
    runs.record_lost('r1', 1.0, 1.0)
    assert [one.has_begun for one in runs.suspects(1.0)] == [False, True]


def allowed_later_s(fleet):
    """Return from when on three more bad requests may reach a replica."""
    return fleet.crashes_s[2] + CONNECTIVITY_S


@pytest.mark.parametrize(
    ('entries', 'replicas'), [(9, 5), (191, 39), (340, 90)]
)
@pytest.mark.parametrize('deadly_share', [0.5, 0.6, 1.0])
@pytest.mark.parametrize('seed', range(2))
def test_sound_runs_now_and_then_do_not_free_a_request(
    entries, replicas, deadly_share, seed
):
    """The same request crashes replicas in a share of its runs only."""
    fleet = Fleet(
        entries,
        replicas,
        seed,
        requests_per_s=replicas * 4.0,
        deadly_share=deadly_share,
        is_same=True,
    )
    fleet.play(4.0)
    fleet.play(24.0, bad_per_s=4.0)
    late = [one for one in fleet.bad_arrivals_s if one > allowed_later_s(fleet)]
    assert len(late) <= 3
    assert fleet.held() == [SAME]


@pytest.mark.parametrize(('entries', 'replicas'), [(9, 5), (7, 6), (61, 45)])
@pytest.mark.parametrize('seed', range(4))
def test_bystanders_that_are_sent_on_with_a_request_are_not_held(
    entries, replicas, seed
):
    """They begin together with it at the next replica, and the one after."""
    fleet = Fleet(
        entries,
        replicas,
        seed,
        requests_per_s=replicas * 4.0,
        is_same=True,
        resumes=True,
    )
    fleet.play(4.0)
    fleet.play(24.0, bad_per_s=4.0)
    late = [one for one in fleet.bad_arrivals_s if one > allowed_later_s(fleet)]
    assert len(late) <= 3
    assert fleet.held() == [SAME]


@pytest.mark.parametrize('seed', range(4))
@pytest.mark.parametrize('is_at_once', [False, True])
def test_hot_key_beside_crashes_of_replicas_is_not_held(seed, is_at_once):
    """Replicas crash by themselves, one after the other or three at once."""
    fleet = Fleet(9, 9, seed, requests_per_s=36.0, hot_per_s=20.0)
    fleet.play(5.0)
    if is_at_once:
        fleet.crash(0, 1, 2)
    fleet.play(35.0, crashes_per_s=0.6)
    assert not fleet.found


def test_held_bystander_takes_no_evidence_from_the_cause():
    """It stood beside four crashes, and the cause beside those and more."""
    crashes = PromptCrashes()
    bystander = SharedPart('s', 'request:bystander')
    for number in range(4):
        cause = run_of('same', attempt=f'a{number}')
        other = run_of('bystander', attempt=f'b{number}')
        lose(crashes, number, cause, other)
    crashes.find([bystander], (), 1.0)
    assert not crashes.explained_otherwise([bystander])
    for number in range(4, 6):
        lose(crashes, number, run_of('same', attempt=f'a{number}'))
    found = crashes.find([bystander], (), 1.0 + ANSWER_S)
    assert [one.part for one in found] == [SAME]
    assert crashes.explained_otherwise([bystander]) == [bystander]
    assert not crashes.find([SAME], (), 3.0)
    assert not crashes.explained_otherwise([SAME])


def test_nothing_is_searched_anew_without_news(monkeypatch):
    """The leader looks several times a second, for minutes after crashes."""
    crashes = PromptCrashes()
    for number in range(4):
        lose(crashes, number, run_of('same', attempt=f'a{number}'))
    scored = []
    monkeypatch.setattr(
        prompt_crashes,
        'weigh_suspects',
        lambda *args: scored.append(args) or {},
    )
    for step in range(50):
        crashes.find((), (), 10.0 + step * 0.2)
    assert len(scored) <= 2 * 6


def test_replica_that_is_still_down_is_not_lost_again():
    """Each refused connection counted as one more crash, with bystanders."""
    runs = PromptRuns()
    assert runs.record_lost('r1', 5.0, 5.0)
    refused = [runs.record_refused('r1', 5.0 + 2.0 * one) for one in range(8)]
    assert not any(refused)
    assert runs.losses(15.0) == {'r1': 5.0}


def test_replica_that_answered_again_is_lost_again():
    """It has started under the same name."""
    runs = PromptRuns()
    runs.record_lost('r1', 5.0, 5.0)
    runs.record_began('r1', run_of('d1'), 8.0)
    assert runs.record_refused('r1', 9.0)
    assert runs.losses(9.0) == {'r1': 9.0}
