"""What clients and replicas saw, and whether the promises of the users' pages held."""

from collections import defaultdict

DRAIN_S = 2.0
STABLE_S = 3.0
RETRIES_ALLOWED = 3  # of a request that has ended three replicas, once its end can be known
ENDS_ALLOWED = 3
ERRORS_UNTIL_ABANDONED = 3  # maxAttempts of the batch route
LATE_ANSWER_S = 0.5  # beyond the deadline
KEPT_WITHIN_S = 0.2  # what a node is told is in the store
RESUMED_LEAST = 12  # streams that were taken up, for their share to count
WINDOW_S = 4.0  # over which requests to a replica with a limit are counted
LIMIT_FACTOR = 1.5
LIMIT_EXTRA = 5
SERVED_SHARE = 2 / 3  # of what other nodes serve, at nodes without links to the replicas
FAILED_EXTRA = 10
FAILED_ONE_IN = 50
NOTICE_S = 0.5  # after which a node that has passed an answer on keeps what it says


def is_in(spans, at):
    return any(start <= at <= end for start, end in spans)


class Book:
    def __init__(self, now):
        self.now = now
        self.sent = {}  # attempt id to (node, time at which the client sent it)
        self.runs = defaultdict(list)  # attempt id to (replica, time)
        self.contents = defaultdict(list)  # killing path to (node, replica, time sent by client, time of arrival)
        self.ends = defaultdict(list)  # killing path to times at which a replica ended
        self.left = {}  # (node, replica) to the time at which an answer that says so had been passed on
        self.arrivals = []  # (attempt id, replica, time)
        self.answers = defaultdict(int)  # status to number
        self.disturbed = defaultdict(list)  # node to (from, until)
        self.store_disturbed = []  # (from, until)
        self.stops = defaultdict(list)  # node to (from, until) of its restarts and freezes
        self.limits = defaultdict(list)  # replica to spans [values, until], values of (time first named, limit)
        self.got_at = defaultdict(list)  # replica to (time, node) of all that reached it; no node: an item or an order
        self.streams = {False: [], True: []}  # by whether they were taken up: whether each try brought an event
        self.mixed = []  # streams and texts with events of two software versions
        self.scorers = {}  # item to whether its reward call always fails; items without one aren't there
        self.scores = defaultdict(list)  # item to (signature of a 2xx to its reward call, time of the call's arrival)
        self.score_errors = defaultdict(int)  # item to responses of 500 to its reward call
        self.texts_made = {}  # item to the time at which a replica first made its last event
        self.cuts = []  # [from, until, names of the nodes that reached no replica]
        self.cut_shares = []  # of first tries served at nodes without links, for each cut and kind
        self.first_tries = []  # (kind of request, node, time sent, whether it was served)
        self.endless = 0  # answers without end
        self.memory_mb = 0  # the most that a node used
        self.most_of_limit = 0.0  # the largest share of what a limit allows that reached a replica
        self.jobs = defaultdict(list)  # batch job to the statuses of its tries, 0 where no answer came
        self.refused_calls = {}  # attempt of a call that may run once to the status that promised it doesn't
        self.made = defaultdict(list)  # attempt id to (signature, status, body) of whole answers that replicas gave to it
        self.streams_made = defaultdict(set)  # attempt id to signatures of replicas that began a stream for it
        self.first_asked = {}  # attempt id to the first event that the first replica was asked for
        self.item_errors = defaultdict(int)  # item to answers of 500 to its runs
        self.killed_all_at = []  # times at which all nodes died at once
        self.taken_up = []  # whether streams that had begun before that went on, those whose version is still there
        self.version_gone = 0  # streams whose version had left meanwhile
        self.store_gone = 0  # streams that could be neither kept nor asked for, since the store was away
        self.store_away = []  # [from, until] for all nodes
        self.tries_version_gone = 0  # tries to take such streams up
        self.odd_answers = 0  # with cuts, pauses or bytes too many, and streams that were spoiled
        self.writes_unheard = 0
        self.leaving_judged = 0
        self.around_stops = {}  # number of requests by what became of them
        self.jobs_refused = 0  # at every try
        self.lag_s = 0.0  # by which the stand-ins were late at most
        self.lags = []  # (time, seconds) of those worth a note
        self.broken = []

    # What is seen.

    def got(self, replica, request):
        node = self.node_of(request.headers.get("x-attempt-id", ""))
        self.got_at[replica.start_name].append((self.now(), node))

    def names_limit(self, replica):
        spans = self.limits[replica.start_name]
        if not spans or spans[-1][1] is not None:
            spans.append([[], None])
        values = spans[-1][0]
        if not values or values[-1][1] != replica.limit:
            values.append((self.now(), replica.limit))

    def limit_ends(self, replica):
        spans = self.limits[replica.start_name]
        if spans and spans[-1][1] is None:
            spans[-1][1] = self.now()

    def times_limited(self, replica):
        """Spans (from, until) in which nodes may hold that it has a limit: until it has been asked after the limit's end."""
        spans = []
        for values, end in self.limits.get(replica, []):
            asked = [at for at, _ in self.got_at[replica] if end is not None and at > end]
            spans.append((values[0][0], asked[0] + NOTICE_S if asked else float("inf")))
        return spans

    def stream_tried(self, node, sent, resumed, may_go_on, brought):
        """
        One try of a stream: RESUMED where it was taken up, BROUGHT where an event came of it. Where no replica of the
        version that began it was there all the time (not MAY_GO_ON), it has to be refused.
        """
        if self.is_disturbed(node, sent) or self.is_disturbed(node, self.now()):
            return
        if may_go_on:
            self.streams[resumed].append(brought)
        else:
            self.tries_version_gone += 1

    def stream_ended(self, name, events, whole, last, attempts):
        versions = {data.rpartition("@")[2] for _, data in events}
        if [number for number, _ in events] != list(range(1, len(events) + 1)):
            self.broken.append(f"ORDER {name}: events {[number for number, _ in events]}; tries {attempts}")
        if len(versions) > 1:
            self.mixed.append(f"{name}: events of {sorted(versions)}; tries {attempts}")
        if whole and len(events) != last:
            self.broken.append(f"ORDER {name}: ended as whole after {len(events)} of {last} events; tries {attempts}")

    def died_between(self, since, until):
        """Whether all nodes died at once in that time."""
        return any(since <= at <= until for at in self.killed_all_at)

    def store_away_begins(self):
        span = [self.now(), float("inf")]
        self.store_away.append(span)
        return span

    def store_cant_tell(self, begun_at, died, tries_at):
        """
        Whether the store was away from the stream's beginning, or the time that a write takes later, to the death of all
        nodes; or each time that it was taken up afterwards, until nodes are steady again.
        """
        return any(start <= begun_at + KEPT_WITHIN_S and end >= died
                   or tries_at and all(start <= at <= end + STABLE_S for at in tries_at)
                   for start, end in self.store_away)

    def check_taken_up(self):
        if len(self.taken_up) >= RESUMED_LEAST and sum(self.taken_up) < len(self.taken_up) / 2:
            self.broken.append(f"LOST after all nodes had died {sum(self.taken_up)} of {len(self.taken_up)} streams went on")

    def first_tried(self, kind, node, sent, served):
        """The first try of a client's request has ended."""
        if not self.is_disturbed(node, sent) and not self.is_disturbed(node, self.now()):
            self.first_tries.append((kind, node, sent, served))

    def cut_begins(self, names):
        cut = [self.now(), None, names]
        self.cuts.append(cut)
        return cut

    def text_made(self, item):
        self.texts_made.setdefault(item, self.now())

    def job_answered(self, job, status):
        self.jobs[job].append(status)

    def client_sends(self, attempt, node):
        self.sent[attempt] = (node, self.now())

    def reached(self, replica, request):
        attempt = request.headers.get("x-attempt-id", "")
        self.runs[attempt].append((replica.start_name, self.now()))
        self.arrivals.append((attempt, replica.start_name, self.now()))
        if request.path.startswith("/calls/") and len(self.runs[attempt]) > 1:
            self.broken.append(f"TWICE {attempt}: ran at {self.runs[attempt]}")
        if "/killer/" in request.path:
            self.contents[request.path].append((self.node_of(attempt), replica.start_name, self.now()))

    def ended(self, _, request):
        self.ends[request.path].append(self.now())

    def asked_from(self, attempt, first):
        """Whether a node goes on with what it has of this attempt, and doesn't begin it."""
        return first > self.first_asked.setdefault(attempt, first)

    def foreign_bytes(self, attempt, node, foreign):
        for text in foreign:
            self.broken.append(f"MIXED {attempt} at {node}: {text}")

    def check_answer(self, attempt, node, status, headers, body):
        """A success, and a failure with a signature, is what the replica named there made for this attempt."""
        stamp = headers.get("x-server-stamp")
        if not 200 <= status < 300 and stamp is None:
            return
        if (stamp, status, body) not in self.made[attempt]:
            made = [(name, status, body[:60], len(body)) for name, status, body in self.made[attempt]]
            self.broken.append(f"MIXED {attempt} at {node}: got {status} of {stamp} with {len(body)} bytes, {body[:60]!r}; "
                               f"made for it: {made}")

    def stream_has(self, attempt, node, got, path):
        self.foreign_bytes(attempt, node, got.foreign)
        if got.status == 200:
            stamp = got.headers.get("x-server-stamp")
            if stamp not in self.streams_made[attempt]:
                self.broken.append(f"MIXED {attempt} at {node}: a stream signed {stamp}, begun by {self.streams_made[attempt]}")
            for number, data in got.events:
                if data.rpartition("@")[0] != f"{path}-{number}":
                    self.broken.append(f"MIXED {attempt} at {node}: event {number} of {path} is {data!r}")
        elif got.body is not None:
            self.check_answer(attempt, node, got.status, got.headers, got.body)

    def client_has(self, attempt, node, answer, path, deadline_s, foreign):
        self.foreign_bytes(attempt, node, foreign)
        status, headers, body = answer if answer is not None else (0, {}, b"")
        self.answers[status] += 1
        late = self.now() - self.sent[attempt][1] - deadline_s
        if late > LATE_ANSWER_S and not self.is_disturbed(node, self.now()):
            self.broken.append(f"LATE {attempt} at {node}: {late:.1f} s after its deadline, status {status}")
        if headers.get("server-leaving"):
            self.left.setdefault((node, headers["x-server-stamp"]), self.now())
        self.check_answer(attempt, node, status, headers, body)
        if status in (408, 421, 429, 503) and path.startswith("/calls/"):
            self.refused_calls[attempt] = status
        if status in (429, 503) and headers.get("x-server-stamp") is None:
            if attempt in self.runs:
                self.broken.append(f"REFUSED {attempt} at {node}: answered {status} and had run")
            if "retry-after" not in headers:
                self.broken.append(f"REFUSED {attempt} at {node}: no Retry-After")

    def disturb(self, node):
        """Begins a disturbance of NODE; returns what ends it."""
        span = [self.now(), float("inf")]
        self.disturbed[node].append(span)

        def end():
            span[1] = self.now()
        return end

    # What is asked of it.

    def node_of(self, attempt):
        return self.sent.get(attempt, ("", 0))[0]

    def is_disturbed(self, node, at, span_s=STABLE_S):
        return any(start <= at and at <= end + span_s for start, end in self.disturbed[node])

    def is_store_disturbed(self, at):
        return any(start <= at and at <= end + STABLE_S for start, end in self.store_disturbed)

    def check_leaving_by_answer(self):
        """In touch or not: only a restart or a freeze of the node since then excuses it."""
        for attempt, replica, at in self.arrivals:
            node, sent = self.sent.get(attempt, ("", 0))
            seen = self.left.get((node, replica))
            if seen is None or sent <= seen + DRAIN_S:
                continue
            if any(end >= seen and start <= at for start, end in self.stops[node]):
                continue
            self.broken.append(f"DRAIN {attempt}: {node} sent it to {replica} {at - seen:.1f} s after it had passed "
                               "on an answer of that replica which says that it leaves")

    def count_judged(self, acknowledged):
        """Pairs of a replica that has left and a request to a node in touch, in the two seconds in which it would count."""
        count = 0
        for since in acknowledged.values():
            first = since + DRAIN_S
            if self.is_store_disturbed(since):
                continue
            count += sum(1 for node, sent in self.sent.values()
                         if first < sent <= first + 2 and not self.is_store_disturbed(sent) and not self.is_disturbed(node, sent))
        return count

    def check_leaving_by_store(self, acknowledged):
        self.leaving_judged = self.count_judged(acknowledged)
        for attempt, replica, at in self.arrivals:
            since = acknowledged.get(replica)
            node = self.node_of(attempt)
            if since is None or at <= since + DRAIN_S or self.is_store_disturbed(at) or self.is_disturbed(node, at):
                continue
            if self.is_store_disturbed(since) or (node == "" and self.any_disturbed(at)):
                continue
            self.broken.append(f"DRAIN {attempt}: {node or 'an item'} reached {replica} {at - since:.1f} s after "
                               "the store had acknowledged that it leaves")

    def check_score(self, result):
        """A completed result has the signature of an answer to its own call, which left after the text was whole."""
        item = result["id"]
        if item not in self.scorers:
            if "score" in result:
                self.broken.append(f"MIXED {item}: has a score and needs none")
        elif result["state"] == "completed":
            arrived = dict(self.scores[item]).get(result.get("score"))
            if arrived is None:
                self.broken.append(f"MIXED {item}: score {result.get('score')!r} isn't the signature of its call")
            elif arrived < self.texts_made.get(item, float("inf")):
                self.broken.append(f"MIXED {item}: its reward call came before the last event was made")
        elif self.score_errors[item] < ERRORS_UNTIL_ABANDONED and self.item_errors[item] < ERRORS_UNTIL_ABANDONED:
            self.broken.append(f"MIXED {item}: abandoned after {self.score_errors[item]} failures of its reward call")

    def any_disturbed(self, at):
        return any(self.is_disturbed(node, at) for node in list(self.disturbed))

    def check_memory(self, node, peak_mb, most_mb):
        self.memory_mb = max(self.memory_mb, peak_mb)
        if peak_mb > most_mb:
            self.broken.append(f"MEMORY {node}: {peak_mb} MB at its peak, a VM has {most_mb}")

    def check_refused(self):
        """What was refused has not run and never does: calls by attempt, batch jobs by all tries together."""
        for attempt, status in self.refused_calls.items():
            if attempt in self.runs:
                self.broken.append(f"REFUSED {attempt}: answered {status} and ran at {self.runs[attempt]}")
        ran = defaultdict(list)
        for attempt in self.runs:
            ran[attempt.rpartition("-")[0]].append(attempt)
        for job, statuses in self.jobs.items():
            if set(statuses) <= {408, 421, 429, 503}:
                self.jobs_refused += 1
                if ran[job]:
                    self.broken.append(f"REFUSED {job}: answered {statuses} and {len(ran[job])} items ran, "
                                       f"{ran[job][0]} at {self.runs[ran[job][0]]}")

    def check_software(self):
        """The pages bear two such streams; none is known to be allowed here."""
        self.broken += [f"ORDER {line}" for line in self.mixed]
        if len(self.streams[True]) >= RESUMED_LEAST and self.streams[False]:
            begun, gone_on = (sum(tries) / len(tries) for tries in (self.streams[False], self.streams[True]))
            if gone_on < begun / 2:
                self.broken.append(f"LOST of {len(self.streams[True])} streams taken up {gone_on:.2f} go on, "
                                   f"of new ones {begun:.2f} begin")

    def reaches_no_replica(self, node, since, until):
        return any(node in names and start <= since and (end is None or until <= end)
                   for start, end, names in self.cuts)

    def check_served_during_cuts(self):
        """Callers of nodes without links to the replicas are served as those of the others, for each kind of request."""
        for start, end, names in self.cuts:
            end = end or self.now()
            for kind in ["any kind", *sorted({kind for kind, _, _, _ in self.first_tries})]:
                cut, whole = [], []
                for other, node, sent, served in self.first_tries:
                    if kind not in ("any kind", other) or not start + STABLE_S <= sent <= end:
                        continue
                    if self.reaches_no_replica(node, sent - STABLE_S, sent):
                        cut.append(served)
                    elif not any(node in others and begin <= sent and (stop is None or sent <= stop)
                                 for begin, stop, others in self.cuts):
                        whole.append(served)
                self.compare_served(kind, names, cut, whole)

    def compare_served(self, kind, names, cut, whole):
        if not cut or not whole:
            return
        share = sum(cut) / len(cut)
        failed = len(cut) - sum(cut)
        self.cut_shares.append(share)
        if share < SERVED_SHARE * sum(whole) / len(whole) and failed > FAILED_EXTRA + len(cut) / FAILED_ONE_IN:
            self.broken.append(f"RECOVER {kind}: {', '.join(names)} reached no replica and served {sum(cut)} of "
                               f"{len(cut)} first tries, the others {sum(whole)} of {len(whole)}")

    def check_limits(self):
        """All that reaches a replica counts, from whichever node, but for what a disturbed node may have sent."""
        for replica, spans in self.limits.items():
            for values, until in spans:
                times = [at for at, node in self.got_at[replica]
                         if values[0][0] + STABLE_S <= at < (until or self.now())
                         and not (self.is_disturbed(node, at) if node else self.any_disturbed(at))]
                for start in times:
                    self.check_window(replica, values, start, sum(start <= at < start + WINDOW_S for at in times))

    def check_window(self, replica, values, start, count):
        """Where the limit changes, the highest that held in the window or half a second before it counts."""
        ends = [at for at, _ in values[1:]] + [float("inf")]
        limit = max(limit for (at, limit), end in zip(values, ends)
                    if end >= start - NOTICE_S and at < start + WINDOW_S)
        allowed = LIMIT_FACTOR * limit * WINDOW_S + LIMIT_EXTRA
        self.most_of_limit = max(self.most_of_limit, count / allowed)
        if count > allowed:
            self.broken.append(f"LIMIT {replica}: {count} requests in {WINDOW_S:.0f} s from {start:.1f} s on, "
                               f"{allowed:.0f} allowed by its limit of {limit:.1f} a second")

    def check_crashing_requests(self):
        for path, sends in self.contents.items():
            if len(self.ends[path]) < ENDS_ALLOWED:
                continue
            known = sorted(self.ends[path])[ENDS_ALLOWED - 1] + STABLE_S
            late = [(node, at) for node, _, at in sends if at > known and not self.is_store_disturbed(at)
                    and not (self.is_disturbed(node, at) if node else self.any_disturbed(at))]
            if len(late) > RETRIES_ALLOWED:
                self.broken.append(f"BUDGET {path}: sent {len(late)} times by {len({n for n, _ in late})} nodes later "
                                   f"than {STABLE_S} s after it had ended three replicas; {len(self.ends[path])} ended")
