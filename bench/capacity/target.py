"""Works the size of letter 1 out from the measured slopes."""

from bench.capacity.fits import Fit, fit_line
from bench.capacity.slopes import Figure, Slopes

ENTRIES = 340
REPLICAS = 690
REQUESTS_PER_S = 4400
TOKENS_PER_S = 1_700_000
TOKEN_INTERVAL_S = 0.063
DATA_CENTRES = 7
VOTERS = 5
CPU_SHARE_BUDGET = 0.023
BYTES_PER_S_BUDGET = 2048
MEMORY_BUDGET_BYTES = 256 * 1024 * 1024

_POLLS_PER_REPLICA_S = 8.0
_HEARTBEATS_PER_S = 2.0
_BILL_WINDOW_S = 600
# The subset of 16 is rounded up to 3 in each data centre.
_SUBSET_REPLICAS = 3 * DATA_CENTRES
_VERSIONS = 14
_HOUR_S = 3600
_US_PER_S = 1_000_000
_MS_PER_S = 1000


def work_out(slopes: Slopes) -> list[Figure]:
    """Return the figures of all roles."""
    return [
        *_entry_control(slopes),
        *_entry_work(slopes),
        *_leader(slopes),
        *_voter(slopes),
        *_relay(slopes),
    ]


def _entry_control(slopes: Slopes) -> list[Figure]:
    poll_s = slopes.fit('polling', 'cpu_share', 'polls_per_s').slope
    # The fewest links in the process are the nearest to an entry's own one.
    first = slopes.rows('control', 'light_entries')[0]
    beat_ms = first['light_entry_ms_per_heartbeat']
    request = first['request_bytes']
    memory = slopes.fit('polling', 'resident_bytes', 'replicas')
    reply = slopes.fit('control', 'reply_bytes', 'entries')
    polls = _POLLS_PER_REPLICA_S * REPLICAS
    subset = _SUBSET_REPLICAS * _VERSIONS
    subset_polls = _POLLS_PER_REPLICA_S * subset
    without_list = request + reply.start
    return [
        Figure(
            'entry',
            'polling, core share',
            polls * poll_s,
            f'{poll_s:.3g} s a poll x {polls:g} polls/s',
            CPU_SHARE_BUDGET,
        ),
        Figure(
            'entry',
            'polling what it uses, share',
            subset_polls * poll_s,
            f'{poll_s:.3g} s a poll x {subset_polls:g} polls/s',
            CPU_SHARE_BUDGET,
        ),
        Figure(
            'entry',
            'heartbeats, core share',
            beat_ms / _MS_PER_S * _HEARTBEATS_PER_S,
            f'{beat_ms} ms x 2/s',
            CPU_SHARE_BUDGET,
        ),
        Figure(
            'entry',
            'heartbeats, bytes/s',
            (request + reply.at(ENTRIES)) * _HEARTBEATS_PER_S,
            f'({request} + {reply.start:.4g} + {reply.slope:.3g} x {ENTRIES})'
            ' B x 2/s',
            BYTES_PER_S_BUDGET,
        ),
        Figure(
            'entry',
            'without the list, bytes/s',
            without_list * _HEARTBEATS_PER_S,
            f'({request} + {reply.start:.4g}) B x 2/s',
            BYTES_PER_S_BUDGET,
        ),
        Figure(
            'entry',
            'resident memory, bytes',
            memory.at(REPLICAS),
            f'{memory.start:.3g} + {memory.slope:.4g} x {REPLICAS}',
            MEMORY_BUDGET_BYTES,
        ),
    ]


def _entry_work(slopes: Slopes) -> list[Figure]:
    cost = slopes.cost('relay')
    requests = REQUESTS_PER_S / ENTRIES
    tokens = TOKENS_PER_S / ENTRIES
    stream = slopes.fit('relay', 'resident_bytes', 'streams')
    answer_s = TOKENS_PER_S / REQUESTS_PER_S * TOKEN_INTERVAL_S
    streams = requests * answer_s
    owners = slopes.fit('policy', 'session_find_us', 'entries')
    return [
        Figure(
            'entry',
            'requests, core share',
            requests * cost['us_per_request'] / _US_PER_S,
            f'{cost["us_per_request"]} us x {requests:.3g}/s',
        ),
        Figure(
            'entry',
            'chunks of one token, core share',
            tokens * cost['us_per_chunk'] / _US_PER_S,
            f'{cost["us_per_chunk"]} us x {tokens:.4g}/s',
        ),
        Figure(
            'entry',
            'open streams, bytes',
            stream.slope * streams,
            f'{stream.slope:.4g} B x {streams:.3g} ({requests:.3g}/s'
            f' x {answer_s:.3g} s)',
        ),
        Figure(
            'entry',
            'finding an unknown session, us',
            owners.at(ENTRIES),
            f'{owners.start:.3g} + {owners.slope:.3g} x {ENTRIES}',
        ),
    ]


