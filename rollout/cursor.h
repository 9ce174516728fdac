#pragma once

#include "common/error.h"
#include "common/str.h"

/*
 * What a trainer has taken: all groups below NEXT_GROUP except the DEFERRED ones. The trainer keeps
 * it beside its weights and gives it back with each pull, so that taking a batch and remembering
 * that it was taken are one step at the trainer. The empty text is the cursor of a new trainer.
 */
struct GspanCursor
{
  guint64 batch;      /* batches taken */
  guint64 next_group; /* lowest group that no batch has passed yet */
  GArray *deferred;   /* guint64, rising, below NEXT_GROUP, not taken */
};

enum
{
  GSPAN_CURSOR_DEFERRED_MAX = 4096
};

void gspan_cursor_init (struct GspanCursor *cursor);
void gspan_cursor_finish (struct GspanCursor *cursor);

/* Replaces CURSOR by what TEXT says. False with ERROR set where TEXT is not a cursor of ATTACHMENT.
 */
bool gspan_cursor_parse (struct GspanCursor *cursor, const char *attachment, struct GspanStr text,
                         struct GspanError *error);

/* Makes the initialised TO the same as FROM. */
void gspan_cursor_copy (const struct GspanCursor *from, struct GspanCursor *to);

/* Text of CURSOR. Released with g_free (). */
char *gspan_cursor_format (const struct GspanCursor *cursor, const char *attachment);

/* True where the trainer has not taken GROUP yet. */
bool gspan_cursor_wants (const struct GspanCursor *cursor, guint64 group);

/* The group that is the INDEX-th not taken, counted from the oldest. */
guint64 gspan_cursor_nth (const struct GspanCursor *cursor, guint64 index);

/* Makes NEXT the cursor after a batch of the groups CHOSEN (guint64, rising, all wanted). */
void gspan_cursor_advance (const struct GspanCursor *cursor, const GArray *chosen,
                           struct GspanCursor *next);
