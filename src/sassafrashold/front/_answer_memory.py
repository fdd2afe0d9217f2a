"""Bound on the memory of all leaf answers that are being received."""

from typing import Protocol


class AnswerHolder(Protocol):
    """Holds the bytes of an answer that is being received."""

    def give_up(self, detail: str) -> None:
        """Ends the answer as failed and releases its bytes."""
        ...


class AnswerMemory:
    """Counts the bytes of open answers and ends the largest one over a limit.

    A leaf in trouble may send bytes without end. With a limit for each answer
    alone, a few such leafs would still exceed the memory of the host.
    """

    def __init__(self, max_bytes: int) -> None:
        """Initializes the count.

        Args:
            max_bytes: Maximum size of all open answers together.
        """
        self._max_bytes = max_bytes
        self._bytes_by_holder: dict[AnswerHolder, int] = {}
        self._total = 0

    @property
    def total(self) -> int:
        """Bytes of all open answers."""
        return self._total

    def add(self, holder: AnswerHolder, count: int) -> None:
        """Counts received bytes; may end this or other answers.

        Args:
            holder: Holder of the answer.
            count: Number of bytes.
        """
        self._total += count
        self._bytes_by_holder[holder] = (
            self._bytes_by_holder.get(holder, 0) + count
        )
        while self._total > self._max_bytes:
            largest = max(
                self._bytes_by_holder, key=self._bytes_by_holder.__getitem__
            )
            self.release(largest)
            largest.give_up(
                f"open answers exceed {self._max_bytes} bytes; this is the "
                "largest"
            )

    def release(self, holder: AnswerHolder) -> None:
        """Stops counting an answer that has ended."""
        self._total -= self._bytes_by_holder.pop(holder, 0)
