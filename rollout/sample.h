#pragma once

#include <jansson.h>

#include "common/error.h"
#include "common/str.h"

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
  guint64 hedge;    /* second generation under way; 0 is none */
  guint64 started;  /* of the generation, microseconds */
  guint64
      foreseen; /* weight version that the engine was known to run at the start; 0 is not known */
  guint64 retry_at; /* not before, microseconds */
  guint failures;   /* in a row */
  guint losses;     /* of these, answers lost after the request had left */
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
  bool handed; /* in a batch whose pull has been answered, not yet proved taken */
  struct GspanSample *samples;
};

struct GspanGroup *gspan_group_new (guint64 number, guint count);
void gspan_group_free (gpointer group);
bool gspan_group_is_whole (const struct GspanGroup *group);

/* Least weight version that the samples begun so far are known or foreseen to hold; 0 is none. */
guint64 gspan_group_oldest (const struct GspanGroup *group);

/* Back to WAITING, all that was generated thrown away. */
void gspan_sample_reset (struct GspanSample *sample);

/*
 * Takes note of a failed exchange at NOW; the next try has to wait for longer each time, for
 * minutes where LOST answers suggest that the sample crashes what runs it.
 */
void gspan_sample_fail (struct GspanSample *sample, bool lost, guint64 now);

/* Takes note of a good exchange. */
void gspan_sample_succeed (struct GspanSample *sample);

/*
 * Takes text and segments out of an engine's answer. False with ERROR set where the answer is not
 * whole, a segment states no certain weight version or the segments don't account for all tokens;
 * the sample then has to be generated again.
 */
bool gspan_sample_take_answer (struct GspanSample *sample, struct GspanStr body,
                               struct GspanError *error);

/* Takes the reward out of a scorer's answer. */
bool gspan_sample_take_score (struct GspanSample *sample, struct GspanStr body,
                              struct GspanError *error);

/* The sample as the trainer gets it. A new reference. */
json_t *gspan_sample_describe (const struct GspanSample *sample, const char *attachment,
                               guint64 group, guint index, const char *prompt);
