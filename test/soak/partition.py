"""
Cuts chosen nodes off from a listening socket: the kernel drops what they send, as a partition does, so that new
connections hang and bytes on open ones are held up until the cut ends. Nodes are told apart by the address that their
connections come from. Needs no privileges: each filter is set on a socket of this process.
"""

import ctypes
import socket
import struct

SO_ATTACH_FILTER = 26
SO_DETACH_FILTER = 27
SOURCE_ADDRESS = 0x100000000 - 0x100000 + 12  # of the IPv4 head, for a filter that begins at the TCP head
LOAD_WORD = 0x20
JUMP_IF_EQUAL = 0x15
RETURN = 0x06
WHOLE_PACKET = 0xffffffff


def drop_from(sock, addresses):
    """Drops all packets from ADDRESSES that reach SOCK, and nothing else; none ends it."""
    if not addresses:
        try:
            sock.setsockopt(socket.SOL_SOCKET, SO_DETACH_FILTER, 0)
        except OSError:
            pass  # it had no filter
        return
    program = [(LOAD_WORD, 0, 0, SOURCE_ADDRESS)]
    for index, address in enumerate(addresses):
        value = struct.unpack("!I", socket.inet_aton(address))[0]
        program.append((JUMP_IF_EQUAL, len(addresses) - index, 0, value))
    program += [(RETURN, 0, 0, WHOLE_PACKET), (RETURN, 0, 0, 0)]
    code = ctypes.create_string_buffer(b"".join(struct.pack("HBBI", *step) for step in program))
    sock.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, struct.pack("HL", len(program), ctypes.addressof(code)))
