"""A strategy for messages of which some bytes are wrong."""

from hypothesis import strategies as st


@st.composite
def spoiled(draw, messages, inserted, *, most, changes, removed):
    """Draws a few messages with bytes inserted, replaced or removed.

    Args:
        draw: Given by hypothesis.
        messages: Valid messages to draw from.
        inserted: Strategy for the bytes that are put in.
        most: Maximum number of messages.
        changes: Maximum number of changes.
        removed: Maximum number of bytes that a change removes.
    """
    data = b"".join(
        draw(st.lists(st.sampled_from(messages), min_size=1, max_size=most))
    )
    for _ in range(draw(st.integers(0, changes))):
        position = draw(st.integers(0, len(data)))
        size = draw(st.integers(0, removed))
        data = data[:position] + draw(inserted) + data[position + size :]
    return data
