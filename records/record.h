#pragma once

#include <jansson.h>

#include "common/error.h"
#include "common/str.h"

/* Configuration records, as operators write them and as the system works with them. */

enum GspanRecordKind
{
  GSPAN_RECORD_POOL,
  GSPAN_RECORD_ATTACHMENT,
  GSPAN_RECORD_ROUTE,
  GSPAN_RECORD_UPSTREAM,
  GSPAN_RECORD_KINDS /* count */
};

enum
{
  GSPAN_SCHEMA_MIN = 1,
  GSPAN_SCHEMA_MAX = 2
};

/* Rollout pool: the replicas of one model and how weights get to them. */
struct GspanPool
{
  char *service;   /* name of the replicas' service in the VM list */
  char *model;     /* name in the weight store */
  guint64 max_out; /* replicas that may be out of service at once for a swap */
};

/* Trainer attachment: what one trainer is to be fed with. */
struct GspanAttachment
{
  char *pool;
  char *scorer; /* service that scores samples */
  char *prompt; /* text before the group's number */
  guint64 batch_groups;
  guint64 group_samples;
  guint64 staleness_bound; /* versions */
  guint64 max_tokens;
  guint64 ahead_batches;    /* most batches worked on before they are asked for; 0 is none */
  bool fixed_ahead;         /* always that many, without foresight: a baseline to measure against */
  guint64 idle_weight;      /* how much an idle trainer matters, 0 to 100 */
  guint64 staleness_weight; /* how much a stale sample matters, 0 to 100 */
};

/* Desk route: where a desk's calls go. */
struct GspanRoute
{
  char *service;
  bool completions; /* a model engine's completions; otherwise a plain service */
  bool idempotent;
  guint64 timeout_us;
};

/* Traits of the upstreams of one service. */
struct GspanUpstreamTraits
{
  bool checks_fence;    /* refuses orders under an old fencing number */
  bool refusal_is_safe; /* 429 and 503 say that the call did not run */
};

struct GspanRecord
{
  enum GspanRecordKind kind;
  char *name;
  char *firm;
  guint64 version;   /* of the platform's object */
  char *shared_with; /* other firms whose callers may use it, separated by blanks; may be NULL */
  bool paused;
  json_t *raw; /* as it was read, unknown fields included */
  union
  {
    struct GspanPool pool;
    struct GspanAttachment attachment;
    struct GspanRoute route;
    struct GspanUpstreamTraits upstream;
  } u;
};

const char *gspan_record_kind_name (enum GspanRecordKind kind);
bool gspan_record_kind_parse (struct GspanStr text, enum GspanRecordKind *kind);

/* True where records of KIND have a field called KEY; "schema" is none. */
bool gspan_record_has_field (enum GspanRecordKind kind, const char *key);

/* True where callers of FIRM may use RECORD; FIRM is NULL where callers aren't checked. */
bool gspan_record_serves (const struct GspanRecord *record, const char *firm);

/*
 * Reads a record of KIND called NAME out of VALUE, which may be of any schema version. Findings
 * name their field; FILE is the place that they report. False where any was added; RECORD then is
 * empty.
 */
bool gspan_record_init (struct GspanRecord *record, enum GspanRecordKind kind, const char *name,
                        guint64 version, json_t *value, const char *file,
                        struct GspanFindings *findings);
void gspan_record_finish (struct GspanRecord *record);
