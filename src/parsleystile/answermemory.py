"""Memory that the unfinished answers of a target take."""

import abc
import typing

# Limit on all unfinished answers of a target together.
MAX_HELD_BYTES = 72 * 1_048_576
# Each answer is counted towards that limit in steps of this size.
HELD_STEP_BYTES = 32_768
# Small chunks of a body are merged, since each takes memory beyond its size.
_SMALL_CHUNK_BYTES = 4_096
_MAX_SMALL_CHUNKS = 256


class AnswerBody:
    """Body of an answer while it is received."""

    __slots__ = ('_chunks', '_small_chunks')

    def __init__(self) -> None:
        self._chunks: list[bytes] = []
        # They come after the chunks.
        self._small_chunks: list[bytes] = []

    def append(self, chunk: bytes) -> None:
        """Add the next chunk."""
        if len(chunk) < _SMALL_CHUNK_BYTES:
            self._small_chunks.append(chunk)
            if len(self._small_chunks) >= _MAX_SMALL_CHUNKS:
                self._merge_small_chunks()
        else:
            if self._small_chunks:
                self._merge_small_chunks()
            self._chunks.append(chunk)

    def _merge_small_chunks(self) -> None:
        self._chunks.append(b''.join(self._small_chunks))
        self._small_chunks.clear()

    def take(self) -> bytes:
        """Return the whole body and release the chunks."""
        self._chunks += self._small_chunks
        body = b''.join(self._chunks)
        self.clear()
        return body

    def clear(self) -> None:
        """Release the chunks."""
        self._chunks.clear()
        self._small_chunks.clear()


class UnfinishedAnswer(abc.ABC):
    """An answer whose memory is counted.

    Attributes:
        held_bytes: Size as last counted; 0 before.
        has_declared_length: Whether the answer is known to end.
    """

    held_bytes: int
    has_declared_length: bool

    @abc.abstractmethod
    def evict(self, why: str) -> None:
        """Give up the answer and count it as 0 bytes."""


class AnswerMemory:
    """Bounds the memory of all unfinished answers together.

    When it is used up, the largest answer without a declared length is given
    up, or else the largest one: this frees the most memory at the expense of
    one caller, and an answer without a declared length may have no end.

    Attributes:
        on_held: Called with the bytes of all of them when these change.
    """

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._held_bytes = 0
        self.on_held: typing.Callable[[int], None] = lambda size: None
        self._answers: set[UnfinishedAnswer] = set()

    def count(self, answer: UnfinishedAnswer, size: int) -> None:
        """Count an answer with its current size; 0 when it has ended."""
        self._held_bytes += size - answer.held_bytes
        answer.held_bytes = size
        if size:
            self._answers.add(answer)
        else:
            self._answers.discard(answer)
        while self._held_bytes > self._max_bytes:
            max(self._answers, key=_eviction_rank).evict(
                f'unfinished answers exceed {self._max_bytes} bytes'
            )
        self.on_held(self._held_bytes)


def _eviction_rank(answer: UnfinishedAnswer) -> tuple[bool, int]:
    return not answer.has_declared_length, answer.held_bytes


def answer_memory(max_bytes: int) -> AnswerMemory:
    """Create a bound with nothing counted."""
    return AnswerMemory(max_bytes)
