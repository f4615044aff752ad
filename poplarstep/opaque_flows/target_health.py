r"""Assesses the target of an agent by what it answers.

Explanation
===========

Some targets fail while their health interface reports them healthy (the loads
of docs/hard_load.md): they answer with errors, or some requests not at all.
Packets of opaque flows can't be read, so an agent judges by what passes. A
request has failed if the target sent no data within ``SILENCE_FACTOR`` mean
service times, closed or reset the flow instead, or sent much less than answers
of the route usually hold. An opening packet without an answer counts as a
failed request.

A target with a long queue refuses requests with short answers, too. A short
answer or a reset is therefore not judged if more requests than slots were
ahead of the request; others wait for their turn longer before they count as
unanswered.
"""

import collections

from poplarstep.opaque_flows import segment as segments

# 7 times the mean is usual for a few requests; the longer timeouts of callers
# leave room for a retry after this time.
SILENCE_FACTOR = 10
MINIMUM_SILENCE_MS = 500
# An answer is complete when the target has sent nothing for longer than the
# interval after which it retransmits.
ANSWER_END_MS = 500
# An answer with less than this part of the usual bytes of its route is short.
SHORT_PART = 0.25
# Weights of an answer in the usual size. Short answers count little: those of
# a failing target must not become usual before it is avoided, but a route
# whose answers have become shorter must not be judged by their former size.
USUAL_WEIGHT = 0.1
SHORT_WEIGHT = 0.01
# Latest requests that are judged together, and the fewest for a figure. With
# few requests older ones count too, until the target has answered several in a
# row: an avoided target gets few requests that could show its recovery.
JUDGED_REQUESTS = 20
MINIMUM_JUDGED_REQUESTS = 10
JUDGED_TIME_MS = 4000
MAXIMUM_JUDGED_AGE_MS = 30_000
RECOVERED_REQUESTS = 5
MAXIMUM_AWAITED = 4096
MAXIMUM_ROUTES = 64


class TargetHealthCounters:
    r"""Counts of requests by outcome; the slots are metric names.

    ``answered`` counts complete answers of usual size, ``unanswered``
    requests without data in time, ``refused`` those whose flow the target
    closed or reset instead, ``short_answers`` much shorter answers and
    ``unjudged`` failures behind a queue, which tell nothing of the target.
    """

    __slots__ = (
        'answered', 'unanswered', 'refused', 'short_answers', 'unjudged')

    def __init__(self):
        for name in self.__slots__:
            setattr(self, name, 0)


class AwaitedAnswer:
    r"""A request, or an opening packet, and its answer so far; times in ms.

    Parameters
    ==========

    deadline : float
        When the request counts as unanswered.
    is_opening : bool
        It is an opening packet, which any packet of the target answers.
    is_behind_queue : bool
        More requests than the target has slots were ahead.
    data_bytes : int
        Data that the target has sent.
    data_at : int
        When the target last sent data.
    """

    __slots__ = (
        'deadline', 'is_opening', 'is_behind_queue', 'data_bytes', 'data_at')

    def __init__(self, deadline, is_opening, is_behind_queue):
        self.deadline = deadline
        self.is_opening = is_opening
        self.is_behind_queue = is_behind_queue
        self.data_bytes = 0
        self.data_at = 0


