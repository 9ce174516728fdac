#include "test/wire.h"

#include <gtest/gtest.h>

extern "C"
{
#include "common/clock.h"
#include "http/client.h"
#include "platform/objects.h"
#include "shell/platform.h"
}

/* Calls to the platform's store over real sockets: what may be said of a write that failed. */

static std::string
answer_of (const std::string &status, const std::string &body)
{
  return "HTTP/1.1 " + status + "\r\nContent-Length: " + std::to_string (body.size ()) + "\r\n\r\n"
         + body;
}

static const std::string object = R"({"metadata":{"name":"j1","revision":9},"spec":{"a":1}})";
static const std::string created = answer_of ("201 Created", object);

class StoreWire : public testing::Test
{
protected:
  Wire wire;
  WireServer server{ wire };
  GspanHttpClient *client = nullptr;
  GspanStoreCall call{};
  GspanStoreReply reply{};
  bool done = false;

  void
  SetUp () override
  {
    client = gspan_http_client_new (wire.loop, on_event, this);
    gspan_store_reply_init (&reply);
  }

  void
  TearDown () override
  {
    gspan_http_client_free (client);
    gspan_store_reply_finish (&reply);
  }

  static void
  on_event (void *user, const GspanEvent *event)
  {
    auto *self = static_cast<StoreWire *> (user);
    GspanError error{};

    if (event->kind != GSPAN_EVENT_HTTP_DONE)
      return;
    gspan_store_reply_finish (&self->reply);
    gspan_store_reply_init (&self->reply);
    gspan_objects_decode (&self->call, &event->u.http, &self->reply, &error);
    self->done = true;
  }

  GspanStoreResult
  run (GspanStoreOp op)
  {
    GspanActionHttp http{};

    call.op = op;
    call.kind = g_strdup ("jobs");
    call.name = g_strdup ("j1");
    call.value = op == GSPAN_STORE_REMOVE ? nullptr : json_pack ("{s:i}", "a", 1);
    gspan_headers_init (&http.headers);
    gspan_objects_encode (&call, server.address.c_str (), &http);
    done = false;
    gspan_http_client_start (client, { GSPAN_OWNER_JOBS, 1 }, &http);
    EXPECT_TRUE (wire.run_until ([&] { return done; }));
    gspan_headers_finish (&http.headers);
    g_clear_pointer (&http.body, g_bytes_unref);
    g_free (http.method);
    g_free (http.url);
    gspan_store_call_finish (&call);
    call = {};
    return reply.result;
  }
};

static const GspanStoreOp writes[]
    = { GSPAN_STORE_CREATE, GSPAN_STORE_REPLACE, GSPAN_STORE_SET_STATUS, GSPAN_STORE_REMOVE };

/* The store reads the write, may do it, and its connection ends: a second sending says nothing. */
TEST_F (StoreWire, WriteWhoseConnectionEndsIsUnknownWhateverTheStoreSaysNext)
{
  const std::vector<std::string> next = {
    answer_of ("503 Service Unavailable", ""),
    answer_of ("429 Too Many Requests", ""),
    answer_of ("409 Conflict", object),
    answer_of ("404 Not Found", ""),
    answer_of ("500 Internal Error", ""),
    created,
    "",
  };

  for (auto op : writes)
    for (bool reset : { false, true })
      for (const auto &bytes : next)
        {
          server.script = { { created, false }, { "", true, reset }, { bytes, true } };
          server.requests = 0;
          EXPECT_EQ (run (GSPAN_STORE_CREATE), GSPAN_STORE_OK);
          server.connections = 0;
          EXPECT_EQ (run (op), GSPAN_STORE_UNKNOWN) << op << reset << bytes;
          EXPECT_EQ (reply.send_count, 1U);
          EXPECT_EQ (server.requests, 2U) << op << reset << bytes;
          EXPECT_EQ (server.connections, 0U) << op << reset << bytes;
        }
}

TEST_F (StoreWire, WriteWhoseConnectionEndsIsUnknownAtOnceWhereTheStoreCanNotBeReachedAgain)
{
  for (auto op : writes)
    {
      WireServer gone{ wire };

      gone.script = { { created, false }, { "", true } };
      gone.accepts_once = true;
      server.address = gone.address;
      EXPECT_EQ (run (GSPAN_STORE_CREATE), GSPAN_STORE_OK);
      guint64 before = gspan_clock_now ();
      EXPECT_EQ (run (op), GSPAN_STORE_UNKNOWN) << op;
      EXPECT_LT (gspan_clock_now () - before, 500 * GSPAN_MS);
    }
}

/* A kept connection that had ended before the write costs nothing. */
TEST_F (StoreWire, WriteAfterAKeptConnectionHasEndedIsDone)
{
  for (bool reset : { false, true })
    for (auto op : writes)
      {
        server.script = { { created, true, reset }, { created, false } };
        server.requests = 0;
        EXPECT_EQ (run (GSPAN_STORE_CREATE), GSPAN_STORE_OK);
        EXPECT_EQ (run (op), GSPAN_STORE_OK) << op << reset;
        EXPECT_EQ (reply.send_count, 1U) << op << reset;
      }
}

TEST_F (StoreWire, ReadIsSentAgainByItself)
{
  server.script = { { created, false }, { "", true }, { created, true } };
  EXPECT_EQ (run (GSPAN_STORE_CREATE), GSPAN_STORE_OK);
  EXPECT_EQ (run (GSPAN_STORE_GET), GSPAN_STORE_OK);
  EXPECT_EQ (reply.send_count, 2U);
}

/* The other daemons' objects. */
TEST_F (StoreWire, ObjectWriteWhoseConnectionEndsIsUnknownToo)
{
  struct Seen
  {
    GspanObjectResult result;
    unsigned sends;
    bool done;
  };
  Seen seen{};
  GspanHttpClient *daemon = gspan_http_client_new (
      wire.loop,
      [] (void *user, const GspanEvent *event) {
        *static_cast<Seen *> (user) = { gspan_platform_result (GSPAN_OBJECT_PUT, &event->u.http),
                                        event->u.http.send_count, true };
      },
      &seen);

  server.script = { { answer_of ("200 OK", "{}"), false },
                    { "", true },
                    { answer_of ("503 Service Unavailable", ""), true } };
  for (auto expected : { GSPAN_OBJECT_OK, GSPAN_OBJECT_UNKNOWN })
    {
      GspanActionObject object{};
      GspanActionHttp http{};

      object.op = GSPAN_OBJECT_PUT;
      object.path = const_cast<char *> ("leases/a");
      object.body = g_bytes_new_static ("{}", 2);
      gspan_headers_init (&http.headers);
      gspan_platform_request (&object, server.address.c_str (), &http);
      seen = {};
      gspan_http_client_start (daemon, { GSPAN_OWNER_JOBS, 1 }, &http);
      EXPECT_TRUE (wire.run_until ([&] { return seen.done; }));
      EXPECT_EQ (seen.result, expected);
      EXPECT_EQ (seen.sends, 1U);
      gspan_headers_finish (&http.headers);
      g_bytes_unref (http.body);
      g_bytes_unref (object.body);
      g_free (http.method);
      g_free (http.url);
    }
  EXPECT_EQ (server.requests, 2U);
  gspan_http_client_free (daemon);
}
