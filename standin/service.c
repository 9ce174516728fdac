#include <string.h>

#include "common/clock.h"
#include "standin/standin.h"

/* Stand-in for plain services and for scorers: runs a call, books it, answers after a while. */

struct Call
{
  ev_timer timer;
  struct GspanStandin *standin;
  guint64 id;
  json_t *answer;
};

static void
on_due (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct Call *call = timer->data;

  (void)loop;
  (void)events;
  gspan_standin_reply (call->standin, call->id, 200, call->answer, 0);
  g_free (call);
}

static void
answer_later (struct GspanStandin *standin, guint64 id, json_t *answer)
{
  struct Call *call = g_new0 (struct Call, 1);

  call->standin = standin;
  call->id = id;
  call->answer = answer;
  ev_timer_init (&call->timer, on_due, standin->service_ms / 1000.0, 0);
  call->timer.data = call;
  ev_timer_start (standin->loop, &call->timer);
}

static void
on_request (void *user, const struct GspanHttpIncoming *incoming)
{
  struct GspanStandin *standin = user;
  json_t *body = gspan_standin_body (incoming);
  json_t *order = json_object_get (body, "order");
  const char *text = json_string_value (json_object_get (body, "text"));

  if (gspan_str_equal (incoming->path, GSPAN_STR ("/score")) && text != NULL)
    answer_later (standin, incoming->id,
                  json_pack ("{s:f}", "reward", (double)(strlen (text) % 100) / 100.0));
  else if (json_is_string (order))
    {
      gspan_standin_book (standin, json_pack ("{s:s, s:O}", "run", standin->name, "order", order));
      answer_later (standin, incoming->id,
                    json_pack ("{s:O, s:s}", "order", order, "by", standin->name));
    }
  else
    gspan_standin_reply (standin, incoming->id, 400,
                         json_pack ("{s:s}", "error", "neither an order nor a text"), 0);
  json_decref (body);
}

void
gspan_standin_run_service (struct GspanStandin *standin)
{
  standin->handler.request = on_request;
  standin->handler.user = standin;
  ev_run (standin->loop, 0);
}
