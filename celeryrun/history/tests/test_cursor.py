"""The cursor in random orders of appends, restores, reads and messages, without a network."""

from dataclasses import dataclass, field

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from celeryrun.history import Accepted, Position, TopicCursor

READERS = 3


@dataclass
class Reader:
    """Reader that records what the cursor lets it apply."""

    cursor: TopicCursor = field(default_factory=TopicCursor)
    applied: dict = field(default_factory=dict)
    in_flight: list = field(default_factory=list)

    def accept(self, start, end, records):
        decision = (
            self.cursor.accept_snapshot(end)
            if start is None
            else self.cursor.accept_changes(start, end)
        )
        if isinstance(decision, Accepted):
            if start is None:
                self.applied.clear()
            self.applied.update(records)


class RestoredTopic(RuleBasedStateMachine):
    """One topic that is restored from copies, and readers that pass pages on to each other."""

    def __init__(self):
        super().__init__()
        self.era = 1
        self.log = []
        self.number = 0
        self.log_by_era = {}
        self.readers = [Reader() for _ in range(READERS)]
        self.messages = []

    def newest(self, log):
        return dict(log)

    @rule(key=st.sampled_from("abc"))
    def append(self, key):
        self.number += 1
        self.log.append((key, self.number))

    @rule(kept=st.floats(0, 1))
    def restore(self, kept):
        self.log_by_era[self.era] = list(self.log)
        self.log = self.log[: int(kept * len(self.log))]
        self.era += 1

    @rule(reader=st.integers(0, READERS - 1))
    def begin_read(self, reader):
        self.readers[reader].in_flight.append(self.readers[reader].cursor.next_read)

    @rule(reader=st.integers(0, READERS - 1), which=st.integers(0, 3), size=st.integers(1, 3))
    def finish_read(self, reader, which, size):
        found = self.readers[reader]
        if not found.in_flight:
            return
        start = found.in_flight.pop(which % len(found.in_flight))
        if start is None:
            end, records = Position(self.era, len(self.log)), self.newest(self.log)
        else:
            if start.offset > len(self.log):
                found.cursor.advance_era(self.era)
                found.cursor.lose_history(start)
                return
            records = self.log[start.offset : start.offset + size]
            end = Position(self.era, start.offset + len(records))
        found.accept(start, end, records)
        self.messages.append((start, end, records))

    @precondition(lambda self: self.messages)
    @rule(reader=st.integers(0, READERS - 1), which=st.integers(0, 1000))
    def receive_page(self, reader, which):
        start, end, records = self.messages[which % len(self.messages)]
        if start is None or start.era == end.era:
            self.readers[reader].accept(start, end, records)

    @rule(reader=st.integers(0, READERS - 1), other=st.integers(0, READERS - 1))
    def hear_of_era(self, reader, other):
        position = self.readers[other].cursor.position
        if position is not None:
            self.readers[reader].cursor.advance_era(position.era)

    @invariant()
    def each_reader_holds_what_its_position_says(self):
        for reader in self.readers:
            position = reader.cursor.position
            if position is None:
                assert not reader.applied
                continue
            log = self.log if position.era == self.era else self.log_by_era[position.era]
            assert reader.applied == self.newest(log[: position.offset])

    @invariant()
    def a_reader_that_covers_the_end_holds_the_newest_records(self):
        for reader in self.readers:
            if reader.cursor.covers(Position(self.era, len(self.log))):
                assert reader.applied == self.newest(self.log)

    @invariant()
    def a_position_of_an_earlier_era_covers_nothing_of_this_one(self):
        for reader in self.readers:
            position = reader.cursor.position
            if position is not None and position.era < self.era:
                assert not reader.cursor.covers(Position(self.era, 0))


RestoredTopic.TestCase.settings = settings(max_examples=300, stateful_step_count=40, deadline=None)
test_readers_hold_one_history_in_any_order = RestoredTopic.TestCase
