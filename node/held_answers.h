#pragma once

#include <stddef.h>

struct GspanEvent;
struct GspanNode;
struct GspanOutbox;

/*
 * What replicas have sent of answers that stream and can't be passed on yet, for callers and for
 * items: events that haven't ended, and answers that are the caller's only as a whole. Together
 * they are bounded; beyond that the longest is broken off. (Answers that don't stream are bounded
 * by http/client.h.)
 */

struct GspanHeldAnswers
{
  size_t unchecked; /* bytes that came since all were added up last */
};

/* EVENT, some bytes of an answer, has been handled: breaks answers off where they are too much. */
void gspan_held_answers_bound (struct GspanNode *node, const struct GspanEvent *event,
                               struct GspanOutbox *outbox);

/* Bytes of memory that are held now. */
size_t gspan_held_answers_total (const struct GspanNode *node);
