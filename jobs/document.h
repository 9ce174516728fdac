#pragma once

#include "common/error.h"
#include "common/headers.h"

/* The content of a batch job as the caller submitted it (gspan_wire_read_job () reads it). */

/* The request that scores an item's text: the signature of its answer is the score. */
struct GspanRewardRequest
{
  char *id;
  char *host; /* host and path select its route */
  char *path;
  GBytes *body;
};

struct GspanJobItem
{
  char *id;
  char *path;
  struct GspanHeaders headers;
  GBytes *body;
  char *group;         /* items of one group share their prompt; empty if the item has no group */
  guint64 tokens_max;  /* tokens of the prompt plus the most that may be generated */
  guint64 length_hint; /* the caller's estimate of the tokens to generate; 0 is none */
  struct GspanRewardRequest *reward; /* NULL: the result has no score */
  bool unsendable; /* a field fits in no request; the item can only be abandoned */
};

struct GspanJobDocument
{
  char *model;
  guint64 weight_version_min; /* oldest weight version that may generate results */
  guint64 groups_wanted;      /* complete groups that the caller waits for; 0 is all */
  GPtrArray *items;           /* struct GspanJobItem */
  guint unsendable_count;     /* of the items, those that earlier versions accepted all the same */
  struct GspanError unsendable; /* about the first of them */
};

void gspan_job_document_init (struct GspanJobDocument *document);
void gspan_job_document_finish (struct GspanJobDocument *document);

/* Appends an item without id, path, body and group. It belongs to DOCUMENT. */
struct GspanJobItem *gspan_job_document_add (struct GspanJobDocument *document);

/* Gives ITEM, which has none, a reward request without fields. */
struct GspanRewardRequest *gspan_job_item_add_reward (struct GspanJobItem *item);
