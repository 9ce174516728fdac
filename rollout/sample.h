#pragma once

#include <jansson.h>

#include "common/error.h"
#include "common/str.h"

struct GspanUpstream;

enum GspanSampleState
{
  GSPAN_SAMPLE_WAITING,
  GSPAN_SAMPLE_GENERATING,
  GSPAN_SAMPLE_GENERATED, /* waits for a scorer */
  GSPAN_SAMPLE_SCORING,
  GSPAN_SAMPLE_WHOLE
};

/* A run of tokens that one weight version generated, as the engine's own answer states it. */
struct GspanSegment
{
  guint64 weight;
  guint64 tokens;
};

struct GspanSample
{
  enum GspanSampleState state;
  guint64 exchange; /* generation or scoring under way; 0 is none */
  struct GspanUpstream *upstream;
  guint64 started;
  char *text;
  GArray *segments; /* struct GspanSegment, in order */
  guint64 oldest;   /* least weight version of the segments */
  double reward;
};

/* The samples of one prompt. */
struct GspanGroup
{
  guint64 number;
  guint count;
  struct GspanSample *samples;
};

struct GspanGroup *
gspan_group_new (guint64 number, guint count);
void
gspan_group_free (gpointer group);
bool
gspan_group_is_whole (const struct GspanGroup *group);

/* Back to WAITING, all that was generated thrown away. */
void
gspan_sample_reset (struct GspanSample *sample);

/*
 * Takes text and segments out of an engine's answer. False with ERROR set where the answer is not
 * whole or a segment states no certain weight version; the sample then has to be generated again.
 */
bool
gspan_sample_take_answer (struct GspanSample *sample, struct GspanStr body,
                          struct GspanError *error);

/* Takes the reward out of a scorer's answer. */
bool
gspan_sample_take_score (struct GspanSample *sample, struct GspanStr body,
                         struct GspanError *error);

/* The sample as the trainer gets it. A new reference. */
json_t *
gspan_sample_describe (const struct GspanSample *sample, const char *attachment, guint64 group,
                       guint index, const char *prompt);
