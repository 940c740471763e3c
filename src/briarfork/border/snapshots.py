"""Snapshots of the timeline in the store, so that a start need not read every change."""

from __future__ import annotations

import hashlib

import msgspec

from briarfork.border.store import ABSENT
from briarfork.border.store import Store
from briarfork.border.store import StoreConflict
from briarfork.border.store import StoreUnavailable
from briarfork.errors import BriarforkError
from briarfork.errors import ErrorKind
from briarfork.timeline import Snapshot

PREFIX = "snapshots/"
MANIFEST = f"{PREFIX}latest"
GENERATION_DIGITS = 10
PART_DIGITS = 4
# The store holds values up to 1 MB and a character takes at most 4 bytes.
PART_CHARACTERS = 250_000
# A reader may still be on the snapshot that the newest one replaced.
KEPT_SNAPSHOTS = 2


class SnapshotEntry(msgspec.Struct, frozen=True):
    """A complete snapshot: its generation and the SHA-256 of each part."""

    generation: int
    parts: list[str]


class Manifest(msgspec.Struct, frozen=True):
    """The complete snapshots, the newest first."""

    entries: list[SnapshotEntry]


def name_part(generation: int, part: int) -> str:
    """Returns the key of a part of a snapshot.

    Example:
        >>> name_part(500, 0)
        'snapshots/0000000500/0000'
    """
    return f"{PREFIX}{generation:0{GENERATION_DIGITS}d}/{part:0{PART_DIGITS}d}"


class SnapshotStore:
    """Reads and writes snapshots.

    The parts are written before the manifest that names them, so a snapshot whose writer died is
    never read.
    """

    def __init__(self, store: Store) -> None:
        self._store = store

    async def read(self) -> Snapshot | None:
        """Returns the newest snapshot, or None if there is none.

        Raises:
            StoreUnavailable: If the store does not answer.
            BriarforkError: With kind `invalid_configuration` if no snapshot is complete.
        """
        manifest, _ = await self._read_manifest()
        fault: BriarforkError | None = None
        for entry in manifest.entries:
            try:
                return await self._read_parts(entry)
            except StoreUnavailable:
                raise
            except BriarforkError as error:
                fault = error
        if fault is not None:
            raise fault
        return None

    async def find_generation(self) -> int:
        """Returns the generation of the newest snapshot, 0 if there is none.

        Raises:
            StoreUnavailable: If the store does not answer.
        """
        manifest, _ = await self._read_manifest()
        return manifest.entries[0].generation if manifest.entries else 0

    async def write(self, snapshot: Snapshot) -> bool:
        """Writes a snapshot; returns False if another process has written one in the meantime.

        Raises:
            StoreUnavailable: If the store does not answer; a repeat completes the snapshot.
        """
        manifest, revision = await self._read_manifest()
        if manifest.entries and manifest.entries[0].generation >= snapshot.generation:
            return False
        text = msgspec.json.encode(snapshot).decode()
        hashes = []
        for number, begin in enumerate(range(0, len(text), PART_CHARACTERS)):
            part = text[begin : begin + PART_CHARACTERS]
            if not await self._write_part(name_part(snapshot.generation, number), part):
                return False
            hashes.append(_hash(part))
        entries = [SnapshotEntry(snapshot.generation, hashes), *manifest.entries]
        kept = Manifest(entries[:KEPT_SNAPSHOTS])
        try:
            await self._store.put(MANIFEST, msgspec.json.encode(kept).decode(), revision)
        except StoreConflict:
            return False
        for entry in entries[KEPT_SNAPSHOTS:]:
            await self._delete(entry)
        return True

    async def _read_manifest(self) -> tuple[Manifest, int]:
        entry = await self._store.get(MANIFEST)
        if entry is None:
            return Manifest([]), ABSENT
        return msgspec.json.decode(entry.value, type=Manifest), entry.revision

    async def _read_parts(self, entry: SnapshotEntry) -> Snapshot:
        parts = []
        for number, digest in enumerate(entry.parts):
            key = name_part(entry.generation, number)
            found = await self._store.get(key)
            if found is None or _hash(found.value) != digest:
                raise BriarforkError(
                    ErrorKind.INVALID_CONFIGURATION,
                    f"{key}: expected a part with hash {digest[:12]}, "
                    f"found {'none' if found is None else 'another one'}",
                )
            parts.append(found.value)
        return msgspec.json.decode("".join(parts), type=Snapshot)

    async def _write_part(self, key: str, part: str) -> bool:
        """Creates a part; returns False if another process has written a different one."""
        try:
            await self._store.put(key, part, ABSENT)
        except StoreConflict:
            found = await self._store.get(key)
            return found is not None and found.value == part
        return True

    async def _delete(self, entry: SnapshotEntry) -> None:
        for number in range(len(entry.parts)):
            found = await self._store.get(name_part(entry.generation, number))
            if found is not None:
                await self._store.delete(found.key, found.revision)


def _hash(part: str) -> str:
    return hashlib.sha256(part.encode()).hexdigest()
