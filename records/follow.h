#pragma once

#include "board/message.h"
#include "membership/members.h"

struct GspanBoard;

/*
 * Controller that keeps the record table up. A watcher of its availability zone reads the platform:
 * one list, then watches that go on from the revision up to which the table is complete; a gap
 * leads to a new list. Any other process asks a watcher, its relay, and reads the platform itself
 * only while no relay has answered for a while. Whoever is a member also asks a peer whose records
 * are ahead, so that what a relay misses arrives anyway. Failures are retried with a jittered
 * back-off; what is in force stays so meanwhile.
 */
struct GspanFollow
{
  bool reading; /* an operation at the platform is open */
  bool listed;  /* the table holds a whole list: the process can serve */
  bool gap;     /* the watch can't go on */
  guint failures;
  guint64 retry_at;
  bool asking; /* a call to a relay is open */
  guint relay; /* which of the relays is asked */
  guint64 ask_at;
  guint64 silent_since;          /* no relay has answered since; 0 where one has */
  guint64 direct_at;             /* when to read the platform in spite of that */
  bool pulling;                  /* a call to a peer that is ahead is open */
  guint64 pull_at;               /* 0 while no peer is ahead */
  bool watches;                  /* as was last logged */
  struct GspanWatchers watchers; /* of this zone */
  guint64 watchers_of;           /* the state of the members that they were chosen from */
};

/* True where this process is to read the platform itself. */
bool gspan_follow_reads_platform (const struct GspanBoard *board);

void gspan_follow_handle (struct GspanBoard *board, const struct GspanEvent *event,
                          struct GspanOutbox *outbox);
