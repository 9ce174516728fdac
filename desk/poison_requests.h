#pragma once

#include "common/str.h"

/*
 * Requests that crash the upstreams that run them, by content. What speaks against a request are
 * incarnations of upstreams at which it was without an answer; an answer to the same content clears
 * it. Upstreams are named by whatever tells their incarnations apart.
 *
 * Evidence short of a crash counts for a limited time only: by its end it would be known that the
 * upstream has ended, which makes it a crash. A request with two counts is refused for a while, so
 * that one that merely stood beside crashes is served again soon; one with three crashes is
 * condemned.
 *
 * Times are microseconds of the steady clock.
 */

#define GSPAN_POISON_TTL_US (10 * 60 * GSPAN_SECOND)   /* of a crash, and of a verdict */
#define GSPAN_POISON_QUARANTINE_US (10 * GSPAN_SECOND) /* after two crashes */

enum
{
  GSPAN_POISON_CRASH_THRESHOLD = 2,   /* of different upstreams: no more for a while */
  GSPAN_POISON_VERDICT_THRESHOLD = 3, /* as above: condemned */
  GSPAN_POISON_ENTRIES_MAX = 4096     /* fingerprints kept; the oldest goes first */
};

/* In ascending order of strength. */
enum GspanPoisonEvidence
{
  GSPAN_POISON_EXPOSED,   /* it was cancelled there; counts only once the upstream has ended */
  GSPAN_POISON_SUSPECTED, /* the upstream gave no answer */
  GSPAN_POISON_CRASHED    /* the upstream ended while it had the request */
};

struct GspanPoisonRequests
{
  GHashTable *items;      /* fingerprint to struct Item, owns them */
  GQueue order;           /* struct Item, oldest first */
  GHashTable *ended;      /* upstreams that ended lately, to when */
  guint64 unconfirmed_us; /* how long evidence short of a crash lasts */
};

/* One fingerprint as told to peers. */
struct GspanPoisonReport
{
  guint64 fingerprint;
  guint64 life_us; /* what is left of it */
};

void gspan_poison_requests_init (struct GspanPoisonRequests *poison);
void gspan_poison_requests_finish (struct GspanPoisonRequests *poison);

/* Fingerprint of a request's content; never 0. */
guint64 gspan_poison_requests_fingerprint (const char *service, const char *path,
                                           struct GspanStr body);

/* FINGERPRINT in messages, names of objects and log lines: 16 hex digits, released with g_free ().
 */
char *gspan_poison_fingerprint_format (guint64 fingerprint);

/* False where TEXT, which may be NULL, is none. */
bool gspan_poison_fingerprint_parse (const char *text, guint64 *fingerprint);

/*
 * Notes EVIDENCE that a request crashes UPSTREAM, seen at NOW. What is known to have ended makes a
 * crash of any evidence. Returns the evidence that stands if that is new or stronger, else -1.
 */
int gspan_poison_requests_record (struct GspanPoisonRequests *poison, guint64 fingerprint,
                                  const char *upstream, enum GspanPoisonEvidence evidence,
                                  guint64 now);

/* As above, for an upstream that broke the request's connection. */
void gspan_poison_requests_record_crash (struct GspanPoisonRequests *poison, guint64 fingerprint,
                                         const char *upstream, guint64 now);

/*
 * UPSTREAM has ended unplanned: evidence that names it is a crash. Appends the fingerprints that
 * this changes to CHANGED (of guint64).
 */
void gspan_poison_requests_upstream_ended (struct GspanPoisonRequests *poison, const char *upstream,
                                           guint64 now, GArray *changed);

/* UPSTREAM answers again: suspicions that name it count no more, unless it turns out to have ended.
 */
void gspan_poison_requests_upstream_works (struct GspanPoisonRequests *poison,
                                           const char *upstream);

/* The same content was answered: nothing speaks against it. False where nothing did. */
bool gspan_poison_requests_clear (struct GspanPoisonRequests *poison, guint64 fingerprint);

/* Keeps evidence short of a crash, since nothing can show now whether its upstreams have ended. */
void gspan_poison_requests_keep_unconfirmed (struct GspanPoisonRequests *poison, guint64 now);

/*
 * Number of different upstreams that count against it; GSPAN_POISON_CRASH_THRESHOLD is enough to
 * refuse it.
 */
guint gspan_poison_requests_crash_count (const struct GspanPoisonRequests *poison,
                                         guint64 fingerprint, guint64 now);

/* Until when the request is refused; 0 where it isn't. */
guint64 gspan_poison_requests_refused_until (const struct GspanPoisonRequests *poison,
                                             guint64 fingerprint, guint64 now);

/* Until when the request is condemned; 0 where it isn't. */
guint64 gspan_poison_requests_condemned_until (const struct GspanPoisonRequests *poison,
                                               guint64 fingerprint, guint64 now);

/* Takes a peer's verdict on a fingerprint. LIFE_US is cut at GSPAN_POISON_TTL_US. */
void gspan_poison_requests_merge (struct GspanPoisonRequests *poison, guint64 fingerprint,
                                  guint64 life_us, guint64 now);

/* Fills FACTS with up to MAX poisonous fingerprints, the newest first; their number. */
guint gspan_poison_requests_list (const struct GspanPoisonRequests *poison,
                                  struct GspanPoisonReport *facts, guint max, guint64 now);
