"""Keys of client accounts and operators, kept only as salted hashes.

>>> hashed = make_key_hash('studio-a.secret', bytes(16))
>>> verify_key('studio-a.secret', hashed)
True
>>> verify_key('studio-a.other', hashed)
False
"""

import hashlib
import hmac
import secrets

SALT_BYTES = 16
_SECRET_BYTES = 24


def make_key(account: str) -> str:
    """Return a new random key, ``<account>.<secret>``."""
    return f'{account}.{secrets.token_urlsafe(_SECRET_BYTES)}'


def make_salt() -> bytes:
    """Return a new random salt."""
    return secrets.token_bytes(SALT_BYTES)


def make_key_hash(key: str, salt: bytes) -> str:
    """Return ``<salt hex>$<SHA-256 hex of salt and key>``.

    Keys are random with more than 128 bits, so one round of the hash is
    enough: there is no dictionary to try.
    """
    digest = hashlib.sha256(salt + key.encode()).hexdigest()
    return f'{salt.hex()}${digest}'


def verify_key(key: str, key_hash: str) -> bool:
    """Compare in constant time; a malformed hash matches no key."""
    salt_hex, _, digest = key_hash.partition('$')
    try:
        salt = bytes.fromhex(salt_hex)
    except ValueError:
        return False
    expected = make_key_hash(key, salt).partition('$')[2]
    return hmac.compare_digest(expected.encode(), digest.encode())