def _leader(slopes: Slopes) -> list[Figure]:
    answer = slopes.fit('heartbeats', 'answer_us', 'entries')
    call = _call_cost(slopes)
    beats = ENTRIES * _HEARTBEATS_PER_S
    sent = slopes.fit('control', 'reply_bytes', 'entries').at(ENTRIES)
    cost = slopes.cost('log')
    submits = cost['us_per_submit'] / _US_PER_S
    bills = cost['us_per_bill'] / _US_PER_S
    log = slopes.fit('log', 'log_bytes', 'log_entries').slope
    body = slopes.fit('machine', 'body_bytes', 'upstreams').at(REPLICAS)
    return [
        Figure(
            'leader',
            'heartbeats, core share',
            call.at(beats) + answer.at(ENTRIES) * beats / _US_PER_S,
            f'{call.start:.3g} + ({call.slope * _US_PER_S:.4g}'
            f' + {answer.start:.3g} + {answer.slope:.3g} x {ENTRIES}) us'
            f' x {beats:g}/s',
        ),
        Figure(
            'leader',
            'the same without the list',
            call.at(beats) + answer.start * beats / _US_PER_S,
            f'{call.start:.3g} + ({call.slope * _US_PER_S:.4g}'
            f' + {answer.start:.3g}) us x {beats:g}/s',
        ),
        Figure(
            'leader',
            'heartbeats, sent bytes/s',
            sent * ENTRIES * _HEARTBEATS_PER_S,
            f'{sent:.4g} B x {ENTRIES} x 2/s',
        ),
        Figure(
            'leader',
            'a bill a submit, core share',
            REQUESTS_PER_S * (submits + bills),
            f'({submits * _US_PER_S:.4g} + {bills * _US_PER_S:.3g}) us x 4400',
        ),
        Figure(
            'leader',
            '40 bills a submit, core share',
            REQUESTS_PER_S * (submits / 40 + bills),
            f'({submits * _US_PER_S:.4g} / 40 + {bills * _US_PER_S:.3g}) us'
            ' x 4400',
        ),
        Figure(
            'leader',
            'log to followers, bytes/s',
            log * REQUESTS_PER_S * (VOTERS - 1),
            f'{log:.4g} B x 4400 x {VOTERS - 1}',
        ),
        Figure(
            'leader',
            'a change to all, bytes',
            body * ENTRIES,
            f'{body:.4g} B x {ENTRIES}',
        ),
    ]


def _voter(slopes: Slopes) -> list[Figure]:
    keys = _BILL_WINDOW_S * REQUESTS_PER_S
    memory = slopes.fit('machine', 'resident_bytes', 'bills')
    kept = slopes.fit('machine', 'kept_bills_bytes', 'bills')
    snapshot = slopes.fit('machine', 'snapshot_bytes', 'bills')
    pause = slopes.fit('machine', 'snapshot_s', 'bills')
    restore = slopes.fit('machine', 'restore_s', 'bills')
    recovery = slopes.fit('log', 'recovery_s', 'log_entries')
    log = slopes.fit('log', 'log_bytes', 'log_entries').slope
    bill_s = slopes.cost('log', 1)['us_per_bill'] / _US_PER_S
    # The driver counts commands, not frames, against the last snapshot.
    command = slopes.rows('machine', 'ledger')[-1]['command_bytes']
    behind = snapshot.at(keys) / command
    return [
        Figure(
            'voter',
            'bills, core share',
            bill_s * REQUESTS_PER_S,
            f'{bill_s * _US_PER_S:.3g} us x 4400',
        ),
        Figure(
            'voter',
            '600 s of bills and keys, bytes',
            memory.at(keys),
            f'{memory.slope:.4g} B x {keys:,}',
            MEMORY_BUDGET_BYTES,
        ),
        Figure(
            'voter',
            'of these the bills, bytes',
            kept.at(keys),
            f'{kept.slope:.4g} B x {keys:,}',
        ),
        Figure(
            'voter',
            'snapshot, bytes',
            snapshot.at(keys),
            f'{snapshot.slope:.4g} B x {keys:,}',
        ),
        Figure(
            'voter',
            'pause for a snapshot, s',
            pause.at(keys),
            f'{pause.slope:.4g} s x {keys:,}',
            1.0,
        ),
        Figure(
            'voter',
            'time between snapshots, s',
            behind / REQUESTS_PER_S,
            f'{behind:,.0f} bills of {command:g} B outgrow it',
        ),
        Figure(
            'voter',
            'restart: snapshot and log, s',
            restore.at(keys) + recovery.at(behind),
            f'{restore.at(keys):.3g} + {recovery.slope:.3g} x {behind:,.0f}',
        ),
        Figure(
            'voter',
            'log of an hour cut off, bytes',
            log * REQUESTS_PER_S * _HOUR_S,
            f'{log:.4g} B x 4400 x {_HOUR_S}',
        ),
    ]


def _relay(slopes: Slopes) -> list[Figure]:
    entries = ENTRIES / DATA_CENTRES
    beats = entries * _HEARTBEATS_PER_S
    answer = slopes.fit('heartbeats', 'answer_us', 'entries')
    call = _call_cost(slopes)
    return [
        Figure(
            'relay',
            'heartbeats of its part, share',
            call.at(beats) + answer.start * beats / _US_PER_S,
            f'{call.start:.3g} + ({call.slope * _US_PER_S:.4g}'
            f' + {answer.start:.3g}) us x {beats:.4g}/s',
        ),
        Figure(
            'relay',
            'a call for each bill, share',
            call.slope * REQUESTS_PER_S / DATA_CENTRES,
            f'{call.slope * _US_PER_S:.4g} us'
            f' x {REQUESTS_PER_S / DATA_CENTRES:.4g}/s',
        ),
    ]


def _call_cost(slopes: Slopes) -> Fit:
    """Return the leader's time over heartbeats, without making answers."""
    answer = slopes.fit('heartbeats', 'answer_us', 'entries')
    points = []
    for row in slopes.rows('control', 'light_entries'):
        beats = row['heartbeats_per_s']
        making = answer.at(row['entries']) * beats / _US_PER_S
        if row['steady']:
            points.append((beats, row['leader_cpu_share'] - making))
    return fit_line(points)
