"""What a socket knows of the bytes that were written to it."""

import asyncio
import fcntl
import socket
import struct
import termios

_INT = struct.Struct('i')


def is_upload_complete(transport: asyncio.Transport) -> bool:
    """Tell whether the peer has received all that was written.

    The end of a connection completes a body without a length only then: a
    peer that ends it during an upload may have broken off. False after a
    reset, also one that came later than the end.
    """
    sock = transport.get_extra_info('socket')
    return (
        not transport.get_write_buffer_size()
        and not sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        and not _unacknowledged_bytes(sock)
    )


def _unacknowledged_bytes(sock: socket.socket) -> int:
    """Return how many bytes the kernel holds for the peer (tcp(7))."""
    try:
        packed = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(_INT.size))
    except OSError:
        # Not known for sockets on this system; its buffer is the network's.
        return 0
    return _INT.unpack(packed)[0]
