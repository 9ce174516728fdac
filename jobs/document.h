#pragma once

#include "common/headers.h"

/* A batch job as it was submitted. */

struct GspanJobItem
{
  char *id;
  char *path;
  struct GspanHeaders headers;
  GBytes *body;
  char *group;         /* items of one group share their prompt; empty where it has none */
  guint64 tokens_max;  /* prompt and the most that may be generated */
  guint64 length_hint; /* the caller's estimate of the tokens to generate; 0 is none */
};

struct GspanJobDocument
{
  char *model;
  guint64 weight_version_min; /* oldest version of the weights that may generate its tokens */
  guint64 groups_wanted;
  GPtrArray *items; /* struct GspanJobItem */
};

void gspan_job_document_init (struct GspanJobDocument *document);
void gspan_job_document_finish (struct GspanJobDocument *document);

/* Appends an empty item. */
struct GspanJobItem *gspan_job_document_add (struct GspanJobDocument *document);
