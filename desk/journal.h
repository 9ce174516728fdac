#pragma once

#include "desk/outcome.h"

/*
 * What one slot remembers of the keyed calls that it ran. A key is remembered for
 * GSPAN_JOURNAL_LIFE_US after its outcome, and for GSPAN_JOURNAL_INTENT_LIFE_US where none is
 * known. Young keys are never dropped: a full journal refuses new ones. Stored answers go first.
 */

enum
{
  GSPAN_JOURNAL_MAX = 900000,      /* bytes of the platform's object, which may hold a megabyte */
  GSPAN_JOURNAL_ANSWER_MAX = 2048, /* bytes of an answer that is kept */
  GSPAN_JOURNAL_KEY_MAX = 128      /* bytes of a caller's key */
};

#define GSPAN_JOURNAL_LIFE_US (15 * 60 * GSPAN_SECOND)
#define GSPAN_JOURNAL_INTENT_LIFE_US (2 * 3600 * GSPAN_SECOND)

/* One key. BODY is NULL where the answer isn't kept. */
struct GspanJournalEntry
{
  char *key;
  guint64 fingerprint; /* of the request that it came with first */
  guint64 noted_at;    /* microseconds; of the intent, then of the outcome */
  bool done;           /* the outcome is known */
  enum GspanOutcome outcome;
  int status;
  char *content_type;
  GBytes *body;
};

struct GspanJournal
{
  GHashTable *by_key; /* to struct GspanJournalEntry, owns them */
  GQueue order;       /* struct GspanJournalEntry by NOTED_AT, oldest first */
  size_t size;        /* bytes of the object at most */
};

void gspan_journal_init (struct GspanJournal *journal);
void gspan_journal_finish (struct GspanJournal *journal);

const struct GspanJournalEntry *gspan_journal_find (const struct GspanJournal *journal,
                                                    const char *key);

/* Notes that a new KEY is about to run. False where the journal is full of young keys. */
bool gspan_journal_intend (struct GspanJournal *journal, const char *key, guint64 fingerprint,
                           guint64 now);

/* Notes what came of KEY, if it is still known. BODY may be NULL. */
void gspan_journal_conclude (struct GspanJournal *journal, const char *key,
                             enum GspanOutcome outcome, int status, struct GspanStr content_type,
                             GBytes *body, guint64 now);

/* Forgets KEY, which surely did not run. */
void gspan_journal_forget (struct GspanJournal *journal, const char *key);

/* Drops the keys that have reached their age. */
void gspan_journal_age (struct GspanJournal *journal, guint64 now);

/* The platform's object: WRITER names this very write. Ages are stored, since clocks differ. */
GBytes *gspan_journal_encode (const struct GspanJournal *journal, const char *writer, guint64 now);

/* Fills an empty JOURNAL. False where DATA is no journal. */
bool gspan_journal_decode (struct GspanJournal *journal, struct GspanStr data, guint64 now);

/* True where DATA is the journal that WRITER's write left. */
bool gspan_journal_written_by (struct GspanStr data, const char *writer);