class TargetHealth:
    r"""Requests without a complete answer, and the outcomes of the latest.

    Parameters
    ==========

    awaited_by_flow : dict
        Requests without data from the target, in order of arrival.
    answer_by_flow : dict
        Requests whose answer has begun, in order of the latest data.
    outcomes : deque of tuple
        When each of the latest requests was judged, and whether it failed.
    answered_in_row : int
        Requests that were answered since the last failure.
    usual_bytes_by_route : dict
        Usual size of an answer in bytes, by address of the service in the
        form of flow keys.
    """

    __slots__ = (
        'awaited_by_flow', 'answer_by_flow', 'outcomes',
        'answered_in_row', 'usual_bytes_by_route', 'counters')

    def __init__(self):
        self.awaited_by_flow = {}
        self.answer_by_flow = {}
        self.outcomes = collections.deque(maxlen=JUDGED_REQUESTS)
        self.answered_in_row = 0
        self.usual_bytes_by_route = {}
        self.counters = TargetHealthCounters()

    def open_flow(self, flow, now, service_us, slots):
        r"""Record an opening packet that was sent to the target."""
        self._await(flow, now, service_us, slots, is_opening=True)

    def start_request(self, flow, now, service_us, slots):
        r"""Record a packet with data for the target.

        It begins a request if the target has sent data since the last one.
        """
        if flow in self.awaited_by_flow:
            return
        if flow in self.answer_by_flow:
            self._complete(flow, now)
        self._await(flow, now, service_us, slots, is_opening=False)

    def _await(self, flow, now, service_us, slots, is_opening):
        if len(self.awaited_by_flow) >= MAXIMUM_AWAITED:
            del self.awaited_by_flow[next(iter(self.awaited_by_flow))]
        ahead = len(self.awaited_by_flow)
        service_ms = service_us / 1000
        self.awaited_by_flow[flow] = AwaitedAnswer(
            now + ahead * service_ms / slots + max(
                MINIMUM_SILENCE_MS, SILENCE_FACTOR * service_ms),
            is_opening, ahead > slots)

    def receive(self, segment, now):
        r"""Record a packet of the target; one that was not returned."""
        flow = segment.flow
        awaited = self.awaited_by_flow.get(flow)
        if awaited is None:
            self._receive_further(segment, now)
        elif awaited.is_opening:
            del self.awaited_by_flow[flow]
        elif segment.data_bytes:
            del self.awaited_by_flow[flow]
            self.answer_by_flow[flow] = awaited
            self._receive_further(segment, now)
        elif segment.closing or segment.reset:
            del self.awaited_by_flow[flow]
            self._judge_failure(awaited, 'refused', now)

    def _receive_further(self, segment, now):
        r"""Record a packet of an answer that has begun."""
        answer = self.answer_by_flow.pop(segment.flow, None)
        if answer is None:
            return
        self.answer_by_flow[segment.flow] = answer
        answer.data_bytes += segment.data_bytes
        answer.data_at = now
        if segment.closing or segment.reset:
            self._complete(segment.flow, now)

    def _complete(self, flow, now):
        r"""Judge a complete answer by the usual size for its route."""
        answer = self.answer_by_flow.pop(flow)
        route = flow[segments.ENDPOINT_BYTES:]
        usual = self.usual_bytes_by_route.get(route)
        if usual is None:
            if len(self.usual_bytes_by_route) >= MAXIMUM_ROUTES:
                del self.usual_bytes_by_route[
                    next(iter(self.usual_bytes_by_route))]
            usual = answer.data_bytes
        is_short = answer.data_bytes < SHORT_PART * usual
        weight = SHORT_WEIGHT if is_short else USUAL_WEIGHT
        self.usual_bytes_by_route[route] = usual + weight * (
            answer.data_bytes - usual)
        if is_short:
            self._judge_failure(answer, 'short_answers', now)
        else:
            self.counters.answered += 1
            self.answered_in_row += 1
            self.outcomes.append((now, False))

    def _judge_failure(self, awaited, name, now):
        if awaited.is_behind_queue and name != 'unanswered':
            self.counters.unjudged += 1
            return
        setattr(self.counters, name, getattr(self.counters, name) + 1)
        self.answered_in_row = 0
        self.outcomes.append((now, True))

    def abandon(self, flow):
        r"""Await no answer: the caller, or the target, has given up the flow.

        An answer that has begun is judged when no more data comes.
        """
        self.awaited_by_flow.pop(flow, None)

    def expire(self, now):
        r"""Judge overdue requests, and the answers that have ended."""
        while self.awaited_by_flow:
            flow, awaited = next(iter(self.awaited_by_flow.items()))
            if now < awaited.deadline:
                break
            del self.awaited_by_flow[flow]
            self._judge_failure(awaited, 'unanswered', now)
        while self.answer_by_flow:
            flow, answer = next(iter(self.answer_by_flow.items()))
            if now - answer.data_at < ANSWER_END_MS:
                break
            self._complete(flow, now)
        self._drop_outdated(now)

    def _drop_outdated(self, now):
        wanted = MINIMUM_JUDGED_REQUESTS
        if self.answered_in_row >= RECOVERED_REQUESTS:
            wanted = 0
        while self.outcomes:
            age_ms = now - self.outcomes[0][0]
            if age_ms <= JUDGED_TIME_MS or (
                    age_ms <= MAXIMUM_JUDGED_AGE_MS
                    and len(self.outcomes) <= wanted):
                return
            self.outcomes.popleft()

    def forget_awaited(self):
        r"""Judge nothing that was awaited: this process was paused."""
        self.awaited_by_flow.clear()
        self.answer_by_flow.clear()

    def restart(self):
        r"""Start afresh: another instance of the target has started.

        Usual sizes stay, as they belong to routes.
        """
        self.forget_awaited()
        self.outcomes.clear()

    def unanswered_permille(self):
        r"""Return the failed part of the latest requests; 0 if unknown."""
        judged = len(self.outcomes)
        if judged < MINIMUM_JUDGED_REQUESTS:
            return 0
        failed = sum(has_failed for _, has_failed in self.outcomes)
        return 1000 * failed // judged


def make_target_health() -> TargetHealth:
    r"""Return the assessment of a target that has had no request yet."""
    return TargetHealth()
