/* Embeds a lease, the router and a cursor, over a platform of one object and under virtual time. */

#include <stdio.h>

#include "board/board.h"
#include "common/clock.h"
#include "rollout/cursor.h"

#define STEP_US (100 * GSPAN_MS)

struct Platform
{
  guint64 revision; /* 0 while there is no object */
  GBytes *value;
};

/* Does one operation on the object; anything else is unavailable. */
static void
answer (struct Platform *platform, const struct GspanActionObject *asked,
        struct GspanEventObject *object)
{
  object->result = GSPAN_OBJECT_UNAVAILABLE;
  if (!g_str_has_prefix (asked->path, "lease/"))
    return;
  object->result = GSPAN_OBJECT_OK;
  if (asked->op == GSPAN_OBJECT_GET && platform->value == NULL)
    object->result = GSPAN_OBJECT_MISSING;
  else if (asked->op == GSPAN_OBJECT_PUT && asked->revision != platform->revision)
    object->result = GSPAN_OBJECT_CONFLICT;
  else if (asked->op == GSPAN_OBJECT_PUT)
    {
      g_clear_pointer (&platform->value, g_bytes_unref);
      platform->value = g_bytes_ref (asked->body);
      platform->revision++;
    }
  object->revision = platform->revision;
  object->body = platform->value;
}

/* Gives EVENT to the board, and the platform's answers to what it asks. */
static void
handle (struct GspanBoard *board, struct Platform *platform, const struct GspanEvent *event,
        guint64 now)
{
  struct GspanOutbox outbox;

  gspan_outbox_init (&outbox);
  gspan_board_handle (board, event, now, &outbox);
  for (guint i = 0; i < outbox.actions->len; i++)
    {
      const struct GspanAction *action = g_ptr_array_index (outbox.actions, i);
      struct GspanEvent done = { .kind = GSPAN_EVENT_OBJECT_DONE, .ref = action->ref };

      if (action->kind != GSPAN_ACTION_OBJECT)
        continue;
      answer (platform, &action->u.object, &done.u.object);
      handle (board, platform, &done, now);
    }
  gspan_outbox_finish (&outbox);
}

static void
run_until_held (struct GspanBoard *board, struct Platform *platform, guint64 *now)
{
  const struct GspanEvent tick = { .kind = GSPAN_EVENT_TICK };
  struct GspanLease *lease = gspan_leases_acquire (&board->leases, "jobs");

  while (!gspan_lease_held (lease, *now))
    handle (board, platform, &tick, *now += STEP_US);
  printf ("%s holds the lease under fencing number %" G_GUINT64_FORMAT "\n", board->self.name,
          lease->fencing_token);
}

static void
hold_leases (void)
{
  struct GspanBoardConfig config = { .self = { "vm-1", "prepis", "nitra", "127.0.0.1:1" },
                                     .seed = 1,
                                     .lease_duration_us = 3 * GSPAN_SECOND };
  struct Platform platform = { 0 };
  struct GspanBoard first;
  struct GspanBoard second;
  guint64 now = GSPAN_SECOND;

  gspan_board_init (&first, &config);
  config.self.name = "vm-2";
  config.self.rpc = "127.0.0.1:2";
  config.seed = 2;
  gspan_board_init (&second, &config);
  run_until_held (&first, &platform, &now);
  run_until_held (&second, &platform, &now); /* the first one is paused meanwhile */
  printf ("vm-1 still believes that it holds it: %s\n",
          gspan_lease_held (gspan_leases_acquire (&first.leases, "jobs"), now) ? "yes" : "no");
  gspan_board_finish (&first);
  gspan_board_finish (&second);
  g_clear_pointer (&platform.value, g_bytes_unref);
}

static void
choose_upstream (void)
{
  struct GspanRouteQuery query = { .service = "model", .zone = "nitra", .now = GSPAN_SECOND };
  struct GspanUpstreams upstreams;
  struct GspanRouteChoice choice;

  gspan_upstreams_init (&upstreams);
  gspan_upstreams_add (&upstreams, "m1", "model", "trnava", "127.0.0.1:3");
  gspan_upstreams_add (&upstreams, "m2", "model", "nitra", "127.0.0.1:4");
  query.excluded = g_ptr_array_new ();
  query.prefix_hash = gspan_route_prefix_hash (GSPAN_STR ("transcribe part 7"));
  choice = gspan_route_choose (&upstreams, &query);
  printf ("1 of %u upstreams chosen by %s\n", choice.candidates,
          gspan_route_reason_name (choice.reason));
  g_ptr_array_add (query.excluded, choice.upstream);
  choice = gspan_route_choose (&upstreams, &query);
  printf ("after it failed, %u is left\n", choice.candidates);
  g_ptr_array_unref (query.excluded);
  gspan_upstreams_finish (&upstreams);
}

static void
take_batches (void)
{
  const guint64 groups[] = { 0, 2, 3 };
  GArray *chosen = g_array_new (FALSE, FALSE, sizeof (guint64));
  struct GspanCursor cursor;
  struct GspanCursor next;
  char *text;

  gspan_cursor_init (&cursor);
  gspan_cursor_init (&next);
  g_array_append_vals (chosen, groups, G_N_ELEMENTS (groups));
  gspan_cursor_advance (&cursor, chosen, &next);
  text = gspan_cursor_format (&next, "trainer");
  printf ("cursor %s: group 1 wanted %d, group 2 wanted %d\n", text, gspan_cursor_wants (&next, 1),
          gspan_cursor_wants (&next, 2));
  g_free (text);
  g_array_unref (chosen);
  gspan_cursor_finish (&cursor);
  gspan_cursor_finish (&next);
}

int
main (void)
{
  hold_leases ();
  choose_upstream ();
  take_batches ();
  return 0;
}
