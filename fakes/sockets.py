"""Which process holds the other end of a loopback connection."""

import socket
from pathlib import Path

_TABLES = (Path('/proc/net/tcp'), Path('/proc/net/tcp6'))
_LOCAL_ADDRESS_COLUMN = 1
_REMOTE_ADDRESS_COLUMN = 2
_INODE_COLUMN = 9


def socket_inode(local: tuple[str, int], remote: tuple[str, int]) -> int:
    """Return the inode of the socket of an IPv4 connection, or 0.

    A socket of IPv6 that talks to an IPv4 address stands in the other table,
    with the IPv4 address as the last eight digits. The local address alone
    does not tell a connection: others, open or closed a moment ago, may share
    it towards other peers.
    """
    wanted = (_table_address(local), _table_address(remote))
    for table in _TABLES:
        for line in table.read_text().splitlines()[1:]:
            fields = line.split()
            inode = int(fields[_INODE_COLUMN])
            if inode and _is_between(fields, wanted):
                return inode
    return 0


def _is_between(fields: list[str], wanted: tuple[str, str]) -> bool:
    ends = (fields[_LOCAL_ADDRESS_COLUMN], fields[_REMOTE_ADDRESS_COLUMN])
    return ends[0].endswith(wanted[0]) and ends[1].endswith(wanted[1])


def _table_address(address: tuple[str, int]) -> str:
    packed = socket.inet_aton(address[0])
    number = int.from_bytes(packed, 'little')
    return f'{number:08X}:{address[1]:04X}'


def process_inodes(pid: int) -> set[int]:
    """Return the inodes of the sockets that a process holds."""
    inodes = set()
    for descriptor in Path(f'/proc/{pid}/fd').glob('*'):
        try:
            target = descriptor.readlink().name
        except OSError:
            continue
        if target.startswith('socket:['):
            inodes.add(int(target[len('socket:[') : -1]))
    return inodes
